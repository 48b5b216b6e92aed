#ifndef SRC_VERSION_FETCH_TIMEOUT_H_
#define SRC_VERSION_FETCH_TIMEOUT_H_

#include <algorithm>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

struct FetchTimeoutOptions {
  // Holds until a fetch has ended.
  Duration initial = std::chrono::seconds(5);
  Duration least = std::chrono::seconds(1);
  Duration most = std::chrono::seconds(30);
};

// Timeout of one kind of fetch: four times the usual duration.
class FetchTimeout {
 public:
  explicit FetchTimeout(FetchTimeoutOptions options) : options(options) {}

  void OnEnded(Duration taken) {
    this->usual = this->usual ? (*this->usual * 7 + taken) / 8 : taken;
  }
  // When every transfer slows down, the usual duration must follow although
  // none of them ends.
  void OnExpired() {
    this->usual =
        std::min(this->usual.value_or(this->options.initial / 4) * 3 / 2,
                 this->options.most);
  }
  Duration Value() const {
    return this->usual ? std::clamp(*this->usual * 4, this->options.least,
                                    this->options.most)
                       : this->options.initial;
  }

 private:
  FetchTimeoutOptions options;
  std::optional<Duration> usual;
};

}  // namespace celerypost

#endif  // SRC_VERSION_FETCH_TIMEOUT_H_
