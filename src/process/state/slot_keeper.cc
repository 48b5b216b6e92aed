#include "src/process/state/slot_keeper.h"

#include <algorithm>
#include <utility>

#include "src/process/state/rendezvous.h"

namespace celerypost {

SlotKeeper::SlotKeeper(SlotKeeperOptions options,
                       InstanceId self,
                       ServiceName service,
                       const Membership& membership,
                       const ConfigState& config,
                       SlotReassign reassign)
    : options(options),
      self(self),
      service(std::move(service)),
      membership(membership),
      config(config),
      reassign(std::move(reassign)),
      table_key(std::string(kSlotsPrefix) + this->service.value()) {}

std::optional<SlotProposal> SlotKeeper::OnTick(TimePoint now) {
  if (!this->started_at) {
    this->started_at = now;
  }
  std::vector<InstanceId> live;
  for (const Member* member :
       this->membership.Live(Role::kAgent, this->service)) {
    if (this->config.Current().ZoneIsIn(member->zone)) {
      live.push_back(member->instance);
    }
  }
  std::vector<InstanceId> entries;
  for (const Member* member :
       this->membership.Live(Role::kEntry, ServiceName())) {
    entries.push_back(member->instance);
  }
  const auto proposers = RendezvousSelect(
      this->table_key + "#" +
          std::to_string(this->config.NumberOf(this->table_key)),
      entries, entries.size());
  const auto own = std::find(proposers.begin(), proposers.end(), this->self);
  // Members and tables arrive within the settle time; before that an owner may
  // seem unknown although it is live. A service without a table has no owners
  // that could lose slots.
  const bool first_table = this->config.NumberOf(this->table_key) == 0;
  if (own == proposers.end() ||
      (!first_table && now - *this->started_at < this->options.settle_time)) {
    this->needed_since.reset();
    return std::nullopt;
  }
  const VersionedDocument* const table = this->config.Find(this->table_key);
  auto next = this->reassign(table == nullptr ? "" : table->bytes,
                             this->OwnersToKeep(now), live);
  if (!next || !*next) {
    this->needed_since.reset();
    return std::nullopt;
  }
  const uint64_t number = table == nullptr ? 0 : table->number;
  if (!this->needed_since || this->needed_number != number) {
    this->needed_since = now;
    this->needed_number = number;
    this->proposed_at.reset();
  }
  const auto rank = own - proposers.begin();
  if (now - *this->needed_since < this->options.fallback_delay * rank ||
      (this->proposed_at &&
       now - *this->proposed_at < this->options.retry_delay)) {
    return std::nullopt;
  }
  this->proposed_at = now;
  return SlotProposal{this->table_key, number, std::move(**next)};
}

std::set<InstanceId> SlotKeeper::OwnersToKeep(TimePoint now) const {
  std::set<InstanceId> keep;
  // A leaving agent and one in a zone that is out hand their slots over, so the
  // table may list their successors at once.
  for (const Member* member :
       this->membership.Live(Role::kAgent, this->service)) {
    if (this->config.Current().ZoneIsIn(member->zone)) {
      keep.insert(member->instance);
    }
  }
  for (const InstanceId instance : this->membership.Dead()) {
    if (now - *this->membership.DeadSince(instance) <
        this->options.dead_owner_grace) {
      keep.insert(instance);
    }
  }
  return keep;
}

}  // namespace celerypost
