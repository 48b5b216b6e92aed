#include "src/connection/memory_budget.h"

#include <algorithm>
#include <utility>

namespace celerypost {

MemoryBudget::MemoryBudget(Loop& loop,
                           MemoryBudgetOptions options,
                           OnEvict on_evict)
    : loop(loop), options(options), on_evict(std::move(on_evict)) {
  this->sum->budget = this;
}

MemoryBudget::~MemoryBudget() {
  this->sum->budget = nullptr;
}

bool MemoryBudget::Accepts(size_t bytes) const {
  const double share = bytes > this->options.max_short_bytes
                           ? this->options.long_share
                           : this->options.short_share;
  return this->options.max_bytes == 0 ||
         static_cast<double>(this->sum->bytes + bytes) <=
             static_cast<double>(this->options.max_bytes) * share;
}

void MemoryBudget::EnforceLimit() {
  if (this->options.max_bytes != 0 &&
      this->sum->bytes > this->options.max_bytes) {
    this->Evict();
  }
}

void MemoryBudget::ScheduleEviction() {
  if (this->options.max_bytes == 0 ||
      this->sum->bytes <= this->options.max_bytes || this->evict_scheduled) {
    return;
  }
  // The holder that reports may be in the middle of a callback.
  this->evict_scheduled = true;
  this->loop.Post([shared = this->sum] {
    if (shared->budget != nullptr) {
      shared->budget->Evict();
    }
  });
}

void MemoryBudget::Evict() {
  this->evict_scheduled = false;
  while (this->sum->bytes > this->options.max_bytes) {
    const auto largest = std::max_element(
        this->sum->accounts.begin(), this->sum->accounts.end(),
        [](const MemoryAccount* left, const MemoryAccount* right) {
          return left->bytes < right->bytes;
        });
    if (largest == this->sum->accounts.end() || (*largest)->bytes == 0) {
      return;
    }
    MemoryAccount* const evicted = *largest;
    this->on_evict(evicted->bytes, this->sum->bytes);
    // The memory is released when the holder's connection is closed, which the
    // loop does later.
    evicted->Set(0);
    this->sum->accounts.erase(evicted);
    const auto end_holder = std::move(evicted->end_holder);
    end_holder();
  }
}

MemoryAccount::MemoryAccount(MemoryBudget& budget,
                             std::function<void()> end_holder)
    : sum(budget.sum), end_holder(std::move(end_holder)) {
  this->sum->accounts.insert(this);
}

MemoryAccount::~MemoryAccount() {
  this->Set(0);
  this->sum->accounts.erase(this);
}

void MemoryAccount::Set(size_t new_bytes) {
  this->sum->bytes += new_bytes - std::exchange(this->bytes, new_bytes);
  if (this->sum->budget != nullptr) {
    this->sum->budget->ScheduleEviction();
  }
}

}  // namespace celerypost
