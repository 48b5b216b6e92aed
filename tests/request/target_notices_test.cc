#include "src/request/target_notices.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(TargetNoticesTest) {
  TargetNoticesOptions options;
  TimePoint now{std::chrono::seconds(1000)};
};

// Guards against gateways that tell each other of the same target for ever, and
// against beats that grow with the targets that have left.
TEST(TargetNoticesTest, TellsOfALeavingTargetForALimitedTime) {
  this->options.max_shared = 3;
  TargetNotices notices(this->options);
  CHECK_TRUE(notices.OnLeaving(1, this->now));
  this->now += milliseconds(4999);
  CHECK_FALSE(notices.OnLeaving(1, this->now));
  CHECK_EQUAL(1u, notices.RecentlyLeaving(this->now).size());
  this->now += milliseconds(1);
  CHECK_EQUAL(0u, notices.RecentlyLeaving(this->now).size());
  CHECK_TRUE(notices.Leaves(1));
  for (TargetStartHash start = 2; start < 10; ++start) {
    this->now += milliseconds(10);
    notices.OnLeaving(start, this->now);
  }
  const auto shared = notices.RecentlyLeaving(this->now);
  CHECK_EQUAL(3u, shared.size());
  CHECK_EQUAL(9u, shared.front());
}

// Guards against memory that grows with every target that has ever left or
// declined.
TEST(TargetNoticesTest, ForgetsWhatIsOver) {
  this->options.leaving_lifetime = milliseconds(10000);
  TargetNotices notices(this->options);
  notices.OnLeaving(1, this->now);
  notices.OnDeclines(2, milliseconds(500), this->now);
  this->now += milliseconds(499);
  notices.Forget(this->now);
  CHECK_TRUE(notices.DeclinesUntil(2, this->now).has_value());
  this->now += milliseconds(9501);
  notices.Forget(this->now);
  CHECK_FALSE(notices.Leaves(1));
  CHECK_FALSE(notices.DeclinesUntil(2, this->now).has_value());
}

// Guards against a target that is shut out by a time of no length.
TEST(TargetNoticesTest, NoTimeIsNoWish) {
  TargetNotices notices(this->options);
  CHECK_FALSE(notices.OnDeclines(1, milliseconds(0), this->now));
  CHECK_FALSE(notices.DeclinesUntil(1, this->now).has_value());
}

}  // namespace
}  // namespace celerypost
