#ifndef SRC_CONNECTION_RECEIPT_WATCH_H_
#define SRC_CONNECTION_RECEIPT_WATCH_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

#include "src/connection/loop.h"

namespace celerypost {

// Returns whether the connection of a socket was reset. Unlike the error of a
// read or a write, which is reported once and to either, the state stays.
bool WasReset(int descriptor);

// Returns whether a response that begins now may have been sent before its
// server had read the whole request, whose body of `body_bytes` was written to
// the socket: a part of it is not acknowledged, or the response came so soon
// after the end of a long body that this may still lie in the buffers of the
// server's system.
bool MayPrecedeReceipt(int descriptor, size_t body_bytes);

// Says why a response failed whose server did not take the whole request.
inline constexpr char kNotReceived[] =
    "the server ended its response without taking the whole request";

struct ReceiptWatchOptions {
  // Time between two checks of the connection.
  std::chrono::milliseconds poll_interval{10};
  // How long the connection must stay without a reset after the last byte was
  // acknowledged. Bytes that the peer's system acknowledges and its process
  // never reads are seen only when the process closes the connection.
  std::chrono::milliseconds settle_time{500};
};

// Finds out whether the peer of a connection, which has ended its own side,
// takes all that was written to it. A peer that closes the connection with
// bytes unread resets it, which may be long after its end was read.
class ReceiptWatch {
 public:
  // `descriptor` stays open while the watch lives, and nothing more is written
  // to it. `done` is called once, never from inside this constructor, and may
  // destroy the watch; its argument is false after a reset, or if bytes are not
  // acknowledged at `deadline`. The settle time is at most half of what is left
  // until then.
  ReceiptWatch(Loop& loop,
               int descriptor,
               ReceiptWatchOptions options,
               TimePoint deadline,
               std::function<void(bool received)> done);
  ReceiptWatch(const ReceiptWatch&) = delete;
  ReceiptWatch& operator=(const ReceiptWatch&) = delete;

 private:
  void Check();
  void End(bool received);

  Loop& loop;
  const int descriptor;
  const ReceiptWatchOptions options;
  const TimePoint deadline;
  std::function<void(bool)> done;
  // Set once all bytes are acknowledged.
  std::optional<TimePoint> settles_at;
  Timer timer;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_RECEIPT_WATCH_H_
