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
  // Longest time that a connection stays open between two requests, or while
  // its caller takes no bytes of a complete answer.
  std::chrono::milliseconds idle_timeout{15000};
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP1_LIMITS_H_
