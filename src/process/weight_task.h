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
  // Fetching pauses while this many bytes are being fetched or wait, verified,
  // to be staged to the engine.
  uint64_t max_unstaged_bytes = 16u << 20;
  // Further requests of peers are refused while this many wait for the link.
  uint32_t max_uploads = 4;
  // Shortest time between two announcements.
  Duration announce_period = std::chrono::milliseconds(20);
};

// State of the weights of one target, and of their transfer.
struct WeightState {
  WeightPhase phase = WeightPhase::kUnknown;
  // The verified set that the target serves. While it is absent, the target
  // must not be given work.
  std::optional<EngineServing> serving;
  bool warm = false;
  // Start identity of the engine run that the state describes; empty if
  // unknown.
  std::string start_id;
  // Digest of the set to serve.
  std::optional<Digest> goal;
  // Configuration number that introduced the goal.
  uint64_t rollout = 0;
  // Newest roll-out that this agent has finished switching to.
  uint64_t switched = 0;
  uint64_t chunks_held = 0;
  uint64_t chunks_total = 0;
  // Bytes received from the origin for this goal.
  uint64_t origin_bytes = 0;
  uint64_t corrupt_chunks = 0;
  // The latest failure of the engine or of a transfer; empty if none.
  std::string last_error;

  bool operator==(const WeightState&) const = default;
};

// Makes one target serve the weight set of the configuration: fetches and
// verifies the chunks, stages them to the engine, orders load and switch, and
// checks the engine's report. Calls no function of its owner other than
// `on_change`.
class WeightTask {
 public:
  // `now` returns the current time. `on_change` is called after `state` has
  // changed; it must not destroy the task. `strategy`, if not null, is used
  // instead of the swarm strategy of `options`.
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

  // Sets the set to serve and the configuration number that introduced it. Each
  // call replaces the goal, even if `set` is an earlier one. `min_serving` is
  // the number of the service's replicas that must keep serving during a
  // switch.
  void SetGoal(const WeightSet& set, uint64_t rollout, uint32_t min_serving);

  // Report the live agents of the service, the chunks that they hold and their
  // progress in switching.
  void OnPeer(const PeerState& peer);
  void OnPeerGone(InstanceId peer);
  void OnHave(InstanceId peer, const HaveAnnouncement& have);
  void OnPeerSwitch(const PeerSwitchState& peer);

  // The target has ended or restarted, as seen on the sentinel connection or by
  // a new start identity. `state().serving` is absent when this returns.
  void OnTargetRestarted();

  // Call every 10 to 20 ms.
  void OnTick();

  // Answers a peer's request for a chunk or an index document. `done` is called
  // once, when the link has capacity: with the bytes, with kNotFound, or with
  // kOverloaded if too many requests wait. It may be called before this
  // function returns.
  void ServeChunk(const Digest& digest,
                  bool crosses_regions,
                  TransferCallback done);

  const WeightState& state() const { return this->current; }
  // The announcement of the chunks that this agent holds, also for a peer that
  // connects later.
  HaveAnnouncement Have() const;

 private:
  struct RunningFetch {
    FetchSource source;
    uint64_t length = 0;
    std::unique_ptr<Transfer> transfer;
  };
  struct Upload {
    Digest digest;
    bool crosses_regions = false;
    TransferCallback done;
  };

  // Derives the chunks to fetch from the goal and the index documents that are
  // known so far.
  void SetPlannerGoal();
  void FetchMore();
  void StartFetch(const FetchAction& action);
  void OnTransfer(const ChunkRef& chunk,
                  FetchSource source,
                  TransferResult result);
  // Checks the length of fetched content and stores it; the store verifies its
  // digest.
  FetchOutcome StoreFetched(const ChunkRef& chunk, std::string content);
  void AddUnstaged(const Digest& digest);
  void RemoveUnstaged(const Digest& digest);
  // Drops the oldest chunk that the store need not hold; false if there is
  // none.
  bool EvictOne();
  Result<void> PutWithEviction(const Digest& digest, std::string content);
  void OnStaged(const Digest& digest);
  void OnLost(const Digest& digest);
  // Sends the waiting uploads for which the link has capacity.
  void SendUploads();
  void SendUpload(Upload upload);
  // Whether the store or the engine has the chunk.
  bool Holds(const Digest& digest) const;
  void AnnounceIfDue();
  // Updates `current`; calls `on_change` if it differs from before.
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
  // By artefact of the goal; absent until the index document is held.
  std::vector<std::optional<WeightIndex>> indices;

  std::unordered_map<Digest, RunningFetch> running_fetches;
  uint64_t fetching_bytes = 0;
  // Lengths of the chunks that the store or the engine holds.
  std::unordered_map<Digest, uint64_t> lengths;
  // Chunks of the goal that the engine does not have yet.
  std::unordered_map<Digest, uint64_t> unstaged;
  uint64_t unstaged_bytes = 0;
  // Chunks that the store may drop when it needs room, oldest first: the engine
  // has them as well, or the goal does not need them.
  std::deque<Digest> evictable;

  std::deque<Upload> uploads;
  bool announce_due = false;
  TimePoint last_announced{};
  uint64_t origin_bytes = 0;
  uint64_t corrupt_chunks = 0;
  std::string transfer_error;
  // Callbacks hold weak references to it and do nothing once it has expired.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace celerypost

#endif  // SRC_PROCESS_WEIGHT_TASK_H_
