#include "src/request/router.h"

#include <map>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(RouterTest) {
  TimePoint now{std::chrono::hours(1)};
  SplitMixRandom random{1};
  Router router{{.zone = ZoneName("z1"), .region = RegionName("r1")}, random};

  void Add(uint64_t instance, const char* zone = "z1",
           const char* region = "r1", bool accepting = true) {
    this->router.UpdateTarget(
        {{instance}, ZoneName(zone), RegionName(region), accepting, 10});
    this->Report(instance, 0);
  }

  void Report(uint64_t instance, uint32_t in_flight, uint32_t queued = 0) {
    this->router.OnLoadReport(
        {instance}, {.in_flight = in_flight, .queued = queued, .limit = 10},
        this->now);
  }

  std::map<uint64_t, int> Picks(uint64_t prefix = 0, int count = 400) {
    std::map<uint64_t, int> picks;
    for (int pick = 0; pick < count; ++pick) {
      ++picks[this->router.Pick({.prefix_hash = prefix}, this->now)->value];
    }
    return picks;
  }
};

// Guards against requests to a target that was removed, is leaving or is in a
// zone that is out (P3, P7), and against a refusal with a wrong verdict.
TEST(RouterTest, PicksOnlyAcceptingTargets) {
  CHECK(router.Pick({}, now).error().verdict == Verdict::kNotRun);
  Add(1);
  Add(2);
  Add(3);
  LONGS_EQUAL(3, Picks().size());
  Add(1, "z1", "r1", /*accepting=*/false);
  router.RemoveTarget({2});
  router.RemoveTarget({2});
  LONGS_EQUAL(400, Picks()[3]);
  LONGS_EQUAL(400, Picks(77)[3]);
  Add(3, "z1", "r1", /*accepting=*/false);
  CHECK_FALSE(router.Pick({.prefix_hash = 77}, now).has_value());
  Add(1);
  LONGS_EQUAL(400, Picks(77)[1]);
}

// Guards against requests that leave the zone or region needlessly, and against
// requests that stay in a full zone.
TEST(RouterTest, SpillsToFartherTargetsWhenNearOnesAreFull) {
  Add(1);
  Add(2, "z2");
  Add(3, "z9", "r2");
  LONGS_EQUAL(400, Picks()[1]);
  Report(1, 10, 8);
  LONGS_EQUAL(400, Picks()[2]);
  Report(1, 10, 30);
  Report(2, 10, 30);
  LONGS_EQUAL(400, Picks()[3]);
}

// Guards against a retry that goes to the target that failed.
TEST(RouterTest, ExcludesTargetsThatFailed) {
  for (uint64_t instance = 1; instance <= 20; ++instance) {
    Add(instance);
  }
  std::vector<InstanceId> failed;
  for (int count = 0; count < 20; ++count) {
    const auto pick = router.Pick({.prefix_hash = 5, .exclude = failed}, now);
    CHECK_TRUE(pick.has_value());
    CHECK(std::find(failed.begin(), failed.end(), *pick) == failed.end());
    failed.push_back(*pick);
  }
  CHECK_FALSE(router.Pick({.exclude = failed}, now).has_value());
}

// Guards against prefixes that move away from the target that caches them, and
// against a popular prefix that overloads its target.
TEST(RouterTest, KeepsPrefixesWithinTheLoadBound) {
  for (uint64_t instance = 1; instance <= 10; ++instance) {
    Add(instance);
  }
  auto picks = Picks(42);
  LONGS_EQUAL(1, picks.size());
  const uint64_t prefix_target = picks.begin()->first;
  Report(prefix_target, 9);
  picks = Picks(42);
  LONGS_EQUAL(0, picks[prefix_target]);
  Report(prefix_target, 0);
  LONGS_EQUAL(400, Picks(42)[prefix_target]);
  // Removing another target does not move this prefix.
  router.RemoveTarget({prefix_target == 1 ? 2ull : 1ull});
  LONGS_EQUAL(400, Picks(42)[prefix_target]);
}

// Guards against an old report that attracts requests of all entries to one
// target.
TEST(RouterTest, OldReportsLoseWeight) {
  const auto report_others = [this] {
    for (uint64_t instance = 2; instance <= 10; ++instance) {
      Report(instance, instance <= 6 ? 3 : 9);
    }
  };
  for (uint64_t instance = 1; instance <= 10; ++instance) {
    Add(instance);
  }
  report_others();
  // Target 1 is among the two random targets of about 76 of 400 picks, and all
  // of these choose it.
  CHECK(Picks()[1] > 55);
  now += std::chrono::seconds(100);
  report_others();
  // Its old report counts little, so it is treated as a target with the mean
  // load and loses to the five targets with a lower load.
  const int aged = Picks()[1];
  CHECK(aged > 10 && aged < 55);
}

// Guards against in-flight counts that become wrong after failures and
// removals.
TEST(RouterTest, CountsInFlight) {
  Add(1);
  router.OnSent({1});
  router.OnSent({1});
  router.OnFailed({1});
  LONGS_EQUAL(1, router.InFlight({1}));
  router.OnFinished({1}, {.in_flight = 1, .limit = 4}, now);
  router.OnFinished({1}, {}, now);
  LONGS_EQUAL(0, router.InFlight({1}));
  router.OnSent({2});
  LONGS_EQUAL(0, router.InFlight({2}));
}

// Guards against baselines that do not follow their rules, which would
// invalidate comparisons with them.
TEST(RouterTest, BaselinesFollowTheirRules) {
  const auto first_picks = [this](std::unique_ptr<RoutingStrategy> strategy) {
    Router baseline({.zone = ZoneName("z1"), .region = RegionName("r1")},
                    random, std::move(strategy));
    for (uint64_t instance = 1; instance <= 4; ++instance) {
      baseline.UpdateTarget(
          {{instance}, ZoneName("z1"), RegionName("r1"), true, 10});
      for (uint64_t sent = 1; sent < instance; ++sent) {
        baseline.OnSent({instance});
      }
    }
    std::map<uint64_t, int> picks;
    for (int count = 0; count < 400; ++count) {
      ++picks[baseline.Pick({}, now)->value];
    }
    return picks;
  };
  auto round_robin = first_picks(MakeRoundRobinStrategy());
  LONGS_EQUAL(100, round_robin[1]);
  LONGS_EQUAL(100, round_robin[4]);
  LONGS_EQUAL(400, first_picks(MakeLeastInFlightStrategy())[1]);
  auto two = first_picks(MakeTwoChoicesStrategy());
  CHECK(two[1] > two[2] && two[2] > two[3] && two[3] > two[4]);
}

}  // namespace
}  // namespace celerypost
