#include "src/request/cold_start.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(ColdStartTest) {
  TimePoint now{};
  ColdStart cold{
      {.cold_limit = 2, .full_limit = 16, .warm_up = milliseconds(3000)}};

  void Finish(uint32_t count, bool ok = true) {
    for (uint32_t done = 0; done < count; ++done) {
      this->cold.OnFinished(ok, this->now);
    }
  }

  void WarmUp() {
    this->cold.OnTargetStarted({1}, this->now);
    while (this->cold.state() != ColdState::kWarm) {
      this->now += milliseconds(1000);
      this->Finish(this->cold.Limit(this->now));
    }
    for (int sample = 0; sample < 16; ++sample) {
      this->cold.OnFirstToken(milliseconds(50), this->now);
    }
  }
};

// Guards against a restarted agent that assumes that its target is warm (P2).
TEST(ColdStartTest, StartsCold) {
  LONGS_EQUAL(2, cold.Limit(now));
  CHECK(cold.state() == ColdState::kCold);
}

// Guards against a limit that rises with time alone or with finished requests
// alone.
TEST(ColdStartTest, RisesWithWorkAndTime) {
  cold.OnTargetStarted({1}, now);
  now += milliseconds(5000);
  LONGS_EQUAL(2, cold.Limit(now));
  Finish(1);
  LONGS_EQUAL(2, cold.Limit(now));
  Finish(1);
  LONGS_EQUAL(4, cold.Limit(now));
  Finish(100);
  LONGS_EQUAL(4, cold.Limit(now));
  now += milliseconds(1000);
  Finish(1);
  LONGS_EQUAL(8, cold.Limit(now));
  now += milliseconds(1000);
  Finish(8);
  LONGS_EQUAL(16, cold.Limit(now));
  CHECK(cold.state() == ColdState::kWarm);
}

// Guards against a higher limit while requests fail.
TEST(ColdStartTest, FailureRestartsTheStep) {
  cold.OnTargetStarted({1}, now);
  now += milliseconds(1000);
  Finish(1);
  Finish(1, /*ok=*/false);
  Finish(1);
  LONGS_EQUAL(2, cold.Limit(now));
}

// Guards against missing one of the events that make a target cold: a new start
// identity, a closed sentinel connection, a switch of weights and a slow first
// token.
TEST(ColdStartTest, BecomesColdAgain) {
  const auto expect_cold = [this] {
    CHECK(cold.state() == ColdState::kCold);
    WarmUp();
  };
  WarmUp();
  const uint64_t epoch = cold.epoch();
  cold.OnTargetStarted({1}, now);
  CHECK(cold.state() == ColdState::kWarm);
  LONGS_EQUAL(epoch, cold.epoch());
  cold.OnTargetStarted({2}, now);
  CHECK(epoch != cold.epoch());
  expect_cold();
  cold.OnSentinelClosed(now);
  expect_cold();
  cold.OnSwitchCompleted(now);
  expect_cold();
  cold.OnFirstToken(milliseconds(199), now);
  CHECK(cold.state() == ColdState::kWarm);
  cold.OnFirstToken(milliseconds(400), now);
  expect_cold();
}

// Guards against a target that turns cold unnoticed before the baseline is
// established or while it warms up (issue 20).
TEST(ColdStartTest, SlowTokensBeforeTheBaselineLowerTheLimit) {
  cold.OnTargetStarted({1}, now);
  now += milliseconds(1000);
  cold.OnFirstToken(milliseconds(30), now);
  Finish(2);
  LONGS_EQUAL(4, cold.Limit(now));
  const uint64_t epoch = cold.epoch();
  cold.OnFirstToken(milliseconds(180), now);
  LONGS_EQUAL(2, cold.Limit(now));
  CHECK(cold.state() == ColdState::kCold);
  now += milliseconds(1000);
  // Dispatched before the first slow token.
  cold.OnFirstToken(milliseconds(1001), now);
  Finish(4);
  LONGS_EQUAL(2, cold.Limit(now));
  LONGS_EQUAL(epoch, cold.epoch());
  cold.OnFirstToken(milliseconds(180), now);
  LONGS_EQUAL(2, cold.Limit(now));
  CHECK(epoch != cold.epoch());
}

// Guards against one slow prompt that makes a target warm up anew.
TEST(ColdStartTest, AFastTokenAfterwardsRestoresTheLimit) {
  cold.OnTargetStarted({1}, now);
  now += milliseconds(1000);
  cold.OnFirstToken(milliseconds(30), now);
  Finish(2);
  const uint64_t epoch = cold.epoch();
  cold.OnFirstToken(milliseconds(180), now);
  now += milliseconds(100);
  cold.OnFirstToken(milliseconds(30), now);
  LONGS_EQUAL(4, cold.Limit(now));
  LONGS_EQUAL(epoch, cold.epoch());
}

// Guards against noise of a few milliseconds making a fast target cold.
TEST(ColdStartTest, IgnoresNoiseOnAFastTarget) {
  WarmUp();
  for (int sample = 0; sample < 500; ++sample) {
    cold.OnFirstToken(milliseconds(1), now);
  }
  cold.OnFirstToken(milliseconds(90), now);
  CHECK(cold.state() == ColdState::kWarm);
}

}  // namespace
}  // namespace celerypost
