#include "src/connection/memory_budget.h"

#include <algorithm>
#include <utility>

namespace celerypost {

MemoryBudget::MemoryBudget(Loop& loop,
                           MemoryBudgetOptions options,
                           OnEvict on_evict)
    : loop(loop), options(options), on_evict(std::move(on_evict)) {}

bool MemoryBudget::Accepts(size_t bytes) const {
  const double share = bytes > this->options.max_short_bytes
                           ? this->options.long_share
                           : this->options.short_share;
  return this->options.max_bytes == 0 ||
         static_cast<double>(this->used_bytes + bytes) <=
             static_cast<double>(this->options.max_bytes) * share;
}

void MemoryBudget::Change(size_t before, size_t after) {
  this->used_bytes += after - before;
  if (this->options.max_bytes == 0 ||
      this->used_bytes <= this->options.max_bytes || this->evict_scheduled) {
    return;
  }
  // The holder that reports may be in the middle of a callback.
  this->evict_scheduled = true;
  this->loop.Post([this] { this->Evict(); });
}

void MemoryBudget::Evict() {
  this->evict_scheduled = false;
  while (this->used_bytes > this->options.max_bytes) {
    const auto largest = std::max_element(
        this->accounts.begin(), this->accounts.end(),
        [](const MemoryAccount* left, const MemoryAccount* right) {
          return left->bytes < right->bytes;
        });
    if (largest == this->accounts.end() || (*largest)->bytes == 0) {
      return;
    }
    MemoryAccount* const evicted = *largest;
    this->on_evict(evicted->bytes, this->used_bytes);
    // The memory is released when the holder's connection is closed, which the
    // loop does later.
    evicted->Set(0);
    this->accounts.erase(evicted);
    const auto end_holder = std::move(evicted->end_holder);
    end_holder();
  }
}

MemoryAccount::MemoryAccount(MemoryBudget& budget,
                             std::function<void()> end_holder)
    : budget(budget), end_holder(std::move(end_holder)) {
  this->budget.accounts.insert(this);
}

MemoryAccount::~MemoryAccount() {
  this->Set(0);
  this->budget.accounts.erase(this);
}

void MemoryAccount::Set(size_t bytes) {
  const size_t before = std::exchange(this->bytes, bytes);
  if (before != bytes) {
    this->budget.Change(before, bytes);
  }
}

}  // namespace celerypost
