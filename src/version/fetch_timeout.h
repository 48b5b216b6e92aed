#ifndef SRC_VERSION_FETCH_TIMEOUT_H_
#define SRC_VERSION_FETCH_TIMEOUT_H_

#include <algorithm>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

struct FetchTimeoutOptions {
  // Timeout until the first fetch has ended or expired.
  Duration initial = std::chrono::seconds(5);
  Duration min = std::chrono::seconds(1);
  Duration max = std::chrono::seconds(30);
};

// Timeout of one kind of fetch: four times the smoothed duration of earlier
// ones.
class FetchTimeout {
 public:
  explicit FetchTimeout(FetchTimeoutOptions options) : options(options) {}

  void OnEnded(Duration duration) {
    this->smoothed_duration =
        this->smoothed_duration ? (*this->smoothed_duration * 7 + duration) / 8
                                : duration;
  }
  // Raises the smoothed duration: when all transfers slow down so much that
  // none ends in time, the timeout must grow all the same.
  void OnExpired() {
    this->smoothed_duration = std::min(
        this->smoothed_duration.value_or(this->options.initial / 4) * 3 / 2,
        this->options.max);
  }
  Duration Value() const {
    return this->smoothed_duration
               ? std::clamp(*this->smoothed_duration * 4, this->options.min,
                            this->options.max)
               : this->options.initial;
  }

 private:
  FetchTimeoutOptions options;
  std::optional<Duration> smoothed_duration;
};

}  // namespace celerypost

#endif  // SRC_VERSION_FETCH_TIMEOUT_H_
