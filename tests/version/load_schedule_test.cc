#include "src/version/load_schedule.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(LoadScheduleTest) {
  LoadScheduleOptions options;
  TimePoint named{std::chrono::seconds(100)};
  TimePoint due = named + std::chrono::seconds(8);
};

// Guards against targets of a zone that load together, and against one that is
// ordered after the bound.
TEST(LoadScheduleTest, SpreadsOrdersUpToTheBound) {
  TimePoint last = this->named;
  for (uint32_t place = 0; place < 8; ++place) {
    const TimePoint at =
        PlannedLoad(this->options, this->named, this->due, place, 8);
    CHECK_TRUE(at > last);
    CHECK_TRUE(at <= this->due - this->options.margin);
    last = at;
  }
}

// Guards against a bound that leaves less than the time of staging.
TEST(LoadScheduleTest, ShortBoundOrdersEverythingAtItsEnd) {
  const TimePoint due = this->named + std::chrono::seconds(2);
  CHECK_TRUE(PlannedLoad(this->options, this->named, due, 0, 8) ==
             due - this->options.margin);
  CHECK_TRUE(PlannedLoad(this->options, this->named, due, 0, 1) ==
             due - this->options.margin);
}

}  // namespace
}  // namespace celerypost
