#include "src/request/retry_budget.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(RetryBudgetTest) {
  SplitMixRandom random{1};
  RetryBudget budget{{.max_saved = 2, .max_attempts = 4}, random};
  TimePoint now{};

  bool CanRetry(Verdict verdict, bool idempotent, uint32_t attempt = 1,
                milliseconds left = milliseconds(5000)) {
    return this->budget
        .MayRetry(verdict, idempotent, attempt, this->now + left, this->now)
        .has_value();
  }
};

// Guards against a second run of a request that must not be repeated (P6).
TEST(RetryBudgetTest, RetriesOnlyWhatMayBeRepeated) {
  CHECK_FALSE(CanRetry(Verdict::kMayHaveRun, false));
  CHECK_FALSE(CanRetry(Verdict::kRan, true));
  CHECK_TRUE(CanRetry(Verdict::kNotRun, false));
  CHECK_TRUE(CanRetry(Verdict::kMayHaveRun, true));
}

// Guards against gateways whose saved retries add up to more than the fleet may
// use: the saving is divided among as many gateways as there are.
TEST(RetryBudgetTest, ASmallerLimitDropsSavedRetries) {
  budget.SetMaxSaved(1);
  CHECK_TRUE(CanRetry(Verdict::kNotRun, false));
  CHECK_FALSE(CanRetry(Verdict::kNotRun, false));
}

// Guards against retries that multiply the load of a failing service.
TEST(RetryBudgetTest, SpendsAShareOfSuccesses) {
  CHECK_TRUE(CanRetry(Verdict::kNotRun, false));
  CHECK_TRUE(CanRetry(Verdict::kNotRun, false));
  CHECK_FALSE(CanRetry(Verdict::kNotRun, false));
  for (int count = 0; count < 10; ++count) {
    CHECK_FALSE(CanRetry(Verdict::kNotRun, false));
    budget.Deposit();
  }
  CHECK_TRUE(CanRetry(Verdict::kNotRun, false));
  for (int count = 0; count < 1000; ++count) {
    budget.Deposit();
  }
  CHECK(budget.saved() <= 2.0);
}

// Guards against retries after the last attempt or the deadline; a refused
// retry must not cost budget.
TEST(RetryBudgetTest, StopsAtTheLastAttemptAndTheDeadline) {
  CHECK_FALSE(CanRetry(Verdict::kNotRun, false, 4));
  CHECK_FALSE(CanRetry(Verdict::kNotRun, false, 1, milliseconds(0)));
  DOUBLES_EQUAL(2.0, budget.saved(), 0.0);
}

// Guards against synchronized retries and against delays over the bound.
TEST(RetryBudgetTest, DrawsDelaysWithinTheBound) {
  RetryBudget plenty({.max_saved = 1000, .max_attempts = 100}, random);
  milliseconds largest{0};
  for (int count = 0; count < 200; ++count) {
    const auto delay = plenty.MayRetry(Verdict::kNotRun, false, 3,
                                       now + milliseconds(5000), now);
    CHECK(*delay <= milliseconds(40));
    largest = std::max(largest, *delay);
  }
  CHECK(largest > milliseconds(30));
  CHECK(*plenty.MayRetry(Verdict::kNotRun, false, 99, now + milliseconds(5000),
                         now) <= milliseconds(1000));
}

}  // namespace
}  // namespace celerypost
