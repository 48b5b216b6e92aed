#include "src/process/shared_peer_key.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(SharedPeerKeyTest){};

// Guards against accepting proofs made without the key, proofs for the nonce of
// another connection, and proofs that are empty or of the wrong length.
TEST(SharedPeerKeyTest, AcceptsOnlyTheProofOfTheMessage) {
  SharedPeerKey key(SharedKey("a shared key of the tests"));
  const SharedPeerKey other(SharedKey("another key of the tests"));
  const std::string message = "label" + key.MakeNonce();
  const std::string proof = key.Sign(message);
  LONGS_EQUAL(32, proof.size());
  CHECK_TRUE(key.Verify(message, proof));
  CHECK_FALSE(other.Verify(message, proof));
  CHECK_FALSE(key.Verify("label" + key.MakeNonce(), proof));
  CHECK_FALSE(key.Verify("other" + message.substr(5), proof));
  CHECK_FALSE(key.Verify(message, ""));
  CHECK_FALSE(key.Verify(message, proof.substr(1)));
  CHECK_FALSE(key.Verify(message, proof + "x"));
}

}  // namespace
}  // namespace celerypost
