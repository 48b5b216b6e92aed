#ifndef SRC_PROCESS_STATE_SLOT_KEEPER_H_
#define SRC_PROCESS_STATE_SLOT_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/process/state/config_state.h"
#include "src/process/state/membership.h"

namespace celerypost {

// Assigns the slots of `table` whose owner is not in `keep` to members of
// `live`. Returns the bytes of the next table version, or nothing when no slot
// has to move. An empty `table` means that the service has no table yet.
using SlotReassign = std::function<Result<std::optional<std::string>>(
    std::string_view table,
    const std::set<InstanceId>& keep,
    const std::vector<InstanceId>& live)>;

struct SlotKeeperOptions {
  // Time for which an owner keeps its slots after it was marked dead, as it may
  // only be paused.
  std::chrono::milliseconds dead_owner_grace{1000};
  // Time after the first tick for which no slots of an existing table are
  // reassigned, as members that are not known yet would count as dead.
  std::chrono::milliseconds settle_time{3000};
  // Additional delay before a proposal for each place in the order of
  // proposers.
  std::chrono::milliseconds fallback_delay{1000};
  // Shortest time between two proposals of this process for one table version.
  std::chrono::milliseconds retry_delay{2000};
};

// A compare-and-swap of a slot table that the caller should attempt.
struct SlotProposal {
  std::string key;
  // Version of the table that `bytes` replaces; 0 when there is none.
  uint64_t expected_number = 0;
  std::string bytes;
};

// Decides in an entry when to reassign the slots of a service (section 4.2).
// The live entries are the proposers, ordered by rendezvous hashing over the
// table version. The first one proposes at once and each further one
// fallback_delay later, so that usually only one process writes.
class SlotKeeper {
 public:
  SlotKeeper(SlotKeeperOptions options,
             InstanceId self,
             ServiceName service,
             const Membership& membership,
             const ConfigState& config,
             SlotReassign reassign);

  // Returns a proposal when this process should make one. Call about every 100
  // ms while this process is not isolated.
  std::optional<SlotProposal> OnTick(TimePoint now);

  // Key of the slot table.
  const std::string& key() const { return this->table_key; }

 private:
  // Returns the owners that keep their slots.
  std::set<InstanceId> OwnersToKeep(TimePoint now) const;

  const SlotKeeperOptions options;
  const InstanceId self;
  const ServiceName service;
  const Membership& membership;
  const ConfigState& config;
  const SlotReassign reassign;
  const std::string table_key;
  std::optional<TimePoint> started_at;
  // When the table of version `needed_number` was first found to need a
  // reassignment.
  std::optional<TimePoint> needed_since;
  uint64_t needed_number = 0;
  std::optional<TimePoint> proposed_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_SLOT_KEEPER_H_
