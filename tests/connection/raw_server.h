#ifndef TESTS_CONNECTION_RAW_SERVER_H_
#define TESTS_CONNECTION_RAW_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/connection/socket_address.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {

// A server that accepts connections one after the other, reads a request on
// each and runs a script on the socket.
class RawServer {
 public:
  explicit RawServer(std::function<void(int descriptor)> script)
      : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0, bind(this->listener, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)));
    CHECK_EQUAL(0, listen(this->listener, 16));
    socklen_t length = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this, script = std::move(script)] {
      for (;;) {
        const int accepted = accept(this->listener, nullptr, nullptr);
        if (accepted < 0) {
          return;
        }
        char request[4096];
        if (read(accepted, request, sizeof(request)) > 0) {
          script(accepted);
        }
        close(accepted);
      }
    });
  }
  ~RawServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }
  SocketAddress address() const { return {"127.0.0.1", this->port}; }

 private:
  int listener;
  uint16_t port = 0;
  std::thread thread;
};

inline void Send(int descriptor, const std::string& bytes) {
  CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
              write(descriptor, bytes.data(), bytes.size()));
}

// Makes close() reset the connection.
inline void ResetOnClose(int descriptor) {
  const linger reset{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

// Reads up to `most` bytes, or until the client ends its side.
inline size_t Discard(int descriptor, size_t most) {
  std::vector<char> bytes(65536);
  size_t total = 0;
  ssize_t count = 1;
  while (total < most && count > 0) {
    count =
        read(descriptor, bytes.data(), std::min(bytes.size(), most - total));
    total += static_cast<size_t>(std::max<ssize_t>(count, 0));
  }
  return total;
}

}  // namespace celerypost

#endif  // TESTS_CONNECTION_RAW_SERVER_H_
