#include "src/connection/socket_address.h"

#include <arpa/inet.h>

#include "src/version/checked_number.h"

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
    const auto port = ParsePort(digits);
    in_addr ignored;
    if (port && inet_pton(AF_INET, address.ip.c_str(), &ignored) == 1) {
      address.port = *port;
      return address;
    }
  }
  return NotRun(ErrorCode::kInvalidArgument,
                "'" + std::string(text) +
                    "' is not an address; expected IPv4:port, port 1..65535");
}

}  // namespace celerypost
