#include "src/process/stager/pace_watch.h"

#include <algorithm>
#include <cmath>

namespace celerypost {

namespace {

// Far over what gateways take into account, and within the message's field.
constexpr double kMaxTold = 1000;

}  // namespace

bool PaceWatch::OnReport(std::optional<double> pace, TimePoint now) {
  this->latest = pace;
  const double before = this->told.value_or(1);
  const double current = pace.value_or(1);
  if (std::max(before, current) >
      std::min(before, current) * (1 + this->options.change)) {
    this->told = pace;
    this->beats_left = this->options.beats_per_change;
    this->changed_at = now;
  }
  return this->beats_left > 0;
}

std::optional<int32_t> PaceWatch::Tell(bool to_all) {
  if (to_all) {
    this->beats_left = std::max(0, this->beats_left - 1);
    this->told = this->latest;
  }
  if (!this->latest) {
    return std::nullopt;
  }
  return static_cast<int32_t>(
      std::lround(std::min(*this->latest, kMaxTold) * 100));
}

bool PaceWatch::Varies(TimePoint now) const {
  return this->changed_at && now - *this->changed_at < this->options.varies_for;
}

}  // namespace celerypost
