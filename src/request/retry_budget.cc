#include "src/request/retry_budget.h"

#include <algorithm>

namespace celerypost {
namespace {

// One retry, less a tolerance for the rounding error of summing up a share such
// as 0.1.
constexpr double kOneRetry = 1.0 - 1e-9;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options, Random& random)
    : options(options), random(random), tokens(options.max_saved) {}

void RetryBudget::Deposit() {
  this->tokens =
      std::min(this->tokens + this->options.share, this->options.max_saved);
}

void RetryBudget::SetMaxSaved(double max_saved) {
  this->options.max_saved = max_saved;
  this->tokens = std::min(this->tokens, max_saved);
}

std::optional<std::chrono::milliseconds> RetryBudget::MayRetry(
    Verdict verdict,
    bool idempotent,
    uint32_t attempt,
    TimePoint deadline,
    TimePoint now,
    RetryPriority priority) {
  const bool repeatable = verdict == Verdict::kNotRun ||
                          (verdict == Verdict::kMayHaveRun && idempotent);
  const double reserved =
      priority == RetryPriority::kStarted
          ? 0
          : this->options.reserved_share * this->options.max_saved;
  if (!repeatable || attempt >= this->options.max_attempts ||
      this->tokens < kOneRetry + reserved) {
    return std::nullopt;
  }
  const uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, 20u);
  const auto bound = std::min(this->options.base_delay * (1 << doublings),
                              this->options.max_delay);
  const std::chrono::milliseconds delay(
      this->random.Below(static_cast<uint64_t>(bound.count()) + 1));
  if (now + delay >= deadline) {
    return std::nullopt;
  }
  this->tokens -= 1.0;
  return delay;
}

RetryBudget& ServiceRetryBudgets::For(const ServiceName& service) {
  return this->budgets.try_emplace(service, this->options, this->random)
      .first->second;
}

void ServiceRetryBudgets::SetMaxSaved(double max_saved) {
  this->options.max_saved = max_saved;
  for (auto& [service, budget] : this->budgets) {
    budget.SetMaxSaved(max_saved);
  }
}

}  // namespace celerypost
