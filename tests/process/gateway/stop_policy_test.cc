#include "src/process/gateway/stop_policy.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStream{6000};
constexpr milliseconds kShort{800};

TEST_GROUP(StopPolicyTest) {
  StopPolicyOptions options;
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

// Guards against an exit with requests in progress, and against one while
// callers may still connect.
TEST(StopPolicyTest, ExitsWhenNothingIsLeftOrTheGraceEnds) {
  CHECK_FALSE(ShouldExit(this->options, milliseconds(3000), 0, 0));
  CHECK_FALSE(ShouldExit(this->options, milliseconds(6000), 1, 1));
  CHECK_TRUE(ShouldExit(this->options, milliseconds(6000), 0, 3));
  CHECK_TRUE(ShouldExit(this->options, milliseconds(7500), 2, 3));
}

}  // namespace
}  // namespace celerypost
