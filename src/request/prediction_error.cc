#include "src/request/prediction_error.h"

#include <algorithm>

namespace celerypost {

namespace {

std::chrono::milliseconds Round(Milliseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

void PredictionErrors::OnFirstEvent(const ServiceName& service,
                                    std::chrono::milliseconds predicted,
                                    std::chrono::milliseconds measured) {
  Milliseconds& allowance = this->allowances[service];
  const bool late = measured > predicted + allowance;
  const double change =
      late ? this->options.quantile : this->options.quantile - 1;
  allowance = std::clamp(allowance + this->options.step * change,
                         Milliseconds(0), this->options.max_allowance);
}

std::chrono::milliseconds PredictionErrors::AllowanceOf(
    const ServiceName& service) const {
  const auto found = this->allowances.find(service);
  return found == this->allowances.end() ? std::chrono::milliseconds(0)
                                         : Round(found->second);
}

std::chrono::milliseconds PredictionErrors::LargestAllowance() const {
  Milliseconds largest{0};
  for (const auto& [service, allowance] : this->allowances) {
    largest = std::max(largest, allowance);
  }
  return Round(largest);
}

}  // namespace celerypost
