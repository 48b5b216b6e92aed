#ifndef SRC_REQUEST_RETRY_PLAN_H_
#define SRC_REQUEST_RETRY_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/request/retry_budget.h"
#include "src/request/router.h"

namespace celerypost {

struct RetryPlanOptions {
  // Delay before a slot's holder is looked up again while it is unknown, not
  // connected or has an older slot table. Gossip spreads a new slot table
  // within tens of milliseconds.
  std::chrono::milliseconds slot_lookup_delay{25};
  // Most lookups of the slot's holder. They do not use the retry budget,
  // because their refusals put no load on a target.
  uint32_t max_slot_lookups = 200;
};

enum class AttemptFault : uint8_t {
  // The target failed the request, or its agent refused it for a reason that
  // another attempt may not meet, such as a full queue.
  kFailed,
  // The connection to the target's agent was lost.
  kLost,
  // The target's agent is not connected, so that nothing was sent.
  kUnconnected,
  // The target's agent accepts no new work and has refused the request without
  // running it, or there is no target.
  kStopped,
  // The holder of the request's slot is unknown, not connected or has changed.
  kHolderUnknown,
};

struct AttemptFailure {
  Verdict verdict = Verdict::kNotRun;
  AttemptFault fault = AttemptFault::kFailed;
  // Zero when no target was chosen.
  InstanceId target{};
};

// Decides for one request at an entry whether, when and where it is tried again
// (design 4.13).
class RetryPlan {
 public:
  RetryPlan(RetryPlanOptions options,
            RetryBudget& budget,
            bool idempotent,
            TimePoint deadline);

  // Counts an attempt and returns its number, from 1. Call before each attempt.
  uint32_t BeginAttempt() { return ++this->attempts; }

  // Selects the target of the attempt; prefers targets that have not failed
  // this request. Fails with verdict kNotRun when `router` has none.
  Result<InstanceId> PickTarget(Router& router,
                                uint64_t prefix_hash,
                                TimePoint now);

  // Returns the delay before the next attempt; nothing when the request has
  // failed for good. `router` holds the targets that could take the next
  // attempt; null when the request is bound to the holder of its slot.
  //
  // After kStopped and kUnconnected the request goes to another target at once
  // while there is one. Nothing has run, and each target is left out after its
  // refusal, so this uses neither the retry budget nor the attempts that the
  // budget allows.
  std::optional<std::chrono::milliseconds>
  OnFailed(const AttemptFailure& failure, Router* router, TimePoint now);

  // Targets that are not selected while there are others.
  const std::vector<InstanceId>& excluded() const { return this->failed; }

 private:
  // Returns false if `target` was excluded before.
  bool Exclude(InstanceId target);

  const RetryPlanOptions options;
  RetryBudget& budget;
  const bool idempotent;
  const TimePoint deadline;
  uint32_t attempts = 0;
  uint32_t slot_lookups = 0;
  // Attempts that the retry budget limits.
  uint32_t budgeted_attempts = 0;
  std::vector<InstanceId> failed;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RETRY_PLAN_H_
