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

// The key that operators and peers share. A type of its own without conversion
// to text, so that it cannot be passed to a log or an error message by
// accident.
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

// Compares in a time that depends on the lengths only.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns the value of the Authorization header (section 10.5 of the design
// page): "Celerypost-HMAC-SHA256 <unix ms>:<hex>". `path` includes the query.
std::string SignRequest(const SharedKey& key,
                        std::string_view method,
                        std::string_view path,
                        WallTime now,
                        std::string_view body);

struct RequestVerifierOptions {
  // A request whose time differs by more from the verifier's is refused. The
  // bound also applies to times in the future, so that a client with a fast
  // clock cannot make signatures that stay valid for long.
  std::chrono::milliseconds window{30000};
  // Signatures remembered within the window to refuse replays. Further requests
  // are refused until older signatures leave the window.
  size_t max_remembered = 10000;
};

// Checks the Authorization header of operators' requests. A signature of a
// request that changes state is accepted once; GET and HEAD may be repeated.
class RequestVerifier {
 public:
  explicit RequestVerifier(SharedKey key, RequestVerifierOptions options = {});

  // Fails with kUnauthenticated, or with kOverloaded when no more signatures
  // can be remembered. Messages never contain the expected signature.
  Result<void> Verify(const HttpRequest& request, WallTime now);

 private:
  SharedKey key;
  RequestVerifierOptions options;
  // Signatures seen, by the time in the request.
  std::multimap<int64_t, std::string> seen_by_time;
  std::set<std::string, std::less<>> seen;
};

// Returns 32 random bytes of the operating system's generator.
std::string MakeNonce();

}  // namespace celerypost

#endif  // SRC_PROCESS_REQUEST_SIGNATURE_H_
