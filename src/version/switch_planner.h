#ifndef SRC_VERSION_SWITCH_PLANNER_H_
#define SRC_VERSION_SWITCH_PLANNER_H_

#include <cstdint>
#include <unordered_map>

#include "celerypost/types.h"

namespace celerypost {

struct SwitchOptions {
  ZoneName zone;
  // Share of the zone's live agents that may be switching at a time.
  double window_share = 0.25;
  // Minimum number of peers, in any zone, that must be warm and serving.
  uint32_t min_serving = 0;
};

// State of one live agent of the same service, as known from gossip.
struct PeerSwitchState {
  InstanceId instance;
  ZoneName zone;
  // Newest roll-out that the agent has finished switching to.
  uint64_t switched = 0;
  // Whether its target is past its cold start and serves a verified set.
  bool warm_and_serving = false;
};

// Decides when this agent may switch its target to the set of a roll-out. A
// roll-out is identified by the configuration number that introduced it.
class SwitchPlanner {
 public:
  SwitchPlanner(SwitchOptions options, InstanceId self);

  // Replaces what is known of a peer, but `switched` never decreases.
  void OnPeer(const PeerSwitchState& peer);
  void OnPeerGone(InstanceId peer);
  void SetMinServing(uint32_t min_serving);

  // Sets whether this agent's target serves now. A target that serves nothing
  // reduces no capacity by switching, so it may always switch.
  void OnSelfServing(bool serving);

  // Returns the number of agents of this zone that come before this one in the
  // order of the roll-out.
  uint32_t PeersBefore(uint64_t rollout) const;
  // Returns the number of agents of this zone, this one included.
  uint32_t AgentsInZone() const;

  // True if this agent may switch now, given that it has verified all bytes.
  bool MaySwitch(uint64_t rollout, TimePoint now) const;

 private:
  SwitchOptions options;
  InstanceId self;
  bool serving = false;
  std::unordered_map<InstanceId, PeerSwitchState> peers;
};

}  // namespace celerypost

#endif  // SRC_VERSION_SWITCH_PLANNER_H_
