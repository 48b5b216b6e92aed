#ifndef TESTS_REQUEST_FLEET_LOAD_H_
#define TESTS_REQUEST_FLEET_LOAD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "src/request/gateway_admission.h"
#include "src/request/target_tracker.h"

namespace celerypost {

// Requests of one route.
struct LoadKind {
  std::string name;
  // 0 is served first.
  int priority = 0;
  double per_second = 100;
  // Factor of the rate from `burst_from` until `burst_until`.
  double burst = 1;
  std::chrono::milliseconds burst_from{0};
  std::chrono::milliseconds burst_until{0};
  // Prompts and answers have exponential sizes, prompts up to `max_prompt`.
  double mean_prompt = 900;
  double max_prompt = 3900;
  double mean_events = 20;
  std::chrono::milliseconds latency_goal{400};
};

struct FleetLoadOptions {
  EngineRates rates;
  size_t targets = 34;
  size_t gateways = 40;
  std::vector<LoadKind> kinds;
  // Workspaces with their priorities and shares of the requests; one if empty.
  std::vector<Workspace> workspaces;
  std::vector<double> workspace_shares;
  std::chrono::milliseconds duration{15000};
  std::chrono::milliseconds timeout{6000};
  // Callers leave when the first event has not come by then.
  std::chrono::milliseconds patience{2400};
  // Most requests that wait at a target besides those that run.
  size_t target_queue = 24;
  // Gateways tell each other their loads every `report_period`; a report
  // arrives `report_delay` later.
  std::chrono::milliseconds report_period{100};
  std::chrono::milliseconds report_delay{5};
  // In each `slow_period`, this share of the targets takes `slow_factor` times
  // as long for everything.
  double slow_share = 0;
  double slow_factor = 1;
  std::chrono::milliseconds slow_period{600};
  // Refused callers come back once, at the time that they are told, with the
  // time that is left to them.
  bool callers_return = false;
  uint64_t seed = 1;
};

// The decision objects of one gateway.
struct LoadGateway {
  explicit LoadGateway(uint64_t seed);

  SplitMixRandom random;
  TargetTracker book{{}};
  SizeBalance sizes{{}};
  PredictionErrors errors{{}};
  // Without a configuration, which leaves all requests alike.
  RankAdmission ranks{{}, random};
  std::unique_ptr<PlacementPolicy> policy;
  ReturningCallers callers{{}};
  LateAdmission late{{}, random};
  ReturnPromises promises{{}, random};
  LateResponses late_responses{callers, late, promises};
  // Without LateResponses; a hook replaces it.
  std::unique_ptr<GatewayAdmission> admission;
};

enum class LoadOutcome : uint8_t {
  kOnTime,
  kLate,
  kRefused,
  // Its caller left before the first event, or the target's queue was full.
  kLost,
};

struct LoadRequest {
  size_t kind = 0;
  size_t workspace = 0;
  double prompt_tokens = 0;
  double events = 0;
  // In milliseconds from the start.
  double arrived_ms = 0;
  LoadOutcome outcome = LoadOutcome::kLost;
  // Refused when it came first and came back.
  bool returned = false;
  // Placed by LateAdmission.
  bool late_admission = false;
  // Predicted and real time from the last decision to the first event.
  double predicted_ms = 0;
  double first_event_ms = 0;
  // EngineLoad::slowdown of the target that was chosen.
  double slowdown = 1;
};

struct FleetLoadResult {
  std::vector<LoadRequest> requests;

  using Filter = std::function<bool(const LoadRequest&)>;
  // Share of the requests of `filter` with this outcome.
  double Share(LoadOutcome outcome, const Filter& filter = {}) const;
  // Share that got an answer, late or not.
  double Served(const Filter& filter = {}) const;
};

// Callbacks into the parts under test, all optional.
struct FleetLoadHooks {
  // Replaces the decision objects of a gateway before the load starts.
  std::function<void(LoadGateway& gateway, size_t index)> set_up;
  // `from` reports to `to`, besides its loads.
  std::function<void(size_t from, size_t to, TimePoint now)> report;
  // A request at `target` had its first event.
  std::function<void(size_t gateway,
                     const std::string& target,
                     const LoadRequest& request,
                     TimePoint now)>
      first_event;
  // The time since the last event of a request at `target`, which the gateway
  // takes to run `running` requests.
  std::function<void(size_t gateway,
                     const std::string& target,
                     double gap_ms,
                     uint32_t running,
                     TimePoint now)>
      event;
  // The target takes `factor` times as long for everything from now on.
  std::function<void(const std::string& target, double factor, TimePoint now)>
      slow;
  // Completes a request before the decision.
  std::function<void(size_t gateway,
                     const LoadRequest& request,
                     AdmissionRequest& decision)>
      prepare;
  // Completes a candidate before the decision.
  std::function<void(size_t gateway, PlacementCandidate& candidate, TimePoint)>
      candidate;
};

// Plays the load without a network: gateways decide with the product's own
// parts on delayed reports, targets work in passes as model engines do and take
// waiting requests by urgency.
FleetLoadResult PlayFleetLoad(const FleetLoadOptions& options,
                              const FleetLoadHooks& hooks = {});

}  // namespace celerypost

#endif  // TESTS_REQUEST_FLEET_LOAD_H_
