#include "src/request/retry_plan.h"

#include <algorithm>

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

std::optional<std::chrono::milliseconds> RetryPlan::OnFailed(
    const AttemptFailure& failure,
    Router* router,
    TimePoint now) {
  const bool not_run = failure.verdict == Verdict::kNotRun;
  if (failure.fault == AttemptFault::kHolderUnknown && not_run) {
    return ++this->slot_lookups < this->options.max_slot_lookups
               ? std::optional(this->options.slot_lookup_delay)
               : std::nullopt;
  }
  const bool unavailable = failure.fault == AttemptFault::kStopped ||
                           failure.fault == AttemptFault::kUnconnected;
  const bool first_time =
      failure.target != InstanceId{} &&
      (unavailable || failure.fault == AttemptFault::kLost) &&
      this->Exclude(failure.target);
  if (unavailable && not_run && first_time && router != nullptr) {
    router->OnStopped(failure.target, now);
    if (now < this->deadline && router->HasTarget(this->failed, now)) {
      return std::chrono::milliseconds(0);
    }
  }
  return this->budget.MayRetry(failure.verdict, this->idempotent,
                               ++this->budgeted_attempts, this->deadline, now);
}

bool RetryPlan::Exclude(InstanceId target) {
  if (std::find(this->failed.begin(), this->failed.end(), target) !=
      this->failed.end()) {
    return false;
  }
  this->failed.push_back(target);
  return true;
}

}  // namespace celerypost
