#ifndef SRC_PROCESS_LOOP_SCHEDULER_H_
#define SRC_PROCESS_LOOP_SCHEDULER_H_

#include <memory>

#include "src/connection/loop.h"
#include "src/process/scheduler.h"

namespace celerypost {

// Scheduler on the clocks and timers of a libuv loop.
class LoopScheduler : public Scheduler {
 public:
  explicit LoopScheduler(Loop& loop);

  TimePoint Now() const override;
  std::chrono::milliseconds UnixTime() const override;
  std::unique_ptr<ScheduledCall> After(std::chrono::milliseconds delay,
                                       std::function<void()> task) override;

 private:
  Loop& loop;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_LOOP_SCHEDULER_H_
