#ifndef SRC_REQUEST_REQUEST_FINGERPRINT_H_
#define SRC_REQUEST_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace celerypost {

// What a caller asks for. Repeats of a request have all of it in common.
struct RequestIdentity {
  std::string_view method;
  // Host names have no case.
  std::string_view host;
  // Path and query.
  std::string_view path;
  std::string_view api_key;
  std::string_view body;
};

// Hash of a RequestIdentity, the same in every process.
using RequestFingerprint = uint64_t;

// Returns the leading 64 bits of a SHA-256 digest. A caller cannot choose a
// request that has the fingerprint of another caller's, since it doesn't know
// the key.
RequestFingerprint FingerprintOf(const RequestIdentity& identity);

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_FINGERPRINT_H_
