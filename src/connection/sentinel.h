#ifndef SRC_CONNECTION_SENTINEL_H_
#define SRC_CONNECTION_SENTINEL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "src/connection/http_client.h"
#include "src/connection/loop.h"

namespace celerypost {

struct SentinelOptions {
  // Delay before a lost connection is opened again.
  std::chrono::milliseconds reconnect_delay{50};
  // HTTP servers close connections that are idle for some seconds, which looks
  // like the end of the process. One request per period prevents that.
  std::chrono::milliseconds keep_alive_period{1000};
  std::string keep_alive_path = "/health";
};

// Keeps one TCP connection to a target open to detect the end of the target's
// process. The kernel closes the connections of a process that ended before
// another process can listen on the same port, so checking the connection's
// state right before a dispatch detects a restart that the loop has not handled
// yet.
class Sentinel {
 public:
  // `on_opened` and `on_closed` are called on the loop, alternately.
  Sentinel(Loop& loop,
           SocketAddress target,
           SentinelOptions options,
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
  void KeepAlive();
  void HandleClosed();

  Loop& loop;
  SocketAddress target;
  const SentinelOptions options;
  std::function<void()> on_opened;
  std::function<void()> on_closed;
  std::unique_ptr<Timer> reconnect;
  std::unique_ptr<Timer> keep_alive;
  Socket* socket = nullptr;
  bool opened = false;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_SENTINEL_H_
