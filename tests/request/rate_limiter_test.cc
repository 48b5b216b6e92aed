#include "src/request/rate_limiter.h"

#include <map>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

class Counters final : public SharedCounters {
 public:
  std::pair<uint64_t, uint64_t> Increment(const WorkspaceName&,
                                          int64_t window) override {
    ++this->counts[window];
    return {this->counts[window - 1], this->counts[window]};
  }

 private:
  std::map<int64_t, uint64_t> counts;
};

TEST_GROUP(RateLimiterTest) {
  TimePoint now{std::chrono::seconds(10)};
  const WorkspaceName workspace{"a"};

  int Allowed(RateLimiter & limiter, int offered) {
    int allowed = 0;
    for (int count = 0; count < offered; ++count) {
      allowed += limiter.Allow(this->workspace, this->now) ? 1 : 0;
    }
    return allowed;
  }
};

// Guards against a burst of twice the limit at the boundary of two windows.
TEST(RateLimiterTest, SlidingWindowCountsTheWindowBefore) {
  Counters counters;
  SlidingWindowLimiter limiter({.limit = 10}, counters);
  now += milliseconds(990);
  LONGS_EQUAL(10, Allowed(limiter, 10));
  now += milliseconds(10);
  LONGS_EQUAL(0, Allowed(limiter, 3));
  now += milliseconds(800);
  LONGS_EQUAL(5, Allowed(limiter, 10));
}

// Guards against a bucket that allows more than its rate and burst.
TEST(RateLimiterTest, TokenBucketFillsAtItsRate) {
  TokenBucketLimiter limiter({.rate = 10, .burst = 5});
  LONGS_EQUAL(5, Allowed(limiter, 20));
  now += milliseconds(300);
  LONGS_EQUAL(3, Allowed(limiter, 20));
  limiter.SetRate(workspace, 1);
  now += milliseconds(1000);
  LONGS_EQUAL(1, Allowed(limiter, 20));
  LONGS_EQUAL(60, limiter.TakeDemand()[workspace]);
  LONGS_EQUAL(0, limiter.TakeDemand()[workspace]);
}

// Guards against shares that exceed the total or lock out an idle node.
TEST(RateLimiterTest, SharesAddUpToTheRate) {
  const std::vector<uint64_t> demand = {90, 10, 0};
  const auto shares = ShareByDemand(demand, 30);
  DOUBLES_EQUAL(30, shares[0] + shares[1] + shares[2], 1e-9);
  CHECK(shares[0] > shares[1] && shares[1] > shares[2] && shares[2] > 0);
}

}  // namespace
}  // namespace celerypost
