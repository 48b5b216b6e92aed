// The part of ChunkPlanner that tracks peers and the chunks that they hold.

#include "src/version/chunk_planner.h"

#include <algorithm>
#include <utility>

namespace celerypost {

namespace {

// Bounds the memory for announcements of processes that never become members.
constexpr size_t kMaxEarlyAnnouncements = 1024;

}  // namespace

void ChunkPlanner::OnPeer(const PeerState& state, TimePoint now) {
  if (state.instance == this->options.self) {
    return;
  }
  const auto found = this->peers.find(state.instance);
  if (found != this->peers.end()) {
    if (found->second.state.region == state.region) {
      found->second.state = state;
      return;
    }
    this->OnPeerGone(state.instance, now);
  }
  Peer& peer = this->peers[state.instance];
  peer.state = state;
  this->view_dirty = true;
  const auto early = this->early_haves.extract(state.instance);
  if (!early.empty()) {
    peer.have = early.mapped();
    this->ApplyHave(peer, now);
  }
}

void ChunkPlanner::OnPeerGone(InstanceId instance, TimePoint now) {
  this->early_haves.erase(instance);
  const auto found = this->peers.find(instance);
  if (found == this->peers.end()) {
    return;
  }
  this->CancelFetches([instance](const Fetch& fetch) {
    return fetch.source == FetchSource::Peer(instance);
  });
  for (size_t i = 0; i < found->second.holds.size(); ++i) {
    this->SetHolds(found->second, i, false, now);
  }
  this->peers.erase(found);
  this->view_dirty = true;
}

void ChunkPlanner::OnClaimsLapsed(InstanceId peer) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    found->second.have.fetching.clear();
  }
}

void ChunkPlanner::OnHave(InstanceId instance,
                          const HaveAnnouncement& have,
                          TimePoint now) {
  const auto found = this->peers.find(instance);
  if (found == this->peers.end()) {
    // A connection may announce chunks before membership names its peer.
    if (this->early_haves.size() < kMaxEarlyAnnouncements) {
      this->early_haves[instance] = have;
    }
    return;
  }
  found->second.have = have;
  this->ApplyHave(found->second, now);
}

void ChunkPlanner::ApplyHave(Peer& peer, TimePoint now) {
  const std::vector<bool> holds =
      this->earlier_goals.Holds(peer.have, this->goal, this->positions_of);
  peer.holds.resize(this->chunk_states.size(), false);
  for (size_t i = 0; i < holds.size(); ++i) {
    this->SetHolds(peer, i, holds[i], now);
  }
}

void ChunkPlanner::SetHolds(Peer& peer,
                            size_t position,
                            bool holds,
                            TimePoint now) {
  if (peer.holds[position] == holds) {
    return;
  }
  peer.holds[position] = holds;
  auto& holders = this->chunk_states[position].holders;
  if (holds) {
    holders.push_back(peer.state.instance);
  } else {
    std::erase(holders, peer.state.instance);
  }
  if (!peer.avoided) {
    this->AdjustHolderCount(peer, position, holds ? 1 : -1, now);
  }
}

void ChunkPlanner::AdjustHolderCount(const Peer& peer,
                                     size_t position,
                                     int change,
                                     TimePoint now) {
  ChunkState& chunk = this->chunk_states[position];
  uint32_t& count = peer.state.region == this->options.region
                        ? chunk.holders_in_region
                        : chunk.holders_elsewhere;
  const bool had = count > 0;
  if (chunk.holders_in_region + chunk.holders_elsewhere == 0) {
    this->last_new_chunk = now;
  }
  if (chunk.holders_in_region == 0 &&
      peer.state.region == this->options.region) {
    this->region_progress = now;
  }
  count += change;
  if (had != (count > 0)) {
    this->NotifyAvailability(position, now);
  }
}

void ChunkPlanner::NotifyAvailability(size_t position, TimePoint now) {
  const ChunkState& chunk = this->chunk_states[position];
  // This agent counts as a holder in its region as well. Otherwise the only
  // agent of a region would treat chunks that it has imported as still to be
  // imported.
  this->strategy->OnAvailability(position,
                                 chunk.holders_in_region + (chunk.held ? 1 : 0),
                                 chunk.holders_elsewhere, now);
}

void ChunkPlanner::Avoid(Peer& peer, Duration period, TimePoint now) {
  peer.avoided_until = std::max(peer.avoided_until, now + period);
  this->next_avoidance_end =
      std::min(this->next_avoidance_end, peer.avoided_until);
  this->SetAvoided(peer, true, now);
}

void ChunkPlanner::SetAvoided(Peer& peer, bool avoided, TimePoint now) {
  if (peer.avoided == avoided) {
    return;
  }
  peer.avoided = avoided;
  this->view_dirty = true;
  for (size_t i = 0; i < peer.holds.size(); ++i) {
    if (peer.holds[i]) {
      this->AdjustHolderCount(peer, i, avoided ? -1 : 1, now);
    }
  }
}

void ChunkPlanner::EndAvoidance(TimePoint now) {
  if (now < this->next_avoidance_end) {
    return;
  }
  this->next_avoidance_end = TimePoint::max();
  for (auto& [instance, peer] : this->peers) {
    if (peer.avoided && now >= peer.avoided_until) {
      this->SetAvoided(peer, false, now);
    } else if (peer.avoided) {
      this->next_avoidance_end =
          std::min(this->next_avoidance_end, peer.avoided_until);
    }
  }
}

}  // namespace celerypost
