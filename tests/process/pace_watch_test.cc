#include "src/process/stager/pace_watch.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(PaceWatchTest) {
  PaceWatch watch{{}};
  TimePoint now{std::chrono::seconds(1000)};
};

}  // namespace

// Guards against beats and polls that a target without a pace, or with a
// constant one, would cost.
TEST(PaceWatchTest, AConstantPaceCostsNothing) {
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(this->watch.OnReport(std::nullopt, this->now));
    CHECK_FALSE(this->watch.Tell(true).has_value());
  }
  CHECK_FALSE(this->watch.OnReport(1, this->now));
  CHECK_FALSE(this->watch.OnReport(1.2, this->now));
  CHECK_FALSE(this->watch.Varies(this->now));
  CHECK_EQUAL(120, *this->watch.Tell(true));
}

// Guards against a change that gateways learn of with the next regular beat
// only, or not at all since a datagram was lost.
TEST(PaceWatchTest, AChangeIsToldTwiceAndTheTargetPolledOften) {
  CHECK_TRUE(this->watch.OnReport(2.5, this->now));
  CHECK_TRUE(this->watch.Varies(this->now));
  // Gateways do not get this beat.
  this->watch.Tell(false);
  CHECK_TRUE(this->watch.OnReport(2.5, this->now));
  CHECK_EQUAL(250, *this->watch.Tell(true));
  CHECK_TRUE(this->watch.OnReport(2.5, this->now));
  this->watch.Tell(true);
  CHECK_FALSE(this->watch.OnReport(2.5, this->now));
  // The target does not answer any more.
  CHECK_TRUE(this->watch.OnReport(std::nullopt, this->now));
  CHECK_FALSE(this->watch.Tell(true).has_value());
  this->now += PaceWatchOptions{}.varies_for;
  CHECK_FALSE(this->watch.Varies(this->now));
}

}  // namespace celerypost
