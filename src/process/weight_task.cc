#include "src/process/weight_task.h"

#include <algorithm>
#include <utility>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

FetchOutcome OutcomeOf(const TransferFailure& failure) {
  switch (failure.code) {
    case ErrorCode::kNotFound:
      return FetchOutcome::kNotFound;
    case ErrorCode::kOverloaded:
      return FetchOutcome::kRefused;
    case ErrorCode::kCorrupt:
      return FetchOutcome::kCorrupt;
    default:
      return FetchOutcome::kFailed;
  }
}

std::string SourceName(const FetchSource& source) {
  return source.origin ? "the origin"
                       : "instance " + std::to_string(source.peer.value);
}

}  // namespace

WeightTask::WeightTask(WeightTaskOptions options,
                       ChunkTransport& transport,
                       EngineClient& engine,
                       ChunkStore& store,
                       LinkPacer& pacer,
                       std::mt19937_64& random,
                       std::function<TimePoint()> now,
                       std::function<void()> on_change,
                       std::unique_ptr<FetchStrategy> strategy)
    : transport(transport),
      engine(engine),
      store(store),
      pacer(pacer),
      now(std::move(now)),
      on_change(std::move(on_change)),
      options(std::move(options)),
      planner(this->options.planner,
              strategy ? std::move(strategy)
                       : MakeSwarmStrategy(this->options.swarm),
              random),
      switch_planner(this->options.switching, this->options.planner.self),
      driver(this->options.engine,
             engine,
             store,
             this->switch_planner,
             this->now,
             {.on_staged =
                  [this](const Digest& digest) { this->OnStaged(digest); },
              .on_lost = [this](const Digest& digest) { this->OnLost(digest); },
              .on_change = [this] { this->Publish(); }}) {}

WeightTask::~WeightTask() = default;

void WeightTask::SetGoal(const WeightSet& set,
                         uint64_t new_rollout,
                         uint32_t min_serving) {
  this->switch_planner.SetMinServing(min_serving);
  this->rollout = new_rollout;
  const bool same = this->goal == set;
  this->goal = set;
  this->goal_digest = set.SetDigest();
  this->driver.SetGoal(set, new_rollout);
  if (!same) {
    this->origin_bytes = 0;
    this->SetPlannerGoal();
  }
  this->Publish();
}

void WeightTask::SetPlannerGoal() {
  this->indices.assign(this->goal->artefacts.size(), std::nullopt);
  for (size_t i = 0; i < this->indices.size(); ++i) {
    const Artefact& artefact = this->goal->artefacts[i];
    const auto content = this->store.Get(artefact.index, 0, UINT64_MAX);
    if (!content) {
      continue;
    }
    auto index = WeightIndex::Parse(*content, artefact);
    if (index) {
      this->indices[i] = std::move(*index);
    } else {
      this->transfer_error = index.error().message;
    }
  }
  ChunkGoal chunks = MakeChunkGoal(*this->goal, this->indices);
  const bool whole = chunks.all_chunks_listed;
  this->planner.SetGoal(std::move(chunks), this->now());
  this->announce_due = true;
  this->unstaged.clear();
  this->unstaged_bytes = 0;
  for (const auto& [digest, length] : this->lengths) {
    if (this->store.Has(digest) && !this->planner.Wants(digest)) {
      this->evictable.push_back(digest);
    }
  }
  if (!whole) {
    return;
  }
  std::vector<EngineLoadArtefact> artefacts;
  for (size_t i = 0; i < this->indices.size(); ++i) {
    artefacts.push_back({this->goal->artefacts[i], this->indices[i]->chunks});
  }
  this->driver.SetChunks(std::move(artefacts));
  for (const ChunkRef& chunk : this->planner.current_goal().chunks) {
    if (!chunk.index_document && this->store.Has(chunk.digest) &&
        !this->driver.Staged(chunk.digest)) {
      this->AddUnstaged(chunk.digest);
    }
  }
}

void WeightTask::OnPeer(const PeerState& peer) {
  this->planner.OnPeer(peer, this->now());
}

void WeightTask::OnPeerGone(InstanceId peer) {
  this->planner.OnPeerGone(peer, this->now());
  this->switch_planner.OnPeerGone(peer);
}

void WeightTask::OnHave(InstanceId peer, const HaveAnnouncement& have) {
  this->planner.OnHave(peer, have, this->now());
}

void WeightTask::OnPeerSwitch(const PeerSwitchState& peer) {
  this->switch_planner.OnPeer(peer);
}

void WeightTask::OnTargetRestarted() {
  this->driver.OnTargetRestarted();
  this->Publish();
}

void WeightTask::OnTick() {
  this->driver.OnTick();
  this->FetchMore();
  this->SendUploads();
  this->AnnounceIfDue();
  this->Publish();
}

void WeightTask::FetchMore() {
  bool blocked = !this->goal || !this->driver.NeedsChunks();
  while (true) {
    const TimePoint time = this->now();
    blocked = blocked ||
              this->unstaged_bytes + this->fetching_bytes >=
                  this->options.max_unstaged_bytes ||
              this->pacer.WaitTime(LinkDirection::kIn, false, time) >
                  Duration::zero();
    const bool cross_regions = this->pacer.WaitTime(LinkDirection::kIn, true,
                                                    time) == Duration::zero();
    const PlannerActions actions = this->planner.Next(
        time, {.fetches = blocked ? 0u : 1u, .cross_regions = cross_regions});
    for (const FetchCancel& cancel : actions.cancel) {
      const auto found = this->running_fetches.find(cancel.digest);
      if (found != this->running_fetches.end() &&
          found->second.source == cancel.source) {
        this->fetching_bytes -= found->second.length;
        this->running_fetches.erase(found);
      }
    }
    if (actions.fetch.empty()) {
      return;
    }
    for (const FetchAction& action : actions.fetch) {
      this->pacer.TryTake(LinkDirection::kIn, action.chunk.length,
                          action.crosses_regions, time);
      this->StartFetch(action);
    }
  }
}

void WeightTask::StartFetch(const FetchAction& action) {
  const ChunkRef& chunk = action.chunk;
  const FetchSource source = action.source;
  RunningFetch& entry = this->running_fetches[chunk.digest];
  this->fetching_bytes += chunk.length - entry.length;
  entry.source = source;
  entry.length = chunk.length;
  auto done = [this, chunk, source, crosses = action.crosses_regions,
               alive =
                   std::weak_ptr<bool>(this->alive)](TransferResult result) {
    if (alive.expired()) {
      return;
    }
    // Keeps the transfer alive until its callback has returned.
    auto ended = this->running_fetches.extract(chunk.digest);
    if (!ended.empty()) {
      this->fetching_bytes -= ended.mapped().length;
    }
    if (!result && (result.error().code == ErrorCode::kOverloaded ||
                    result.error().code == ErrorCode::kNotFound)) {
      this->pacer.GiveBack(LinkDirection::kIn, chunk.length, crosses,
                           this->now());
    }
    this->OnTransfer(chunk, source, std::move(result));
    this->FetchMore();
    this->Publish();
  };
  if (!source.origin) {
    entry.transfer = this->transport.RequestFromPeer(source.peer, chunk.digest,
                                                     std::move(done));
  } else if (chunk.index_document) {
    entry.transfer =
        this->transport.RequestIndex(chunk.digest, std::move(done));
  } else {
    entry.transfer = this->transport.RequestRange(
        chunk.artefact, chunk.offset, chunk.length, std::move(done));
  }
}

void WeightTask::OnTransfer(const ChunkRef& chunk,
                            FetchSource source,
                            TransferResult result) {
  std::optional<Duration> retry_after;
  FetchOutcome outcome;
  if (result) {
    if (source.origin) {
      this->origin_bytes += result->size();
    }
    outcome = this->StoreFetched(chunk, std::move(*result));
  } else {
    outcome = OutcomeOf(result.error());
    retry_after = result.error().retry_after;
    if (outcome != FetchOutcome::kRefused) {
      this->transfer_error =
          "chunk " + chunk.digest.ToHex() + ": " + result.error().message;
    }
  }
  if (outcome == FetchOutcome::kCorrupt) {
    ++this->corrupt_chunks;
    this->transfer_error = "chunk " + chunk.digest.ToHex() + " from " +
                           SourceName(source) + " is corrupt or truncated";
  }
  this->planner.OnChunk(chunk.digest, source, outcome, this->now(),
                        retry_after);
  if (outcome != FetchOutcome::kStored) {
    return;
  }
  this->announce_due = true;
  if (chunk.index_document && !this->planner.current_goal().all_chunks_listed) {
    this->SetPlannerGoal();
  } else if (!chunk.index_document && this->planner.Wants(chunk.digest)) {
    this->AddUnstaged(chunk.digest);
  } else {
    // The goal changed during the transfer.
    this->evictable.push_back(chunk.digest);
  }
}

FetchOutcome WeightTask::StoreFetched(const ChunkRef& chunk,
                                      std::string content) {
  const uint64_t length = content.size();
  if (!chunk.index_document && length != chunk.length) {
    return FetchOutcome::kCorrupt;
  }
  const auto stored = this->PutWithEviction(chunk.digest, std::move(content));
  if (!stored) {
    return stored.error().code == ErrorCode::kCorrupt ? FetchOutcome::kCorrupt
                                                      : FetchOutcome::kNoRoom;
  }
  this->lengths[chunk.digest] = length;
  return FetchOutcome::kStored;
}

Result<void> WeightTask::PutWithEviction(const Digest& digest,
                                         std::string content) {
  while (true) {
    auto stored = this->store.Put(digest, content);
    if (stored || stored.error().code != ErrorCode::kOverloaded ||
        !this->EvictOne()) {
      return stored;
    }
  }
}

bool WeightTask::EvictOne() {
  while (!this->evictable.empty()) {
    const Digest digest = this->evictable.front();
    this->evictable.pop_front();
    if (!this->store.Has(digest) || this->unstaged.contains(digest)) {
      continue;
    }
    const bool staged = this->driver.Staged(digest);
    if (!staged && this->planner.Wants(digest)) {
      continue;
    }
    this->store.Drop(digest);
    if (!staged) {
      this->lengths.erase(digest);
      this->planner.OnDropped(digest, this->now());
    }
    return true;
  }
  return false;
}

void WeightTask::AddUnstaged(const Digest& digest) {
  const uint64_t length = this->lengths[digest];
  if (this->unstaged.emplace(digest, length).second) {
    this->unstaged_bytes += length;
  }
  this->driver.Stage(digest);
}

void WeightTask::RemoveUnstaged(const Digest& digest) {
  const auto found = this->unstaged.find(digest);
  if (found != this->unstaged.end()) {
    this->unstaged_bytes -= found->second;
    this->unstaged.erase(found);
  }
}

void WeightTask::OnStaged(const Digest& digest) {
  this->RemoveUnstaged(digest);
  this->evictable.push_back(digest);
}

void WeightTask::OnLost(const Digest& digest) {
  if (!this->store.Has(digest)) {
    this->RemoveUnstaged(digest);
    this->lengths.erase(digest);
    this->planner.OnDropped(digest, this->now());
    this->announce_due = true;
  } else if (this->planner.Wants(digest)) {
    this->AddUnstaged(digest);
  } else {
    this->evictable.push_back(digest);
  }
}

bool WeightTask::Holds(const Digest& digest) const {
  return this->store.Has(digest) || this->driver.Staged(digest);
}

void WeightTask::ServeChunk(const Digest& digest,
                            bool crosses_regions,
                            TransferCallback done) {
  if (!this->Holds(digest)) {
    done(tl::unexpected(TransferFailure{
        ErrorCode::kNotFound, "chunk " + digest.ToHex() + " is not held", {}}));
    return;
  }
  if (this->uploads.size() >= this->options.max_uploads) {
    const Duration wait =
        this->pacer.WaitTime(LinkDirection::kOut, crosses_regions, this->now());
    done(tl::unexpected(TransferFailure{
        ErrorCode::kOverloaded,
        std::to_string(this->uploads.size()) + " uploads wait for the link",
        std::chrono::ceil<std::chrono::milliseconds>(wait)}));
    return;
  }
  this->uploads.push_back({digest, crosses_regions, std::move(done)});
  this->SendUploads();
}

void WeightTask::SendUploads() {
  std::deque<Upload> waiting = std::exchange(this->uploads, {});
  while (!waiting.empty()) {
    Upload upload = std::move(waiting.front());
    waiting.pop_front();
    const auto length = this->lengths.find(upload.digest);
    if (length != this->lengths.end() &&
        !this->pacer.TryTake(LinkDirection::kOut, length->second,
                             upload.crosses_regions, this->now())) {
      this->uploads.push_back(std::move(upload));
      continue;
    }
    this->SendUpload(std::move(upload));
  }
}

void WeightTask::SendUpload(Upload upload) {
  auto content = this->store.Get(upload.digest, 0, UINT64_MAX);
  if (content) {
    upload.done(std::move(*content));
    return;
  }
  const auto not_found = [](const Digest& digest) {
    return tl::unexpected(TransferFailure{
        ErrorCode::kNotFound, "chunk " + digest.ToHex() + " is not held", {}});
  };
  if (!this->driver.Staged(upload.digest)) {
    upload.done(not_found(upload.digest));
    return;
  }
  this->engine.GetObject(upload.digest,
                         [digest = upload.digest, done = std::move(upload.done),
                          not_found](Result<std::string> object) {
                           if (object && Digest::Of(*object) == digest) {
                             done(std::move(*object));
                           } else {
                             done(not_found(digest));
                           }
                         });
}

void WeightTask::AnnounceIfDue() {
  const TimePoint time = this->now();
  if (!this->announce_due || !this->goal ||
      time < this->last_announced + this->options.announce_period) {
    return;
  }
  this->announce_due = false;
  this->last_announced = time;
  this->transport.Announce(this->planner.Have());
}

HaveAnnouncement WeightTask::Have() const {
  return this->planner.Have();
}

void WeightTask::Publish() {
  const EngineState& engine_state = this->driver.state();
  WeightState next;
  next.phase = engine_state.phase;
  next.serving = engine_state.serving;
  next.warm = engine_state.warm;
  next.start_id = engine_state.start_id;
  next.switched = engine_state.switched;
  if (this->goal) {
    next.goal = this->goal_digest;
  }
  next.rollout = this->rollout;
  next.chunks_held = this->planner.chunks_held();
  next.chunks_total = this->planner.chunks_total();
  next.origin_bytes = this->origin_bytes;
  next.corrupt_chunks = this->corrupt_chunks;
  next.last_error = engine_state.last_error.empty() ? this->transfer_error
                                                    : engine_state.last_error;
  CELERYPOST_ASSERT(
      next.phase != WeightPhase::kServing ||
          (next.serving && next.goal && next.serving->set == *next.goal),
      "P1: no response is ever produced from partial or mixed weights");
  if (next == this->current) {
    return;
  }
  this->current = std::move(next);
  if (this->on_change) {
    this->on_change();
  }
}

}  // namespace celerypost
