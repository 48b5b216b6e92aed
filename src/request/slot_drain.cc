#include "src/request/slot_drain.h"

#include <algorithm>

namespace celerypost {

SlotDrain::SlotDrain(RequestLedger& ledger, InstanceId self)
    : ledger(ledger), self(self) {}

std::vector<SlotTransfer> SlotDrain::Pending(
    const std::vector<InstanceId>& receivers) {
  std::vector<SlotTransfer> pending;
  if (receivers.empty()) {
    return pending;
  }
  const SlotTable& table = this->ledger.newest_table();
  const SlotTable next = ReassignSlots(table, receivers);
  for (size_t slot = 0; slot < kSlotCount; ++slot) {
    const bool held = this->ledger.HoldsAny(slot);
    const auto known = this->transfers.find(slot);
    if (!held && known == this->transfers.end() &&
        table.slots[slot].owner != this->self) {
      continue;
    }
    Transfer& transfer =
        this->transfers
            .try_emplace(slot, Transfer{next.slots[slot].owner, false})
            .first->second;
    if (held && std::find(receivers.begin(), receivers.end(),
                          transfer.receiver) == receivers.end()) {
      transfer.receiver = next.slots[slot].owner;
    }
    // A table that arrived after the confirmation may have granted the slot
    // again.
    transfer.confirmed = transfer.confirmed && !held;
    if (!transfer.confirmed) {
      pending.push_back({slot, transfer.receiver});
    }
  }
  return pending;
}

void SlotDrain::OnConfirmed(size_t slot, InstanceId from) {
  const auto found = this->transfers.find(slot);
  if (found != this->transfers.end() && found->second.receiver == from) {
    found->second.confirmed = true;
  }
}

size_t SlotDrain::unconfirmed() const {
  return static_cast<size_t>(
      std::count_if(this->transfers.begin(), this->transfers.end(),
                    [](const auto& item) { return !item.second.confirmed; }));
}

}  // namespace celerypost
