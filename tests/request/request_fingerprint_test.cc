#include "src/request/request_fingerprint.h"

#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

const RequestIdentity kRequest{"POST", "shop.example", "/a?b=c", "key", "body"};

TEST_GROUP(RequestFingerprintTest){};

// Guards against callers that are held responsible for each other's requests.
TEST(RequestFingerprintTest, DiffersInEveryField) {
  std::set<RequestFingerprint> fingerprints{FingerprintOf(kRequest)};
  RequestIdentity other = kRequest;
  other.method = "PUT";
  fingerprints.insert(FingerprintOf(other));
  other = kRequest;
  other.host = "store.example";
  fingerprints.insert(FingerprintOf(other));
  other = kRequest;
  other.path = "/a?b=d";
  fingerprints.insert(FingerprintOf(other));
  other = kRequest;
  other.api_key = "key2";
  fingerprints.insert(FingerprintOf(other));
  other = kRequest;
  other.body = "body2";
  fingerprints.insert(FingerprintOf(other));
  CHECK_EQUAL(6u, fingerprints.size());
}

// Guards against a caller that moves bytes between fields to get the
// fingerprint of another one.
TEST(RequestFingerprintTest, DependsOnTheBordersOfFields) {
  RequestIdentity moved = kRequest;
  moved.path = "/a?b=ck";
  moved.api_key = "ey";
  CHECK_TRUE(FingerprintOf(kRequest) != FingerprintOf(moved));
  moved = kRequest;
  moved.path = "/a?b=c3:key";
  moved.api_key = "";
  CHECK_TRUE(FingerprintOf(kRequest) != FingerprintOf(moved));
}

// Guards against gateways that take one request for two.
TEST(RequestFingerprintTest, IsTheSameForEqualRequests) {
  const std::string body = "body";
  RequestIdentity same = kRequest;
  same.host = "SHOP.example";
  same.body = body;
  CHECK_EQUAL(FingerprintOf(kRequest), FingerprintOf(same));
}

}  // namespace
}  // namespace celerypost
