#include "src/request/target_pace.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/request/fleet_load.h"
#include "tests/request/model_load.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Differences that count as none between two ways to decide.
constexpr double kNoise = 0.02;
// As the gateways weigh first events.
constexpr double kFirstEventWeight = 0.5;

// Deployment A of docs/hard-load.md at a share of its peak.
FleetLoadOptions DeploymentA(double load) {
  FleetLoadOptions options;
  options.rates = ModelRates();
  options.rates.slots = 12;
  options.targets = 40;
  options.gateways = 40;
  options.kinds = {{.name = "long",
                    .per_second = 170 * load,
                    .mean_prompt = 1290,
                    .mean_events = 22,
                    .latency_goal = milliseconds(500)},
                   {.name = "middle",
                    .per_second = 125 * load,
                    .mean_prompt = 787,
                    .mean_events = 22,
                    .latency_goal = milliseconds(400)},
                   {.name = "short",
                    .per_second = 122 * load,
                    .mean_prompt = 607,
                    .mean_events = 14,
                    .latency_goal = milliseconds(400)}};
  options.duration = milliseconds(8000);
  options.report_delay = milliseconds(50);
  options.slow_share = 0.15;
  options.slow_factor = 2.5;
  options.slow_period = milliseconds(600);
  return options;
}

// Which news a gateway gets.
struct PaceSources {
  // Delay of what targets report; nothing if they report none.
  std::optional<milliseconds> reports{};
  bool measures = false;
  // Gateway 0 tells that all targets are eight times slower.
  bool one_peer_is_wrong = false;
};

// The paces that the gateways of one load know.
class PacedFleet {
 public:
  PacedFleet(const FleetLoadOptions& options, PaceSources sources)
      : options(options),
        sources(sources),
        paces(options.gateways, TargetPace({})) {}

  FleetLoadResult Play() {
    FleetLoadHooks hooks;
    hooks.candidate = [this](size_t gateway, PlacementCandidate& candidate,
                             TimePoint now) {
      this->Deliver(now);
      candidate.load.slowdown = this->paces[gateway].PaceOf(
          candidate.target, StartOf(candidate.target), now);
    };
    if (this->sources.reports) {
      hooks.slow = [this](const std::string& target, double factor,
                          TimePoint now) {
        this->reports.push_back({now + *this->sources.reports, target, factor});
      };
    }
    if (this->sources.measures) {
      hooks.event = [this](size_t gateway, const std::string& target,
                           double gap_ms, uint32_t running, TimePoint now) {
        this->paces[gateway].OnMeasured(
            StartOf(target),
            gap_ms / UsualEventGap(this->options.rates, running).count(), 1,
            now);
      };
      hooks.first_event = [this](size_t gateway, const std::string& target,
                                 const LoadRequest& request, TimePoint now) {
        this->paces[gateway].OnMeasured(StartOf(target),
                                        std::max(1.0, request.slowdown) *
                                            request.first_event_ms /
                                            std::max(1.0, request.predicted_ms),
                                        kFirstEventWeight, now);
      };
    }
    if (this->sources.measures || this->sources.one_peer_is_wrong) {
      hooks.report = [this](size_t from, size_t to, TimePoint now) {
        this->paces[to].OnShared(InstanceId{from + 1}, this->Shared(from, now),
                                 now);
      };
    }
    return PlayFleetLoad(this->options, hooks);
  }

 private:
  struct Report {
    TimePoint arrives_at{};
    std::string target;
    double pace = 1;
  };

  static TargetStartHash StartOf(const std::string& target) {
    return TargetTracker::HashOf(target);
  }

  // Stagers repeat a pace with each regular beat, so a known one does not
  // become overdue here.
  void Deliver(TimePoint now) {
    const auto tell = [&](const std::string& target, double pace) {
      for (TargetPace& known : this->paces) {
        known.OnReport(target, pace, now);
      }
    };
    while (!this->reports.empty() && this->reports.front().arrives_at <= now) {
      this->reported[this->reports.front().target] = this->reports.front().pace;
      tell(this->reports.front().target, this->reports.front().pace);
      this->reports.pop_front();
    }
    if (now >= this->next_beats) {
      this->next_beats = now + milliseconds(1000);
      for (const auto& [target, pace] : this->reported) {
        tell(target, pace);
      }
    }
  }

  std::vector<SharedPace> Shared(size_t from, TimePoint now) const {
    if (from > 0 || !this->sources.one_peer_is_wrong) {
      return this->paces[from].Share(now);
    }
    std::vector<SharedPace> wrong;
    for (size_t i = 0; i < this->options.targets; ++i) {
      wrong.push_back(
          {StartOf("target-" + std::to_string(i)), 8, milliseconds(0)});
    }
    return wrong;
  }

  const FleetLoadOptions& options;
  PaceSources sources;
  std::vector<TargetPace> paces;
  std::deque<Report> reports;
  std::map<std::string, double> reported;
  TimePoint next_beats{};
};

FleetLoadResult Play(const FleetLoadOptions& options, PaceSources sources) {
  return PacedFleet(options, sources).Play();
}

void Print(const char* name, const FleetLoadResult& result) {
  std::printf("%s, %zu requests: on time %.3f, late %.3f, refused %.3f\n", name,
              result.requests.size(), result.Share(LoadOutcome::kOnTime),
              result.Share(LoadOutcome::kLate),
              result.Share(LoadOutcome::kRefused));
}

// Checks that more requests are on time with these sources than without, over
// all loads together, and that no load gets worse.
void CheckBetter(const char* name, PaceSources sources) {
  double gain = 0;
  for (const double load : {0.55, 0.8, 1.0}) {
    const FleetLoadOptions options = DeploymentA(load);
    const FleetLoadResult without = Play(options, {});
    const FleetLoadResult with = Play(options, sources);
    Print("without", without);
    Print(name, with);
    const double change =
        with.Share(LoadOutcome::kOnTime) - without.Share(LoadOutcome::kOnTime);
    CHECK_TRUE(change > -kNoise);
    gain += change;
  }
  CHECK_TRUE(gain > 0);
}

// Checks that the share on time does not fall.
void CheckNotWorse(const FleetLoadOptions& options, PaceSources sources) {
  const FleetLoadResult without = Play(options, {});
  const FleetLoadResult with = Play(options, sources);
  Print("without", without);
  Print("with", with);
  CHECK_TRUE(with.Share(LoadOutcome::kOnTime) >
             without.Share(LoadOutcome::kOnTime) - kNoise);
}

TEST_GROUP(TargetPaceLoadTest){};

}  // namespace

// Guards against placement that ignores what targets report of their pace.
TEST(TargetPaceLoadTest, ReportsRaiseTheShareOnTime) {
  CheckBetter("reported, 100 ms", {.reports = milliseconds(100)});
}

// Guards against reports that harm when they come late.
TEST(TargetPaceLoadTest, OlderReportsRaiseTheShareOnTime) {
  CheckBetter("reported, 200 ms", {.reports = milliseconds(200)});
}

// Guards against measurements that avoid the wrong targets where these report
// nothing.
TEST(TargetPaceLoadTest, MeasurementsDoNoHarmWithSlowTargets) {
  for (const double load : {0.55, 0.8, 1.0}) {
    CheckNotWorse(DeploymentA(load), {.measures = true});
  }
}

// Guards against measurements that take load for slowness.
TEST(TargetPaceLoadTest, ACalmLoadDoesNotGetWorse) {
  FleetLoadOptions options = DeploymentA(0.55);
  options.slow_share = 0;
  CheckNotWorse(options, {.measures = true});
  options = DeploymentA(0.3);
  options.slow_share = 0;
  CheckNotWorse(options, {.measures = true});
}

// Guards against a gateway whose wrong measurements move the others' requests.
TEST(TargetPaceLoadTest, AWrongPeerDoesNoHarm) {
  for (const double slow_share : {0.0, 0.15}) {
    FleetLoadOptions options = DeploymentA(0.55);
    options.slow_share = slow_share;
    CheckNotWorse(options, {.measures = true, .one_peer_is_wrong = true});
  }
}

// Guards against refusals of requests that would be on time, and against a
// storm of returning callers, when all targets are slow at once.
TEST(TargetPaceLoadTest, AllTargetsSlowAtOnce) {
  for (const bool reports : {true, false}) {
    FleetLoadOptions options = DeploymentA(0.3);
    options.slow_share = 1;
    options.callers_return = true;
    PaceSources sources;
    sources.measures = !reports;
    if (reports) {
      sources.reports = milliseconds(100);
    }
    CheckNotWorse(options, sources);
  }
}

}  // namespace celerypost
