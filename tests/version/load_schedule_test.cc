#include "src/version/load_schedule.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(LoadScheduleTest) {
  LoadScheduleOptions options;
  TimePoint named{std::chrono::seconds(100)};
  TimePoint due = named + std::chrono::seconds(8);
};

// Guards against targets of a zone that load at the same time, and against a
// load order later than the margin before the version is due.
TEST(LoadScheduleTest, SpreadsOrdersUpToTheDueTime) {
  TimePoint last = this->named;
  for (uint32_t rank = 0; rank < 8; ++rank) {
    const TimePoint at =
        ScheduledLoadTime(this->options, this->named, this->due, rank, 8);
    CHECK_TRUE(at > last);
    CHECK_TRUE(at <= this->due - this->options.margin);
    last = at;
  }
}

// Guards against load orders at wrong times when less time than staging takes
// is left until the version is due.
TEST(LoadScheduleTest, ShortNoticeOrdersAllTargetsAtTheEnd) {
  const TimePoint due = this->named + std::chrono::seconds(2);
  CHECK_TRUE(ScheduledLoadTime(this->options, this->named, due, 0, 8) ==
             due - this->options.margin);
  CHECK_TRUE(ScheduledLoadTime(this->options, this->named, due, 0, 1) ==
             due - this->options.margin);
}

}  // namespace
}  // namespace celerypost
