#include "src/process/loop_scheduler.h"

#include <utility>

namespace celerypost {
namespace {

class LoopCall : public ScheduledCall {
 public:
  LoopCall(Loop& loop,
           std::chrono::milliseconds delay,
           std::function<void()> task)
      : timer(loop, std::move(task)) {
    this->timer.StartOnce(delay);
  }

 private:
  Timer timer;
};

}  // namespace

LoopScheduler::LoopScheduler(Loop& loop) : loop(loop) {}

TimePoint LoopScheduler::Now() const {
  return this->loop.Now();
}

std::chrono::milliseconds LoopScheduler::UnixTime() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::unique_ptr<ScheduledCall> LoopScheduler::After(
    std::chrono::milliseconds delay,
    std::function<void()> task) {
  return std::make_unique<LoopCall>(this->loop, delay, std::move(task));
}

}  // namespace celerypost
