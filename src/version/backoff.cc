#include "src/version/backoff.h"

#include <algorithm>

namespace celerypost {

void Backoff::OnRefused(Duration first,
                        Duration limit,
                        std::optional<Duration> retry_after,
                        std::mt19937_64& random,
                        TimePoint now) {
  const Duration full =
      std::min(first * (1u << std::min<uint32_t>(this->refusals, 16)), limit);
  // Between half and all of it.
  std::uniform_real_distribution<double> share(0.5, 1.0);
  const Duration wait = std::chrono::duration_cast<Duration>(
      full * share(random) + retry_after.value_or(Duration::zero()));
  ++this->refusals;
  this->usable_from = std::max(this->usable_from, now + wait);
}

}  // namespace celerypost
