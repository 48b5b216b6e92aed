#include "src/process/engine_driver.h"

#include <algorithm>
#include <utility>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

// How often the chunks of a goal are staged again after the engine refused to
// load them. Bounded, because a load with a wrong index document always fails.
constexpr uint32_t kMaxRestages = 3;

constexpr char kNoPartialWeights[] =
    "P1: no response is ever produced from partial or mixed weights";

}  // namespace

std::string_view WeightPhaseName(WeightPhase phase) {
  static constexpr std::string_view kNames[] = {
      "unknown", "idle",      "fetching", "loading",
      "waiting", "switching", "serving"};
  const auto index = static_cast<size_t>(phase);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

EngineDriver::EngineDriver(EngineDriverOptions options,
                           EngineClient& engine,
                           ChunkStore& store,
                           SwitchPlanner& switch_planner,
                           std::function<TimePoint()> now,
                           EngineDriverCallbacks callbacks)
    : options(options),
      engine(engine),
      store(store),
      switch_planner(switch_planner),
      now(std::move(now)),
      callbacks(std::move(callbacks)) {}

template <typename Function>
auto EngineDriver::Guard(Function function) {
  return [this, function = std::move(function), epoch = this->epoch,
          alive = std::weak_ptr<bool>(this->alive)](auto result) {
    if (!alive.expired() && epoch == this->epoch) {
      function(std::move(result));
      this->callbacks.on_change();
    }
  };
}

void EngineDriver::SetGoal(const WeightSet& set, uint64_t new_rollout) {
  const Digest digest = set.SetDigest();
  const bool same = this->goal && digest == this->goal_digest;
  this->goal = set;
  this->goal_digest = digest;
  this->rollout = new_rollout;
  if (!same) {
    this->artefacts.reset();
    this->goal_chunks.clear();
    this->stage_queue.clear();
    this->failures = 0;
    this->restages = 0;
    this->retry_at = {};
    this->goal_loaded.reset();
    if (this->report) {
      this->goal_loaded = this->IsGoalLoaded();
    }
  }
  this->UpdatePhase();
}

void EngineDriver::SetChunks(std::vector<EngineLoadArtefact> chunks) {
  this->artefacts = std::move(chunks);
  this->goal_chunks.clear();
  for (const EngineLoadArtefact& artefact : *this->artefacts) {
    this->goal_chunks.insert(artefact.chunks.begin(), artefact.chunks.end());
  }
}

void EngineDriver::Stage(const Digest& digest) {
  if (!this->staged.contains(digest) && !this->staging.contains(digest)) {
    this->stage_queue.push_back(digest);
  }
}

bool EngineDriver::Staged(const Digest& digest) const {
  return this->staged.contains(digest);
}

size_t EngineDriver::pending_stages() const {
  return this->stage_queue.size() + this->staging.size();
}

bool EngineDriver::IsLoaded(const Digest& set) const {
  return this->report &&
         std::find(this->report->loaded.begin(), this->report->loaded.end(),
                   set) != this->report->loaded.end();
}

bool EngineDriver::IsGoalLoaded() const {
  return this->goal && this->IsLoaded(this->goal_digest);
}

bool EngineDriver::NeedsChunks() const {
  return this->goal_loaded == false;
}

void EngineDriver::OnTargetRestarted() {
  this->ResetEngine();
  this->next_health = this->now();
}

void EngineDriver::ResetEngine() {
  ++this->epoch;
  this->report.reset();
  this->goal_loaded.reset();
  this->health_in_flight = false;
  this->order = Order::kNone;
  this->failures = 0;
  this->retry_at = {};
  this->current.serving.reset();
  this->current.warm = false;
  this->current.start_id.clear();
  this->deleting.clear();
  this->restages = 0;
  // Chunks that were queued or under way must be queued again as well.
  auto lost = std::exchange(this->staged, {});
  lost.merge(std::exchange(this->staging, {}));
  lost.insert(this->stage_queue.begin(), this->stage_queue.end());
  this->stage_queue.clear();
  this->UpdatePhase();
  for (const Digest& digest : lost) {
    this->callbacks.on_lost(digest);
  }
}

void EngineDriver::OnTick() {
  const TimePoint time = this->now();
  if (this->order == Order::kNone && time >= this->next_health) {
    this->RequestHealth(time);
  }
  this->StageQueuedChunks();
  if (this->order == Order::kNone && this->report && time >= this->retry_at) {
    this->GiveNextOrder(time);
  }
}

void EngineDriver::RequestHealth(TimePoint time) {
  if (this->health_in_flight) {
    return;
  }
  this->health_in_flight = true;
  this->next_health = time + this->options.health_period;
  this->engine.Health(this->Guard([this](Result<EngineHealth> health) {
    this->health_in_flight = false;
    if (this->order != Order::kNone) {
      // The report may have been made before the order took effect.
      this->next_health = this->now();
      return;
    }
    if (!health) {
      // Without a report no order is given. One report that cannot be read does
      // not mean that the weights have changed: a restart would have closed the
      // sentinel connection.
      this->report.reset();
      if (this->now() > this->last_report + this->options.max_report_age) {
        this->current.serving.reset();
      }
      this->OnEngineFailure(health.error());
      this->UpdatePhase();
      return;
    }
    this->OnHealth(std::move(*health));
  }));
}

void EngineDriver::OnHealth(EngineHealth health) {
  if (health.start_id != this->current.start_id) {
    if (!this->current.start_id.empty()) {
      this->ResetEngine();
    }
    this->current.start_id = health.start_id;
  }
  this->report = std::move(health);
  this->last_report = this->now();
  if (this->goal) {
    this->goal_loaded = this->IsGoalLoaded();
  }
  this->current.warm = this->report->warm;
  std::optional<EngineServing> serving = this->report->serving;
  if (serving && !this->IsLoaded(serving->set)) {
    this->current.last_error = "engine reports that it serves set " +
                               serving->set.ToHex() +
                               ", which is not among its loaded sets";
    serving.reset();
  }
  if (serving && this->goal && serving->set == this->goal_digest) {
    if (this->current.serving != serving) {
      this->serving_since = this->now();
    }
    this->current.switched = std::max(this->current.switched, this->rollout);
  }
  CELERYPOST_ASSERT(
      !serving ||
          (this->IsLoaded(serving->set) && this->order == Order::kNone &&
           this->report->start_id == this->current.start_id),
      kNoPartialWeights);
  this->current.serving = std::move(serving);
  this->UpdatePhase();
  this->DeleteUnusedObjects();
}

void EngineDriver::StageQueuedChunks() {
  if (this->current.start_id.empty()) {
    return;
  }
  if (this->now() < this->retry_at) {
    return;
  }
  for (size_t i = this->stage_queue.size();
       i > 0 && this->staging.size() < this->options.max_stages; --i) {
    const Digest digest = this->stage_queue.front();
    this->stage_queue.pop_front();
    if (this->deleting.contains(digest)) {
      this->stage_queue.push_back(digest);
      continue;
    }
    if (this->staged.contains(digest) || this->staging.contains(digest)) {
      continue;
    }
    auto content = this->store.Get(digest, 0, UINT64_MAX);
    if (!content) {
      this->callbacks.on_lost(digest);
      continue;
    }
    // The store should have verified the chunk; this check holds for every
    // implementation of ChunkStore.
    CELERYPOST_ASSERT(Digest::Of(*content) == digest, kNoPartialWeights);
    this->staging.insert(digest);
    this->engine.PutObject(
        digest, std::move(*content),
        this->Guard([this, digest](const Result<void>& result) {
          this->OnStaged(digest, result);
        }));
  }
}

void EngineDriver::OnStaged(const Digest& digest, const Result<void>& result) {
  this->staging.erase(digest);
  if (!result) {
    this->OnEngineFailure(result.error());
    this->stage_queue.push_back(digest);
    return;
  }
  this->failures = 0;
  this->staged.insert(digest);
  this->callbacks.on_staged(digest);
}

void EngineDriver::OnEngineFailure(const Failure& failure) {
  this->current.last_error = "engine: " + failure.message;
  const auto doublings = std::min<uint32_t>(this->failures, 16);
  ++this->failures;
  this->retry_at =
      this->now() + std::min(this->options.engine_backoff * (1u << doublings),
                             this->options.max_engine_backoff);
}

bool EngineDriver::CanLoadGoal() const {
  return this->artefacts &&
         std::all_of(this->goal_chunks.begin(), this->goal_chunks.end(),
                     [this](const Digest& digest) {
                       return this->staged.contains(digest);
                     });
}

std::optional<Digest> EngineDriver::FindSetToUnload(TimePoint time) const {
  const auto& serving = this->report->serving;
  const bool settled =
      this->current.serving &&
      this->current.serving->set == this->goal_digest &&
      time >= this->serving_since + this->options.keep_former_set;
  for (const Digest& set : this->report->loaded) {
    if (set == this->goal_digest || (serving && serving->set == set)) {
      continue;
    }
    // Unloads at once to make room for the goal. After a switch the previous
    // set stays for a while, for running requests and for a return to it.
    if (settled || (!this->IsGoalLoaded() && this->CanLoadGoal())) {
      return set;
    }
  }
  return std::nullopt;
}

void EngineDriver::GiveNextOrder(TimePoint time) {
  if (!this->goal) {
    return;
  }
  if (const auto set = this->FindSetToUnload(time)) {
    this->OrderUnload(*set);
    return;
  }
  if (!this->IsGoalLoaded()) {
    if (this->CanLoadGoal()) {
      this->OrderLoad();
    }
    return;
  }
  const bool serves_goal =
      this->current.serving && this->current.serving->set == this->goal_digest;
  this->switch_planner.OnSelfServing(this->current.serving.has_value());
  if (!serves_goal && this->switch_planner.MaySwitch(this->rollout, time)) {
    this->OrderSwitch();
  }
}

// The engine's answer only tells whether it accepted the order; the effect is
// read from its next report.
std::function<void(Result<void>)> EngineDriver::MakeOrderCallback() {
  this->report.reset();
  this->UpdatePhase();
  return this->Guard([this](const Result<void>& result) {
    const Order ended = std::exchange(this->order, Order::kNone);
    if (result) {
      this->failures = 0;
    } else {
      this->OnEngineFailure(result.error());
      if (ended == Order::kLoad) {
        this->OnLoadFailed(result.error());
      }
    }
    this->RequestHealth(this->now());
    this->UpdatePhase();
  });
}

void EngineDriver::OnLoadFailed(const Failure& failure) {
  const bool chunk_missing = failure.code == ErrorCode::kNotFound ||
                             failure.code == ErrorCode::kInvalidArgument;
  if (!chunk_missing || ++this->restages > kMaxRestages) {
    return;
  }
  const auto lost = std::exchange(this->staged, {});
  for (const Digest& digest : lost) {
    this->callbacks.on_lost(digest);
  }
}

void EngineDriver::OrderLoad() {
  CELERYPOST_ASSERT(this->CanLoadGoal(), kNoPartialWeights);
  EngineLoadOrder load;
  load.set = this->goal_digest;
  load.version = this->goal->version;
  load.fencing = this->report->highest_fencing + 1;
  load.artefacts = *this->artefacts;
  this->order = Order::kLoad;
  this->engine.Load(load, this->MakeOrderCallback());
}

void EngineDriver::OrderSwitch() {
  CELERYPOST_ASSERT(this->IsGoalLoaded(), kNoPartialWeights);
  const uint64_t fencing = this->report->highest_fencing + 1;
  this->order = Order::kSwitch;
  // Unknown until the next report.
  this->current.serving.reset();
  this->engine.Switch(this->goal_digest, fencing, this->MakeOrderCallback());
}

void EngineDriver::OrderUnload(const Digest& set) {
  CELERYPOST_ASSERT(
      set != this->goal_digest &&
          !(this->report->serving && this->report->serving->set == set),
      kNoPartialWeights);
  const uint64_t fencing = this->report->highest_fencing + 1;
  this->order = Order::kUnload;
  this->engine.Unload(set, fencing, this->MakeOrderCallback());
}

void EngineDriver::DeleteUnusedObjects() {
  if (!this->artefacts || !this->current.serving ||
      this->current.serving->set != this->goal_digest) {
    return;
  }
  std::vector<Digest> unused;
  for (const Digest& digest : this->staged) {
    if (!this->goal_chunks.contains(digest)) {
      unused.push_back(digest);
    }
  }
  for (const Digest& digest : unused) {
    this->staged.erase(digest);
    this->deleting.insert(digest);
    this->engine.DeleteObject(digest,
                              this->Guard([this, digest](const Result<void>&) {
                                this->deleting.erase(digest);
                              }));
    this->callbacks.on_lost(digest);
  }
}

void EngineDriver::UpdatePhase() {
  const auto phase = [this] {
    switch (this->order) {
      case Order::kLoad:
        return WeightPhase::kLoading;
      case Order::kSwitch:
        return WeightPhase::kSwitching;
      case Order::kUnload:
        return this->current.phase;
      case Order::kNone:
        break;
    }
    if (!this->report) {
      // An order has just ended, or the engine has restarted.
      return this->current.start_id.empty() ? WeightPhase::kUnknown
                                            : this->current.phase;
    }
    if (!this->goal) {
      return WeightPhase::kIdle;
    }
    if (this->current.serving &&
        this->current.serving->set == this->goal_digest) {
      return WeightPhase::kServing;
    }
    return this->IsGoalLoaded() ? WeightPhase::kWaiting
                                : WeightPhase::kFetching;
  };
  this->current.phase = phase();
}

}  // namespace celerypost
