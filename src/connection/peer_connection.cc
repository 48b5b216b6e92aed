#include "src/connection/peer_connection.h"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "messages_constants.h"

namespace celerypost {

namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kReadBufferBytes = 256u << 10;

// Distinct labels prevent the proof of one side from being replayed as the
// proof of the other.
constexpr std::string_view kConnectorLabel = "celerypost-connector:";
constexpr std::string_view kAcceptorLabel = "celerypost-acceptor:";

struct WriteRequest {
  uv_write_t request;
  std::string bytes;
};

// Returns the bytes that a proof signs: the label of the sender's side, the
// nonce of the other side, and every field of the Hello that describes its
// sender, so that none of them can be altered in transit.
std::string ProofMessage(std::string_view label,
                         std::string_view nonce,
                         const wire::Hello& hello) {
  std::string message(label);
  message.append(nonce);
  for (const std::string& field :
       {std::to_string(hello.role), std::to_string(hello.instance), hello.zone,
        hello.region, hello.service_name, hello.address, hello.http_address,
        std::to_string(hello.incarnation)}) {
    message.append("\n").append(field);
  }
  return message;
}

}  // namespace

// libuv frees a socket only after its close callback, so the socket outlives
// the connection. `owner` is cleared when the connection closes.
struct PeerConnection::Socket {
  uv_tcp_t handle;
  uv_connect_t connect;
  PeerConnection* owner;
  std::vector<char> read_buffer;
};

PeerConnection::PeerConnection(Loop& loop,
                               PeerIdentity self,
                               PeerKey& key,
                               bool connector,
                               PeerConnectionOptions options,
                               PeerConnectionHandlers handlers)
    : loop(loop),
      self(std::move(self)),
      key(key),
      connector(connector),
      options(options),
      handlers(std::move(handlers)),
      socket(new Socket),
      own_nonce(key.MakeNonce()),
      started(loop.Now()),
      last_received(started),
      last_sent(started),
      last_tick(started) {
  uv_tcp_init(loop.uv(), &this->socket->handle);
  this->socket->handle.data = this->socket;
  this->socket->connect.data = this->socket;
  this->socket->owner = this;
  this->timer = std::make_unique<Timer>(loop, [this] { this->OnTimer(); });
  this->timer->StartRepeating(options.ping_interval / 2);
}

PeerConnection::~PeerConnection() {
  this->CloseSocket();
}

std::shared_ptr<PeerConnection> PeerConnection::Connect(
    Loop& loop,
    const PeerIdentity& self,
    PeerKey& key,
    const SocketAddress& address,
    PeerConnectionOptions options,
    PeerConnectionHandlers handlers) {
  std::shared_ptr<PeerConnection> connection(
      new PeerConnection(loop, self, key, true, options, std::move(handlers)));
  sockaddr_in target{};
  int status = uv_ip4_addr(address.ip.c_str(), address.port, &target);
  if (status == 0) {
    status = uv_tcp_connect(
        &connection->socket->connect, &connection->socket->handle,
        reinterpret_cast<const sockaddr*>(&target),
        [](uv_connect_t* request, int result) {
          PeerConnection* owner = static_cast<Socket*>(request->data)->owner;
          if (owner == nullptr) {
            return;
          }
          const auto keep = owner->shared_from_this();
          if (result != 0) {
            owner->Fail(Verdict::kNotRun, ErrorCode::kUnavailable,
                        uv_strerror(result));
            return;
          }
          owner->StartHandshake();
        });
  }
  if (status != 0) {
    // Reported asynchronously, so that the caller holds the connection first.
    loop.Post([connection, status] {
      connection->Fail(Verdict::kNotRun, ErrorCode::kUnavailable,
                       uv_strerror(status));
    });
  }
  return connection;
}

std::shared_ptr<PeerConnection> PeerConnection::Accept(
    Loop& loop,
    const PeerIdentity& self,
    PeerKey& key,
    uv_stream_t* listener,
    PeerConnectionOptions options,
    PeerConnectionHandlers handlers) {
  std::shared_ptr<PeerConnection> connection(
      new PeerConnection(loop, self, key, false, options, std::move(handlers)));
  if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(
                              &connection->socket->handle)) != 0) {
    connection->Close();
    return connection;
  }
  connection->StartHandshake();
  return connection;
}

void PeerConnection::StartHandshake() {
  this->phase = Phase::kHandshake;
  uv_tcp_nodelay(&this->socket->handle, 1);
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&this->socket->handle),
      [](uv_handle_t* handle, size_t, uv_buf_t* buffer) {
        auto* socket = static_cast<Socket*>(handle->data);
        socket->read_buffer.resize(kReadBufferBytes);
        *buffer = uv_buf_init(socket->read_buffer.data(), kReadBufferBytes);
      },
      [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
        PeerConnection* owner = static_cast<Socket*>(stream->data)->owner;
        if (owner == nullptr || count == 0) {
          return;
        }
        const auto keep = owner->shared_from_this();
        if (count < 0) {
          owner->Fail(Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                      uv_strerror(static_cast<int>(count)));
          return;
        }
        owner->OnBytes(
            std::string_view(buffer->base, static_cast<size_t>(count)));
      });
  if (this->connector) {
    this->SendHello({});
  }
}

void PeerConnection::SendHello(std::string_view answered_nonce) {
  wire::Hello hello;
  hello.role = static_cast<int32_t>(this->self.role);
  hello.instance = static_cast<int64_t>(this->self.instance.value);
  hello.zone = this->self.zone.value();
  hello.region = this->self.region.value();
  hello.service_name = this->self.service.value();
  hello.address = this->self.address;
  hello.http_address = this->self.http_address;
  hello.incarnation = static_cast<int64_t>(this->self.incarnation);
  hello.nonce = this->own_nonce;
  if (!answered_nonce.empty()) {
    hello.proof = this->key.Sign(
        ProofMessage(this->connector ? kConnectorLabel : kAcceptorLabel,
                     answered_nonce, hello));
  }
  this->SendBytes(EncodeFrame(wire::Kind::HELLO, 0, 1, hello));
}

bool PeerConnection::SendFrame(std::string frame) {
  if (!this->open()) {
    return false;
  }
  this->SendBytes(std::move(frame));
  return true;
}

void PeerConnection::SendBytes(std::string bytes) {
  if (this->outgoing.empty()) {
    this->outgoing = std::move(bytes);
  } else {
    this->outgoing.append(bytes);
  }
  this->last_sent = this->loop.Now();
  if (this->queued_bytes() > this->options.max_queued_bytes) {
    this->loop.Post([weak = this->weak_from_this()] {
      if (const auto connection = weak.lock()) {
        connection->Fail(Verdict::kMayHaveRun, ErrorCode::kOverloaded,
                         "the peer reads too slowly");
      }
    });
    return;
  }
  if (!this->flush_scheduled) {
    this->flush_scheduled = true;
    this->loop.BeforeWait([weak = this->weak_from_this()] {
      if (const auto connection = weak.lock()) {
        connection->Flush();
      }
    });
  }
}

void PeerConnection::Flush() {
  this->flush_scheduled = false;
  if (this->closed() || this->outgoing.empty()) {
    return;
  }
  auto* write = new WriteRequest{{}, std::exchange(this->outgoing, {})};
  this->sent_count += write->bytes.size();
  write->request.data = write;
  uv_buf_t buffer = uv_buf_init(write->bytes.data(),
                                static_cast<unsigned>(write->bytes.size()));
  uv_write(&write->request,
           reinterpret_cast<uv_stream_t*>(&this->socket->handle), &buffer, 1,
           [](uv_write_t* request, int) {
             // A failed write is also reported by the read side.
             delete static_cast<WriteRequest*>(request->data);
           });
}

size_t PeerConnection::queued_bytes() const {
  const size_t in_write_queue =
      this->socket == nullptr
          ? 0
          : uv_stream_get_write_queue_size(
                reinterpret_cast<const uv_stream_t*>(&this->socket->handle));
  return this->outgoing.size() + in_write_queue;
}

void PeerConnection::OnBytes(std::string_view bytes) {
  this->last_received = this->loop.Now();
  this->received_count += bytes.size();
  const auto result = this->reader.Append(bytes, [this](Frame frame) {
    if (!this->closed()) {
      this->OnFrame(std::move(frame));
    }
  });
  if (!result && !this->closed()) {
    this->Fail(Verdict::kMayHaveRun, result.error().code,
               result.error().message);
  }
}

void PeerConnection::OnFrame(Frame frame) {
  if (this->phase == Phase::kHandshake) {
    this->OnHello(frame);
    return;
  }
  switch (frame.header.kind) {
    case wire::Kind::PING:
      this->Send(wire::Kind::PONG, 0, 1, wire::PullDocument());
      return;
    case wire::Kind::PONG:
      return;
    default:
      this->handlers.on_frame(*this, std::move(frame));
  }
}

void PeerConnection::OnHello(const Frame& frame) {
  auto hello = DecodeMessage<wire::Hello>(frame);
  if (frame.header.kind != wire::Kind::HELLO || !hello) {
    this->Fail(Verdict::kNotRun, ErrorCode::kUnauthenticated,
               "the first message is not a valid Hello");
    return;
  }
  const bool first_of_connector =
      !this->connector && this->remote_nonce.empty();
  if (first_of_connector) {
    this->remote_nonce = hello->nonce;
    this->SendHello(hello->nonce);
    return;
  }
  const std::string_view label =
      this->connector ? kAcceptorLabel : kConnectorLabel;
  if (!this->key.Verify(ProofMessage(label, this->own_nonce, *hello),
                        hello->proof)) {
    this->Fail(Verdict::kNotRun, ErrorCode::kUnauthenticated,
               "Hello.proof does not match the shared key");
    return;
  }
  if (this->connector) {
    this->SendHello(hello->nonce);
  }
  this->remote.role = hello->role == static_cast<int32_t>(Role::kAgent)
                          ? Role::kAgent
                          : Role::kEntry;
  this->remote.instance = InstanceId{static_cast<uint64_t>(hello->instance)};
  this->remote.zone = ZoneName(hello->zone);
  this->remote.region = RegionName(hello->region);
  this->remote.service = ServiceName(hello->service_name);
  this->remote.address = hello->address;
  this->remote.http_address = hello->http_address;
  this->remote.incarnation = static_cast<uint64_t>(hello->incarnation);
  this->phase = Phase::kOpen;
  if (this->handlers.on_open) {
    this->handlers.on_open(*this);
  }
}

void PeerConnection::OnTimer() {
  const TimePoint now = this->loop.Now();
  const auto keep = this->shared_from_this();
  if (now - this->last_tick > this->options.ping_interval * 2) {
    // This process itself was paused. What the peer sent meanwhile is still
    // unread, so the time since the last read does not show that it is silent.
    this->last_received = now;
  }
  this->last_tick = now;
  if (!this->open()) {
    if (now - this->started > this->options.handshake_timeout) {
      this->Fail(Verdict::kNotRun, ErrorCode::kUnavailable,
                 "the peer did not complete the handshake in time");
    }
    return;
  }
  if (now - this->last_received > this->options.receive_timeout) {
    this->Fail(Verdict::kMayHaveRun, ErrorCode::kUnavailable,
               "the peer is silent");
    return;
  }
  // A ping is also due when only this side sends, since the receive timeout
  // depends on the answers of the peer.
  if (now - this->last_sent >= this->options.ping_interval ||
      now - this->last_received >= this->options.ping_interval) {
    this->Send(wire::Kind::PING, 0, 1, wire::PullDocument());
  }
}

void PeerConnection::Fail(Verdict verdict,
                          ErrorCode code,
                          std::string message) {
  if (this->closed()) {
    return;
  }
  const auto keep = this->shared_from_this();
  this->CloseSocket();
  if (this->handlers.on_closed) {
    this->handlers.on_closed(*this, Failure{verdict, code, std::move(message)});
  }
}

void PeerConnection::Close() {
  if (!this->closed()) {
    // Sends the queued bytes as far as the socket accepts them now; closing it
    // drops the rest.
    this->Flush();
    this->CloseSocket();
  }
}

void PeerConnection::CloseSocket() {
  this->phase = Phase::kClosed;
  this->timer.reset();
  if (this->socket == nullptr) {
    return;
  }
  Socket* closing = std::exchange(this->socket, nullptr);
  closing->owner = nullptr;
  uv_close(
      reinterpret_cast<uv_handle_t*>(&closing->handle),
      [](uv_handle_t* handle) { delete static_cast<Socket*>(handle->data); });
}

struct PeerListener::State {
  uv_tcp_t handle;
  Loop* loop;
  PeerIdentity self;
  PeerKey* key;
  PeerConnectionOptions options;
  PeerConnectionHandlers handlers;
  OnConnection on_connection;
};

Result<std::unique_ptr<PeerListener>> PeerListener::Make(
    Loop& loop,
    const PeerIdentity& self,
    PeerKey& key,
    const SocketAddress& address,
    PeerConnectionOptions options,
    PeerConnectionHandlers handlers,
    OnConnection on_connection) {
  std::unique_ptr<PeerListener> listener(new PeerListener);
  listener->state = new State{{},
                              &loop,
                              self,
                              &key,
                              options,
                              std::move(handlers),
                              std::move(on_connection)};
  State* state = listener->state;
  uv_tcp_init(loop.uv(), &state->handle);
  state->handle.data = state;
  sockaddr_in bind_address{};
  int status = uv_ip4_addr(address.ip.c_str(), address.port, &bind_address);
  if (status == 0) {
    status = uv_tcp_bind(&state->handle,
                         reinterpret_cast<const sockaddr*>(&bind_address), 0);
  }
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&state->handle),
                       kListenBacklog, [](uv_stream_t* stream, int result) {
                         if (result != 0) {
                           return;
                         }
                         auto* listening = static_cast<State*>(stream->data);
                         listening->on_connection(PeerConnection::Accept(
                             *listening->loop, listening->self, *listening->key,
                             stream, listening->options, listening->handlers));
                       });
  }
  if (status != 0) {
    return NotRun(
        ErrorCode::kUnavailable,
        "cannot listen on " + address.ToString() + ": " + uv_strerror(status));
  }
  int length = sizeof(bind_address);
  uv_tcp_getsockname(&state->handle, reinterpret_cast<sockaddr*>(&bind_address),
                     &length);
  listener->bound_port = ntohs(bind_address.sin_port);
  return listener;
}

PeerListener::~PeerListener() {
  uv_close(
      reinterpret_cast<uv_handle_t*>(&this->state->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

}  // namespace celerypost
