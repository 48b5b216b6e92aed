#ifndef SRC_CONNECTION_SENTINEL_H_
#define SRC_CONNECTION_SENTINEL_H_

#include <chrono>
#include <functional>
#include <memory>

#include "src/connection/http_client.h"
#include "src/connection/loop.h"

namespace celerypost {

// Keeps one idle TCP connection to a target open, to learn of the end of the
// target's process. The kernel closes the connection of a process that ended
// before another process can listen on the same port, so a peek at the
// connection right before a dispatch sees a restart that the loop has not
// handled yet.
class Sentinel {
 public:
  // `on_opened` and `on_closed` are called on the loop, alternately.
  Sentinel(Loop& loop,
           SocketAddress target,
           std::chrono::milliseconds reconnect_delay,
           std::function<void()> on_opened,
           std::function<void()> on_closed);
  ~Sentinel();
  Sentinel(const Sentinel&) = delete;
  Sentinel& operator=(const Sentinel&) = delete;

  // Returns true while the target's process is the one that on_opened reported.
  // Calls on_closed before it returns false for the first time.
  bool Check();

 private:
  struct Socket;

  void Connect();
  void HandleClosed();

  Loop& loop;
  SocketAddress target;
  std::chrono::milliseconds reconnect_delay;
  std::function<void()> on_opened;
  std::function<void()> on_closed;
  std::unique_ptr<Timer> reconnect;
  Socket* socket = nullptr;
  bool opened = false;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_SENTINEL_H_
