#include "src/version/link_pacer.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the bytes granted in `period` when transfers are tried every 5 ms.
uint64_t Taken(LinkPacer& pacer,
               TimePoint& now,
               Duration period,
               bool crosses_regions) {
  uint64_t taken = 0;
  for (const TimePoint end = now + period; now < end; now += milliseconds(5)) {
    while (pacer.TryTake(LinkDirection::kIn, 100, crosses_regions, now)) {
      taken += 100;
    }
  }
  return taken;
}

TEST_GROUP(LinkPacerTest) {
  LinkPacer pacer{LinkPacerOptions{.link_rate = 10000, .region_rate = 5000}};
  TimePoint now = TimePoint(seconds(100));
};

// Guards against weight traffic above its rate on either link.
TEST(LinkPacerTest, KeepsTheRateOfEachLink) {
  const uint64_t local = Taken(this->pacer, this->now, seconds(10), false);
  CHECK(local > 95000 && local < 101000);
  const uint64_t remote = Taken(this->pacer, this->now, seconds(10), true);
  CHECK(remote > 47000 && remote < 51000);
}

// Guards against bursts of weight traffic that delay live requests, also in the
// gaps between requests.
TEST(LinkPacerTest, YieldsToLiveRequests) {
  Taken(this->pacer, this->now, seconds(1), false);
  uint64_t taken = 0;
  for (int i = 0; i < 100; ++i) {
    this->pacer.OnLiveRequests(1, this->now);
    taken += Taken(this->pacer, this->now, milliseconds(50), false);
    this->pacer.OnLiveRequests(0, this->now);
    taken += Taken(this->pacer, this->now, milliseconds(50), false);
  }
  CHECK(taken > 45000 && taken < 51000);
  Taken(this->pacer, this->now, seconds(1), false);
  CHECK(Taken(this->pacer, this->now, seconds(10), false) > 95000);
}

// Guards against a wait that ends before or long after a transfer may start,
// and against a refused transfer that is charged to the link.
TEST(LinkPacerTest, ReturnsTheWaitAndCreditsUnusedBytes) {
  CHECK_TRUE(this->pacer.TryTake(LinkDirection::kIn, 10000, false, this->now));
  const Duration wait =
      this->pacer.WaitTime(LinkDirection::kIn, false, this->now);
  CHECK(wait > milliseconds(900) && wait < milliseconds(1000));
  CHECK_FALSE(this->pacer.TryTake(LinkDirection::kIn, 1, false,
                                  this->now + wait - milliseconds(1)));
  CHECK(this->pacer.WaitTime(LinkDirection::kOut, false, this->now) ==
        Duration::zero());
  this->pacer.GiveBack(LinkDirection::kIn, 10000, false, this->now);
  CHECK_TRUE(this->pacer.TryTake(LinkDirection::kIn, 1, false, this->now));
}

}  // namespace
}  // namespace celerypost
