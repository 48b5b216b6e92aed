#ifndef SRC_REQUEST_RETRY_BUDGET_H_
#define SRC_REQUEST_RETRY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "celerypost/verdict.h"

namespace celerypost {

struct RetryBudgetOptions {
  // Retries that each successful request adds to the budget.
  double share = 0.1;
  // Largest budget, in retries, and the budget at the start.
  double max_saved = 50.0;
  // Most attempts of one request, including the first.
  uint32_t max_attempts = 3;
  // Upper bound of the random delay before the first retry; doubles with each
  // attempt up to `max_delay`.
  std::chrono::milliseconds base_delay{10};
  std::chrono::milliseconds max_delay{1000};
};

// Decides whether a failed request is retried, and limits retries to a share of
// the successful requests, so that they do not multiply the load of a failing
// service (design 4.13).
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, Random& random);

  void OnSuccess();

  // Returns the delay before the retry, drawn uniformly from 0 to the upper
  // bound for this attempt, and takes one retry from the budget. Returns
  // nothing when the request must not be retried: it has run, it may have run
  // and is not idempotent, `attempt` (from 1) was the last one, the retry would
  // come after the deadline, or the budget is spent.
  std::optional<std::chrono::milliseconds> MayRetry(Verdict verdict,
                                                    bool idempotent,
                                                    uint32_t attempt,
                                                    TimePoint deadline,
                                                    TimePoint now);

  // Retries left in the budget.
  double saved() const { return this->tokens; }

 private:
  const RetryBudgetOptions options;
  Random& random;
  double tokens;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RETRY_BUDGET_H_
