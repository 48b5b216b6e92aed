#include "src/process/request_signature.h"

#include <chrono>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

const WallTime kNow{milliseconds(1765000000000)};

TEST_GROUP(RequestSignatureTest) {
  SharedKey key{"a shared key of the tests"};
  RequestVerifier verifier{key};

  HttpRequest Signed(WallTime time, const std::string& method = "POST") {
    HttpRequest request{method, "/v1/operator/changes?a=1", {}, "{\"id\":1}"};
    request.headers.emplace_back(
        "authorization", SignRequest(this->key, request.method, request.path,
                                     time, request.body));
    return request;
  }

  void CheckRefused(const HttpRequest& request, const char* message) {
    const auto verified = this->verifier.Verify(request, kNow);
    CHECK_FALSE_TEXT(verified.has_value(), message);
    STRCMP_CONTAINS(message, verified.error().message.c_str());
    CHECK(verified.error().verdict == Verdict::kNotRun);
  }
};

// Guards against a header that other implementations of the signature (section
// 10.5 of the design page) refuse. The digest is the output of:
//   printf 'GET\n/v1/operator/status\n1765000000000\n\n' |
//   openssl dgst -sha256 -hmac 'a shared key of the tests'
TEST(RequestSignatureTest, MatchesOpenSslCommand) {
  STRCMP_EQUAL(
      "Celerypost-HMAC-SHA256 "
      "1765000000000:"
      "2073f5c328daed8564c33e541bdc8761743dcf80814b5df461dc6ca5631a0b6d",
      SignRequest(this->key, "GET", "/v1/operator/status", kNow, "").c_str());
}

// Guards against accepting a request that was modified in transit.
TEST(RequestSignatureTest, RefusesTampering) {
  HttpRequest request = this->Signed(kNow);
  request.method = "PUT";
  this->CheckRefused(request, "does not match");
  request = this->Signed(kNow);
  request.path += "&b=2";
  this->CheckRefused(request, "does not match");
  request = this->Signed(kNow);
  request.body += " ";
  this->CheckRefused(request, "does not match");
  request = this->Signed(kNow);
  std::string& header = request.headers[0].second;
  header.replace(header.find("1765"), 13, "1765000000001");
  this->CheckRefused(request, "does not match");
  request = this->Signed(kNow);
  char& last = request.headers[0].second.back();
  last = last == '0' ? '1' : '0';
  this->CheckRefused(request, "does not match");
  CHECK_TRUE(this->verifier.Verify(this->Signed(kNow), kNow).has_value());
}

// Guards against accepting a signature made with another key or an empty key.
TEST(RequestSignatureTest, RefusesOtherKeys) {
  const HttpRequest request = this->Signed(kNow);
  this->verifier = RequestVerifier(SharedKey("another key of the tests"));
  this->CheckRefused(request, "does not match");
  this->key = SharedKey();
  this->verifier = RequestVerifier(SharedKey());
  this->CheckRefused(this->Signed(kNow), "does not match");
}

// Guards against malformed headers that crash the parser or are accepted.
TEST(RequestSignatureTest, RefusesMalformedHeaders) {
  const std::string hex(64, 'a');
  HttpRequest request;
  this->CheckRefused(request, "missing");
  for (const std::string& value :
       {std::string("Bearer x"), std::string("Celerypost-HMAC-SHA256 "),
        "Celerypost-HMAC-SHA256 :" + hex, "Celerypost-HMAC-SHA256 12x:" + hex,
        "Celerypost-HMAC-SHA256 -1:" + hex,
        "Celerypost-HMAC-SHA256 99999999999999999999:" + hex,
        "Celerypost-HMAC-SHA256 1765000000000:" + hex.substr(1),
        "Celerypost-HMAC-SHA256 1765000000000:" + hex + "a"}) {
    request.headers = {{"authorization", value}};
    this->CheckRefused(request, "header authorization: ");
  }
}

// Guards against accepting a request that is sent long after it was signed, or
// that is signed with a time in the future.
TEST(RequestSignatureTest, RefusesTimesOutsideTheWindow) {
  this->CheckRefused(this->Signed(kNow - milliseconds(30001)), "differs");
  this->CheckRefused(this->Signed(kNow + milliseconds(30001)), "differs");
  const auto verified =
      this->verifier.Verify(this->Signed(kNow - milliseconds(30000)), kNow);
  CHECK_TRUE(verified.has_value());
}

// Guards against accepting a replayed change within the window. Reads may be
// repeated, as two reads in the same millisecond have the same signature.
TEST(RequestSignatureTest, RefusesReplayedChanges) {
  const HttpRequest late = this->Signed(kNow + milliseconds(30000));
  CHECK_TRUE(this->verifier.Verify(late, kNow).has_value());
  this->CheckRefused(late, "used before");
  const auto end = kNow + milliseconds(60000);
  CHECK_FALSE(this->verifier.Verify(late, end).has_value());
  CHECK_FALSE(this->verifier.Verify(late, end + milliseconds(1)).has_value());
  const HttpRequest read = this->Signed(kNow, "GET");
  CHECK_TRUE(this->verifier.Verify(read, kNow).has_value());
  CHECK_TRUE(this->verifier.Verify(read, kNow).has_value());
}

// Guards against memory that grows with the number of requests, and against
// accepting a replay because its signature was evicted.
TEST(RequestSignatureTest, RefusesChangesWhenFullUntilTheWindowPasses) {
  this->verifier = RequestVerifier(this->key, {milliseconds(30000), 2});
  const HttpRequest first = this->Signed(kNow);
  CHECK_TRUE(this->verifier.Verify(first, kNow).has_value());
  CHECK_TRUE(this->verifier.Verify(this->Signed(kNow + milliseconds(1)), kNow)
                 .has_value());
  this->CheckRefused(this->Signed(kNow + milliseconds(2)), "too many changes");
  this->CheckRefused(first, "used before");
  const auto later = kNow + milliseconds(30001);
  CHECK_TRUE(this->verifier.Verify(this->Signed(later), later).has_value());
}

// Guards against a nonce that repeats.
TEST(RequestSignatureTest, NoncesDiffer) {
  LONGS_EQUAL(32, MakeNonce().size());
  CHECK(MakeNonce() != MakeNonce());
}

}  // namespace
}  // namespace celerypost
