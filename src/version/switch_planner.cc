#include "src/version/switch_planner.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/version/digest.h"

namespace celerypost {

namespace {

// Sort key of an agent in the order of a roll-out, the same in every process.
std::pair<uint64_t, uint64_t> OrderKey(const std::string& rollout,
                                       InstanceId instance) {
  return {RendezvousWeight(rollout, instance.value), instance.value};
}

}  // namespace

SwitchPlanner::SwitchPlanner(SwitchOptions options, InstanceId self)
    : options(std::move(options)), self(self) {}

void SwitchPlanner::OnPeer(const PeerSwitchState& peer) {
  if (peer.instance == this->self) {
    return;
  }
  PeerSwitchState& known = this->peers[peer.instance];
  const uint64_t switched = std::max(known.switched, peer.switched);
  known = peer;
  known.switched = switched;
}

void SwitchPlanner::OnPeerGone(InstanceId peer) {
  this->peers.erase(peer);
}

void SwitchPlanner::SetMinServing(uint32_t min_serving) {
  this->options.min_serving = min_serving;
}

void SwitchPlanner::OnSelfServing(bool serving) {
  this->serving = serving;
}

uint32_t SwitchPlanner::PeersBefore(uint64_t rollout) const {
  const std::string key = std::to_string(rollout);
  uint32_t before = 0;
  for (const auto& [instance, peer] : this->peers) {
    before += peer.zone == this->options.zone &&
                      OrderKey(key, instance) < OrderKey(key, this->self)
                  ? 1
                  : 0;
  }
  return before;
}

uint32_t SwitchPlanner::AgentsInZone() const {
  return 1 + static_cast<uint32_t>(std::count_if(
                 this->peers.begin(), this->peers.end(), [this](const auto& p) {
                   return p.second.zone == this->options.zone;
                 }));
}

bool SwitchPlanner::MaySwitch(uint64_t rollout, TimePoint /*now*/) const {
  if (!this->serving) {
    return true;
  }
  const std::string key = std::to_string(rollout);
  const auto own_key = OrderKey(key, this->self);
  uint32_t in_zone = 1;
  uint32_t pending = 0;
  uint32_t warm = 0;
  for (const auto& [instance, peer] : this->peers) {
    warm += peer.warm_and_serving ? 1 : 0;
    if (peer.zone != this->options.zone) {
      continue;
    }
    ++in_zone;
    // A target that has switched is cold; the next one waits until it is warm,
    // so that cold targets never make up more of the zone than the window.
    const bool switching =
        peer.switched < rollout && OrderKey(key, instance) < own_key;
    const bool warming = peer.switched >= rollout && !peer.warm_and_serving;
    if (switching || warming) {
      ++pending;
    }
  }
  const auto window = std::max<uint32_t>(
      1, static_cast<uint32_t>(in_zone * this->options.window_share));
  // A service with fewer replicas than the limit could otherwise never switch.
  const auto required = std::min<uint32_t>(
      this->options.min_serving, static_cast<uint32_t>(this->peers.size()));
  return pending < window && warm >= required;
}

}  // namespace celerypost
