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

// Guards against a request that is taken so late that the stop cuts it: a
// stream that arrived 3.9 s after SIGTERM was cut at 7.5 s (kilele-waivers,
// hunt-6892-27).
TEST(StopPolicyTest, TakesOnlyWhatCanBeFinished) {
  CHECK_TRUE(TakesRequest(this->options, milliseconds(2000), kStream));
  CHECK_FALSE(TakesRequest(this->options, milliseconds(3900), kStream));
  CHECK_TRUE(TakesRequest(this->options, milliseconds(3900), kShort));
  CHECK_FALSE(TakesRequest(this->options, milliseconds(7000), kShort));
}

// Guards against an exit with requests in progress, and against one while
// callers still connect.
TEST(StopPolicyTest, ExitsWhenNothingIsLeftOrTheGraceEnds) {
  CHECK_FALSE(MayExit(this->options, milliseconds(3000), 0, 0));
  CHECK_FALSE(MayExit(this->options, milliseconds(6000), 1, 1));
  CHECK_TRUE(MayExit(this->options, milliseconds(6000), 0, 3));
  CHECK_TRUE(MayExit(this->options, milliseconds(7500), 2, 3));
}

}  // namespace
}  // namespace celerypost
