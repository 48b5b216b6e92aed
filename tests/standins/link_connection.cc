#include "tests/standins/link_connection.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace celerypost::standins {

namespace {

struct WriteRequest {
  uv_write_t request{};
  std::string bytes;
};

void Allocate(uv_handle_t*, size_t size, uv_buf_t* buffer) {
  static auto* memory = new std::vector<char>(64 << 10);
  *buffer = uv_buf_init(memory->data(),
                        static_cast<unsigned>(std::min(size, memory->size())));
}

}  // namespace

LinkConnection::LinkConnection(Loop& loop,
                               LinkEnd link,
                               FindLink find_link,
                               std::function<void(LinkConnection*)> on_end)
    : loop(loop),
      end(link),
      find_link(std::move(find_link)),
      on_end(std::move(on_end)),
      timer(std::make_unique<Timer>(loop, [this] { this->Flush(); })) {
  for (int direction = 0; direction < 2; ++direction) {
    Side& side = this->sides[direction];
    side.owner = this;
    side.direction = direction;
    uv_tcp_init(loop.uv(), &side.socket);
    side.socket.data = &side;
  }
}

LinkConnection* LinkConnection::Accept(
    Loop& loop,
    uv_stream_t* listener,
    const SocketAddress& target,
    LinkEnd link,
    FindLink find_link,
    std::function<void(LinkConnection*)> on_end) {
  // Deleted when both sockets are closed.
  auto* self =
      new LinkConnection(loop, link, std::move(find_link), std::move(on_end));
  auto* front = reinterpret_cast<uv_stream_t*>(&self->sides[0].socket);
  if (uv_accept(listener, front) != 0 ||
      (link.state != nullptr && link.state->cut)) {
    self->Close();
    return nullptr;
  }
  sockaddr_in address{};
  uv_ip4_addr(target.ip.c_str(), target.port, &address);
  auto* request = new uv_connect_t;
  request->data = self;
  const int status = uv_tcp_connect(
      request, &self->sides[1].socket,
      reinterpret_cast<const sockaddr*>(&address),
      [](uv_connect_t* connect, int result) {
        auto* owner = static_cast<LinkConnection*>(connect->data);
        delete connect;
        if (owner->closing) {
          return;
        }
        if (result != 0) {
          owner->Close();
          return;
        }
        owner->connected = true;
        for (Side& side : owner->sides) {
          uv_tcp_nodelay(&side.socket, 1);
          uv_read_start(reinterpret_cast<uv_stream_t*>(&side.socket), Allocate,
                        OnRead);
        }
      });
  if (status != 0) {
    delete request;
    self->Close();
    return nullptr;
  }
  return self;
}

void LinkConnection::OnRead(uv_stream_t* stream,
                            ssize_t size,
                            const uv_buf_t* buffer) {
  auto* side = static_cast<Side*>(stream->data);
  LinkConnection* self = side->owner;
  if (size < 0) {
    self->Close();
    return;
  }
  std::string bytes(buffer->base, static_cast<size_t>(size));
  if (self->end.state == nullptr && side->direction == 0) {
    self->Identify(bytes);
    self->unidentified += bytes;
    if (self->end.state == nullptr || self->closing) {
      return;
    }
    bytes = std::exchange(self->unidentified, "");
  }
  self->Enqueue(side->direction, std::move(bytes));
}

void LinkConnection::Identify(const std::string& bytes) {
  std::string region;
  const auto read = this->reader.Append(bytes, [&region](const Frame& frame) {
    if (const auto hello = DecodeMessage<wire::Hello>(frame)) {
      region = hello->region;
    }
  });
  if (!read || !region.empty()) {
    this->end = this->find_link(region);
    if (this->end.state->cut) {
      this->Close();
    }
  }
}

void LinkConnection::Enqueue(int direction, std::string bytes) {
  TimePoint due = this->loop.Now();
  if (this->end.state != nullptr) {
    const int link_direction = this->end.reversed ? 1 - direction : direction;
    TimePoint& busy_until = this->end.state->busy_until[link_direction];
    busy_until = std::max(busy_until, due);
    if (this->end.state->mbit > 0) {
      busy_until += std::chrono::nanoseconds(static_cast<int64_t>(
          static_cast<double>(bytes.size()) * 8000 / this->end.state->mbit));
    }
    due = busy_until + this->end.state->latency;
    this->end.state->bytes[link_direction] += bytes.size();
  }
  this->sides[direction].pending.push_back({due, std::move(bytes)});
  this->Flush();
}

void LinkConnection::Flush() {
  if (this->closing ||
      (this->end.state != nullptr && this->end.state->stalled)) {
    return;
  }
  const TimePoint now = this->loop.Now();
  TimePoint next = TimePoint::max();
  for (Side& side : this->sides) {
    while (!side.pending.empty() && side.pending.front().due <= now) {
      this->Send(side.direction, side.pending.front().bytes);
      side.pending.pop_front();
    }
    if (!side.pending.empty()) {
      next = std::min(next, side.pending.front().due);
    }
  }
  if (next != TimePoint::max()) {
    this->timer->StartOnce(
        std::chrono::ceil<std::chrono::milliseconds>(next - now));
  }
}

void LinkConnection::Send(int direction, const std::string& bytes) {
  auto* write = new WriteRequest;
  write->bytes = bytes;
  write->request.data = write;
  const uv_buf_t buffer = uv_buf_init(
      write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
  uv_write(&write->request,
           reinterpret_cast<uv_stream_t*>(&this->sides[1 - direction].socket),
           &buffer, 1, [](uv_write_t* request, int) {
             delete static_cast<WriteRequest*>(request->data);
           });
}

void LinkConnection::Close() {
  if (this->closing) {
    return;
  }
  this->closing = true;
  this->timer.reset();
  this->on_end(this);
  for (Side& side : this->sides) {
    uv_close(reinterpret_cast<uv_handle_t*>(&side.socket),
             [](uv_handle_t* handle) {
               LinkConnection* owner = static_cast<Side*>(handle->data)->owner;
               if (--owner->open_handles == 0) {
                 delete owner;
               }
             });
  }
}

}  // namespace celerypost::standins
