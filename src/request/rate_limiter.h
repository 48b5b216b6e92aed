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
  // Returns whether a request of `workspace` may proceed now, and counts it.
  virtual bool Allow(const WorkspaceName& workspace, TimePoint now) = 0;
};

// Request counters that all nodes share. Each call represents one call to a
// shared store.
class SharedCounters {
 public:
  virtual ~SharedCounters() = default;
  // Increments the counter of `workspace` in the window number `window` and
  // returns the counts of the previous window and of this one.
  virtual std::pair<uint64_t, uint64_t> Increment(
      const WorkspaceName& workspace,
      int64_t window) = 0;
};

struct SlidingWindowOptions {
  // Requests of one workspace per window, over all nodes.
  double limit = 100.0;
  std::chrono::milliseconds window{1000};
};

// Estimates the rate over a sliding window from the counts of two fixed
// windows, where the older one is weighted by its overlap with the sliding
// window. Makes one call to the shared store per request.
class SlidingWindowLimiter final : public RateLimiter {
 public:
  SlidingWindowLimiter(SlidingWindowOptions options, SharedCounters& counters);
  bool Allow(const WorkspaceName& workspace, TimePoint now) override;

 private:
  const SlidingWindowOptions options;
  SharedCounters& counters;
};

struct TokenBucketOptions {
  // Tokens per second that a workspace gets at this node until SetRate is
  // called for it.
  double rate = 10.0;
  // Capacity of a bucket, in tokens.
  double burst = 10.0;
};

// A token bucket per workspace at this node. The rates are set by a periodic
// exchange of demand with the other nodes (ShareByDemand), without a call to a
// shared store per request.
class TokenBucketLimiter final : public RateLimiter {
 public:
  explicit TokenBucketLimiter(TokenBucketOptions options);
  bool Allow(const WorkspaceName& workspace, TimePoint now) override;

  // Returns the number of requests per workspace, allowed or not, since the
  // last call.
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

// Divides `rate` among nodes in proportion to their demand. Each node gets at
// least a tenth of an equal share, so that an idle node can serve its first
// requests.
std::vector<double> ShareByDemand(std::span<const uint64_t> demand,
                                  double rate);

}  // namespace celerypost

#endif  // SRC_REQUEST_RATE_LIMITER_H_
