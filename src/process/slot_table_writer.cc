#include "src/process/slot_table_writer.h"

#include <utility>

#include "src/request/slot_table.h"

namespace celerypost {

namespace {

// Returns the next table, in which the slots of owners that are neither in
// `keep` nor in `live` go to members of `live`; nothing if no slot changes.
// Empty `bytes` stands for a table that does not exist yet.
Result<std::optional<std::string>> Reassign(
    std::string_view bytes,
    const std::set<InstanceId>& keep,
    const std::vector<InstanceId>& live) {
  SlotTable table;
  if (!bytes.empty()) {
    auto parsed = SlotTable::Parse(bytes);
    if (!parsed) {
      return tl::unexpected<Failure>(parsed.error());
    }
    table = *parsed;
  }
  if (live.empty()) {
    return std::optional<std::string>();
  }
  SlotTable next = ReassignSlots(table, live);
  bool changed = false;
  for (size_t slot = 0; slot < kSlotCount; ++slot) {
    const SlotOwner& owner = table.slots[slot];
    // An owner that may come back keeps its slots, but is given no others.
    if (keep.contains(owner.owner)) {
      next.slots[slot] = owner;
    }
    changed |= next.slots[slot] != owner;
  }
  if (!changed) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>(next.ToJson());
}

}  // namespace

SlotTableWriter::SlotTableWriter(InstanceId self,
                                 GossipTask& gossip,
                                 KeyValueClient& key_value,
                                 Scheduler& scheduler,
                                 Log& log)
    : self(self),
      gossip(gossip),
      key_value(key_value),
      scheduler(scheduler),
      log(log) {}

void SlotTableWriter::SetServices(const std::set<ServiceName>& services) {
  std::erase_if(this->keepers, [&services](const auto& item) {
    return !services.contains(item.first);
  });
  for (const ServiceName& service : services) {
    auto& keeper = this->keepers[service];
    if (!keeper) {
      keeper = std::make_unique<SlotKeeper>(SlotKeeperOptions{}, this->self,
                                            service, this->gossip.membership(),
                                            this->gossip.config(), Reassign);
    }
  }
}

void SlotTableWriter::OnTick() {
  if (!this->gossip.MayGiveNewWork()) {
    return;
  }
  for (const auto& [service, keeper] : this->keepers) {
    if (const auto proposal = keeper->OnTick(this->scheduler.Now())) {
      this->Propose(*proposal);
    }
  }
}

void SlotTableWriter::Propose(const SlotProposal& proposal) {
  this->key_value.Get(
      proposal.key,
      [this, proposal](const Result<std::optional<KeyValue>>& read) {
        if (!read) {
          return;
        }
        int64_t revision = 0;
        if (*read) {
          revision = (*read)->mod_revision;
          const auto stored = DocumentNumberOf(proposal.key, (*read)->value);
          if (!stored || *stored != proposal.expected_number) {
            // Another entry was faster. Its table also arrives by gossip.
            if (stored) {
              this->gossip.Offer({proposal.key, *stored, (*read)->value});
            }
            return;
          }
        } else if (proposal.expected_number != 0) {
          return;
        }
        this->Write(proposal, revision);
      });
}

void SlotTableWriter::Write(const SlotProposal& proposal, int64_t revision) {
  KeyValueTransaction transaction;
  transaction.key = proposal.key;
  transaction.expected_revision = revision;
  transaction.value = proposal.bytes;
  this->key_value.Transact(
      std::move(transaction),
      [this, proposal](const Result<KeyValueTransactionResult>& result) {
        // If the answer was lost, the next proposal reads the table again.
        if (!result || !result->succeeded) {
          return;
        }
        const auto number = DocumentNumberOf(proposal.key, proposal.bytes);
        if (number) {
          this->log.Info("slots_reassigned", "wrote a new slot table",
                         {{"key", proposal.key}, {"version", *number}});
          this->gossip.Offer({proposal.key, *number, proposal.bytes});
        }
      });
}

}  // namespace celerypost
