#ifndef SRC_PROCESS_SHARED_PEER_KEY_H_
#define SRC_PROCESS_SHARED_PEER_KEY_H_

#include <string>
#include <string_view>

#include "src/connection/peer_connection.h"
#include "src/process/request_signature.h"

namespace celerypost {

// PeerKey that signs and verifies with HMAC-SHA256 under the shared key of the
// settings.
class SharedPeerKey : public PeerKey {
 public:
  explicit SharedPeerKey(SharedKey key);

  std::string Sign(std::string_view message) const override;
  bool Verify(std::string_view message, std::string_view proof) const override;
  std::string MakeNonce() override;

 private:
  const SharedKey key;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_SHARED_PEER_KEY_H_
