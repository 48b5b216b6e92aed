#include "src/process/drain_policy.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(DrainPolicyTest) {
  DrainPolicy policy{milliseconds(2000)};
  TimePoint start{};
};

// Guards against an exit between the end of an answer and its last byte.
TEST(DrainPolicyTest, WaitsForOutputAfterTheLastRequest) {
  CHECK_FALSE(this->policy.ShouldExit(1, false, this->start));
  CHECK_FALSE(this->policy.ShouldExit(0, true, this->start));
  CHECK_TRUE(
      this->policy.ShouldExit(0, false, this->start + milliseconds(100)));
}

// Guards against a process that never exits since a peer does not read, and
// against a bound that runs while requests are still in progress.
TEST(DrainPolicyTest, WaitsForAPeerThatDoesNotReadOnlySoLong) {
  CHECK_FALSE(this->policy.ShouldExit(0, true, this->start));
  const TimePoint again = this->start + milliseconds(1900);
  CHECK_FALSE(this->policy.ShouldExit(1, true, again));
  CHECK_FALSE(this->policy.ShouldExit(0, true, again + milliseconds(100)));
  CHECK_FALSE(this->policy.ShouldExit(0, true, again + milliseconds(2000)));
  CHECK_TRUE(this->policy.ShouldExit(0, true, again + milliseconds(2100)));
}

}  // namespace
}  // namespace celerypost
