#ifndef SRC_VERSION_BACKOFF_H_
#define SRC_VERSION_BACKOFF_H_

#include <cstdint>
#include <optional>
#include <random>

#include "celerypost/types.h"

namespace celerypost {

// When a source that has refused may be asked again: the wait doubles with each
// consecutive refusal, with jitter.
class Backoff {
 public:
  // `retry_after` is what the source asked for; the jitter comes on top, so
  // that agents refused together do not return together.
  void OnRefused(Duration first,
                 Duration limit,
                 std::optional<Duration> retry_after,
                 std::mt19937_64& random,
                 TimePoint now);
  void OnSuccess() { this->refusals = 0; }
  bool Usable(TimePoint now) const { return now >= this->usable_from; }

 private:
  // Consecutive ones.
  uint32_t refusals = 0;
  TimePoint usable_from{};
};

}  // namespace celerypost

#endif  // SRC_VERSION_BACKOFF_H_
