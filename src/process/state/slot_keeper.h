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

// Gives the slots of a table whose owner is not in `keep` to members of `live`
// and returns the bytes of the next version, or nothing when no slot has to
// move. Empty `table` stands for a table that does not exist yet.
using SlotReassign = std::function<Result<std::optional<std::string>>(
    std::string_view table,
    const std::set<InstanceId>& keep,
    const std::vector<InstanceId>& live)>;

struct SlotKeeperOptions {
  // An owner keeps its slots for this long after it was found dead. A dead
  // owner may still be a paused one; it then loses its slots only after this.
  std::chrono::milliseconds dead_for{1000};
  // An owner that this process has never seen counts as dead after this time.
  std::chrono::milliseconds settle_time{3000};
  // Added per place in the proposers' order.
  std::chrono::milliseconds fallback_delay{1000};
  // Shortest time between two proposals of this process for one table version.
  std::chrono::milliseconds retry_delay{2000};
};

// A compare-and-swap of a slot table that should be tried.
struct SlotProposal {
  std::string key;
  // Version of the table that it replaces; 0 when there is none.
  uint64_t expected_number = 0;
  std::string bytes;
};

// Decides, at one entry, when to reassign slots of a service (section 4.2).
// Proposers are the live entries, in the order of rendezvous
// hashing over the table version; the first proposes at once and each further
// one fallback_delay later, so that normally one process writes.
class SlotKeeper {
 public:
  SlotKeeper(SlotKeeperOptions options,
             InstanceId self,
             ServiceName service,
             const Membership& membership,
             const ConfigState& config,
             SlotReassign reassign);

  // Call about every 100 ms while this process is not isolated.
  std::optional<SlotProposal> OnTick(TimePoint now);

  const std::string& key() const { return this->table_key; }

 private:
  std::set<InstanceId> Keep(TimePoint now) const;

  const SlotKeeperOptions options;
  const InstanceId self;
  const ServiceName service;
  const Membership& membership;
  const ConfigState& config;
  const SlotReassign reassign;
  const std::string table_key;
  std::optional<TimePoint> started_at;
  // Since when the table of `needed_number` needs a reassignment.
  std::optional<TimePoint> needed_since;
  uint64_t needed_number = 0;
  std::optional<TimePoint> proposed_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_SLOT_KEEPER_H_
