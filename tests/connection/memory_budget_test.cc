#include "src/connection/memory_budget.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(MemoryBudgetTest) {
  Loop loop;
  std::vector<size_t> evicted;
  MemoryBudget budget{
      loop,
      {.max_bytes = 100,
       .long_share = 0.5,
       .short_share = 0.8,
       .max_short_bytes = 5},
      [this](size_t bytes, size_t) { this->evicted.push_back(bytes); }};

  void RunLoop() {
    this->loop.RunFor(std::chrono::milliseconds(20));
  }
};

// Guards against sound holders that are ended in place of the largest, and
// against more evictions than the limit requires.
TEST(MemoryBudgetTest, EndsTheLargestHoldersUntilTheRestFits) {
  std::vector<int> ended;
  const auto account = [&](int number, size_t bytes) {
    auto made = std::make_unique<MemoryAccount>(
        this->budget, [&ended, number] { ended.push_back(number); });
    made->Set(bytes);
    return made;
  };
  const auto first = account(1, 20);
  const auto second = account(2, 45);
  const auto third = account(3, 60);
  const auto fourth = account(4, 30);
  // Not from inside the call that reports the bytes.
  CHECK_TRUE(ended.empty());
  this->RunLoop();
  CHECK_TRUE((std::vector<int>{3}) == ended);
  CHECK_TRUE((std::vector<size_t>{60}) == this->evicted);
  CHECK_EQUAL(95u, this->budget.used());
  first->Set(80);
  this->RunLoop();
  CHECK_TRUE((std::vector<int>{3, 1}) == ended);
}

// Guards against a sum that drifts when holders end, also while they are
// ended.
TEST(MemoryBudgetTest, ForgetsAnAccountThatIsDestroyed) {
  std::unique_ptr<MemoryAccount> account;
  account = std::make_unique<MemoryAccount>(this->budget,
                                            [&account] { account.reset(); });
  account->Set(101);
  this->RunLoop();
  CHECK_TRUE(account == nullptr);
  CHECK_EQUAL(0u, this->budget.used());
}

// Guards against connections that are freed by the loop after the budget.
TEST(MemoryBudgetTest, AnAccountMayOutliveTheBudget) {
  auto short_lived = std::make_unique<MemoryBudget>(
      this->loop, MemoryBudgetOptions{.max_bytes = 1},
      [](size_t, size_t) { FAIL("evicted"); });
  MemoryAccount account(*short_lived, [] {});
  account.Set(2);
  short_lived.reset();
  account.Set(3);
  this->RunLoop();
}

// Guards against long requests that leave no memory to short ones, and against
// requests that leave none to work that has begun.
TEST(MemoryBudgetTest, AcceptsWorkBelowItsShare) {
  MemoryAccount account(this->budget, [] {});
  account.Set(44);
  CHECK_TRUE(this->budget.Accepts(6));
  CHECK_FALSE(this->budget.Accepts(7));
  account.Set(75);
  CHECK_TRUE(this->budget.Accepts(5));
  account.Set(81);
  CHECK_FALSE(this->budget.Accepts(0));
  account.Set(10);
  CHECK_TRUE(this->budget.Accepts(40));
}

TEST(MemoryBudgetTest, WithoutALimitEverythingIsAccepted) {
  MemoryBudget unlimited(this->loop, {}, {});
  MemoryAccount account(unlimited, [] { FAIL("evicted"); });
  account.Set(size_t{1} << 40);
  this->RunLoop();
  CHECK_TRUE(unlimited.Accepts(size_t{1} << 40));
}

}  // namespace
}  // namespace celerypost
