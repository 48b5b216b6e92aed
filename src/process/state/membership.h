#ifndef SRC_PROCESS_STATE_MEMBERSHIP_H_
#define SRC_PROCESS_STATE_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/process/state/config_document.h"
#include "src/process/state/member.h"

namespace celerypost {

struct MembershipOptions {
  // Silence of a connected neighbour after which it is suspected. Twice the
  // heartbeat period and a margin for a slow neighbour.
  std::chrono::milliseconds suspect_after{1200};
  // Time that a suspected member has to answer with a higher incarnation. The
  // sum stays below 2 s.
  std::chrono::milliseconds dead_after_suspicion{700};
  // How long a dead member that is certainly gone is remembered, so that an old
  // record of it that still travels is not taken for a new member.
  std::chrono::milliseconds forget_dead_after{600000};
  // A gap between two ticks above this means that this process was paused; its
  // own pause is then not counted as silence of others.
  std::chrono::milliseconds own_pause{400};
  size_t neighbours_in_zone = 4;
  size_t neighbours_outside = 2;
  size_t witnesses_per_region = 5;
};

// The member table: the platform's lagging list combined with what peers see.
class Membership {
 public:
  Membership(MembershipOptions options, Member self);

  // Whole list of the platform. A member whose VM left the list is suspected.
  void OnPlatformList(const std::vector<PlatformMember>& list, TimePoint now);
  bool has_platform_list() const { return this->platform_known; }

  // A connection to `peer` is open and its Hello was checked.
  void OnPeerConnected(const Member& peer, TimePoint now);
  void OnPeerDisconnected(InstanceId peer, TimePoint now);
  // Any message came directly from `peer`.
  void OnPeerHeard(InstanceId peer, TimePoint now);

  // A record that `from` passed on; returns whether it changed the table.
  bool OnGossip(const Member& delta, InstanceId from, TimePoint now);

  // Whether the table holds a newer record of that member.
  bool KnowsNewer(const Member& record) const;

  // Advances suspicion; call at least every 100 ms.
  void OnTick(TimePoint now);

  // Changes this process's own record and gives it a new incarnation.
  void UpdateSelf(const std::function<void(Member&)>& change);
  // This process gets no new work from now on.
  void SetLeaving();

  const Member& Self() const;
  // Returns null for an unknown instance.
  const Member* Find(InstanceId instance) const;
  // The newest instance at a peer address that is not dead, or null.
  const Member* FindByAddress(const std::string& address) const;

  // Members that may get new work: live or suspected, not leaving. Empty
  // `service` means any.
  std::vector<const Member*> Live(Role role, const ServiceName& service) const;
  // Live and leaving members.
  std::vector<const Member*> NotDead() const;

  // Members that this process should keep connections to.
  const std::vector<InstanceId>& Neighbours() const;
  // Entries that should be the witnesses of `region`.
  std::vector<InstanceId> Witnesses(const RegionName& region) const;
  // Regions of all members that are not dead, and of the platform's list.
  std::set<RegionName> Regions() const;
  ZoneMap Zones() const;

  // Dead members that may still run in a part of the network that this process
  // cannot hear: the platform lists their VM, they did not announce that they
  // leave, and no newer instance runs at their address.
  std::set<InstanceId> MayStillRun() const;
  std::vector<InstanceId> Dead() const;
  // When this process learnt that the member is dead.
  std::optional<TimePoint> DeadSince(InstanceId instance) const;
  // Entries that the platform lists in `region`.
  size_t ListedEntries(const RegionName& region) const;

  // Addresses in the platform's list at which no member is known to live. A
  // process that connects to them finds members again after a partition.
  std::vector<std::string> UnknownAddresses() const;

  // Grows with each change of the table.
  uint64_t revision() const { return this->table_revision; }
  // Instances changed after `revision`, oldest change first, with the revision
  // of each change; without those learnt from `peer`.
  std::vector<std::pair<uint64_t, InstanceId>> ChangedSince(uint64_t revision,
                                                            InstanceId peer,
                                                            size_t limit) const;
  // Equal for equal sets of members that are not dead.
  uint64_t Digest() const { return this->table_digest; }

  // Whether something changed that peers should learn at once; cleared by the
  // call.
  bool TakeUrgent();
  bool HasUrgent() const { return this->urgent; }

  uint64_t suspicions() const { return this->suspicion_count; }
  uint64_t deaths() const { return this->death_count; }

 private:
  struct Entry {
    Member member;
    // Last direct message, or last record with a higher incarnation.
    TimePoint evidence_at;
    TimePoint suspected_at;
    TimePoint dead_at;
    // Since when this process expects heartbeats from the member.
    std::optional<TimePoint> watched_since;
    uint64_t revision = 0;
    InstanceId learnt_from;
    // A newer instance runs at the member's address.
    bool replaced = false;
  };

  bool MayRun(const Entry& entry) const;

  Entry& Insert(const Member& member, TimePoint now);
  void Store(Entry& entry, const Member& member, InstanceId from);
  void Suspect(Entry& entry, TimePoint now);
  void MarkDead(Entry& entry, TimePoint now);
  void RetireOlderAt(const Member& newer, TimePoint now);
  void RefuteIfNeeded(const Member& claim);

  const MembershipOptions options;
  const InstanceId self;
  std::map<InstanceId, Entry> table;
  std::map<std::string, std::set<InstanceId>> by_address;
  // Change revision to instance.
  std::map<uint64_t, InstanceId> changes;
  std::set<InstanceId> connected;
  // Connected peers and neighbours, as of the last tick.
  std::set<InstanceId> watched;
  // Suspected and dead members.
  std::set<InstanceId> unsettled;
  std::map<std::string, PlatformMember> platform;
  std::set<std::string> left_platform;
  bool platform_known = false;
  uint64_t table_revision = 0;
  uint64_t table_digest = 0;
  uint64_t suspicion_count = 0;
  uint64_t death_count = 0;
  std::optional<TimePoint> last_tick;
  bool urgent = false;
  // Choice of neighbours at a revision of the table.
  mutable std::vector<InstanceId> chosen;
  mutable uint64_t chosen_revision = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_MEMBERSHIP_H_
