#ifndef SRC_VERSION_ROLLOUT_PROGRESS_H_
#define SRC_VERSION_ROLLOUT_PROGRESS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "celerypost/types.h"

namespace celerypost {

// What one replica reports about a roll-out.
struct ReplicaProgress {
  InstanceId instance;
  uint64_t chunks_held = 0;
  uint64_t chunks_total = 0;
  // Whether the replica has verified the set and switched to it.
  bool ready = false;
  // Bytes that this replica has fetched from the origin for the roll-out.
  uint64_t origin_bytes = 0;
};

struct RolloutSnapshot {
  uint32_t replicas = 0;
  uint32_t replicas_ready = 0;
  uint64_t chunks_held = 0;
  uint64_t chunks_total = 0;
  uint64_t origin_bytes = 0;
  // Origin bytes divided by the set's size.
  double origin_copies = 0;
  Duration elapsed{};
  // Estimated time left; absent while no rate is known, zero when finished.
  std::optional<Duration> remaining;
};

// Aggregates the progress of one roll-out over its replicas, for operators.
class RolloutProgress {
 public:
  RolloutProgress(uint64_t rollout, uint64_t set_bytes, TimePoint started);

  void OnReplica(const ReplicaProgress& replica, TimePoint now);
  // Removes a replica from the counts; its origin bytes stay in the sum.
  void OnReplicaGone(InstanceId instance, TimePoint now);
  RolloutSnapshot Snapshot(TimePoint now) const;
  uint64_t rollout() const { return this->rollout_number; }

 private:
  uint64_t rollout_number;
  uint64_t set_bytes;
  TimePoint started;
  std::unordered_map<InstanceId, ReplicaProgress> replicas;
  uint64_t gone_origin_bytes = 0;
  // Sums of the chunks held by all replicas and their times, over the last ten
  // seconds.
  std::deque<std::pair<TimePoint, uint64_t>> samples;
};

}  // namespace celerypost

#endif  // SRC_VERSION_ROLLOUT_PROGRESS_H_
