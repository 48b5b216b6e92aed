#ifndef SRC_REQUEST_TARGET_TABLE_H_
#define SRC_REQUEST_TARGET_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "celerypost/types.h"
#include "src/request/load_report.h"

namespace celerypost {

// What the member table says about one target.
struct TargetState {
  InstanceId instance;
  ZoneName zone;
  RegionName region;
  // False for a target that is leaving, in a zone taken out, or unreachable.
  bool accepting = true;
  // Concurrency limit until the first load report.
  uint32_t limit = 1;
  // False ends what an earlier load report said.
  bool cold = false;
};

// How far a target is from this entry.
enum class Distance : uint8_t { kZone = 0, kRegion = 1, kRemote = 2 };
inline constexpr size_t kDistances = 3;

// One target as a strategy sees it.
struct Target {
  InstanceId instance;
  Distance distance = Distance::kRemote;
  bool accepting = false;
  uint32_t limit = 1;
  // Slow until it has warmed up.
  bool cold = false;
  // Sent by this entry and not finished.
  uint32_t own_in_flight = 0;
  // Requests of other entries there, as of the last load report.
  uint32_t others = 0;
  TimePoint reported_at{};
  // Place in its group; only while accepting.
  uint32_t group_position = 0;
};

// The targets of one service and version, grouped by distance, with a hash
// table per group that maps a prompt prefix to a target. Lookups take constant
// time; a change of a target's acceptance takes time linear in kBuckets.
class TargetTable {
 public:
  TargetTable(ZoneName zone, RegionName region);

  void Update(const TargetState& state);
  void Remove(InstanceId instance);

  std::optional<uint32_t> Find(InstanceId instance) const;
  const Target& at(uint32_t index) const { return this->targets[index]; }
  Target& at(uint32_t index) { return this->targets[index]; }

  // Indexes of the accepting targets at one distance.
  std::span<const uint32_t> Group(Distance distance) const {
    return this->groups[static_cast<size_t>(distance)].members;
  }
  // Returns the target that holds the prefix, by rendezvous hashing over the
  // group: a change moves only the prefixes of the targets that changed. The
  // group must not be empty.
  uint32_t AffinityTarget(Distance distance, uint64_t prefix_hash) const;

 private:
  static constexpr size_t kBuckets = 4096;

  struct GroupState {
    std::vector<uint32_t> members;
    std::vector<uint32_t> buckets;
  };

  Distance DistanceOf(const TargetState& state) const;
  void Join(uint32_t index);
  void Leave(uint32_t index);

  const ZoneName zone;
  const RegionName region;
  std::vector<Target> targets;
  std::vector<uint32_t> free_indexes;
  std::unordered_map<InstanceId, uint32_t> indexes;
  std::array<GroupState, kDistances> groups;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_TABLE_H_
