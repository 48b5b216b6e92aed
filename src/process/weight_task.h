#ifndef SRC_PROCESS_WEIGHT_TASK_H_
#define SRC_PROCESS_WEIGHT_TASK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "celerypost/types.h"
#include "src/process/chunk_transport.h"
#include "src/process/engine_client.h"
#include "src/process/engine_driver.h"
#include "src/version/chunk_planner.h"
#include "src/version/chunk_store.h"
#include "src/version/link_pacer.h"
#include "src/version/manifest.h"
#include "src/version/switch_planner.h"

namespace celerypost {

struct WeightTaskOptions {
  ChunkPlannerOptions planner;
  SwarmOptions swarm;
  SwitchOptions switching;
  EngineDriverOptions engine;
  // Bytes of verified chunks that wait for the engine before fetching pauses.
  uint64_t max_unstaged_bytes = 16u << 20;
  // Requests of peers that wait for the link before further ones are refused.
  uint32_t max_uploads = 4;
  // Shortest time between two announcements.
  Duration announce_period = std::chrono::milliseconds(20);
};

struct WeightState {
  WeightPhase phase = WeightPhase::kUnknown;
  // The verified set that the target serves. Absent means that no work may be
  // given to the target.
  std::optional<EngineServing> serving;
  bool warm = false;
  // Start identity of the engine that the state belongs to; empty if unknown.
  std::string start_id;
  std::optional<Digest> goal;
  uint64_t rollout = 0;
  // Newest roll-out that this agent has finished switching to.
  uint64_t switched = 0;
  uint64_t chunks_held = 0;
  uint64_t chunks_total = 0;
  uint64_t origin_bytes = 0;
  uint64_t corrupt_chunks = 0;
  // The latest failure of the engine or of a transfer; empty if none.
  std::string last_error;

  bool operator==(const WeightState&) const = default;
};

// Brings one target to the weight set that the configuration states: fetches
// and verifies the chunks, stages them to the engine, orders load and switch,
// and checks the engine's report. Calls no function of its owner other than
// `on_change`.
class WeightTask {
 public:
  // `now` returns the current time. `on_change` is called after `state` has
  // changed; it may not destroy the task. `strategy` replaces the swarm
  // strategy of `options`.
  WeightTask(WeightTaskOptions options,
             ChunkTransport& transport,
             EngineClient& engine,
             ChunkStore& store,
             LinkPacer& pacer,
             std::mt19937_64& random,
             std::function<TimePoint()> now,
             std::function<void()> on_change,
             std::unique_ptr<FetchStrategy> strategy = nullptr);
  ~WeightTask();
  WeightTask(const WeightTask&) = delete;
  WeightTask& operator=(const WeightTask&) = delete;

  // The set to serve, and the configuration number that introduced it. Any
  // call replaces the goal, also with an earlier set. `min_serving` is the
  // service's limit.
  void SetGoal(const WeightSet& set, uint64_t rollout, uint32_t min_serving);

  // Live agents of the service, and what they hold and serve.
  void OnPeer(const PeerState& peer);
  void OnPeerGone(InstanceId peer);
  void OnHave(InstanceId peer, const HaveAnnouncement& have);
  void OnPeerSwitch(const PeerSwitchState& peer);

  // The target has ended or restarted, as seen on the sentinel connection or by
  // a new start identity. The state is "serves nothing" when this returns.
  void OnTargetRestarted();

  // To be called every 10 to 20 ms.
  void OnTick();

  // Answers a peer's request for a chunk or an index document. `done` is called
  // once, when the link permits: with the bytes, kNotFound, or kOverloaded when
  // too many requests wait. It may be called before this function returns.
  void ServeChunk(const Digest& digest,
                  bool crosses_regions,
                  TransferCallback done);

  const WeightState& state() const { return this->current; }
  // What peers are told; also for a peer that connects later.
  HaveAnnouncement Have() const;

 private:
  struct Running {
    FetchSource source;
    uint64_t length = 0;
    std::unique_ptr<Transfer> transfer;
  };
  struct Upload {
    Digest digest;
    bool crosses_regions = false;
    TransferCallback done;
  };

  void SetPlannerGoal();
  void FetchMore();
  void StartFetch(const FetchAction& action);
  void OnTransfer(const ChunkRef& chunk,
                  FetchSource source,
                  TransferResult result);
  FetchOutcome Accept(const ChunkRef& chunk, std::string content);
  void AddUnstaged(const Digest& digest);
  void RemoveUnstaged(const Digest& digest);
  bool EvictOne();
  Result<void> PutWithEviction(const Digest& digest, std::string content);
  void OnStaged(const Digest& digest);
  void OnLost(const Digest& digest);
  void SendUploads();
  void SendUpload(Upload upload);
  bool Available(const Digest& digest) const;
  void AnnounceIfDue();
  void Publish();

  ChunkTransport& transport;
  EngineClient& engine;
  ChunkStore& store;
  LinkPacer& pacer;
  std::function<TimePoint()> now;
  std::function<void()> on_change;
  WeightTaskOptions options;
  ChunkPlanner planner;
  SwitchPlanner switch_planner;
  EngineDriver driver;
  WeightState current;

  std::optional<WeightSet> goal;
  Digest goal_digest;
  uint64_t rollout = 0;
  std::vector<std::optional<WeightIndex>> indices;

  std::unordered_map<Digest, Running> running;
  uint64_t running_bytes = 0;
  // Lengths of the chunks that the store or the engine holds.
  std::unordered_map<Digest, uint64_t> lengths;
  // Chunks of the goal that the engine does not have yet.
  std::unordered_map<Digest, uint64_t> unstaged;
  uint64_t unstaged_bytes = 0;
  // Chunks that the engine has as well, oldest first; dropped from the store
  // when it needs room.
  std::deque<Digest> evictable;

  std::deque<Upload> uploads;
  bool announce_due = false;
  TimePoint last_announced{};
  uint64_t origin_bytes = 0;
  uint64_t corrupt_chunks = 0;
  std::string transfer_error;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace celerypost

#endif  // SRC_PROCESS_WEIGHT_TASK_H_
