#include "src/process/state/membership.h"

#include <algorithm>
#include <utility>

#include "src/process/state/rendezvous.h"

namespace celerypost {

Membership::Membership(MembershipOptions options, Member self_record)
    : options(options), self(self_record.instance) {
  Entry& entry = this->table[this->self];
  this->Store(entry, self_record, this->self);
}

void Membership::OnPlatformList(const std::vector<PlatformMember>& list,
                                TimePoint now) {
  std::map<std::string, PlatformMember> next;
  for (const PlatformMember& member : list) {
    next[member.peer_address] = member;
  }
  for (const auto& [address, member] : this->platform_list) {
    if (!next.contains(address)) {
      this->delisted_addresses.insert(address);
    }
  }
  for (const auto& [address, member] : next) {
    this->delisted_addresses.erase(address);
  }
  this->platform_list = std::move(next);
  this->platform_list_known = true;
  for (auto& [instance, entry] : this->table) {
    const Member& member = entry.member;
    if (member.state == MemberState::kDead) {
      continue;
    }
    const auto listed = this->platform_list.find(member.address);
    if (listed == this->platform_list.end()) {
      // A VM that was never in the list may not be listed yet.
      if (this->delisted_addresses.contains(member.address) &&
          instance != this->self) {
        this->Suspect(entry, now);
      }
      continue;
    }
    if (listed->second.leaving && member.state == MemberState::kLive) {
      if (instance == this->self) {
        this->SetLeaving();
        continue;
      }
      Member changed = member;
      changed.state = MemberState::kLeaving;
      this->Store(entry, changed, this->self);
    }
  }
}

void Membership::OnPeerConnected(const Member& peer, TimePoint now) {
  if (peer.instance == this->self) {
    return;
  }
  this->connected.insert(peer.instance);
  this->OnGossip(peer, peer.instance, now);
  this->OnPeerHeard(peer.instance, now);
  const auto entry = this->table.find(peer.instance);
  if (entry != this->table.end() &&
      (entry->second.member.state == MemberState::kDead ||
       entry->second.member.suspected)) {
    // Sends the record to the peer, which refutes it with a higher incarnation.
    entry->second.learnt_from = this->self;
    this->Store(entry->second, entry->second.member, this->self);
    this->urgent = true;
  }
}

void Membership::OnPeerDisconnected(InstanceId peer, TimePoint) {
  this->connected.erase(peer);
}

void Membership::OnPeerHeard(InstanceId peer, TimePoint now) {
  const auto entry = this->table.find(peer);
  if (entry != this->table.end()) {
    entry->second.last_heard_at = now;
  }
}

bool Membership::OnGossip(const Member& delta, InstanceId from, TimePoint now) {
  if (delta.instance == this->self) {
    this->RefuteIfNeeded(delta);
    return false;
  }
  const auto known = this->table.find(delta.instance);
  if (known == this->table.end()) {
    if (delta.state == MemberState::kDead) {
      return false;
    }
    Entry& entry = this->Insert(delta, now);
    this->Store(entry, delta, from);
    this->MarkOlderInstancesDead(delta, now);
    return true;
  }
  Entry& entry = known->second;
  const Member& held = entry.member;
  if (!IsNewer(delta, held)) {
    return false;
  }
  Member merged = delta;
  if (held.state == MemberState::kLeaving &&
      merged.state == MemberState::kLive) {
    merged.state = MemberState::kLeaving;
  }
  if (delta.incarnation > held.incarnation) {
    entry.last_heard_at = now;
  }
  if (merged.suspected && !held.suspected) {
    entry.suspected_at = now;
    ++this->suspicion_count;
  }
  if (merged.state == MemberState::kDead && held.state != MemberState::kDead) {
    entry.dead_at = now;
  }
  this->Store(entry, merged, from);
  if (merged.state != MemberState::kDead) {
    this->MarkOlderInstancesDead(merged, now);
  }
  return true;
}

bool Membership::KnowsNewer(const Member& record) const {
  const Member* const held = this->Find(record.instance);
  return held != nullptr && IsNewer(*held, record);
}

void Membership::OnTick(TimePoint now) {
  const Duration gap =
      this->last_tick ? now - *this->last_tick : Duration::zero();
  this->last_tick = now;
  if (gap > this->options.min_pause) {
    for (auto& [instance, entry] : this->table) {
      entry.last_heard_at += gap;
      entry.suspected_at += gap;
      if (entry.watched_since) {
        *entry.watched_since += gap;
      }
    }
  }
  std::set<InstanceId> next_watched = this->connected;
  next_watched.insert(this->Neighbours().begin(), this->Neighbours().end());
  for (const InstanceId instance : this->watched) {
    if (!next_watched.contains(instance) && this->table.contains(instance)) {
      this->table[instance].watched_since.reset();
    }
  }
  this->watched = std::move(next_watched);
  for (const InstanceId instance : this->watched) {
    const auto found = this->table.find(instance);
    if (found == this->table.end()) {
      continue;
    }
    Entry& entry = found->second;
    if (!entry.watched_since) {
      entry.watched_since = now;
    }
    if (entry.member.state != MemberState::kDead && !entry.member.suspected &&
        now - std::max(entry.last_heard_at, *entry.watched_since) >=
            this->options.suspect_after) {
      this->Suspect(entry, now);
    }
  }
  std::vector<InstanceId> forgotten;
  // Iterates over a copy, since MarkDead changes the set.
  for (const InstanceId instance :
       std::set<InstanceId>(this->suspected_or_dead)) {
    Entry& entry = this->table[instance];
    if (entry.member.state == MemberState::kDead) {
      if (now - entry.dead_at > this->options.forget_dead_after &&
          !this->MayRun(entry)) {
        forgotten.push_back(instance);
      }
    } else if (now - entry.suspected_at >= this->options.dead_after_suspicion) {
      this->MarkDead(entry, now);
    }
  }
  for (const InstanceId instance : forgotten) {
    this->changes.erase(this->table[instance].revision);
    this->suspected_or_dead.erase(instance);
    const auto at_address =
        this->by_address.find(this->table[instance].member.address);
    at_address->second.erase(instance);
    if (at_address->second.empty()) {
      this->by_address.erase(at_address);
    }
    this->table.erase(instance);
  }
}

void Membership::UpdateSelf(const std::function<void(Member&)>& change) {
  Entry& entry = this->table[this->self];
  Member changed = entry.member;
  change(changed);
  changed.instance = this->self;
  changed.incarnation = entry.member.incarnation;
  if (changed == entry.member) {
    return;
  }
  ++changed.incarnation;
  this->Store(entry, changed, this->self);
}

void Membership::SetLeaving() {
  this->UpdateSelf([](Member& own) { own.state = MemberState::kLeaving; });
}

const Member& Membership::Self() const {
  return this->table.at(this->self).member;
}

const Member* Membership::Find(InstanceId instance) const {
  const auto found = this->table.find(instance);
  return found == this->table.end() ? nullptr : &found->second.member;
}

const Member* Membership::FindByAddress(const std::string& address) const {
  const Member* newest = nullptr;
  const auto found = this->by_address.find(address);
  if (found == this->by_address.end()) {
    return nullptr;
  }
  for (const InstanceId instance : found->second) {
    const Member& member = this->table.at(instance).member;
    if (member.state != MemberState::kDead &&
        (newest == nullptr || newest->incarnation < member.incarnation)) {
      newest = &member;
    }
  }
  return newest;
}

std::vector<const Member*> Membership::Live(Role role,
                                            const ServiceName& service) const {
  std::vector<const Member*> live;
  for (const auto& [instance, entry] : this->table) {
    const Member& member = entry.member;
    if (member.state == MemberState::kLive && member.role == role &&
        (service.empty() || member.service == service)) {
      live.push_back(&member);
    }
  }
  return live;
}

std::vector<const Member*> Membership::NotDead() const {
  std::vector<const Member*> members;
  for (const auto& [instance, entry] : this->table) {
    if (entry.member.state != MemberState::kDead) {
      members.push_back(&entry.member);
    }
  }
  return members;
}

const std::vector<InstanceId>& Membership::Neighbours() const {
  if (this->cached_neighbours_revision == this->table_revision) {
    return this->cached_neighbours;
  }
  std::vector<InstanceId> inside;
  std::vector<InstanceId> outside;
  const Member& own = this->Self();
  for (const auto& [instance, entry] : this->table) {
    if (instance == this->self || entry.member.state == MemberState::kDead) {
      continue;
    }
    (entry.member.zone == own.zone ? inside : outside).push_back(instance);
  }
  // The key contains this process's id, so that processes choose their
  // neighbours independently.
  const std::string key = "neighbour:" + std::to_string(this->self.value);
  this->cached_neighbours = RendezvousSelect(key, std::move(inside),
                                             this->options.neighbours_in_zone);
  const auto others = RendezvousSelect(key, std::move(outside),
                                       this->options.neighbours_outside);
  this->cached_neighbours.insert(this->cached_neighbours.end(), others.begin(),
                                 others.end());
  this->cached_neighbours_revision = this->table_revision;
  return this->cached_neighbours;
}

std::vector<InstanceId> Membership::Witnesses(const RegionName& region) const {
  std::vector<InstanceId> warm;
  std::vector<InstanceId> others;
  for (const auto& [instance, entry] : this->table) {
    const Member& member = entry.member;
    if (member.role == Role::kEntry && member.region == region &&
        member.state == MemberState::kLive) {
      (member.warm ? warm : others).push_back(instance);
    }
  }
  // An entry that does not know yet whether its configuration is the newest
  // issues no stamps. If such entries displaced others, a region whose entries
  // are replaced one by one during an outage would run out of witnesses.
  const std::string key = "witness:" + region.value();
  const size_t count = this->options.witnesses_per_region;
  auto chosen = RendezvousSelect(key, std::move(warm), count);
  const auto rest =
      RendezvousSelect(key, std::move(others), count - chosen.size());
  chosen.insert(chosen.end(), rest.begin(), rest.end());
  return chosen;
}

std::set<RegionName> Membership::Regions() const {
  std::set<RegionName> regions;
  for (const auto& [zone, region] : this->Zones()) {
    regions.insert(region);
  }
  return regions;
}

ZoneMap Membership::Zones() const {
  ZoneMap zones;
  for (const auto& [address, member] : this->platform_list) {
    zones[member.zone] = member.region;
  }
  for (const auto& [instance, entry] : this->table) {
    if (entry.member.state != MemberState::kDead) {
      zones[entry.member.zone] = entry.member.region;
    }
  }
  return zones;
}

std::set<InstanceId> Membership::MayStillRun() const {
  std::set<InstanceId> silent;
  for (const auto& [instance, entry] : this->table) {
    if (entry.member.state == MemberState::kDead && this->MayRun(entry)) {
      silent.insert(instance);
    }
  }
  return silent;
}

std::vector<InstanceId> Membership::Dead() const {
  std::vector<InstanceId> dead;
  for (const auto& [instance, entry] : this->table) {
    if (entry.member.state == MemberState::kDead) {
      dead.push_back(instance);
    }
  }
  return dead;
}

std::optional<TimePoint> Membership::DeadSince(InstanceId instance) const {
  const auto found = this->table.find(instance);
  if (found == this->table.end() ||
      found->second.member.state != MemberState::kDead) {
    return std::nullopt;
  }
  return found->second.dead_at;
}

size_t Membership::ListedEntries(const RegionName& region) const {
  return static_cast<size_t>(std::count_if(
      this->platform_list.begin(), this->platform_list.end(),
      [&](const auto& item) {
        return item.second.role == Role::kEntry &&
               item.second.region == region && !item.second.leaving;
      }));
}

std::vector<std::string> Membership::UnknownAddresses() const {
  std::set<std::string> known;
  for (const auto& [instance, entry] : this->table) {
    if (entry.member.state != MemberState::kDead) {
      known.insert(entry.member.address);
    }
  }
  std::vector<std::string> unknown;
  for (const auto& [address, member] : this->platform_list) {
    if (!known.contains(address)) {
      unknown.push_back(address);
    }
  }
  return unknown;
}

std::vector<std::pair<uint64_t, InstanceId>> Membership::ChangedSince(
    uint64_t revision,
    InstanceId peer,
    size_t limit) const {
  std::vector<std::pair<uint64_t, InstanceId>> changed;
  for (auto change = this->changes.upper_bound(revision);
       change != this->changes.end() && changed.size() < limit; ++change) {
    if (this->table.at(change->second).learnt_from != peer) {
      changed.emplace_back(*change);
    }
  }
  return changed;
}

bool Membership::TakeUrgent() {
  return std::exchange(this->urgent, false);
}

Membership::Entry& Membership::Insert(const Member& member, TimePoint now) {
  Entry& entry = this->table[member.instance];
  entry.last_heard_at = now;
  entry.suspected_at = now;
  entry.dead_at = now;
  return entry;
}

void Membership::Store(Entry& entry, const Member& member, InstanceId from) {
  this->table_digest ^= entry.revision == 0 ? 0 : RecordDigest(entry.member);
  if (entry.revision == 0 || IsUrgentChange(entry.member, member)) {
    this->urgent = true;
  }
  this->changes.erase(entry.revision);
  if (entry.member.address != member.address || entry.revision == 0) {
    this->by_address[entry.member.address].erase(member.instance);
    this->by_address[member.address].insert(member.instance);
  }
  entry.member = member;
  entry.learnt_from = from;
  entry.revision = ++this->table_revision;
  this->changes[entry.revision] = member.instance;
  this->table_digest ^= RecordDigest(entry.member);
  if (member.suspected || member.state == MemberState::kDead) {
    this->suspected_or_dead.insert(member.instance);
  } else {
    this->suspected_or_dead.erase(member.instance);
  }
}

void Membership::Suspect(Entry& entry, TimePoint now) {
  if (entry.member.suspected) {
    return;
  }
  entry.suspected_at = now;
  ++this->suspicion_count;
  Member changed = entry.member;
  changed.suspected = true;
  this->Store(entry, changed, this->self);
}

void Membership::MarkDead(Entry& entry, TimePoint now) {
  entry.dead_at = now;
  ++this->death_count;
  Member changed = entry.member;
  changed.suspected = false;
  entry.certainly_gone |= changed.state == MemberState::kLeaving;
  changed.state = MemberState::kDead;
  this->Store(entry, changed, this->self);
}

void Membership::MarkOlderInstancesDead(const Member& newer, TimePoint now) {
  for (const InstanceId instance : this->by_address[newer.address]) {
    Entry& entry = this->table[instance];
    if (instance == newer.instance || instance == this->self ||
        entry.member.incarnation >= newer.incarnation) {
      continue;
    }
    entry.certainly_gone = true;
    if (entry.member.state != MemberState::kDead) {
      this->MarkDead(entry, now);
    }
  }
}

void Membership::RefuteIfNeeded(const Member& claim) {
  Entry& entry = this->table[this->self];
  if (claim.incarnation < entry.member.incarnation) {
    return;
  }
  const bool told_to_leave = claim.state == MemberState::kLeaving &&
                             entry.member.state == MemberState::kLive;
  if (!told_to_leave && !claim.suspected && claim.state != MemberState::kDead &&
      claim.incarnation == entry.member.incarnation) {
    return;
  }
  Member changed = entry.member;
  if (told_to_leave) {
    changed.state = MemberState::kLeaving;
  }
  changed.incarnation = claim.incarnation + 1;
  this->Store(entry, changed, this->self);
  this->urgent = true;
}

bool Membership::MayRun(const Entry& entry) const {
  if (entry.certainly_gone) {
    return false;
  }
  // Without the platform's list nothing proves that the VM is gone.
  return !this->platform_list_known ||
         this->platform_list.contains(entry.member.address);
}

}  // namespace celerypost
