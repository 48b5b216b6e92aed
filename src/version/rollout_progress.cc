#include "src/version/rollout_progress.h"

#include <algorithm>

namespace celerypost {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(10);

}  // namespace

RolloutProgress::RolloutProgress(uint64_t rollout,
                                 uint64_t set_bytes,
                                 TimePoint started)
    : rollout_number(rollout), set_bytes(set_bytes), started(started) {
  this->samples.emplace_back(started, 0);
}

void RolloutProgress::OnReplica(const ReplicaProgress& replica, TimePoint now) {
  this->replicas[replica.instance] = replica;
  uint64_t held = 0;
  for (const auto& [instance, progress] : this->replicas) {
    held += progress.chunks_held;
  }
  this->samples.emplace_back(now, held);
  while (this->samples.size() > 2 &&
         now - this->samples[1].first > kRateWindow) {
    this->samples.pop_front();
  }
}

void RolloutProgress::OnReplicaGone(InstanceId instance, TimePoint /*now*/) {
  const auto found = this->replicas.find(instance);
  if (found == this->replicas.end()) {
    return;
  }
  this->gone_origin_bytes += found->second.origin_bytes;
  // The earlier sums include the removed replica's chunks.
  for (auto& [time, held] : this->samples) {
    held -= std::min(held, found->second.chunks_held);
  }
  this->replicas.erase(found);
}

RolloutSnapshot RolloutProgress::Snapshot(TimePoint now) const {
  RolloutSnapshot snapshot;
  snapshot.elapsed = now - this->started;
  snapshot.origin_bytes = this->gone_origin_bytes;
  for (const auto& [instance, replica] : this->replicas) {
    ++snapshot.replicas;
    snapshot.replicas_ready += replica.ready ? 1 : 0;
    snapshot.chunks_held += replica.chunks_held;
    snapshot.chunks_total += replica.chunks_total;
    snapshot.origin_bytes += replica.origin_bytes;
  }
  if (this->set_bytes > 0) {
    snapshot.origin_copies = static_cast<double>(snapshot.origin_bytes) /
                             static_cast<double>(this->set_bytes);
  }
  if (snapshot.replicas > 0 && snapshot.replicas_ready == snapshot.replicas) {
    snapshot.remaining = Duration::zero();
    return snapshot;
  }
  const auto& [first_time, first_held] = this->samples.front();
  const double elapsed =
      std::chrono::duration<double>(now - first_time).count();
  if (elapsed > 0 && snapshot.chunks_held > first_held) {
    const double rate =
        static_cast<double>(snapshot.chunks_held - first_held) / elapsed;
    const auto left =
        static_cast<double>(snapshot.chunks_total - snapshot.chunks_held);
    snapshot.remaining = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(left / rate));
  }
  return snapshot;
}

}  // namespace celerypost
