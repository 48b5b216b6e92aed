#include "src/version/backoff.h"

#include <algorithm>

namespace celerypost {

void Backoff::OnRefused(Duration initial,
                        Duration limit,
                        std::optional<Duration> retry_after,
                        std::mt19937_64& random,
                        TimePoint now) {
  const Duration unjittered = std::min(
      initial * (1u << std::min<uint32_t>(this->consecutive_refusals, 16)),
      limit);
  // The wait is between half and all of it.
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const Duration wait = std::chrono::duration_cast<Duration>(
      unjittered * jitter(random) + retry_after.value_or(Duration::zero()));
  ++this->consecutive_refusals;
  this->usable_from = std::max(this->usable_from, now + wait);
}

}  // namespace celerypost
