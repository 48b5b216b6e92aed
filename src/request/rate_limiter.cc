#include "src/request/rate_limiter.h"

#include <algorithm>
#include <numeric>

namespace celerypost {

SlidingWindowLimiter::SlidingWindowLimiter(SlidingWindowOptions options,
                                           SharedCounters& counters)
    : options(options), counters(counters) {}

bool SlidingWindowLimiter::Allow(const WorkspaceName& workspace,
                                 TimePoint now) {
  const Duration window = this->options.window;
  const Duration elapsed = now.time_since_epoch() % window;
  const auto [previous, current] =
      this->counters.Increment(workspace, now.time_since_epoch() / window);
  const double overlap = 1.0 - static_cast<double>(elapsed.count()) /
                                   static_cast<double>(window.count());
  return static_cast<double>(previous) * overlap +
             static_cast<double>(current) <=
         this->options.limit;
}

TokenBucketLimiter::TokenBucketLimiter(TokenBucketOptions options)
    : options(options) {}

bool TokenBucketLimiter::Allow(const WorkspaceName& workspace, TimePoint now) {
  Bucket& bucket = this->buckets
                       .try_emplace(workspace, Bucket{this->options.burst,
                                                      this->options.rate, now})
                       .first->second;
  ++bucket.offered;
  const std::chrono::duration<double> elapsed = now - bucket.filled_at;
  bucket.filled_at = now;
  bucket.tokens = std::min(bucket.tokens + elapsed.count() * bucket.rate,
                           this->options.burst);
  if (bucket.tokens < 1.0) {
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

std::unordered_map<WorkspaceName, uint64_t> TokenBucketLimiter::TakeDemand() {
  std::unordered_map<WorkspaceName, uint64_t> demand;
  for (auto& [workspace, bucket] : this->buckets) {
    demand[workspace] = std::exchange(bucket.offered, 0);
  }
  return demand;
}

void TokenBucketLimiter::SetRate(const WorkspaceName& workspace, double rate) {
  const auto bucket = this->buckets.find(workspace);
  if (bucket != this->buckets.end()) {
    bucket->second.rate = rate;
  }
}

std::vector<double> ShareByDemand(std::span<const uint64_t> demand,
                                  double rate) {
  std::vector<double> shares(demand.size());
  if (demand.empty()) {
    return shares;
  }
  const double equal = rate / static_cast<double>(demand.size());
  const double total = static_cast<double>(
      std::accumulate(demand.begin(), demand.end(), uint64_t{0}));
  for (size_t node = 0; node < demand.size(); ++node) {
    const double part =
        total > 0 ? rate * static_cast<double>(demand[node]) / total : equal;
    shares[node] = 0.1 * equal + 0.9 * part;
  }
  return shares;
}

}  // namespace celerypost
