#ifndef SRC_REQUEST_RATE_LIMITER_H_
#define SRC_REQUEST_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// Baselines for the comparison with FairQueue (design 4.14); the daemons do not
// use them.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;
  // Whether a request of `workspace` may go on now.
  virtual bool Allow(const WorkspaceName& workspace, TimePoint now) = 0;
};

// Counters that all nodes share. Each call stands for one call to a shared
// store.
class SharedCounters {
 public:
  virtual ~SharedCounters() = default;
  // Adds one to the counter of `workspace` in the window number `window` and
  // returns the counts of the window before and of this one.
  virtual std::pair<uint64_t, uint64_t> Increment(
      const WorkspaceName& workspace,
      int64_t window) = 0;
};

struct SlidingWindowOptions {
  // Requests per window of one workspace, over all nodes.
  double limit = 100.0;
  std::chrono::milliseconds window{1000};
};

// Estimates the rate over the last window from the counts of two fixed windows,
// the older one weighted by how much of it still overlaps. One shared call per
// request.
class SlidingWindowLimiter final : public RateLimiter {
 public:
  SlidingWindowLimiter(SlidingWindowOptions options, SharedCounters& counters);
  bool Allow(const WorkspaceName& workspace, TimePoint now) override;

 private:
  const SlidingWindowOptions options;
  SharedCounters& counters;
};

struct TokenBucketOptions {
  // Tokens per second that a workspace has at this node until the first sync.
  double rate = 10.0;
  // Largest number of saved tokens.
  double burst = 10.0;
};

// A token bucket per workspace at this node. The rates are set by a periodic
// exchange of demand with the other nodes (ShareByDemand); no call per request.
class TokenBucketLimiter final : public RateLimiter {
 public:
  explicit TokenBucketLimiter(TokenBucketOptions options);
  bool Allow(const WorkspaceName& workspace, TimePoint now) override;

  // Returns the requests offered per workspace since the last call.
  std::unordered_map<WorkspaceName, uint64_t> TakeDemand();
  void SetRate(const WorkspaceName& workspace, double rate);

 private:
  struct Bucket {
    double tokens;
    double rate;
    TimePoint filled_at;
    uint64_t offered = 0;
  };

  const TokenBucketOptions options;
  std::unordered_map<WorkspaceName, Bucket> buckets;
};

// Divides `rate` among nodes in proportion to their demand; each node keeps at
// least a tenth of an equal share, so that it can start.
std::vector<double> ShareByDemand(std::span<const uint64_t> demand,
                                  double rate);

}  // namespace celerypost

#endif  // SRC_REQUEST_RATE_LIMITER_H_
