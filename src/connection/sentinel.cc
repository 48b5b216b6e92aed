#include "src/connection/sentinel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace celerypost {

// libuv uses a socket until its close callback, so it outlives the Sentinel.
// `owner` is cleared when the Sentinel closes the socket.
struct Sentinel::Socket {
  uv_tcp_t handle;
  uv_connect_t connect;
  Sentinel* owner;
  char discarded[256];
};

Sentinel::Sentinel(Loop& loop,
                   SocketAddress target,
                   SentinelOptions options,
                   std::function<void()> on_opened,
                   std::function<void()> on_closed)
    : loop(loop),
      target(std::move(target)),
      options(std::move(options)),
      on_opened(std::move(on_opened)),
      on_closed(std::move(on_closed)),
      reconnect(std::make_unique<Timer>(loop, [this] { this->Connect(); })) {
  this->keep_alive =
      std::make_unique<Timer>(loop, [this] { this->KeepAlive(); });
  this->keep_alive->StartRepeating(this->options.keep_alive_period);
  this->Connect();
}

Sentinel::~Sentinel() {
  this->opened = false;
  this->HandleClosed();
}

void Sentinel::Connect() {
  auto* next = new Socket;
  this->socket = next;
  next->owner = this;
  uv_tcp_init(this->loop.uv(), &next->handle);
  next->handle.data = next;
  next->connect.data = next;
  sockaddr_in address{};
  uv_ip4_addr(this->target.ip.c_str(), this->target.port, &address);
  const int status = uv_tcp_connect(
      &next->connect, &next->handle,
      reinterpret_cast<const sockaddr*>(&address),
      [](uv_connect_t* request, int result) {
        auto* socket = static_cast<Socket*>(request->data);
        Sentinel* owner = socket->owner;
        if (owner == nullptr) {
          return;
        }
        if (result != 0) {
          owner->HandleClosed();
          return;
        }
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&socket->handle),
            [](uv_handle_t* handle, size_t, uv_buf_t* buffer) {
              auto* reading = static_cast<Socket*>(handle->data);
              *buffer =
                  uv_buf_init(reading->discarded, sizeof(reading->discarded));
            },
            [](uv_stream_t* stream, ssize_t count, const uv_buf_t*) {
              Sentinel* reader = static_cast<Socket*>(stream->data)->owner;
              if (reader != nullptr && count < 0) {
                reader->HandleClosed();
              }
            });
        owner->opened = true;
        owner->on_opened();
      });
  if (status != 0) {
    this->HandleClosed();
  }
}

void Sentinel::KeepAlive() {
  if (!this->opened) {
    return;
  }
  std::string request = "GET " + this->options.keep_alive_path +
                        " HTTP/1.1\r\nhost: " + this->target.ToString() +
                        "\r\n\r\n";
  uv_buf_t buffer =
      uv_buf_init(request.data(), static_cast<unsigned>(request.size()));
  // A failure is ignored. The usual one is a full send buffer, when the target
  // is not reading; the next request may succeed.
  uv_try_write(reinterpret_cast<uv_stream_t*>(&this->socket->handle), &buffer,
               1);
}

bool Sentinel::Check() {
  if (!this->opened) {
    return false;
  }
  uv_os_fd_t descriptor;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&this->socket->handle),
                &descriptor) == 0) {
    // Unlike a read, the state shows the end of the connection even while
    // bytes that came before it are unread.
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
        info.tcpi_state == TCP_ESTABLISHED) {
      return true;
    }
  }
  this->HandleClosed();
  return false;
}

void Sentinel::HandleClosed() {
  if (this->socket == nullptr) {
    return;
  }
  Socket* closing = std::exchange(this->socket, nullptr);
  closing->owner = nullptr;
  uv_close(
      reinterpret_cast<uv_handle_t*>(&closing->handle),
      [](uv_handle_t* handle) { delete static_cast<Socket*>(handle->data); });
  this->reconnect->StartOnce(this->options.reconnect_delay);
  if (std::exchange(this->opened, false)) {
    this->on_closed();
  }
}

}  // namespace celerypost
