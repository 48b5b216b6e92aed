#include "src/request/retry_plan.h"

#include <set>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

struct Outcome {
  bool answered = false;
  uint32_t attempts = 0;
  milliseconds waited{0};
};

TEST_GROUP(RetryPlanTest) {
  TimePoint now{std::chrono::hours(1)};
  SplitMixRandom random{7};
  Router router{{.zone = ZoneName("z1"), .region = RegionName("r1")}, random};
  RetryBudget budget{{}, random};
  // Targets whose agents accept no new work, which the entry has not heard yet.
  std::set<InstanceId> stopped;

  void Add(uint64_t instance, const char* zone) {
    this->router.UpdateTarget(
        {{instance}, ZoneName(zone), RegionName("r1"), true, 10});
  }

  // Sends one idempotent request until it is answered or fails.
  Outcome Send(uint64_t prefix_hash = 0) {
    RetryPlan plan({}, this->budget, true, this->now + milliseconds(5000));
    Outcome outcome;
    for (;;) {
      outcome.attempts = plan.BeginAttempt();
      const auto target = plan.PickTarget(this->router, prefix_hash, this->now);
      CHECK_TRUE(target.has_value());
      this->router.OnSent(*target);
      this->router.OnFinished(*target, {.limit = 10}, this->now);
      if (!this->stopped.contains(*target)) {
        outcome.answered = true;
        return outcome;
      }
      const auto delay =
          plan.OnFailed({Verdict::kNotRun, AttemptFault::kStopped, *target},
                        &this->router, this->now);
      if (!delay) {
        return outcome;
      }
      outcome.waited += *delay;
      this->now += *delay;
    }
  }
};

// Guards against a request that is refused because all its attempts went to one
// agent that was leaving, while others accepted work (issue 20).
TEST(RetryPlanTest, ALeavingAgentDoesNotGetARequestTwice) {
  Add(1, "z1");
  Add(2, "z1");
  Add(3, "z2");
  stopped = {{1}};
  for (uint64_t request = 1; request <= 200; ++request) {
    now += milliseconds(150);
    const Outcome outcome = Send(request);
    CHECK_TRUE(outcome.answered);
    CHECK(outcome.attempts <= 2);
    LONGS_EQUAL(0, outcome.waited.count());
  }
}

// Guards against refusals of requests at entries of a zone that was taken out,
// whose agents have heard of it before the entries.
TEST(RetryPlanTest, AZoneTakenOutCostsOneRefusalPerAgent) {
  for (uint64_t instance = 1; instance <= 24; ++instance) {
    Add(instance, "z1");
    stopped.insert({instance});
  }
  Add(100, "z2");
  uint32_t refusals = 0;
  for (uint64_t request = 1; request <= 50; ++request) {
    const Outcome outcome = Send(request);
    CHECK_TRUE(outcome.answered);
    refusals += outcome.attempts - 1;
  }
  CHECK(refusals <= 24);
}

// Guards against redirections that need the retry budget, which other failures
// may have used up.
TEST(RetryPlanTest, RedirectsWithoutRetryBudget) {
  while (budget.MayRetry(Verdict::kNotRun, true, 1, now + milliseconds(5000),
                         now)) {
  }
  Add(1, "z1");
  Add(2, "z2");
  stopped = {{1}};
  CHECK_TRUE(Send().answered);
}

// Guards against redirections that multiply the requests to a service of which
// no agent accepts work.
TEST(RetryPlanTest, GivesUpWhenNoAgentAcceptsWork) {
  for (uint64_t instance = 1; instance <= 24; ++instance) {
    Add(instance, "z1");
    stopped.insert({instance});
  }
  CHECK_FALSE(Send().answered);
  const Outcome next = Send();
  CHECK_FALSE(next.answered);
  CHECK(next.attempts <= 3);
}

}  // namespace
}  // namespace celerypost
