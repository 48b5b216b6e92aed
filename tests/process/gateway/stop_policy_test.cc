#include "src/process/gateway/stop_policy.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortest{300};

TEST_GROUP(StopPolicyTest) {
  StopPolicyOptions options;

  StopStep Step(milliseconds time_since_stop, const StopWork& work) {
    return NextStopStep(this->options, time_since_stop, work);
  }
};

// Guards against accepting a request that the gateway may end without the
// target's answer, whatever the grace and the request's time, and against
// refusing one that completes.
TEST(StopPolicyTest, TakesOnlyWhatCompletesBeforeRequestsAreEnded) {
  for (const int seconds : {1, 2, 4, 8, 30, 60}) {
    const milliseconds grace = milliseconds(1000) * seconds;
    this->options.grace = grace;
    milliseconds ended_after{0};
    while (this->Step(ended_after, {1, 0}) == StopStep::kContinue) {
      ++ended_after;
    }
    CHECK_TRUE(ended_after >= grace / 2);
    for (milliseconds since{0}; since <= grace; since += grace / 40) {
      for (milliseconds duration = kShortest; duration <= 3 * grace;
           duration += grace / 20) {
        CHECK_EQUAL(since + duration < ended_after - milliseconds(1),
                    CompletesInTime(this->options, since, duration));
      }
    }
  }
}

// Guards against an exit with requests in progress or answers that have not
// been sent, and against one while callers may still connect.
TEST(StopPolicyTest, ExitsWhenNothingIsLeftOrTheGraceEnds) {
  CHECK_TRUE(StopStep::kContinue == this->Step(milliseconds(3000), {0, 0}));
  CHECK_TRUE(StopStep::kContinue == this->Step(milliseconds(6000), {1, 0}));
  CHECK_TRUE(StopStep::kExit == this->Step(milliseconds(6000), {0, 3}));
  CHECK_TRUE(StopStep::kExit == this->Step(milliseconds(7500), {0, 3}));
  CHECK_TRUE(StopStep::kExit == this->Step(milliseconds(7800), {2, 3}));
}

// Guards against a process that exits without answering the requests that wait
// at a target at the end of the grace, and against one that ends them while
// they may still be answered.
TEST(StopPolicyTest, EndsRequestsBeforeTheExit) {
  CHECK_TRUE(StopStep::kContinue == this->Step(milliseconds(7400), {2, 3}));
  CHECK_TRUE(StopStep::kEndRequests == this->Step(milliseconds(7500), {2, 3}));
}

// Guards against an exit that follows the SIGKILL, or leaves no time to send
// the last answers, with a short or a long grace.
TEST(StopPolicyTest, KeepsTimeForTheLastAnswers) {
  for (const milliseconds grace : {milliseconds(4000), milliseconds(30000)}) {
    this->options.grace = grace;
    bool ended = false;
    milliseconds since{0};
    while (this->Step(since, {1, 0}) != StopStep::kExit) {
      ended = ended || this->Step(since, {1, 0}) == StopStep::kEndRequests;
      since += milliseconds(10);
    }
    CHECK_TRUE(ended);
    CHECK_TRUE(since < grace);
  }
}

}  // namespace
}  // namespace celerypost
