#include "review/standins-2/http_message.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

constexpr size_t kReadBytes = 65536;
constexpr int kBacklog = 256;

sockaddr_in MakeAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Decode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(static_cast<char>(std::strtol(
          std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

}  // namespace

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : this->headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string Message::Method() const {
  return this->start.substr(0, this->start.find(' '));
}

std::string Message::Target() const {
  const size_t begin = this->start.find(' ') + 1;
  return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

int Message::Status() const {
  const size_t space = this->start.find(' ');
  return space == std::string::npos
             ? 0
             : static_cast<int>(
                   std::strtol(this->start.c_str() + space, nullptr, 10));
}

Connection::~Connection() {
  close(this->descriptor);
}

bool Connection::Fill() {
  char buffer[kReadBytes];
  const ssize_t count = recv(this->descriptor, buffer, sizeof(buffer), 0);
  if (count <= 0) {
    return false;
  }
  this->unread.append(buffer, static_cast<size_t>(count));
  return true;
}

bool Connection::Read(Message& message) {
  message = {};
  size_t end = 0;
  while ((end = this->unread.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill()) {
      return false;
    }
  }
  const std::string head = this->unread.substr(0, end + 2);
  this->unread.erase(0, end + 4);
  size_t at = head.find("\r\n");
  message.start = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const size_t line_end = head.find("\r\n", at);
    const size_t colon = head.find(':', at);
    if (colon == std::string::npos || colon > line_end) {
      return false;
    }
    std::string name = head.substr(at, colon - at);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const size_t value =
        std::min(head.find_first_not_of(' ', colon + 1), line_end);
    message.headers.emplace_back(name, head.substr(value, line_end - value));
    at = line_end + 2;
  }
  const auto take = [this, &message](size_t length) {
    while (this->unread.size() < length) {
      if (!this->Fill()) {
        return false;
      }
    }
    message.body.append(this->unread, 0, length);
    this->unread.erase(0, length);
    return true;
  };
  if (message.Header("transfer-encoding") != "chunked") {
    const std::string length = message.Header("content-length");
    return length.empty() || take(std::strtoul(length.c_str(), nullptr, 10));
  }
  while (true) {
    size_t line = 0;
    while ((line = this->unread.find("\r\n")) == std::string::npos) {
      if (!this->Fill()) {
        return false;
      }
    }
    const size_t length = std::strtoul(this->unread.c_str(), nullptr, 16);
    this->unread.erase(0, line + 2);
    if (!take(length + 2)) {
      return false;
    }
    message.body.resize(message.body.size() - 2);
    if (length == 0) {
      return true;
    }
  }
}

bool Connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t count =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

int Connect(const std::string& ip, uint16_t port, int timeout_ms) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in address = MakeAddress(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

int Serve(const std::string& ip,
          uint16_t port,
          std::function<void(Connection&)> handle) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        close(listener);
        return;
      }
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread([accepted, &handle] {
        Connection connection(accepted);
        handle(connection);
      }).detach();
    }
  }).detach();
  return listener;
}

void StopListening(int listener) {
  shutdown(listener, SHUT_RDWR);
}

std::string MakeResponse(int status,
                         const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ParseTarget(const std::string& target,
                        std::map<std::string, std::string>& parameters) {
  const size_t question = target.find('?');
  if (question == std::string::npos) {
    return target;
  }
  std::string_view rest = std::string_view(target).substr(question + 1);
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find('&'));
    const size_t equals = std::min(item.find('='), item.size());
    parameters[std::string(item.substr(0, equals))] =
        equals < item.size() ? Decode(item.substr(equals + 1)) : "";
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
  }
  return target.substr(0, question);
}

double NowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(double time) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
}

}  // namespace review
