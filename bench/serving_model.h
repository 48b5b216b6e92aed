#ifndef BENCH_SERVING_MODEL_H_
#define BENCH_SERVING_MODEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "src/request/routing_strategy.h"

namespace celerypost {

enum class LimiterKind : uint8_t { kNone, kSlidingWindow, kTokenBucket };

// Synthetic load for the decision components; not a simulator of a cluster.
// A request needs a prefill, which is shorter if its prefix is cached at the
// target, and a number of tokens. Concurrent requests at the target slow both
// down: at a full target they take two thirds longer than at an empty one.
struct ModelOptions {
  uint64_t seed = 1;
  size_t targets = 14;
  size_t entries = 7;
  // Number of targets that each entry knows, selected by rendezvous hashing; 0
  // for all.
  size_t subset = 0;
  uint32_t limit = 16;
  // Offered load as a multiple of what the targets finish when full and no
  // prefix is cached.
  double load = 0.7;
  std::chrono::milliseconds duration{200000};
  // Time at the start that is not measured.
  std::chrono::milliseconds warm_up{20000};
  std::chrono::milliseconds prefill{200};
  std::chrono::milliseconds cached_prefill{40};
  std::chrono::milliseconds token_time{20};
  double mean_tokens = 40.0;
  // Distinct prefixes, drawn with probability 1 / rank, and how many of them a
  // target caches (least recently used).
  size_t prefixes = 400;
  size_t cached_prefixes = 60;
  // Age of the load reports that entries receive.
  std::chrono::milliseconds report_lag{300};
  std::chrono::milliseconds deadline{60000};
  // Workspaces share the load equally; the first then sends this many times its
  // share on top of the others' load.
  size_t workspaces = 10;
  double flood = 1.0;
  LimiterKind limiter = LimiterKind::kNone;
  // False: one first-in first-out queue for all workspaces.
  bool fair = true;
  bool shed_early = true;
  size_t max_queued = 256;
  std::function<std::unique_ptr<RoutingStrategy>()> strategy = [] {
    return MakeAffinityStrategy({});
  };
};

struct ModelResult {
  // Of finished requests, in milliseconds. `others` excludes the first
  // workspace.
  std::vector<double> latency;
  std::vector<double> first_token;
  std::vector<double> others_latency;
  uint64_t offered = 0;
  uint64_t others_offered = 0;
  uint64_t others_refused = 0;
  uint64_t finished = 0;
  uint64_t finished_in_time = 0;
  uint64_t prefix_hits = 0;
  uint64_t shared_calls = 0;
  // Length of the measured period in seconds.
  double seconds = 0;
};

// Requests per second that all targets finish when full, without cached
// prefixes.
double CapacityOf(const ModelOptions& options);

ModelResult RunModel(const ModelOptions& options);

// Returns the `quantile` (0 to 1) of `values`; 0 if `values` is empty.
double Quantile(std::vector<double> values, double quantile);

}  // namespace celerypost

#endif  // BENCH_SERVING_MODEL_H_
