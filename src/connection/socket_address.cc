#include "src/connection/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace celerypost {

std::string SocketAddress::ToString() const {
  return this->ip + ":" + std::to_string(this->port);
}

Result<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  SocketAddress address;
  if (colon != std::string_view::npos) {
    address.ip = std::string(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(
        digits.data(), digits.data() + digits.size(), address.port);
    in_addr ignored;
    if (parsed.ec == std::errc() &&
        parsed.ptr == digits.data() + digits.size() && !digits.empty() &&
        inet_pton(AF_INET, address.ip.c_str(), &ignored) == 1) {
      return address;
    }
  }
  return NotRun(ErrorCode::kInvalidArgument,
                "'" + std::string(text) +
                    "' is not an address; expected IPv4:port, port 0..65535");
}

}  // namespace celerypost
