#ifndef SRC_REQUEST_ROUTER_H_
#define SRC_REQUEST_ROUTER_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/request/load_report.h"
#include "src/request/routing_strategy.h"
#include "src/request/target_table.h"

namespace celerypost {

struct RouterOptions {
  // Location of this entry.
  ZoneName zone;
  RegionName region;
  AffinityOptions affinity{};
  // How long a target is avoided after its agent refused a request because it
  // accepts no new work. The member table or the configuration tells the entry
  // within this time in most cases.
  std::chrono::milliseconds stopped_backoff{100};
};

// Selects a target for each request of one service and version (design 4.12).
// Pick takes constant time.
class Router {
 public:
  // Uses MakeAffinityStrategy(options.affinity).
  Router(RouterOptions options, Random& random);
  Router(RouterOptions options,
         Random& random,
         std::unique_ptr<RoutingStrategy> strategy);

  void UpdateTarget(const TargetState& state);
  void RemoveTarget(InstanceId instance);

  // Returns the chosen target; one that is avoided only if no other is left.
  // Fails with kUnavailable and verdict kNotRun when no target that accepts
  // requests is left.
  Result<InstanceId> Pick(const RouteRequest& request, TimePoint now);

  // Returns whether a target is left that accepts requests, is not avoided and
  // is not in `exclude`.
  bool HasTarget(std::span<const InstanceId> exclude, TimePoint now) const;

  void OnSent(InstanceId instance);
  // A request has ended with a response that contained `report`.
  void OnFinished(InstanceId instance, const LoadReport& report, TimePoint now);
  // A request has ended without a response.
  void OnFailed(InstanceId instance);
  // The target's agent refused a request because it accepts no new work.
  void OnStopped(InstanceId instance, TimePoint now);
  // A load report arrived without a response.
  void OnLoadReport(InstanceId instance,
                    const LoadReport& report,
                    TimePoint now);

  // Requests that this entry has sent to the target and that have not finished.
  size_t InFlight(InstanceId instance) const;

 private:
  const std::chrono::milliseconds stopped_backoff;
  Random& random;
  std::unique_ptr<RoutingStrategy> strategy;
  TargetTable targets;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_ROUTER_H_
