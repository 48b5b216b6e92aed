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

// State of one target according to the member table.
struct TargetState {
  InstanceId instance;
  ZoneName zone;
  RegionName region;
  // False for a target that is leaving, unreachable, or in a zone that is out.
  bool accepting = true;
  // Concurrency limit until the first load report.
  uint32_t limit = 1;
  // False clears the flag that an earlier load report has set. True takes
  // effect only when the target is added.
  bool cold = false;
};

// Distance of a target from this entry: in the same zone, in the same region,
// or in another region.
enum class Distance : uint8_t { kZone = 0, kRegion = 1, kRemote = 2 };
inline constexpr size_t kDistanceCount = 3;

// State of one target that a routing strategy uses.
struct Target {
  InstanceId instance;
  Distance distance = Distance::kRemote;
  bool accepting = false;
  uint32_t limit = 1;
  // The target has not warmed up and is slow.
  bool cold = false;
  // Requests that this entry has sent and that have not finished.
  uint32_t own_in_flight = 0;
  // Requests of other entries that run or wait there, as of the last load
  // report.
  uint32_t others_in_flight = 0;
  TimePoint reported_at{};
  // Until then the target is selected only if no other is left.
  TimePoint avoided_until{};
  // Index in the members of its group; valid only while accepting.
  uint32_t group_position = 0;
};

// The targets of one service and version, grouped by distance, with a hash
// table per group that maps a prompt prefix to a target. Lookups take constant
// time. Adding a target to a group or removing it takes time linear in
// kBuckets.
class TargetTable {
 public:
  TargetTable(ZoneName zone, RegionName region);

  void Update(const TargetState& state);
  void Remove(InstanceId instance);

  std::optional<uint32_t> Find(InstanceId instance) const;
  const Target& at(uint32_t index) const { return this->targets[index]; }
  Target& at(uint32_t index) { return this->targets[index]; }

  // Indexes of the targets at one distance that accept requests.
  std::span<const uint32_t> Group(Distance distance) const {
    return this->groups[static_cast<size_t>(distance)].members;
  }
  // Returns the index of the target that holds the prefix, by rendezvous
  // hashing over the group: adding or removing a target moves only the prefixes
  // of that target. The group must not be empty.
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
  std::array<GroupState, kDistanceCount> groups;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_TABLE_H_
