#ifndef SRC_CONNECTION_HTTP1_LIMITS_H_
#define SRC_CONNECTION_HTTP1_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace celerypost {

// Limits on what a caller may send and how long it may take.
struct Http1Limits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = 4u << 20;
  // Longest time from the first byte of a request to the end of its headers.
  std::chrono::milliseconds header_timeout{3000};
  // Longest time that a connection stays open between two requests, while its
  // caller takes no bytes of a complete answer, or while no bytes of a body
  // arrive.
  std::chrono::milliseconds idle_timeout{15000};
};

// Returns the most headers of one request. A header takes at least four bytes
// on the wire ("a:", CR, LF), so that no request within `max_header_bytes` has
// more; an empty one takes 64 bytes of memory.
constexpr size_t MaxHeaders(const Http1Limits& limits) {
  return limits.max_header_bytes / 4;
}

// Limits of a listener whose requests have no bodies to speak of.
inline constexpr Http1Limits kShortBodyLimits{.max_body_bytes = 64u << 10};

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP1_LIMITS_H_
