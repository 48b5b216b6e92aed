#ifndef SRC_CONNECTION_SOCKET_ADDRESS_H_
#define SRC_CONNECTION_SOCKET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"

namespace celerypost {

// An IPv4 address and port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  // clang-tidy takes the literal 0 in the generated comparison for a null
  // pointer.
  auto operator<=>(const SocketAddress&) const =
      default;  // NOLINT(modernize-use-nullptr)
  std::string ToString() const;
  // Parses "127.0.0.1:8080"; fails with kInvalidArgument.
  static Result<SocketAddress> Parse(std::string_view text);
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_SOCKET_ADDRESS_H_
