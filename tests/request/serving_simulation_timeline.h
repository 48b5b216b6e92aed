#ifndef TESTS_REQUEST_SERVING_SIMULATION_TIMELINE_H_
#define TESTS_REQUEST_SERVING_SIMULATION_TIMELINE_H_

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "tests/request/serving_simulation_state.h"

namespace celerypost::simulation {

// An event loop in virtual time, with seeded random numbers and a network that
// loses, delays and duplicates messages.
class Timeline {
 protected:
  using Action = std::function<void()>;
  explicit Timeline(uint64_t seed) : random(seed) {}

  bool Chance(double probability) { return this->random.Unit() < probability; }
  Duration Between(int low_ms, int high_ms) {
    return std::chrono::microseconds(
        low_ms * 1000 + this->random.Below((high_ms - low_ms) * 1000 + 1));
  }
  void At(Duration delay, Action action) {
    this->events.push({this->now + delay, this->sequence++, std::move(action)});
  }

  // Sends a message, which may be lost, delayed or duplicated.
  void Send(const Action& deliver, bool may_duplicate = true) {
    if (this->Chance(0.01)) {
      ++this->counts.lost;
      return;
    }
    if (may_duplicate && this->Chance(0.02)) {
      ++this->counts.duplicated;
      this->At(this->Between(0, 3000), deliver);
    }
    const bool late = this->Chance(0.02);
    this->counts.late += late;
    this->At(late ? this->Between(100, 3000) : this->Between(0, 2), deliver);
  }

  void RunEvents() {
    while (!this->events.empty()) {
      // Copied because top() is const; removed first because the action may add
      // events.
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
  }

  SplitMixRandom random;
  TimePoint now{std::chrono::seconds(10)};
  SimulationCounts counts;

 private:
  struct Event {
    TimePoint at;
    uint64_t sequence;
    Action action;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->sequence) >
             std::pair(other.at, other.sequence);
    }
  };

  uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

}  // namespace celerypost::simulation

#endif  // TESTS_REQUEST_SERVING_SIMULATION_TIMELINE_H_
