#ifndef TESTS_STANDINS_LINK_CONNECTION_H_
#define TESTS_STANDINS_LINK_CONNECTION_H_

#include <uv.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "src/connection/frame_codec.h"
#include "src/connection/http_client.h"
#include "src/connection/loop.h"

namespace celerypost::standins {

// The link between two regions, shared by all its connections.
struct LinkState {
  std::chrono::microseconds latency{0};
  // Rate in each direction; 0: no limit.
  double mbit = 0;
  // Existing and new connections are closed.
  bool cut = false;
  // Bytes are held back until the stall ends.
  bool stalled = false;
  // Time until which each direction is busy with earlier bytes.
  std::array<TimePoint, 2> busy_until{};
  std::array<uint64_t, 2> bytes{};
};

// A link from the point of view of one connection. Direction 0 of the state is
// from the region whose name sorts first; `reversed` is true if the connecting
// side is in the other region.
struct LinkEnd {
  LinkState* state = nullptr;
  bool reversed = false;
};

// Forwards one TCP connection over a link. Owns itself: closes when either side
// closes, calls `on_end` once, and is deleted when both sockets are closed.
class LinkConnection {
 public:
  // Finds the link of a connection whose first frame named `region`.
  using FindLink = std::function<LinkEnd(const std::string& region)>;

  // Accepts the next connection of `listener`. If `link` has no state, the
  // region in the Hello that the connecting side sends first selects the link.
  // Returns null when the link is cut or the target's address
  // is unusable.
  static LinkConnection* Accept(Loop& loop,
                                uv_stream_t* listener,
                                const SocketAddress& target,
                                LinkEnd link,
                                FindLink find_link,
                                std::function<void(LinkConnection*)> on_end);

  LinkState* link() const { return this->end.state; }
  // Closes both sides.
  void Close();
  // Sends the bytes that were held back during a stall.
  void Resume() { this->Flush(); }

 private:
  struct DelayedBytes {
    TimePoint due;
    std::string bytes;
  };
  // Direction 0 is from the connecting side to the target.
  struct Side {
    uv_tcp_t socket{};
    LinkConnection* owner = nullptr;
    int direction = 0;
    std::deque<DelayedBytes> pending;
  };

  LinkConnection(Loop& loop,
                 LinkEnd link,
                 FindLink find_link,
                 std::function<void(LinkConnection*)> on_end);

  static void OnRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer);
  void Identify(const std::string& bytes);
  void Enqueue(int direction, std::string bytes);
  void Flush();
  void Send(int direction, const std::string& bytes);

  Loop& loop;
  LinkEnd end;
  FindLink find_link;
  std::function<void(LinkConnection*)> on_end;
  std::array<Side, 2> sides;
  FrameReader reader;
  std::string unidentified;
  std::unique_ptr<Timer> timer;
  bool connected = false;
  bool closing = false;
  int open_handles = 2;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_LINK_CONNECTION_H_
