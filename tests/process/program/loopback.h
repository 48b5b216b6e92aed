#ifndef TESTS_PROCESS_PROGRAM_LOOPBACK_H_
#define TESTS_PROCESS_PROGRAM_LOOPBACK_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {

inline sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(port);
  return address;
}

inline uint16_t FreePort(const std::string& ip) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), length));
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  close(listener);
  return ntohs(address.sin_port);
}

// Returns a connected socket, or -1.
inline int ConnectTo(const std::string& ip, uint16_t port) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

// Returns the statuses of all final responses in `received`.
inline std::vector<int> StatusesIn(const std::string& received) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  std::vector<int> statuses;
  for (size_t at = received.find(kVersion); at != std::string::npos;
       at = received.find(kVersion, at + 1)) {
    const int status = std::atoi(received.c_str() + at + kVersion.size());
    if (status >= 200) {
      statuses.push_back(status);
    }
  }
  return statuses;
}

// Sends one request and returns the status of its response; 0 for none.
inline int StatusOf(const std::string& ip,
                    uint16_t port,
                    const std::string& request) {
  const int connection = ConnectTo(ip, port);
  if (connection < 0) {
    return 0;
  }
  const timeval limit{5, 0};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  std::string received;
  if (send(connection, request.data(), request.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(request.size())) {
    char bytes[4096];
    ssize_t count = 0;
    while (StatusesIn(received).empty() &&
           (count = recv(connection, bytes, sizeof(bytes), 0)) > 0) {
      received.append(bytes, static_cast<size_t>(count));
    }
  }
  close(connection);
  const auto statuses = StatusesIn(received);
  return statuses.empty() ? 0 : statuses.front();
}

inline std::string PostHead(const std::string& path,
                            const std::string& id,
                            const std::string& more_headers) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
         "\r\n" + more_headers + "\r\n";
}

inline std::string LengthHeader(size_t length) {
  return "Content-Length: " + std::to_string(length) + "\r\n";
}

}  // namespace celerypost

#endif  // TESTS_PROCESS_PROGRAM_LOOPBACK_H_
