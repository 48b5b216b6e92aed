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
  // Retries allowed per successful request.
  double share = 0.1;
  // Retries saved up at most, and allowed at the start.
  double max_saved = 50.0;
  // Attempts of one request at most, the first included.
  uint32_t max_attempts = 3;
  // Upper bound of the delay before the first retry; doubles per attempt.
  std::chrono::milliseconds base_delay{10};
  std::chrono::milliseconds max_delay{1000};
};

// Decides whether a failed request is sent again, so that retries stay a share
// of successful work while a service is down (design 4.13).
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, Random& random);

  void OnSuccess();

  // Returns the delay before the retry, drawn from [0, bound of the attempt],
  // or nothing when the request must not be retried: it may have run and is not
  // idempotent, `attempt` (from 1) was the last, the delay would pass the
  // deadline, or the budget is spent. Spends one retry.
  std::optional<std::chrono::milliseconds> MayRetry(Verdict verdict,
                                                    bool idempotent,
                                                    uint32_t attempt,
                                                    TimePoint deadline,
                                                    TimePoint now);

  double saved() const { return this->tokens; }

 private:
  const RetryBudgetOptions options;
  Random& random;
  double tokens;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RETRY_BUDGET_H_
