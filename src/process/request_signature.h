#ifndef SRC_PROCESS_REQUEST_SIGNATURE_H_
#define SRC_PROCESS_REQUEST_SIGNATURE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"
#include "src/connection/http.h"

namespace celerypost {

using WallTime = std::chrono::system_clock::time_point;

// The secret key that operators, entries and agents share. A type of its own
// that does not convert to a string, so that the key is not logged or put into
// an error message by accident.
class SharedKey {
 public:
  SharedKey() = default;
  explicit SharedKey(std::string bytes);

  std::string_view bytes() const { return this->secret; }
  bool empty() const { return this->secret.empty(); }

 private:
  std::string secret;
};

// Returns the 32 bytes of HMAC-SHA256 of `message` under `key`.
std::string HmacSha256(const SharedKey& key, std::string_view message);

// Compares in a time that depends only on the lengths.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns the value of the Authorization header:
// "Celerypost-HMAC-SHA256 <unix ms>:<hex>", where <hex> is the HMAC-SHA256 of
// method, path, time and body (section 10.5 of the design page). `path`
// includes the query.
std::string SignRequest(const SharedKey& key,
                        std::string_view method,
                        std::string_view path,
                        WallTime now,
                        std::string_view body);

struct RequestVerifierOptions {
  // Greatest difference between a request's time and the verifier's. It also
  // applies to times in the future, so that a client with a fast clock cannot
  // make signatures that stay valid for long.
  std::chrono::milliseconds window{30000};
  // Greatest number of signatures kept to detect replays. When it is reached,
  // changes are refused until older signatures leave the window.
  size_t max_remembered = 10000;
};

// Verifies the Authorization header of operators' requests. GET and HEAD may be
// repeated; for other methods each signature is accepted only once.
class RequestVerifier {
 public:
  explicit RequestVerifier(SharedKey key, RequestVerifierOptions options = {});

  // Fails with kUnauthenticated, or with kOverloaded when no more signatures
  // can be kept. Messages never contain the expected signature.
  Result<void> Verify(const HttpRequest& request, WallTime now);

 private:
  SharedKey key;
  RequestVerifierOptions options;
  // Accepted signatures by their request's time in Unix milliseconds.
  std::multimap<int64_t, std::string> seen_by_time;
  std::set<std::string, std::less<>> seen;
};

// Returns 32 cryptographically secure random bytes.
std::string MakeNonce();

}  // namespace celerypost

#endif  // SRC_PROCESS_REQUEST_SIGNATURE_H_
