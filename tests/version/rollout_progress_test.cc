#include "src/version/rollout_progress.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::seconds;

TEST_GROUP(RolloutProgressTest){};

// Guards against a sum that omits the origin bytes of removed replicas, and
// against an estimate of the remaining time that counts their chunks.
TEST(RolloutProgressTest, AggregatesReplicasAndEstimatesTheRest) {
  const TimePoint start = TimePoint(seconds(100));
  RolloutProgress progress(7, 1000, start);
  CHECK_FALSE(progress.Snapshot(start).remaining.has_value());
  progress.OnReplica({{1}, 10, 40, false, 500}, start + seconds(1));
  progress.OnReplica({{2}, 10, 40, false, 600}, start + seconds(1));
  auto snapshot = progress.Snapshot(start + seconds(1));
  LONGS_EQUAL(20, snapshot.chunks_held);
  DOUBLES_EQUAL(1.1, snapshot.origin_copies, 1e-9);
  CHECK(*snapshot.remaining == seconds(3));
  progress.OnReplicaGone({2}, start + seconds(1));
  snapshot = progress.Snapshot(start + seconds(1));
  LONGS_EQUAL(1, snapshot.replicas);
  LONGS_EQUAL(1100, snapshot.origin_bytes);
  CHECK(*snapshot.remaining == seconds(3));
  progress.OnReplica({{1}, 40, 40, true, 500}, start + seconds(4));
  snapshot = progress.Snapshot(start + seconds(9));
  LONGS_EQUAL(1, snapshot.replicas_ready);
  CHECK(*snapshot.remaining == Duration::zero());
}

}  // namespace
}  // namespace celerypost
