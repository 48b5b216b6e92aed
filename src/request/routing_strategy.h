#ifndef SRC_REQUEST_ROUTING_STRATEGY_H_
#define SRC_REQUEST_ROUTING_STRATEGY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/request/target_table.h"

namespace celerypost {

struct RouteRequest {
  // Hash of the leading part of the prompt; 0 when the request has none.
  uint64_t prefix_hash = 0;
  // Targets that failed an earlier attempt.
  std::span<const InstanceId> exclude{};
  // Whether targets that are avoided at present may be chosen.
  bool allow_avoided = false;
};

struct AffinityOptions {
  // Added to the cost of targets in another zone and in another region. Costs
  // are utilisations: 1 is the load of a target at its concurrency limit.
  double zone_cost = 0.5;
  double region_cost = 2.0;
  // Subtracted from the cost of the target that holds the prefix.
  double affinity_gain = 0.5;
  // The target that holds the prefix is considered only while its utilisation
  // is at most this multiple of the mean.
  double affinity_bound = 1.25;
  // Up to this utilisation, `affinity_bound` does not apply.
  double affinity_free_utilisation = 0.25;
  // Added to the cost of a cold target, whose answers are several times slower.
  // Larger than `affinity_gain`, so that prefix affinity alone does not send
  // requests to it.
  double cold_cost = 0.75;
  // Share of requests that prefer a cold target, so that it warms up. Must be
  // below 0.05, so that the slow answers of cold targets do not determine the
  // 95th percentile of the latency.
  double warming_share = 0.03;
  // Targets at the next distance are considered when the lowest cost so far
  // exceeds this.
  double spill_cost = 1.0;
  // Age at which a load report and the mean utilisation count half each.
  std::chrono::milliseconds report_half_life{1000};
};

// Chooses among the targets of a table.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;
  // Returns an index into `targets`, or nothing when no target that accepts
  // requests and that `request` allows is left.
  virtual std::optional<uint32_t> Choose(const TargetTable& targets,
                                         const RouteRequest& request,
                                         TimePoint now,
                                         Random& random) = 0;
};

// Chooses the target with the lowest cost among two random ones and one that
// the prefix hashes to: its first target or, if that is too loaded, its second
// (design 4.12). Takes constant time.
std::unique_ptr<RoutingStrategy> MakeAffinityStrategy(AffinityOptions options);

// Baselines: targets in turn; the target with the fewest requests in flight
// from this entry (linear time); the less loaded of two random targets.
std::unique_ptr<RoutingStrategy> MakeRoundRobinStrategy();
std::unique_ptr<RoutingStrategy> MakeLeastInFlightStrategy();
std::unique_ptr<RoutingStrategy> MakeTwoChoicesStrategy();

}  // namespace celerypost

#endif  // SRC_REQUEST_ROUTING_STRATEGY_H_
