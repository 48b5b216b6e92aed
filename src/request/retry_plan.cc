#include "src/request/retry_plan.h"

namespace celerypost {

RetryPlan::RetryPlan(RetryPlanOptions options,
                     RetryBudget& budget,
                     bool idempotent,
                     TimePoint deadline)
    : options(options),
      budget(budget),
      idempotent(idempotent),
      deadline(deadline) {}

Result<InstanceId> RetryPlan::PickTarget(Router& router,
                                         uint64_t prefix_hash,
                                         TimePoint now) {
  RouteRequest route;
  route.prefix_hash = prefix_hash;
  route.exclude = this->failed;
  auto picked = router.Pick(route, now);
  if (!picked && !this->failed.empty()) {
    // Every target has failed this request once, so all are eligible again.
    this->failed.clear();
    route.exclude = {};
    picked = router.Pick(route, now);
  }
  return picked;
}

std::optional<std::chrono::milliseconds>
RetryPlan::OnFailed(const AttemptFailure& failure, Router*, TimePoint now) {
  if (failure.fault == AttemptFault::kLost ||
      failure.fault == AttemptFault::kUnconnected) {
    this->failed.push_back(failure.target);
  }
  if (failure.fault == AttemptFault::kHolderUnknown &&
      failure.verdict == Verdict::kNotRun) {
    return this->attempts < this->options.max_slot_attempts
               ? std::optional(this->options.slot_lookup_delay)
               : std::nullopt;
  }
  return this->budget.MayRetry(failure.verdict, this->idempotent,
                               this->attempts, this->deadline, now);
}

}  // namespace celerypost
