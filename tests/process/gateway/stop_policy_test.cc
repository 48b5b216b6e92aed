#include "src/process/gateway/stop_policy.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStream{6000};
constexpr milliseconds kShort{800};

TEST_GROUP(StopPolicyTest) {
  StopPolicyOptions options;

  StopStep Step(milliseconds time_since_stop, const StopWork& work) {
    return NextStopStep(this->options, time_since_stop, work);
  }
};

// Guards against accepting a request too late to complete before the process
// exits: a stream that arrived 3.9 s after SIGTERM was cut off at 7.5 s (system
// kilele-waivers, run hunt-6892-27).
TEST(StopPolicyTest, TakesOnlyWhatCanBeFinished) {
  CHECK_TRUE(AcceptsRequest(this->options, milliseconds(2000), kStream));
  CHECK_FALSE(AcceptsRequest(this->options, milliseconds(3900), kStream));
  CHECK_TRUE(AcceptsRequest(this->options, milliseconds(3900), kShort));
  CHECK_FALSE(AcceptsRequest(this->options, milliseconds(7000), kShort));
}

// Guards against accepting a request that the exit will cut when it was sent
// more than 3 s after the signal, which may also have been handled late.
TEST(StopPolicyTest, TakesLongRequestsForALimitedTimeOnly) {
  for (const milliseconds grace : {milliseconds(8000), milliseconds(30000)}) {
    this->options.grace = grace;
    CHECK_TRUE(AcceptsRequest(this->options, milliseconds(2400), 2 * grace));
    CHECK_FALSE(AcceptsRequest(this->options, milliseconds(2600), 2 * grace));
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
