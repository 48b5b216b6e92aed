#ifndef SRC_REQUEST_SLOT_DRAIN_H_
#define SRC_REQUEST_SLOT_DRAIN_H_

#include <cstddef>
#include <map>
#include <vector>

#include "celerypost/types.h"
#include "src/request/request_ledger.h"

namespace celerypost {

// A slot that an agent hands off, and the agent that receives it.
struct SlotTransfer {
  size_t slot = 0;
  InstanceId receiver;
};

// Decides which slots an agent that accepts no new work hands off to which
// agents of its service (design 4.2). The receivers are chosen by
// ReassignSlots, so that the hand-off and the next slot table name the same
// owners.
//
// Slots are handed off while the agent may run ids of any table version of
// them, whoever owns them in the newest table: a table that names the next
// owner may arrive before the agent learns that it must stop, and only the
// former owner can transfer the right to run ids of earlier versions.
class SlotDrain {
 public:
  SlotDrain(RequestLedger& ledger, InstanceId self);

  // Returns the transfers that are not confirmed yet, to be sent now. Call
  // repeatedly; `receivers` are the agents that accept work and are connected.
  std::vector<SlotTransfer> Pending(const std::vector<InstanceId>& receivers);

  // `from` has confirmed the transfer of `slot`.
  void OnConfirmed(size_t slot, InstanceId from);

  // Forgets all transfers. Call when the agent accepts work again.
  void Reset() { this->transfers.clear(); }

  // Number of transfers that are not confirmed yet.
  size_t unconfirmed() const;

 private:
  struct Transfer {
    InstanceId receiver;
    bool confirmed = false;
  };

  RequestLedger& ledger;
  const InstanceId self;
  // By slot.
  std::map<size_t, Transfer> transfers;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_SLOT_DRAIN_H_
