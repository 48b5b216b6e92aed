#ifndef SRC_PROCESS_SCHEDULER_H_
#define SRC_PROCESS_SCHEDULER_H_

#include <chrono>
#include <functional>
#include <memory>

#include "celerypost/types.h"

namespace celerypost {

// A call scheduled by Scheduler::After. Destroying it cancels the call.
class ScheduledCall {
 public:
  virtual ~ScheduledCall() = default;
};

// Clocks and timers of a task. Tests implement it with virtual time.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual TimePoint Now() const = 0;
  // Time since the Unix epoch by the wall clock; only for text and request ids.
  virtual std::chrono::milliseconds UnixTime() const = 0;
  // Calls `task` once after `delay` unless the returned object is destroyed
  // first. `task` may destroy the returned object.
  [[nodiscard]] virtual std::unique_ptr<ScheduledCall> After(
      std::chrono::milliseconds delay,
      std::function<void()> task) = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_SCHEDULER_H_
