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
};

struct AffinityOptions {
  // Added to the cost of targets in another zone and in another region, in
  // units of a full target.
  double zone_cost = 0.5;
  double region_cost = 2.0;
  // Taken off the cost of the target that holds the prefix.
  double affinity_gain = 0.5;
  // The target that holds the prefix counts only while its utilisation is at
  // most this multiple of the mean.
  double affinity_bound = 1.25;
  // A target below this utilisation is never too loaded for its prefixes.
  double affinity_free_utilisation = 0.25;
  // Added to the cost of a cold target, whose answers are several times slower.
  // Larger than `affinity_gain`, so that a prefix does not draw callers to it.
  double cold_cost = 0.75;
  // Share of requests that prefer a cold target, so that it warms up. Below
  // 0.05: the cold targets' answers must not set the p95.
  double warming_share = 0.03;
  // Farther targets are considered when the best cost nearby exceeds this.
  double spill_cost = 1.0;
  // Age at which half of a load report's deviation from the mean is believed.
  std::chrono::milliseconds report_half_life{1000};
};

// Chooses among the targets of a table. Returns an index, or nothing when no
// accepting target is left.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;
  virtual std::optional<uint32_t> Choose(const TargetTable& targets,
                                         const RouteRequest& request,
                                         TimePoint now,
                                         Random& random) = 0;
};

// The cheapest of two random targets and the two targets that the prefix hashes
// to (design 4.12). Constant time.
std::unique_ptr<RoutingStrategy> MakeAffinityStrategy(AffinityOptions options);

// Baselines: in turn; the fewest in flight from this entry (linear time); the
// less loaded of two random targets.
std::unique_ptr<RoutingStrategy> MakeRoundRobinStrategy();
std::unique_ptr<RoutingStrategy> MakeLeastInFlightStrategy();
std::unique_ptr<RoutingStrategy> MakeTwoChoicesStrategy();

}  // namespace celerypost

#endif  // SRC_REQUEST_ROUTING_STRATEGY_H_
