#ifndef SRC_PROCESS_DRAIN_POLICY_H_
#define SRC_PROCESS_DRAIN_POLICY_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

// Decides when a process that has been told to stop has done its work: all
// requests have ended and what they produced has left the process.
class DrainPolicy {
 public:
  // How long a process waits by default for its output to be sent.
  static constexpr std::chrono::milliseconds kMaxSendTime{2000};

  // `max_send_time`: how long the process waits for output to be sent after its
  // last request has ended. Bounds the wait for a peer that does not read.
  explicit DrainPolicy(std::chrono::milliseconds max_send_time = kMaxSendTime)
      : max_send_time(max_send_time) {}

  // Returns whether the process should exit at `now` with this many requests in
  // progress, and with output left to send or not.
  bool ShouldExit(size_t requests, bool has_unsent_output, TimePoint now) {
    if (requests > 0) {
      this->ended_at.reset();
      return false;
    }
    if (!this->ended_at) {
      this->ended_at = now;
    }
    return !has_unsent_output || now - *this->ended_at >= this->max_send_time;
  }

 private:
  std::chrono::milliseconds max_send_time;
  // Since when no request has been in progress.
  std::optional<TimePoint> ended_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_DRAIN_POLICY_H_
