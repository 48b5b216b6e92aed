#include "src/request/target_table.h"

#include <algorithm>
#include <utility>

namespace celerypost {
namespace {

uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

// Rendezvous weight of a target for one bucket; the highest one owns the
// bucket.
uint64_t Weight(size_t bucket, InstanceId instance) {
  return Mix(instance.value + 0x9e3779b97f4a7c15 * (bucket + 1));
}

}  // namespace

TargetTable::TargetTable(ZoneName zone, RegionName region)
    : zone(std::move(zone)), region(std::move(region)) {}

Distance TargetTable::DistanceOf(const TargetState& state) const {
  if (state.zone == this->zone) {
    return Distance::kZone;
  }
  return state.region == this->region ? Distance::kRegion : Distance::kRemote;
}

void TargetTable::Update(const TargetState& state) {
  const auto known = this->indexes.find(state.instance);
  uint32_t index = 0;
  if (known != this->indexes.end()) {
    index = known->second;
  } else {
    if (this->free_indexes.empty()) {
      index = static_cast<uint32_t>(this->targets.size());
      this->targets.emplace_back();
    } else {
      index = this->free_indexes.back();
      this->free_indexes.pop_back();
    }
    this->indexes.emplace(state.instance, index);
    this->targets[index] = Target{.instance = state.instance,
                                  .limit = std::max(1u, state.limit),
                                  .cold = state.cold};
  }
  Target& target = this->targets[index];
  const Distance distance = this->DistanceOf(state);
  if (target.accepting && (!state.accepting || target.distance != distance)) {
    this->Leave(index);
  }
  target.distance = distance;
  // A target that gets no requests sends no load reports that would clear it.
  target.cold = target.cold && state.cold;
  if (state.accepting && !target.accepting) {
    this->Join(index);
  }
}

void TargetTable::Remove(InstanceId instance) {
  const auto known = this->indexes.find(instance);
  if (known == this->indexes.end()) {
    return;
  }
  if (this->targets[known->second].accepting) {
    this->Leave(known->second);
  }
  this->free_indexes.push_back(known->second);
  this->indexes.erase(known);
}

std::optional<uint32_t> TargetTable::Find(InstanceId instance) const {
  const auto known = this->indexes.find(instance);
  return known == this->indexes.end() ? std::nullopt
                                      : std::optional(known->second);
}

uint32_t TargetTable::AffinityTarget(Distance distance,
                                     uint64_t prefix_hash) const {
  return this->groups[static_cast<size_t>(distance)]
      .buckets[Mix(prefix_hash) % kBuckets];
}

void TargetTable::Join(uint32_t index) {
  Target& target = this->targets[index];
  GroupState& group = this->groups[static_cast<size_t>(target.distance)];
  target.accepting = true;
  target.group_position = static_cast<uint32_t>(group.members.size());
  group.members.push_back(index);
  if (group.members.size() == 1) {
    group.buckets.assign(kBuckets, index);
    return;
  }
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const Target& best = this->targets[group.buckets[bucket]];
    if (Weight(bucket, target.instance) > Weight(bucket, best.instance)) {
      group.buckets[bucket] = index;
    }
  }
}

void TargetTable::Leave(uint32_t index) {
  Target& target = this->targets[index];
  GroupState& group = this->groups[static_cast<size_t>(target.distance)];
  target.accepting = false;
  const uint32_t last = group.members.back();
  group.members[target.group_position] = last;
  this->targets[last].group_position = target.group_position;
  group.members.pop_back();
  if (group.members.empty()) {
    group.buckets.clear();
    return;
  }
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (group.buckets[bucket] != index) {
      continue;
    }
    group.buckets[bucket] = *std::max_element(
        group.members.begin(), group.members.end(),
        [this, bucket](uint32_t left, uint32_t right) {
          return Weight(bucket, this->targets[left].instance) <
                 Weight(bucket, this->targets[right].instance);
        });
  }
}

}  // namespace celerypost
