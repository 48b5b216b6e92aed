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
  // Most chunks that are being sent to the engine at a time.
  uint32_t max_stages = 4;
  // How often the engine is asked for its report when nothing is pending.
  Duration health_period = std::chrono::milliseconds(500);
  // Delay after a failed call to the engine; doubles with each further failure
  // up to the maximum.
  Duration engine_backoff = std::chrono::milliseconds(100);
  Duration max_engine_backoff = std::chrono::seconds(5);
  // How long the engine's last report counts while no newer one can be read.
  Duration max_report_age = std::chrono::seconds(5);
  // How long the previous set stays loaded after a switch.
  Duration keep_former_set = std::chrono::seconds(30);
};

enum class WeightPhase : uint8_t {
  // The engine's report has not been read since it or the agent started.
  kUnknown = 0,
  // No goal.
  kIdle = 1,
  kFetching = 2,
  kLoading = 3,
  // Loaded and verified; waits until the switch planner permits the switch.
  kWaiting = 4,
  kSwitching = 5,
  // The engine reports the goal.
  kServing = 6,
};

// Returns "unknown", "idle", "fetching", "loading", "waiting", "switching" or
// "serving".
std::string_view WeightPhaseName(WeightPhase phase);

// State of the engine according to its reports.
struct EngineState {
  WeightPhase phase = WeightPhase::kUnknown;
  // The verified set that the engine serves; absent if it serves none or its
  // set is not known.
  std::optional<EngineServing> serving;
  bool warm = false;
  // Start identity of the engine; empty if unknown.
  std::string start_id;
  // Newest roll-out whose set the engine has reported to serve.
  uint64_t switched = 0;
  // The latest failure of the engine; empty if none.
  std::string last_error;

  bool operator==(const EngineState&) const = default;
};

struct EngineDriverCallbacks {
  // The engine has stored a chunk.
  std::function<void(const Digest&)> on_staged;
  // The engine no longer has a chunk.
  std::function<void(const Digest&)> on_lost;
  // A callback of the engine has run and may have changed the state.
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

  // Sets the set to serve and the configuration number that introduced it.
  void SetGoal(const WeightSet& set, uint64_t rollout);
  // Sets the chunks of the goal's artefacts; call once all index documents are
  // known.
  void SetChunks(std::vector<EngineLoadArtefact> artefacts);

  // Queues a chunk of the store to be sent to the engine.
  void Stage(const Digest& digest);
  // Whether the engine has stored the chunk.
  bool Staged(const Digest& digest) const;
  // Number of chunks that are queued or being sent.
  size_t pending_stages() const;

  // Whether the engine has reported that the goal is not loaded. False until
  // the first report, so that an agent that restarts beside a loaded engine
  // fetches nothing.
  bool NeedsChunks() const;

  // Forgets all that is known of the engine and asks for a new report.
  void OnTargetRestarted();
  // Call every 10 to 20 ms.
  void OnTick();

  const EngineState& state() const { return this->current; }

 private:
  enum class Order : uint8_t { kNone, kLoad, kSwitch, kUnload };

  // Asks the engine for its report.
  void RequestHealth(TimePoint time);
  void OnHealth(EngineHealth health);
  void ResetEngine();
  void StageQueuedChunks();
  void OnStaged(const Digest& digest, const Result<void>& result);
  void GiveNextOrder(TimePoint time);
  bool CanLoadGoal() const;
  void OrderLoad();
  void OrderSwitch();
  void OrderUnload(const Digest& set);
  // Discards the report and returns the callback for the order that is given.
  std::function<void(Result<void>)> MakeOrderCallback();
  // A loaded set that is neither the goal nor served, if one may be unloaded
  // now.
  std::optional<Digest> FindSetToUnload(TimePoint time) const;
  void OnLoadFailed(const Failure& failure);
  // Once the goal is served, deletes the engine's chunks of other sets.
  void DeleteUnusedObjects();
  void UpdatePhase();
  void OnEngineFailure(const Failure& failure);
  bool IsLoaded(const Digest& set) const;
  bool IsGoalLoaded() const;
  // Wraps a callback so that it runs only if this object still exists and the
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
  // Whether the goal was loaded in the last report that was read. Kept when
  // `report` is discarded; reset when the engine restarts or the goal changes.
  std::optional<bool> goal_loaded;

  // The latest report since the last order; absent while an order is carried
  // out.
  std::optional<EngineHealth> report;
  bool health_in_flight = false;
  TimePoint next_health{};
  TimePoint last_report{};
  Order order = Order::kNone;
  uint32_t failures = 0;
  TimePoint retry_at{};
  // Since when the engine has been seen to serve the goal.
  TimePoint serving_since{};

  std::deque<Digest> stage_queue;
  std::unordered_set<Digest> staging;
  std::unordered_set<Digest> staged;
  // Chunks whose deletion has not been confirmed; they are staged again only
  // afterwards, because a late deletion would remove the new copy.
  std::unordered_set<Digest> deleting;
  // Loads of this goal that failed because of missing chunks.
  uint32_t restages = 0;

  // Incremented at each restart of the engine.
  uint64_t epoch = 0;
  // Callbacks hold weak references to it and do nothing once it has expired.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace celerypost

#endif  // SRC_PROCESS_ENGINE_DRIVER_H_
