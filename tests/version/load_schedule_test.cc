#include "src/version/load_schedule.h"

#include <algorithm>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(LoadScheduleTest) {
  LoadScheduleOptions options;
  TimePoint whole{std::chrono::seconds(100)};

  std::vector<TimePoint> Orders(LoadScheduleInput input, uint32_t count) const {
    std::vector<TimePoint> orders;
    input.count = count;
    for (input.rank = 0; input.rank < count; ++input.rank) {
      orders.push_back(ScheduledLoadTime(this->options, input));
    }
    return orders;
  }

  // Returns the largest number of orders within any 0.4 s.
  static size_t MostTogether(const std::vector<TimePoint>& orders) {
    size_t most = 0;
    for (const TimePoint from : orders) {
      most = std::max<size_t>(
          most, std::count_if(orders.begin(), orders.end(), [from](auto at) {
            return at >= from && at <= from + milliseconds(400);
          }));
    }
    return most;
  }
};

// Guards against targets of a zone that load at the same time, and against a
// load order later than the margin before the version is due.
TEST(LoadScheduleTest, SpreadsOrdersUpToTheDueTime) {
  const TimePoint due = this->whole + milliseconds(4700);
  TimePoint last = this->whole;
  for (const TimePoint at : this->Orders({this->whole, due, {}}, 8)) {
    CHECK_TRUE(at > last);
    CHECK_TRUE(at <= due - this->options.margin);
    last = at;
  }
  CHECK_TRUE(last == due - this->options.margin);
}

// Guards against a large part of a zone that loads at once although 3 s or more
// are left, whatever the size of the zone, also when a newer version is named.
TEST(LoadScheduleTest, FewTargetsLoadTogetherWithThreeSecondsLeft) {
  for (const int left_ms : {3000, 3500, 5000, 9000}) {
    for (uint32_t count = 1; count <= 70; ++count) {
      LoadScheduleInput input{
          this->whole, this->whole + milliseconds(left_ms), {}};
      const auto orders = this->Orders(input, count);
      CHECK_TRUE(this->MostTogether(orders) <= std::max(1u, count / 4));
      CHECK_TRUE(orders.front() >= this->whole);
      CHECK_TRUE(orders.back() <= input.due - this->options.min_margin);

      input.newer = NewerVersion{this->whole + milliseconds(200),
                                 this->whole + milliseconds(left_ms + 8000),
                                 milliseconds(3500)};
      const auto sooner = this->Orders(input, count);
      CHECK_TRUE(this->MostTogether(sooner) <= std::max(1u, count / 4));
      for (uint32_t rank = 0; rank < count; ++rank) {
        CHECK_TRUE(sooner[rank] <= orders[rank]);
      }
    }
  }
}

// Guards against orders after the bound, and against a whole zone that loads at
// the moment at which its late copies are complete.
TEST(LoadScheduleTest, ShortTimeBringsOrdersCloserTogether) {
  const TimePoint due = this->whole + milliseconds(2000);
  for (const uint32_t count : {7u, 60u}) {
    const auto orders = this->Orders({this->whole, due, {}}, count);
    CHECK_TRUE(orders.front() == this->whole);
    CHECK_TRUE(orders.back() < due);
    CHECK_TRUE(this->MostTogether(orders) <= (count + 2) / 3);
  }
  // Copies that are complete only after the bound are loaded at once.
  const TimePoint late = due + milliseconds(100);
  for (const TimePoint at : this->Orders({late, due, {}}, 8)) {
    CHECK_TRUE(at == late);
  }
}

// Guards against loads of an older version that take the time in which the
// newer one is to be staged.
TEST(LoadScheduleTest, ANewerVersionBringsOrdersForward) {
  LoadScheduleInput input{this->whole, this->whole + milliseconds(7000), {}};
  input.newer =
      NewerVersion{this->whole + milliseconds(1000),
                   this->whole + milliseconds(9000), milliseconds(5500)};
  const auto orders = this->Orders(input, 13);
  CHECK_TRUE(orders.back() + milliseconds(5500) <=
             input.newer->due - this->options.margin);
  // The orders before the naming keep their times.
  CHECK_TRUE(orders.front() == this->whole + this->options.lead);
  // The newer version is late in any case.
  input.newer->staging = milliseconds(9000);
  CHECK_TRUE(this->MostTogether(this->Orders(input, 13)) <= 13 / 2);
}

// Guards against times that move when a stager dies before its turn: the others
// must load at most one turn earlier or later.
TEST(LoadScheduleTest, ADeadStagerMovesOthersByOneTurn) {
  const LoadScheduleInput input{
      this->whole, this->whole + milliseconds(5000), {}};
  const auto before = this->Orders(input, 13);
  const auto after = this->Orders(input, 12);
  const Duration turn = after[1] - after[0];
  for (uint32_t dead = 0; dead < 13; ++dead) {
    for (uint32_t rank = 0; rank < 13; ++rank) {
      if (rank != dead) {
        const Duration moved =
            after[rank - (rank > dead ? 1 : 0)] - before[rank];
        CHECK_TRUE(std::chrono::abs(moved) <= turn);
      }
    }
  }
}

}  // namespace
}  // namespace celerypost
