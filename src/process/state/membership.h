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
  // Time without messages from a watched member after which it is suspected:
  // twice the heartbeat period and a margin for a slow member.
  std::chrono::milliseconds suspect_after{1200};
  // Time for a suspected member to refute the suspicion with a higher
  // incarnation. The sum with suspect_after must stay below 2 s.
  std::chrono::milliseconds dead_after_suspicion{700};
  // How long the record of a dead member that cannot still run is kept, so that
  // an old record of it that still circulates is not taken for a new member.
  std::chrono::milliseconds forget_dead_after{600000};
  // A gap between two ticks above this means that this process was paused. The
  // gap is then not counted as silence of other members.
  std::chrono::milliseconds min_pause{400};
  size_t neighbours_in_zone = 4;
  size_t neighbours_outside = 2;
  size_t witnesses_per_region = 5;
};

// The member table: combines the platform's list of VMs, which lags, with the
// failures and changes that peers observe.
class Membership {
 public:
  Membership(MembershipOptions options, Member self);

  // Takes the platform's complete list. A member whose VM left the list is
  // suspected.
  void OnPlatformList(const std::vector<PlatformMember>& list, TimePoint now);
  bool has_platform_list() const { return this->platform_list_known; }

  // Call when a connection to `peer` is open and its Hello was checked.
  void OnPeerConnected(const Member& peer, TimePoint now);
  void OnPeerDisconnected(InstanceId peer, TimePoint now);
  // Call for each message that was received directly from `peer`.
  void OnPeerHeard(InstanceId peer, TimePoint now);

  // Merges a record that `from` sent. Returns whether the table changed.
  bool OnGossip(const Member& delta, InstanceId from, TimePoint now);

  // Returns whether the table holds a newer record of that member.
  bool KnowsNewer(const Member& record) const;

  // Suspects silent members and marks suspected ones dead. Call at least every
  // 100 ms.
  void OnTick(TimePoint now);

  // Changes this process's own record and gives it a new incarnation.
  void UpdateSelf(const std::function<void(Member&)>& change);
  // Marks this process as leaving, so that it gets no new work.
  void SetLeaving();

  const Member& Self() const;
  // Returns null for an unknown instance.
  const Member* Find(InstanceId instance) const;
  // Returns the newest instance at a peer address that is not dead, or null.
  const Member* FindByAddress(const std::string& address) const;

  // Returns the members that may get new work: live, including suspected ones,
  // and not leaving. An empty `service` matches all.
  std::vector<const Member*> Live(Role role, const ServiceName& service) const;
  // Returns the live and the leaving members.
  std::vector<const Member*> NotDead() const;

  // Returns the members that this process should keep connections to.
  const std::vector<InstanceId>& Neighbours() const;
  // Returns the entries that should be the witnesses of `region`.
  std::vector<InstanceId> Witnesses(const RegionName& region) const;
  // Return the regions or zones of all members that are not dead and of the
  // platform's list.
  std::set<RegionName> Regions() const;
  ZoneMap Zones() const;

  // Returns the dead members that may still run in another network partition:
  // the platform lists their VM or its list is not known yet, they did not
  // announce that they leave, and no newer instance runs at their address.
  std::set<InstanceId> MayStillRun() const;
  std::vector<InstanceId> Dead() const;
  // Returns when this process learned that the member is dead, or nothing for a
  // member that is not.
  std::optional<TimePoint> DeadSince(InstanceId instance) const;
  // Returns the number of entries that the platform lists in `region` and that
  // are not leaving.
  size_t ListedEntries(const RegionName& region) const;

  // Returns the addresses in the platform's list at which no member is known
  // that is not dead. Connecting to them finds members again after a partition.
  std::vector<std::string> UnknownAddresses() const;

  // Grows with each change of the table.
  uint64_t revision() const { return this->table_revision; }
  // Returns at most `limit` instances changed after `revision`, oldest change
  // first, with the revision of each change, without those learned from `peer`.
  std::vector<std::pair<uint64_t, InstanceId>> ChangedSince(uint64_t revision,
                                                            InstanceId peer,
                                                            size_t limit) const;
  // Digest of the members that are not dead; equal for equal tables.
  uint64_t Digest() const { return this->table_digest; }

  // Returns whether a change is pending that peers should learn at once, and
  // clears it.
  bool TakeUrgent();
  bool HasUrgent() const { return this->urgent; }

  uint64_t suspicions() const { return this->suspicion_count; }
  uint64_t deaths() const { return this->death_count; }

 private:
  struct Entry {
    Member member;
    // Time of the last direct message, or of the last record with a higher
    // incarnation.
    TimePoint last_heard_at;
    TimePoint suspected_at;
    TimePoint dead_at;
    // Since when this process expects heartbeats from the member.
    std::optional<TimePoint> watched_since;
    uint64_t revision = 0;
    InstanceId learnt_from;
    // The member cannot still run: a newer instance runs at its address, or it
    // was leaving when it died.
    bool certainly_gone = false;
  };

  bool MayRun(const Entry& entry) const;

  Entry& Insert(const Member& member, TimePoint now);
  void Store(Entry& entry, const Member& member, InstanceId from);
  void Suspect(Entry& entry, TimePoint now);
  void MarkDead(Entry& entry, TimePoint now);
  // Marks the older instances at the address of `newer` dead.
  void MarkOlderInstancesDead(const Member& newer, TimePoint now);
  // Answers a record of this process that calls it suspected, dead or leaving,
  // or that is newer than its own, with a higher incarnation. Adopts the state
  // "leaving"; refutes the others.
  void RefuteIfNeeded(const Member& claim);

  const MembershipOptions options;
  const InstanceId self;
  std::map<InstanceId, Entry> table;
  std::map<std::string, std::set<InstanceId>> by_address;
  // Maps the revision of each member's last change to the member.
  std::map<uint64_t, InstanceId> changes;
  std::set<InstanceId> connected;
  // Connected peers and neighbours, as of the last tick.
  std::set<InstanceId> watched;
  std::set<InstanceId> suspected_or_dead;
  // The platform's list by peer address.
  std::map<std::string, PlatformMember> platform_list;
  // Addresses that were in the platform's list and are no longer.
  std::set<std::string> delisted_addresses;
  bool platform_list_known = false;
  uint64_t table_revision = 0;
  uint64_t table_digest = 0;
  uint64_t suspicion_count = 0;
  uint64_t death_count = 0;
  std::optional<TimePoint> last_tick;
  bool urgent = false;
  // Cache of the neighbours and the table revision that it belongs to.
  mutable std::vector<InstanceId> cached_neighbours;
  mutable uint64_t cached_neighbours_revision = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_MEMBERSHIP_H_
