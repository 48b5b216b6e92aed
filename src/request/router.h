#ifndef SRC_REQUEST_ROUTER_H_
#define SRC_REQUEST_ROUTER_H_

#include <cstddef>
#include <memory>

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

  // Returns the chosen target. Fails with kUnavailable and verdict kNotRun when
  // no target that accepts requests is left.
  Result<InstanceId> Pick(const RouteRequest& request, TimePoint now);

  void OnSent(InstanceId instance);
  // A request has ended with a response that contained `report`.
  void OnFinished(InstanceId instance, const LoadReport& report, TimePoint now);
  // A request has ended without a response.
  void OnFailed(InstanceId instance);
  // A load report arrived without a response.
  void OnLoadReport(InstanceId instance,
                    const LoadReport& report,
                    TimePoint now);

  // Requests that this entry has sent to the target and that have not finished.
  size_t InFlight(InstanceId instance) const;

 private:
  Random& random;
  std::unique_ptr<RoutingStrategy> strategy;
  TargetTable targets;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_ROUTER_H_
