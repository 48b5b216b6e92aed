#ifndef SRC_PROCESS_STATE_BEAT_SCHEDULE_H_
#define SRC_PROCESS_STATE_BEAT_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "celerypost/types.h"
#include "src/process/state/node_role.h"

namespace celerypost {

// The properties of a peer that decide which beats (wire::Beat) it is sent.
struct BeatPeer {
  // Whether a beat was ever received from the peer, even if it is silent now.
  // Otherwise only its address is known, from other sources.
  bool heard = false;
  // Whether the peer is in the sender's region; peers of other regions are far.
  bool near = true;
  NodeRole role = NodeRole::kGateway;
};

// Periods are numbers of beats. Beats to other regions are sent less often, as
// the links between regions also carry answers to callers and have the same
// capacity for three VMs as for a hundred.
struct GatewayBeatOptions {
  uint64_t far_gateway_period = 5;
  uint64_t near_stager_period = 10;
  uint64_t far_stager_period = 20;
  uint64_t unheard_period = 5;
  // Beats that list the addresses of other processes.
  uint64_t address_list_period = 10;
  // Number of near gateways above which the time between beats grows in
  // proportion to them.
  size_t full_rate_gateways = 12;
};

// Returns whether a gateway's beat with this number is sent to `peer`.
// `has_new_document`: the sender has learned of a new operators' document since
// its last beat; the stagers of its region learn of the document from this one.
bool ShouldSendGatewayBeat(const GatewayBeatOptions& options,
                           uint64_t number,
                           bool has_new_document,
                           const BeatPeer& peer);

// Returns the time between two beats of a gateway in a region with
// `near_gateways` gateways, itself included. `period` is the time in a small
// region.
std::chrono::milliseconds GatewayBeatPeriod(const GatewayBeatOptions& options,
                                            std::chrono::milliseconds period,
                                            size_t near_gateways);

struct StagerBeatOptions {
  // Minimum times between two beats to the stagers of other regions: with news
  // for them (StagerBeats::NoteFarNews), while weights are being staged, and
  // otherwise.
  std::chrono::milliseconds far_news{100};
  std::chrono::milliseconds far_staging{500};
  std::chrono::milliseconds far_idle{2000};
  // Minimum time between two beats, and the number of near stagers above which
  // it grows in proportion to them.
  std::chrono::milliseconds min_gap{60};
  size_t full_rate_stagers = 14;
};

// Chooses the receivers of a stager's beats. While weights are being staged,
// each chunk that arrives calls for a beat, so not every beat goes to all.
class StagerBeats {
 public:
  explicit StagerBeats(StagerBeatOptions options) : options(options) {}

  // Call when the next beat announces a chunk that this stager fetches, or has
  // fetched, from the origin or from another region. Stagers of other regions
  // then wait for this one instead of asking the origin, or fetch it from here.
  void NoteFarNews() { this->has_far_news = true; }
  // Begins a beat. `to_all`: the beat is also for gateways and unheard peers,
  // as it holds more than chunks. `staging`: weights are being staged.
  void Begin(bool to_all, bool staging, TimePoint now);
  // Returns whether the beat that was begun is sent to `peer`.
  bool ShouldSendTo(const BeatPeer& peer) const;
  // Returns the minimum time between two beats with `near_stagers` stagers in
  // the region.
  std::chrono::milliseconds MinGap(size_t near_stagers) const;

 private:
  StagerBeatOptions options;
  bool has_far_news = false;
  bool to_all = false;
  bool to_far_stagers = false;
  TimePoint last_far_beat{};
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_BEAT_SCHEDULE_H_
