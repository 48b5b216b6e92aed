#include "src/process/shared_peer_key.h"

#include <utility>

namespace celerypost {

SharedPeerKey::SharedPeerKey(SharedKey key) : key(std::move(key)) {}

std::string SharedPeerKey::Sign(std::string_view message) const {
  return HmacSha256(this->key, message);
}

bool SharedPeerKey::Verify(std::string_view message,
                           std::string_view proof) const {
  return ConstantTimeEqual(HmacSha256(this->key, message), proof);
}

std::string SharedPeerKey::MakeNonce() {
  return celerypost::MakeNonce();
}

}  // namespace celerypost
