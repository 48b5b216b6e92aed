#include "src/request/attempt_timeout.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(AttemptTimeoutTest) {
  AttemptTimeoutOptions options;
  Route route;

  void setup() override {
    this->route.kind = RouteKind::kStream;
  }
};

// Guards against slow but sound streams that are moved to another target, which
// starts over: with a goal of 800 ms and pauses of 600 ms, a first event after
// 1.5 s and a pause of 1.4 s are late but no sign of a fault.
TEST(AttemptTimeoutTest, SlowStreamsKeepTheirTarget) {
  this->route.latency_goal = milliseconds(800);
  this->route.pause_goal = milliseconds(600);
  CHECK_TRUE(AttemptTimeoutFor(this->options, this->route, false) >
             milliseconds(1500));
  CHECK_TRUE(AttemptTimeoutFor(this->options, this->route, true) >
             milliseconds(1400));
}

// Guards against stalled streams that wait until their callers leave, after
// four times the latency goal or eight times the pause goal, but two seconds at
// least.
TEST(AttemptTimeoutTest, StalledStreamsAreMovedBeforeTheCallerLeaves) {
  for (const int goal : {100, 300, 500, 800, 2000}) {
    this->route.latency_goal = milliseconds(goal);
    this->route.pause_goal = milliseconds(goal);
    const milliseconds patience =
        std::max(milliseconds(2000), milliseconds(4 * goal));
    CHECK_TRUE(AttemptTimeoutFor(this->options, this->route, false) < patience);
    CHECK_TRUE(AttemptTimeoutFor(this->options, this->route, true) < patience);
  }
}

}  // namespace
}  // namespace celerypost
