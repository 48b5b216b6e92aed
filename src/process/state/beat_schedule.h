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

// Beats go to processes of the sender's region; other regions get summaries
// instead (RegionSummary), as the links between regions also carry answers and
// have the same capacity for three VMs as for a hundred.
struct GatewayBeatOptions {
  // Time between two beats to the stagers of the region and to peers that no
  // beat was received from. Stagers take a gateway for dead when they have not
  // heard it for longer (PeerExchangeOptions::near_silence_limit).
  std::chrono::milliseconds stager_period{1000};
  std::chrono::milliseconds unheard_period{500};
  // Time between two beats that list addresses of other processes, and the
  // number of addresses.
  std::chrono::milliseconds address_period{1000};
  size_t max_addresses = 16;
  // Number of near gateways above which the time between beats grows in
  // proportion to them.
  size_t full_rate_gateways = 12;
};

// Chooses the receivers of a gateway's beats.
class GatewayBeats {
 public:
  explicit GatewayBeats(GatewayBeatOptions options) : options(options) {}

  // Begins a beat. `has_new_document`: the sender has learned of a new
  // operators' document since its last beat; the stagers of its region learn of
  // the document from this one.
  void Begin(bool has_new_document, TimePoint now);
  // Returns whether the beat that was begun is sent to `peer`.
  bool ShouldSendTo(const BeatPeer& peer) const;
  // Whether the beat that was begun lists addresses.
  bool lists_addresses() const { return this->with_addresses; }

 private:
  GatewayBeatOptions options;
  bool to_stagers = false;
  bool to_unheard = false;
  bool with_addresses = false;
  TimePoint last_to_stagers{};
  TimePoint last_to_unheard{};
  TimePoint last_addresses{};
};

// Returns the time between two beats of a gateway in a region with
// `near_gateways` gateways, itself included. `period` is the time in a small
// region.
std::chrono::milliseconds GatewayBeatPeriod(const GatewayBeatOptions& options,
                                            std::chrono::milliseconds period,
                                            size_t near_gateways);

struct StagerBeatOptions {
  // Minimum times between two beats to stagers of other regions: with news for
  // them (StagerBeats::NoteFarNews), and after that while weights are being
  // staged, in case a datagram was lost.
  std::chrono::milliseconds far_news{100};
  std::chrono::milliseconds far_staging{500};
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
  // Returns whether the beat that was begun is sent to `peer`, which is not one
  // of another region.
  bool ShouldSendTo(const BeatPeer& peer) const;
  // Whether the beat that was begun is sent to the stagers of other regions
  // that fetch across regions (AssignFetchRoles).
  bool ReachesFarFetchers() const { return this->to_far_fetchers; }
  // Returns the minimum time between two beats with `near_stagers` stagers in
  // the region.
  std::chrono::milliseconds MinGap(size_t near_stagers) const;

 private:
  StagerBeatOptions options;
  bool has_far_news = false;
  bool to_all = false;
  bool to_far_fetchers = false;
  // Whether other regions were told of a chunk since staging began.
  bool announced_far = false;
  TimePoint last_far_beat{};
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_BEAT_SCHEDULE_H_
