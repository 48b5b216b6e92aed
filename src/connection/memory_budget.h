#ifndef SRC_CONNECTION_MEMORY_BUDGET_H_
#define SRC_CONNECTION_MEMORY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

#include "src/connection/loop.h"

namespace celerypost {

class MemoryAccount;

struct MemoryBudgetOptions {
  // Most bytes that all accounts may hold together; 0 means no limit.
  size_t max_bytes = 0;
  // A request is accepted if it does not raise what the accounts hold over this
  // share of `max_bytes`. The rest is left to work that has begun, and a part
  // of it to short requests.
  double long_share = 0.75;
  double short_share = 0.9;
  // Longest request that counts as short.
  size_t max_short_bytes = 64u << 10;
};

// Bounds the sum of what a process keeps on behalf of callers: parts of
// requests and of answers that have not been passed on. Each holder reports its
// bytes to an account. When the sum exceeds the limit, the holders are ended,
// the largest first, so that the process is not killed with all of its
// requests.
class MemoryBudget {
 public:
  // Called before a holder is ended, with its bytes and the sum.
  using OnEvict = std::function<void(size_t bytes, size_t used)>;

  MemoryBudget(Loop& loop, MemoryBudgetOptions options, OnEvict on_evict);
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Whether a request of this length may be taken.
  bool Accepts(size_t bytes) const;
  // Ends the largest holders now if the limit is exceeded. The caller must not
  // be in the middle of a holder's callback.
  void EnforceLimit();
  size_t used() const { return this->sum->bytes; }

 private:
  friend class MemoryAccount;

  // Shared with the accounts, since connections end some time after they are
  // closed.
  struct Sum {
    // Null when the budget has ended.
    MemoryBudget* budget = nullptr;
    std::unordered_set<MemoryAccount*> accounts;
    size_t bytes = 0;
  };

  void ScheduleEviction();
  void Evict();

  Loop& loop;
  MemoryBudgetOptions options;
  OnEvict on_evict;
  std::shared_ptr<Sum> sum = std::make_shared<Sum>();
  bool evict_scheduled = false;
};

// The bytes of one holder, such as a connection. Nothing is ended for them any
// more when the budget has ended.
class MemoryAccount {
 public:
  // `end_holder` ends what holds the bytes. It is called from the loop, at most
  // once, and may destroy this account.
  MemoryAccount(MemoryBudget& budget, std::function<void()> end_holder);
  ~MemoryAccount();
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  void Set(size_t new_bytes);

 private:
  friend class MemoryBudget;

  std::shared_ptr<MemoryBudget::Sum> sum;
  std::function<void()> end_holder;
  size_t bytes = 0;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_MEMORY_BUDGET_H_
