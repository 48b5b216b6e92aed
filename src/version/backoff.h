#ifndef SRC_VERSION_BACKOFF_H_
#define SRC_VERSION_BACKOFF_H_

#include <cstdint>
#include <optional>
#include <random>

#include "celerypost/types.h"

namespace celerypost {

// Decides when a source that has refused may be asked again. The wait doubles
// with each consecutive refusal and has a random jitter.
class Backoff {
 public:
  // Before jitter, the wait is `initial` after the first refusal and at most
  // `limit`. `retry_after` is the delay that the source asked for; the wait
  // comes on top, so that agents refused together do not retry together.
  void OnRefused(Duration initial,
                 Duration limit,
                 std::optional<Duration> retry_after,
                 std::mt19937_64& random,
                 TimePoint now);
  void OnSuccess() { this->consecutive_refusals = 0; }
  bool Usable(TimePoint now) const { return now >= this->usable_from; }

 private:
  uint32_t consecutive_refusals = 0;
  TimePoint usable_from{};
};

}  // namespace celerypost

#endif  // SRC_VERSION_BACKOFF_H_
