#include "src/request/rank_admission.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "tests/request/fleet_load.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// The configuration of a service with these kinds of requests.
GatewayConfig ConfigOf(const FleetLoadOptions& options) {
  GatewayConfig config;
  config.workspaces = options.workspaces;
  for (const LoadKind& kind : options.kinds) {
    Route route;
    route.name = kind.name;
    route.priority = kind.priority;
    route.backends = {{ServiceName("model")}};
    config.routes[""].push_back(route);
  }
  return config;
}

// Three ranks in equal parts whose sum is `load` times what the targets can
// take: about 350 requests a second.
FleetLoadOptions ThreeRanks(double load) {
  FleetLoadOptions options;
  options.rates.slots = 12;
  options.rates.step = Milliseconds(6.73);
  options.rates.prompt_tokens_per_ms = 30.6;
  options.rates.steps_per_pass = 7;
  options.report_period = milliseconds(150);
  const double each = 350 * load / 3;
  options.kinds = {{.name = "first", .priority = 0, .per_second = each},
                   {.name = "second", .priority = 1, .per_second = each},
                   {.name = "third", .priority = 2, .per_second = each}};
  return options;
}

// Plays the load with gateways that tell each other their counts. Returns the
// result; `ranked` false leaves the ranks out.
FleetLoadResult Play(const FleetLoadOptions& options, bool ranked = true) {
  std::vector<LoadGateway*> gateways;
  const GatewayConfig config = ConfigOf(options);
  FleetLoadHooks hooks;
  hooks.set_up = [&](LoadGateway& gateway, size_t) {
    gateways.push_back(&gateway);
    if (ranked) {
      gateway.ranks.SetConfig(config);
    }
  };
  hooks.report = [&](size_t from, size_t to, TimePoint now) {
    gateways[to]->ranks.OnReport(InstanceId{from + 1},
                                 gateways[from]->ranks.OwnCounts(now),
                                 now + 5 * options.report_period);
  };
  hooks.first_event = [&](size_t gateway, const std::string&,
                          const LoadRequest& request, TimePoint now) {
    Route route;
    route.priority = options.kinds[request.kind].priority;
    const Workspace* const workspace =
        options.workspaces.empty() ? nullptr
                                   : &options.workspaces[request.workspace];
    gateways[gateway]->ranks.OnFirstEvent(
        ServiceName("model"), route, workspace,
        request.outcome == LoadOutcome::kOnTime, now);
  };
  return PlayFleetLoad(options, hooks);
}

double OnTime(const FleetLoadResult& result,
              size_t kind,
              double from = 3000,
              double until = 1e9) {
  return result.Share(LoadOutcome::kOnTime, [&](const LoadRequest& request) {
    return request.kind == kind && request.arrived_ms >= from &&
           request.arrived_ms < until;
  });
}

double Served(const FleetLoadResult& result,
              size_t kind,
              double from = 3000,
              double until = 1e9) {
  return result.Served([&](const LoadRequest& request) {
    return request.kind == kind && request.arrived_ms >= from &&
           request.arrived_ms < until;
  });
}

// The load of deployment S at 0.7 of its peak.
FleetLoadOptions DeploymentS() {
  FleetLoadOptions options = ThreeRanks(1);
  options.kinds = {{.name = "first",
                    .priority = 0,
                    .per_second = 102,
                    .mean_prompt = 1290,
                    .mean_events = 21},
                   {.name = "second",
                    .priority = 1,
                    .per_second = 122,
                    .mean_prompt = 787,
                    .mean_events = 21},
                   {.name = "third",
                    .priority = 2,
                    .per_second = 86,
                    .mean_prompt = 607,
                    .mean_events = 10,
                    .latency_goal = milliseconds(800)}};
  return options;
}

constexpr double kBurstFrom = 5000;
constexpr double kBurstUntil = 11000;

FleetLoadOptions WithBurst(size_t kind, double factor) {
  FleetLoadOptions options = DeploymentS();
  options.kinds[kind].burst = factor;
  options.kinds[kind].burst_from = milliseconds(5000);
  options.kinds[kind].burst_until = milliseconds(11000);
  return options;
}

// A service with three ranks and one gateway's object.
GatewayConfig ThreeRankConfig() {
  return ConfigOf(ThreeRanks(1));
}

// No rank is served better than a higher one by 0.05, and none less than a
// quarter as often as all.
void CheckOrderAndFloors(const FleetLoadResult& result,
                         double from,
                         double until) {
  const double all = result.Served([&](const LoadRequest& request) {
    return request.arrived_ms >= from && request.arrived_ms < until;
  });
  for (size_t kind = 0; kind < 3; ++kind) {
    const double served = Served(result, kind, from, until);
    CHECK_TRUE(served >= all / 4);
    if (kind > 0) {
      CHECK_TRUE(served <= Served(result, kind - 1, from, until) + 0.05);
    }
  }
}

// The highest rank gets 0.9 of what it gets alone, as far as the floors of the
// others leave it.
void CheckOverload(double load) {
  FleetLoadOptions options = ThreeRanks(load);
  const FleetLoadResult ranked = Play(options);
  const FleetLoadResult today = Play(options, false);
  CheckOrderAndFloors(ranked, 3000, 1e9);
  options.kinds.resize(1);
  const double alone = OnTime(Play(options, false), 0);
  // The ranks have equal parts, so the sum of their shares is what the targets
  // can do.
  const double capacity =
      OnTime(today, 0) + OnTime(today, 1) + OnTime(today, 2);
  const double left = capacity - OnTime(ranked, 1) - OnTime(ranked, 2);
  CHECK_TRUE(OnTime(ranked, 0) >= 0.9 * std::min(alone, left));
  CHECK_TRUE(OnTime(today, 0) < 0.9 * std::min(alone, left));
}

void CheckBurst(size_t kind, double factor) {
  const double calm = OnTime(Play(DeploymentS()), 0, kBurstFrom, kBurstUntil);
  const FleetLoadOptions options = WithBurst(kind, factor);
  const FleetLoadResult ranked = Play(options);
  CheckOrderAndFloors(ranked, kBurstFrom, kBurstUntil);
  CHECK_TRUE(OnTime(ranked, 0, kBurstFrom, kBurstUntil) >= 0.9 * calm);
  CHECK_TRUE(OnTime(Play(options, false), 0, kBurstFrom, kBurstUntil) <
             0.9 * calm);
}

}  // namespace

TEST_GROUP(RankAdmissionLoadTest){};

// Each of these guards against an overload that reaches the highest rank while
// lower ones are served.
TEST(RankAdmissionLoadTest, HighestRankIsServedAt1_2TimesTheCapacity) {
  CheckOverload(1.2);
}

TEST(RankAdmissionLoadTest, HighestRankIsServedAtTwiceTheCapacity) {
  CheckOverload(2);
}

TEST(RankAdmissionLoadTest, HighestRankIsServedAtThreeTimesTheCapacity) {
  CheckOverload(3);
}

TEST(RankAdmissionLoadTest, BurstOfTheLowestRank) {
  CheckBurst(2, 2.5);
}

TEST(RankAdmissionLoadTest, LargeBurstOfTheLowestRank) {
  CheckBurst(2, 4);
}

TEST(RankAdmissionLoadTest, BurstOfTheHighestRank) {
  CheckBurst(0, 1.8);
}

// Guards against holds in a load that the targets can take.
TEST(RankAdmissionLoadTest, HoldsNothingBackWithoutOverload) {
  FleetLoadOptions options = ThreeRanks(0.6);
  CHECK_TRUE(OnTime(Play(options), 2) > 0.97);
}

// Guards against any change for services whose requests have all one rank.
TEST(RankAdmissionLoadTest, LeavesEqualRanksAlone) {
  FleetLoadOptions options = ThreeRanks(2);
  options.duration = milliseconds(3000);
  for (LoadKind& kind : options.kinds) {
    kind.priority = 1;
  }
  const FleetLoadResult ranked = Play(options);
  const FleetLoadResult today = Play(options, false);
  CHECK_EQUAL(today.requests.size(), ranked.requests.size());
  for (size_t i = 0; i < ranked.requests.size(); ++i) {
    CHECK_TRUE(today.requests[i].outcome == ranked.requests[i].outcome);
    CHECK_EQUAL(today.requests[i].first_event_ms,
                ranked.requests[i].first_event_ms);
  }
}

TEST_GROUP(RankAdmissionTest) {
  SplitMixRandom random{1};
  RankAdmission ranks{{}, random};
  ServiceName service{"model"};
  TimePoint now = TimePoint(std::chrono::seconds(1000));

  void setup() override {
    this->ranks.SetConfig(ThreeRankConfig());
  }

  std::optional<RankRuling> Rule(int priority, bool first_send = true,
                                 const Workspace* workspace = nullptr) {
    Route route;
    route.priority = priority;
    return this->ranks.RuleOn(this->service, route, workspace, first_send,
                              this->now);
  }

  // Reports the counts of a peer for a second, with these shares placed of each
  // rank.
  void Report(std::vector<double> placed, double held = 0, int periods = 5) {
    std::vector<RankCounts> counts;
    for (size_t i = 0; i < placed.size(); ++i) {
      counts.push_back({.service_hash = RankAdmission::HashOf(this->service),
                        .rank = {0, static_cast<int>(i)},
                        .asked = 100,
                        .placed = 100 * placed[i],
                        .held = i > 0 ? 100 * held : 0});
    }
    for (int i = 0; i < periods; ++i) {
      this->now += milliseconds(200);
      this->ranks.OnReport(InstanceId{7}, counts, this->now);
      this->ranks.Control(this->now);
    }
  }

  double Hold(size_t level) const {
    return this->ranks.LargestHolds()[level];
  }
};

// Guards against urgencies that don't follow the ranks, also of requests that
// are sent again.
TEST(RankAdmissionTest, UrgencyFollowsTheRank) {
  for (int priority = 0; priority < 3; ++priority) {
    CHECK_EQUAL(priority, this->Rule(priority)->level);
    CHECK_EQUAL(priority, this->Rule(priority, false)->level);
  }
  CHECK_FALSE(this->Rule(7).has_value());
}

// Guards against a route that comes before a more urgent workspace.
TEST(RankAdmissionTest, WorkspacesComeBeforeRoutes) {
  GatewayConfig config = ThreeRankConfig();
  config.workspaces.resize(2);
  config.workspaces[1].priority = 4;
  this->ranks.SetConfig(config);
  CHECK_EQUAL(2, this->Rule(2, true, &config.workspaces[0])->level);
  CHECK_EQUAL(3, this->Rule(0, true, &config.workspaces[1])->level);
}

// Guards against urgencies above 8 and state that grows with the ranks.
TEST(RankAdmissionTest, ManyRanksShareLevels) {
  GatewayConfig config = ThreeRankConfig();
  Route route = config.routes[""].front();
  for (int priority = 3; priority < 1000; ++priority) {
    route.priority = priority;
    config.routes[""].push_back(route);
  }
  this->ranks.SetConfig(config);
  int last = 0;
  for (int priority = 0; priority < 1000; ++priority) {
    const int level = this->Rule(priority)->level;
    CHECK_TRUE(level >= last && level <= 8);
    last = level;
    this->ranks.OnDecision(this->service, *this->Rule(priority), true,
                           this->now);
  }
  CHECK_EQUAL(8, last);
  CHECK_EQUAL(9, this->ranks.OwnCounts(this->now).size());
}

// Guards against holding the middle rank back while the lowest one still has
// room, against holding the highest one, and against holds that stay.
TEST(RankAdmissionTest, HoldsTheLowestRankFirstAndReleasesIt) {
  for (int i = 0; i < 3; ++i) {
    this->Report({0.7, 0.7, 0.9}, 0, 1);
    CHECK_EQUAL(0, this->Hold(1));
  }
  CHECK_TRUE(this->Hold(2) > 0.8);
  this->Report({0.7, 0.7, 0.9}, 1, 20);
  CHECK_EQUAL(1, this->Hold(2));
  CHECK_TRUE(this->Hold(1) > 0.8);
  CHECK_EQUAL(0, this->Hold(0));
  this->Report({1, 1, 1}, 0, 1);
  CHECK_TRUE(this->Hold(2) > 0.6);
  this->Report({1, 1, 1}, 0, 40);
  CHECK_EQUAL(0, this->Hold(2));
}

// Guards against a less urgent rank that is served better than a more urgent
// one while a third rank still has room.
TEST(RankAdmissionTest, HoldsARankThatLeads) {
  this->Report({0.7, 0.9, 0.9});
  CHECK_TRUE(this->Hold(1) > 0.8);
}

// Guards against a floor without requests, and against holding back repairs.
TEST(RankAdmissionTest, ExemptsTheFloorAndRetries) {
  this->Report({0.5, 0.5, 0.5}, 1);
  int held = 0;
  for (int i = 0; i < 1000; ++i) {
    held += this->Rule(2)->hold > 0 ? 1 : 0;
    CHECK_EQUAL(0, this->Rule(2, false)->hold);
  }
  CHECK_TRUE(held < 1000 * (1 - 0.25 * 0.5));
  CHECK_TRUE(held > 500);
}

// Guards against a restarted gateway that lets through what all others hold
// back.
TEST(RankAdmissionTest, LearnsTheHoldsOfItsPeersWithinASecond) {
  this->Report({0.91, 0.91, 0.5}, 0.8);
  CHECK_TRUE(this->Hold(2) > 0.6);
}

// Guards against a gateway that releases its holds at once when its peers fall
// silent, and against reports that count for ever.
TEST(RankAdmissionTest, ReleasesItsHoldsSlowlyWithoutPeers) {
  this->Report({0.5, 0.9, 0.9}, 1, 10);
  for (int i = 0; i < 10; ++i) {
    this->now += milliseconds(200);
    this->ranks.Control(this->now);
  }
  CHECK_TRUE(this->Hold(2) > 0.7);
  CHECK_TRUE(this->Hold(2) < 1);
}

// Guards against counts of ranks that no longer exist.
TEST(RankAdmissionTest, AChangedConfigurationRenumbersTheRanks) {
  this->Report({0.5, 0.9, 0.9}, 1, 10);
  GatewayConfig config = ThreeRankConfig();
  config.routes[""].erase(config.routes[""].begin() + 1);
  this->ranks.SetConfig(config);
  CHECK_EQUAL(1, this->Rule(2)->level);
  CHECK_EQUAL(1, this->Hold(1));
  CHECK_FALSE(this->Rule(1).has_value());
  config.routes[""].pop_back();
  this->ranks.SetConfig(config);
  CHECK_FALSE(this->Rule(0).has_value());
  CHECK_EQUAL(0, this->ranks.OwnCounts(this->now).size());
}

}  // namespace celerypost
