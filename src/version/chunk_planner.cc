#include "src/version/chunk_planner.h"

#include <algorithm>
#include <utility>

namespace celerypost {
namespace {

// Consecutive failures or timeouts after which a peer no longer counts as a
// holder, so that a stalled peer that holds the only copy does not block the
// others.
constexpr uint32_t kFailuresUntilAvoided = 2;
constexpr Duration kAvoidAfterFailures = std::chrono::seconds(5);
// How long no chunk is requested after the store had no room.
constexpr Duration kNoRoomPause = std::chrono::milliseconds(100);

}  // namespace

ChunkPlanner::ChunkPlanner(ChunkPlannerOptions options,
                           std::unique_ptr<FetchStrategy> strategy,
                           std::mt19937_64& random)
    : options(std::move(options)),
      strategy(std::move(strategy)),
      random(random),
      timeouts{FetchTimeout(this->options.timeout),
               FetchTimeout(this->options.timeout),
               FetchTimeout(this->options.timeout)} {}

ChunkPlanner::~ChunkPlanner() = default;

void ChunkPlanner::SetGoal(ChunkGoal new_goal, TimePoint now) {
  for (auto& [instance, peer] : this->peers) {
    peer.holds.clear();
  }
  if (!this->goal.chunks.empty() && this->goal.set != new_goal.set) {
    this->earlier_goals.Remember(std::move(this->goal));
  }
  this->goal = std::move(new_goal);
  this->positions_of.clear();
  this->chunk_states.assign(this->goal.chunks.size(), {});
  this->goal_held = 0;
  this->region_progress = now;
  for (size_t i = 0; i < this->goal.chunks.size(); ++i) {
    const Digest& digest = this->goal.chunks[i].digest;
    this->positions_of[digest].push_back(i);
    this->chunk_states[i].held = this->held.contains(digest);
    this->chunk_states[i].in_flight = this->fetches.contains(digest);
    this->goal_held += this->chunk_states[i].held ? 1 : 0;
  }
  this->CancelFetches([this](const Fetch& fetch) {
    return !this->positions_of.contains(fetch.chunk.digest);
  });
  this->UpdateView(true, now);
  for (size_t i = 0; i < this->chunk_states.size(); ++i) {
    if (this->chunk_states[i].held) {
      this->NotifyAvailability(i, now);
    }
  }
  for (auto& [instance, peer] : this->peers) {
    this->ApplyHave(peer, now);
  }
}

void ChunkPlanner::OnChunk(const Digest& digest,
                           FetchSource source,
                           FetchOutcome outcome,
                           TimePoint now,
                           std::optional<Duration> retry_after) {
  const auto found = this->fetches.find(digest);
  const bool known =
      found != this->fetches.end() && found->second.source == source;
  if (known) {
    const Fetch fetch = found->second;
    this->EndFetch(fetch);
    if (outcome == FetchOutcome::kStored) {
      this->TimeoutFor(fetch.source, fetch.crosses_regions)
          .OnEnded(now - fetch.started);
    }
  }
  if (outcome == FetchOutcome::kStored) {
    this->OnHeld(digest, now);
  }
  if (outcome == FetchOutcome::kNoRoom) {
    this->paused_until = now + kNoRoomPause;
    return;
  }
  if (source.origin) {
    this->OnOriginOutcome(outcome, now, retry_after);
  } else {
    this->OnPeerOutcome(digest, source.peer, outcome, now, retry_after);
  }
}

void ChunkPlanner::OnOriginOutcome(FetchOutcome outcome,
                                   TimePoint now,
                                   std::optional<Duration> retry_after) {
  if (outcome == FetchOutcome::kStored) {
    this->origin_backoff.OnSuccess();
    return;
  }
  this->origin_backoff.OnRefused(this->options.origin_backoff,
                                 this->options.max_origin_backoff, retry_after,
                                 this->random, now);
}

void ChunkPlanner::OnPeerOutcome(const Digest& digest,
                                 InstanceId instance,
                                 FetchOutcome outcome,
                                 TimePoint now,
                                 std::optional<Duration> retry_after) {
  if (outcome == FetchOutcome::kCorrupt) {
    ++this->corrupt_counts[instance];
  }
  const auto found = this->peers.find(instance);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  switch (outcome) {
    case FetchOutcome::kStored:
      peer.backoff.OnSuccess();
      peer.failures = 0;
      return;
    case FetchOutcome::kCorrupt: {
      const uint32_t doublings =
          std::min<uint32_t>(this->corrupt_counts[instance] - 1, 10);
      this->Avoid(peer, this->options.avoid_after_corrupt * (1u << doublings),
                  now);
      return;
    }
    case FetchOutcome::kNotFound: {
      if (!peer.holds.empty()) {
        for (const size_t position : this->PositionsOf(digest)) {
          this->SetHolds(peer, position, false, now);
        }
      }
      return;
    }
    case FetchOutcome::kFailed:
      if (++peer.failures >= kFailuresUntilAvoided) {
        const uint32_t doublings =
            std::min<uint32_t>(peer.failures - kFailuresUntilAvoided, 4);
        this->Avoid(peer, kAvoidAfterFailures * (1u << doublings), now);
      }
      break;
    default:
      break;
  }
  peer.backoff.OnRefused(this->options.peer_backoff,
                         this->options.max_peer_backoff, retry_after,
                         this->random, now);
}

void ChunkPlanner::OnHeld(const Digest& digest, TimePoint now) {
  this->held.insert(digest);
  for (const size_t position : this->PositionsOf(digest)) {
    ChunkState& chunk = this->chunk_states[position];
    if (chunk.held) {
      continue;
    }
    if (chunk.holders_in_region == 0) {
      this->region_progress = now;
    }
    chunk.held = true;
    ++this->goal_held;
    this->NotifyAvailability(position, now);
  }
  this->CancelFetches(
      [&digest](const Fetch& fetch) { return fetch.chunk.digest == digest; });
}

void ChunkPlanner::OnDropped(const Digest& digest, TimePoint now) {
  this->held.erase(digest);
  for (const size_t position : this->PositionsOf(digest)) {
    if (std::exchange(this->chunk_states[position].held, false)) {
      --this->goal_held;
      this->NotifyAvailability(position, now);
    }
  }
}

const std::vector<size_t>& ChunkPlanner::PositionsOf(
    const Digest& digest) const {
  static const std::vector<size_t> none;
  const auto found = this->positions_of.find(digest);
  return found == this->positions_of.end() ? none : found->second;
}

void ChunkPlanner::SetInFlight(const Digest& digest, bool in_flight) {
  for (const size_t position : this->PositionsOf(digest)) {
    this->chunk_states[position].in_flight = in_flight;
  }
}

std::vector<ChunkPlanner::Fetch> ChunkPlanner::CancelFetches(
    const std::function<bool(const Fetch&)>& unwanted) {
  std::vector<Fetch> ended;
  for (const auto& [digest, fetch] : this->fetches) {
    if (unwanted(fetch)) {
      ended.push_back(fetch);
    }
  }
  for (const Fetch& fetch : ended) {
    this->EndFetch(fetch);
    this->cancelled.push_back({fetch.chunk.digest, fetch.source});
  }
  return ended;
}

void ChunkPlanner::EndFetch(const Fetch& fetch) {
  if (fetch.crosses_regions) {
    --this->cross_in_flight;
  }
  this->SetInFlight(fetch.chunk.digest, false);
  if (fetch.source.origin) {
    --this->origin_in_flight;
  } else {
    const auto peer = this->peers.find(fetch.source.peer);
    if (peer != this->peers.end()) {
      --peer->second.in_flight;
    }
  }
  const Digest digest = fetch.chunk.digest;
  this->fetches.erase(digest);
}

FetchTimeout& ChunkPlanner::TimeoutFor(FetchSource source,
                                       bool crosses_regions) {
  return this->timeouts[source.origin ? 2 : (crosses_regions ? 1 : 0)];
}

void ChunkPlanner::ExpireFetches(TimePoint now) {
  const auto expired = this->CancelFetches([this, now](const Fetch& fetch) {
    // While chunks arrive over the links that all agents share, a fetch is
    // queued rather than stalled; another one would only lengthen the queue.
    const Duration stall_timeout = this->options.timeout.initial;
    const bool queued =
        fetch.source.origin
            ? now < this->last_new_chunk + stall_timeout
            : fetch.crosses_regions &&
                  now < this->region_progress + stall_timeout &&
                  now < fetch.started + this->options.timeout.max;
    return now >= fetch.deadline && !queued;
  });
  for (const Fetch& fetch : expired) {
    this->TimeoutFor(fetch.source, fetch.crosses_regions).OnExpired();
    if (fetch.source.origin) {
      this->OnOriginOutcome(FetchOutcome::kFailed, now, std::nullopt);
    } else {
      this->OnPeerOutcome(fetch.chunk.digest, fetch.source.peer,
                          FetchOutcome::kFailed, now, std::nullopt);
    }
  }
}

void ChunkPlanner::UpdateView(bool new_goal, TimePoint now) {
  this->view.self = this->options.self;
  this->view.self_region = this->options.region;
  this->view.origin_region = this->options.origin_region;
  this->view.chunks = &this->goal.chunks;
  this->view.members.clear();
  this->view.members.push_back({this->options.self, this->options.region});
  for (const auto& [instance, peer] : this->peers) {
    if (!peer.avoided) {
      this->view.members.push_back({instance, peer.state.region});
    }
  }
  std::sort(this->view.members.begin(), this->view.members.end(),
            [](const SwarmMember& a, const SwarmMember& b) {
              return a.instance.value < b.instance.value;
            });
  this->view_dirty = false;
  this->strategy->OnView(this->view, new_goal, now);
}

bool ChunkPlanner::CrossesRegions(const FetchSource& source) const {
  if (source.origin) {
    return this->options.origin_region != this->options.region;
  }
  return this->peers.at(source.peer).state.region != this->options.region;
}

std::vector<size_t> ChunkPlanner::MissingPositions() {
  std::vector<size_t> missing;
  for (size_t i = 0; i < this->chunk_states.size(); ++i) {
    if (!this->chunk_states[i].held && !this->chunk_states[i].in_flight) {
      missing.push_back(i);
    }
  }
  if (this->strategy->Order() == ChunkOrder::kInOrder) {
    return missing;
  }
  // Shuffled also before sorting by rarity: agents that fetch equally rare
  // chunks in the same order would hold the same chunks and have nothing to
  // exchange.
  std::shuffle(missing.begin(), missing.end(), this->random);
  if (this->strategy->Order() == ChunkOrder::kRarestFirst) {
    std::stable_sort(missing.begin(), missing.end(),
                     [this](size_t a, size_t b) {
                       return this->chunk_states[a].holders_in_region <
                              this->chunk_states[b].holders_in_region;
                     });
  }
  return missing;
}

ChunkView ChunkPlanner::MakeView(size_t position,
                                 TimePoint now,
                                 bool local,
                                 bool cross_regions) const {
  const ChunkState& state = this->chunk_states[position];
  const auto allowed = [local, cross_regions](bool crosses) {
    return crosses ? cross_regions : local;
  };
  ChunkView chunk;
  chunk.position = position;
  chunk.holders_in_region = state.holders_in_region;
  chunk.holders_elsewhere = state.holders_elsewhere;
  chunk.cross_regions = cross_regions;
  chunk.region_progress = this->region_progress;
  chunk.origin_usable =
      this->origin_backoff.Usable(now) &&
      this->origin_in_flight < this->options.max_origin_fetches &&
      allowed(this->CrossesRegions(FetchSource::Origin()));
  for (const auto& [instance, peer] : this->peers) {
    if (peer.have.set != this->goal.set) {
      continue;
    }
    if (TestBit(peer.have.fetching, position)) {
      (peer.state.region == this->options.region ? chunk.claimed_in_region
                                                 : chunk.claimed_elsewhere) =
          true;
    }
  }
  for (const InstanceId instance : state.holders) {
    const Peer& peer = this->peers.at(instance);
    if (!peer.avoided && peer.backoff.Usable(now) &&
        peer.in_flight < this->options.max_fetches_per_peer &&
        allowed(peer.state.region != this->options.region)) {
      chunk.usable.push_back({instance, peer.state.region, peer.in_flight});
    }
  }
  return chunk;
}

PlannerActions ChunkPlanner::Next(TimePoint now, NextLimits limits) {
  this->ExpireFetches(now);
  this->EndAvoidance(now);
  PlannerActions actions;
  actions.cancel = std::exchange(this->cancelled, {});
  if (this->view_dirty) {
    this->UpdateView(false, now);
  }
  if (now < this->paused_until ||
      this->goal_held == this->chunk_states.size() || limits.fetches == 0) {
    return actions;
  }
  for (const size_t position : this->MissingPositions()) {
    // Its digest may occur at another position, too.
    if (this->chunk_states[position].in_flight) {
      continue;
    }
    const bool local = this->fetches.size() - this->cross_in_flight <
                       this->options.max_fetches;
    limits.cross_regions =
        limits.cross_regions &&
        this->cross_in_flight < this->options.max_cross_fetches;
    if (actions.fetch.size() >= limits.fetches ||
        !(local || limits.cross_regions)) {
      break;
    }
    const auto source = this->strategy->Choose(
        this->MakeView(position, now, local, limits.cross_regions),
        this->random, now);
    if (!source) {
      continue;
    }
    const ChunkRef& chunk = this->goal.chunks[position];
    const bool crosses = this->CrossesRegions(*source);
    this->fetches[chunk.digest] = {
        chunk, *source, crosses, now,
        now + this->TimeoutFor(*source, crosses).Value()};
    this->SetInFlight(chunk.digest, true);
    this->cross_in_flight += crosses ? 1 : 0;
    if (source->origin) {
      ++this->origin_in_flight;
    } else {
      ++this->peers.at(source->peer).in_flight;
    }
    actions.fetch.push_back({chunk, *source, crosses});
  }
  return actions;
}

HaveAnnouncement ChunkPlanner::Have() const {
  HaveAnnouncement have;
  have.set = this->goal.set;
  have.complete = this->complete();
  for (size_t i = 0; i < this->chunk_states.size(); ++i) {
    if (this->chunk_states[i].held) {
      SetBit(have.bitmap, i);
    }
  }
  for (const auto& [digest, fetch] : this->fetches) {
    if (fetch.source.origin || fetch.crosses_regions) {
      for (const size_t position : this->PositionsOf(digest)) {
        SetBit(have.fetching, position);
      }
    }
  }
  return have;
}

}  // namespace celerypost
