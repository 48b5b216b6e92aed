#ifndef SRC_REQUEST_RETRY_BUDGET_H_
#define SRC_REQUEST_RETRY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "celerypost/verdict.h"

namespace celerypost {

struct RetryBudgetOptions {
  // Retries that each Deposit adds to the budget.
  double share = 0.1;
  // Share of `max_saved` that is kept for retries of kStarted requests.
  double reserved_share = 0;
  // Largest budget, in retries, and the budget at the start.
  double max_saved = 50.0;
  // Most attempts of one request, including the first.
  uint32_t max_attempts = 3;
  // Upper bound of the random delay before the first retry; doubles with each
  // attempt up to `max_delay`.
  std::chrono::milliseconds base_delay{10};
  std::chrono::milliseconds max_delay{1000};
};

// What a request loses if it is not retried.
enum class RetryPriority : uint8_t {
  // The caller can send the request again.
  kOrdinary,
  // The caller has received a part of the answer, which would be lost.
  kStarted,
};

// Decides whether a failed request is retried, and limits retries to a share of
// the requests that call Deposit, so that they do not multiply the load of a
// failing service (design 4.13).
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, Random& random);

  // Adds the share of one request: of each successful one, or of each one that
  // arrives, as the limit demands.
  void Deposit();

  // Returns the delay before the retry, drawn uniformly from 0 to the upper
  // bound for this attempt, and takes one retry from the budget. Returns
  // nothing when the request must not be retried: it has run, it may have run
  // and is not idempotent, `attempt` (from 1) was the last one, the retry would
  // come after the deadline, or the budget is spent.
  std::optional<std::chrono::milliseconds> MayRetry(
      Verdict verdict,
      bool idempotent,
      uint32_t attempt,
      TimePoint deadline,
      TimePoint now,
      RetryPriority priority = RetryPriority::kOrdinary);

  // Changes the largest budget; retries above it are dropped.
  void SetMaxSaved(double max_saved);
  // Retries left in the budget.
  double saved() const { return this->tokens; }

 private:
  RetryBudgetOptions options;
  Random& random;
  double tokens;
};

// One budget for each service, so that retries of one service do not use up
// those of another.
class ServiceRetryBudgets {
 public:
  ServiceRetryBudgets(RetryBudgetOptions options, Random& random)
      : options(options), random(random) {}

  RetryBudget& For(const ServiceName& service);
  // Changes the largest budget of each service.
  void SetMaxSaved(double max_saved);

 private:
  RetryBudgetOptions options;
  Random& random;
  std::map<ServiceName, RetryBudget> budgets;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RETRY_BUDGET_H_
