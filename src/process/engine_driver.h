#ifndef SRC_PROCESS_ENGINE_DRIVER_H_
#define SRC_PROCESS_ENGINE_DRIVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "celerypost/types.h"
#include "src/process/engine_client.h"
#include "src/version/chunk_store.h"
#include "src/version/switch_planner.h"

namespace celerypost {

struct EngineDriverOptions {
  // Chunks on their way to the engine.
  uint32_t max_stages = 4;
  // How often the engine is asked for its report when nothing is pending.
  Duration health_period = std::chrono::milliseconds(500);
  // Wait after a failed order to the engine, doubled up to the limit.
  Duration engine_backoff = std::chrono::milliseconds(100);
  Duration max_engine_backoff = std::chrono::seconds(5);
  // How long the engine's last report is relied on when it cannot be read.
  Duration max_report_age = std::chrono::seconds(5);
  // How long the former set stays loaded after a switch.
  Duration keep_former_set = std::chrono::seconds(30);
};

enum class WeightPhase : uint8_t {
  // The engine's report has not been read since it or the agent started.
  kUnknown = 0,
  // No goal.
  kIdle = 1,
  kFetching = 2,
  kLoading = 3,
  // Loaded and verified; waits for its turn.
  kWaiting = 4,
  kSwitching = 5,
  // The engine reports the goal.
  kServing = 6,
};

// "unknown", "idle", "fetching", "loading", "waiting", "switching", "serving".
std::string_view WeightPhaseName(WeightPhase phase);

// What the engine is known to do.
struct EngineState {
  WeightPhase phase = WeightPhase::kUnknown;
  std::optional<EngineServing> serving;
  bool warm = false;
  std::string start_id;
  uint64_t switched = 0;
  std::string last_error;

  bool operator==(const EngineState&) const = default;
};

struct EngineDriverCallbacks {
  // The engine has stored a chunk.
  std::function<void(const Digest&)> on_staged;
  // The engine no longer has a chunk.
  std::function<void(const Digest&)> on_lost;
  // The state may have changed in a callback of the engine.
  std::function<void()> on_change;
};

// Gives orders to one engine, one at a time: stages chunks, loads, switches and
// unloads sets, and checks the engine's report after each order.
class EngineDriver {
 public:
  EngineDriver(EngineDriverOptions options,
               EngineClient& engine,
               ChunkStore& store,
               SwitchPlanner& switch_planner,
               std::function<TimePoint()> now,
               EngineDriverCallbacks callbacks);
  EngineDriver(const EngineDriver&) = delete;
  EngineDriver& operator=(const EngineDriver&) = delete;

  void SetGoal(const WeightSet& set, uint64_t rollout);
  // The chunks of the goal's artefacts, once all index documents are known.
  void SetChunks(std::vector<EngineLoadArtefact> artefacts);

  // Queues a chunk that the store holds for the engine.
  void Stage(const Digest& digest);
  bool Staged(const Digest& digest) const;
  // Chunks queued or on their way.
  size_t pending_stages() const;

  // True if the engine has reported that the goal is not loaded. Unknown until
  // the first report, so that an agent that restarts beside a loaded engine
  // fetches nothing.
  bool NeedsChunks() const;

  void OnTargetRestarted();
  void OnTick();

  const EngineState& state() const { return this->current; }

 private:
  enum class Order : uint8_t { kNone, kLoad, kSwitch, kUnload };

  void AskHealth(TimePoint time);
  void OnHealth(EngineHealth health);
  void ResetEngine();
  void StageMore();
  void OnStaged(const Digest& digest, const Result<void>& result);
  void GiveOrder(TimePoint time);
  bool LoadIsPossible() const;
  void OrderLoad();
  void OrderSwitch();
  void OrderUnload(const Digest& set);
  std::function<void(Result<void>)> OrderDone();
  std::optional<Digest> SetToUnload(TimePoint time) const;
  void OnLoadFailed(const Failure& failure);
  void DropForeignObjects();
  void UpdatePhase();
  void OnEngineFailure(const Failure& failure);
  bool IsLoaded(const Digest& set) const;
  bool GoalLoaded() const;
  // Wraps a callback so that it runs only while this object lives and the
  // engine has not restarted since.
  template <typename Function>
  auto Guard(Function function);

  EngineDriverOptions options;
  EngineClient& engine;
  ChunkStore& store;
  SwitchPlanner& switch_planner;
  std::function<TimePoint()> now;
  EngineDriverCallbacks callbacks;

  EngineState current;
  std::optional<WeightSet> goal;
  Digest goal_digest;
  uint64_t rollout = 0;
  std::optional<std::vector<EngineLoadArtefact>> artefacts;
  std::unordered_set<Digest> goal_chunks;
  // What the latest report said of the goal; absent when there is none.
  std::optional<bool> goal_loaded;

  // The latest report since the last order; absent while an order runs.
  std::optional<EngineHealth> report;
  bool health_in_flight = false;
  TimePoint next_health{};
  TimePoint last_report{};
  Order order = Order::kNone;
  uint32_t failures = 0;
  TimePoint retry_at{};
  TimePoint serving_since{};

  std::deque<Digest> stage_queue;
  std::unordered_set<Digest> staging;
  std::unordered_set<Digest> staged;
  // Chunks whose deletion has not been confirmed; they are staged again only
  // afterwards, because a late deletion would remove the new copy.
  std::unordered_set<Digest> deleting;
  // Loads of this goal that failed for want of a chunk.
  uint32_t restages = 0;

  // Grows with each restart of the engine.
  uint64_t epoch = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace celerypost

#endif  // SRC_PROCESS_ENGINE_DRIVER_H_
