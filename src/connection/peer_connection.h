#ifndef SRC_CONNECTION_PEER_CONNECTION_H_
#define SRC_CONNECTION_PEER_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/connection/frame_codec.h"
#include "src/connection/http_client.h"
#include "src/connection/loop.h"

namespace celerypost {

// Identity that a process announces in the handshake of a connection.
struct PeerIdentity {
  Role role = Role::kEntry;
  InstanceId instance;
  ZoneName zone;
  RegionName region;
  ServiceName service;
  // Address on which this process accepts peers, as "IPv4:port".
  std::string address;
  // Address on which this process accepts HTTP requests, as "IPv4:port".
  std::string http_address;
  // Incarnation of the process's first member record.
  uint64_t incarnation = 0;
};

// Signs and verifies handshake messages with the key that all processes of one
// system share.
class PeerKey {
 public:
  virtual ~PeerKey() = default;
  // Returns the HMAC-SHA256 of `message` under the shared key, 32 bytes.
  virtual std::string Sign(std::string_view message) const = 0;
  // Returns whether `proof` is the signature of `message`; compares in constant
  // time.
  virtual bool Verify(std::string_view message,
                      std::string_view proof) const = 0;
  // Returns 16 random bytes.
  virtual std::string MakeNonce() = 0;
};

struct PeerConnectionOptions {
  std::chrono::milliseconds ping_interval{500};
  // A connection on which nothing is received for this long is closed.
  std::chrono::milliseconds receive_timeout{1500};
  std::chrono::milliseconds handshake_timeout{1500};
  // A connection with more unsent bytes than this is closed.
  size_t max_queued_bytes = 64u << 20;
};

class PeerConnection;

// Called on the loop. `on_closed` is called once and last, and not at all
// after Close().
struct PeerConnectionHandlers {
  std::function<void(PeerConnection&)> on_open;
  std::function<void(PeerConnection&, Frame)> on_frame;
  std::function<void(PeerConnection&, const Failure&)> on_closed;
};

// One TCP connection between two celerypost processes. Both sides prove that
// they know the shared key before any other frame is accepted. Sends pings
// while idle and closes when nothing is received, so that a hung process is
// detected.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  // Connects to `address`. A failure to connect is reported through on_closed
  // with verdict kNotRun.
  static std::shared_ptr<PeerConnection> Connect(
      Loop& loop,
      const PeerIdentity& self,
      PeerKey& key,
      const SocketAddress& address,
      PeerConnectionOptions options,
      PeerConnectionHandlers handlers);

  // Accepts the pending connection of `listener`.
  static std::shared_ptr<PeerConnection> Accept(
      Loop& loop,
      const PeerIdentity& self,
      PeerKey& key,
      uv_stream_t* listener,
      PeerConnectionOptions options,
      PeerConnectionHandlers handlers);

  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Queues a message. Messages sent before the connection is open, or after it
  // is closed, are dropped and false is returned.
  template <typename Message>
  bool Send(wire::Kind::type kind,
            int64_t request,
            int32_t attempt,
            const Message& message) {
    return this->SendFrame(EncodeFrame(kind, request, attempt, message));
  }

  // Like Send, for a frame that EncodeFrame returned.
  bool SendFrame(std::string frame);

  // Bytes queued before are still sent as far as the socket accepts them
  // without blocking.
  void Close();

  bool open() const { return this->phase == Phase::kOpen; }
  bool closed() const { return this->phase == Phase::kClosed; }
  // Valid once open.
  const PeerIdentity& peer() const { return this->remote; }
  size_t queued_bytes() const;
  uint64_t bytes_sent() const { return this->sent_count; }
  uint64_t bytes_received() const { return this->received_count; }

 private:
  enum class Phase { kConnecting, kHandshake, kOpen, kClosed };
  struct Socket;

  PeerConnection(Loop& loop,
                 PeerIdentity self,
                 PeerKey& key,
                 bool connector,
                 PeerConnectionOptions options,
                 PeerConnectionHandlers handlers);

  void StartHandshake();
  // `answered_nonce` is the other side's nonce, or empty in the first Hello.
  void SendHello(std::string_view answered_nonce);
  void SendBytes(std::string bytes);
  void Flush();
  void OnBytes(std::string_view bytes);
  void OnFrame(Frame frame);
  void OnHello(const Frame& frame);
  void OnTimer();
  void Fail(Verdict verdict, ErrorCode code, std::string message);
  void CloseSocket();

  Loop& loop;
  PeerIdentity self;
  PeerKey& key;
  const bool connector;
  PeerConnectionOptions options;
  PeerConnectionHandlers handlers;
  Phase phase = Phase::kConnecting;
  Socket* socket;
  FrameReader reader;
  PeerIdentity remote;
  std::string own_nonce;
  std::string remote_nonce;
  std::string outgoing;
  bool flush_scheduled = false;
  TimePoint started;
  TimePoint last_received;
  TimePoint last_sent;
  TimePoint last_tick;
  uint64_t sent_count = 0;
  uint64_t received_count = 0;
  std::unique_ptr<Timer> timer;
};

// Accepts connections of other celerypost processes.
class PeerListener {
 public:
  // Called with each new connection before its handshake completes. The
  // connection is closed unless the callee keeps the pointer.
  using OnConnection = std::function<void(std::shared_ptr<PeerConnection>)>;

  // Fails with kUnavailable when it cannot listen on `address`. `handlers` are
  // those of every accepted connection.
  static Result<std::unique_ptr<PeerListener>> Make(
      Loop& loop,
      const PeerIdentity& self,
      PeerKey& key,
      const SocketAddress& address,
      PeerConnectionOptions options,
      PeerConnectionHandlers handlers,
      OnConnection on_connection);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  uint16_t port() const { return this->bound_port; }

 private:
  struct State;
  PeerListener() = default;

  State* state = nullptr;
  uint16_t bound_port = 0;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_PEER_CONNECTION_H_
