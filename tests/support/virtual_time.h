#ifndef TESTS_SUPPORT_VIRTUAL_TIME_H_
#define TESTS_SUPPORT_VIRTUAL_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "src/process/scheduler.h"

namespace celerypost {

// Scheduler whose time advances only in RunFor, from event to event.
class VirtualTime : public Scheduler {
 public:
  TimePoint Now() const override { return this->now; }
  std::chrono::milliseconds UnixTime() const override {
    return std::chrono::milliseconds(1765000000000) +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               this->now.time_since_epoch());
  }

  std::unique_ptr<ScheduledCall> After(std::chrono::milliseconds delay,
                                       std::function<void()> task) override {
    auto active = std::make_shared<bool>(true);
    this->At(this->now + delay, [active, task = std::move(task)] {
      if (*active) {
        task();
      }
    });
    return std::make_unique<Call>(std::move(active));
  }

  // Runs `task` at `when`; it cannot be cancelled.
  void At(TimePoint when, std::function<void()> task) {
    this->events.push(Event{when, this->next_order++, std::move(task)});
  }

  void RunFor(Duration span) {
    const TimePoint end = this->now + span;
    while (!this->events.empty() && this->events.top().when <= end) {
      // The queue gives no mutable access; the task is moved out before pop.
      auto task = std::move(const_cast<Event&>(this->events.top()).task);
      this->now = this->events.top().when;
      this->events.pop();
      task();
    }
    this->now = end;
  }

 private:
  struct Call : ScheduledCall {
    explicit Call(std::shared_ptr<bool> active) : active(std::move(active)) {}
    ~Call() override { *this->active = false; }
    std::shared_ptr<bool> active;
  };
  struct Event {
    TimePoint when;
    uint64_t order = 0;
    std::function<void()> task;
    bool operator<(const Event& other) const {
      return std::pair(other.when, other.order) <
             std::pair(this->when, this->order);
    }
  };

  TimePoint now{std::chrono::hours(1)};
  uint64_t next_order = 0;
  std::priority_queue<Event> events;
};

}  // namespace celerypost

#endif  // TESTS_SUPPORT_VIRTUAL_TIME_H_
