#ifndef SRC_VERSION_CHUNK_PLANNER_H_
#define SRC_VERSION_CHUNK_PLANNER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "celerypost/types.h"
#include "src/version/backoff.h"
#include "src/version/chunk_goal.h"
#include "src/version/fetch_strategy.h"
#include "src/version/fetch_timeout.h"
#include "src/version/goal_history.h"

namespace celerypost {

struct ChunkPlannerOptions {
  InstanceId self;
  RegionName region;
  RegionName origin_region;
  // Limits of fetches in flight: within the region (an origin there included),
  // per peer, from the origin, and across regions. Fetches across regions have
  // a limit of their own, so that a slow link between regions takes no slots
  // from the fast ones.
  uint32_t max_fetches = 8;
  uint32_t max_fetches_per_peer = 2;
  uint32_t max_origin_fetches = 2;
  uint32_t max_cross_fetches = 8;
  // Timeouts after which a fetch is cancelled.
  FetchTimeoutOptions timeout;
  // Backoff after refusals: doubles from the first up to the second value, with
  // jitter.
  Duration peer_backoff = std::chrono::milliseconds(20);
  Duration max_peer_backoff = std::chrono::seconds(1);
  Duration origin_backoff = std::chrono::milliseconds(200);
  Duration max_origin_backoff = std::chrono::seconds(10);
  // How long a peer is avoided after its first corrupt chunk; doubles with each
  // further one.
  Duration avoid_after_corrupt = std::chrono::seconds(30);
};

// A live agent of the same service.
struct PeerState {
  InstanceId instance;
  ZoneName zone;
  RegionName region;
};

enum class FetchOutcome : uint8_t {
  // Verified and stored.
  kStored = 0,
  // The bytes do not have the digest, or are too few.
  kCorrupt = 1,
  // The source is busy.
  kRefused = 2,
  // The source does not have the chunk.
  kNotFound = 3,
  // The connection failed or the source does not answer.
  kFailed = 4,
  // Verified, but the store has no room.
  kNoRoom = 5,
};

struct FetchAction {
  ChunkRef chunk;
  FetchSource source;
  // Whether the bytes cross regions.
  bool crosses_regions = false;
};

struct FetchCancel {
  Digest digest;
  FetchSource source;
};

struct PlannerActions {
  // Fetches to cancel; the planner no longer tracks them.
  std::vector<FetchCancel> cancel;
  std::vector<FetchAction> fetch;
};

// Bounds of one call of Next.
struct NextLimits {
  size_t fetches = SIZE_MAX;
  bool cross_regions = true;
};

// Decides which chunk this agent fetches next and from where. A digest that
// occurs at several positions of the goal is fetched once and held at all of
// them.
class ChunkPlanner {
 public:
  ChunkPlanner(ChunkPlannerOptions options,
               std::unique_ptr<FetchStrategy> strategy,
               std::mt19937_64& random);
  ~ChunkPlanner();

  // Sets the chunks to hold. Chunks already held are kept, and fetches that the
  // new goal needs as well stay in flight; the next actions cancel the others.
  void SetGoal(ChunkGoal goal, TimePoint now);

  void OnPeer(const PeerState& peer, TimePoint now);
  void OnPeerGone(InstanceId peer, TimePoint now);
  // Replaces what is known of the chunks that `peer` holds and fetches. The
  // announcement of an unknown peer applies once OnPeer is called for it.
  void OnHave(InstanceId peer, const HaveAnnouncement& have, TimePoint now);
  // Forgets which chunks `peer` announced to be fetching: it has been silent,
  // and other agents must not wait for it. The chunks that it holds stay known.
  void OnClaimsLapsed(InstanceId peer);

  // Reports the end of a fetch. `retry_after` is the delay that the source
  // asked for.
  void OnChunk(const Digest& digest,
               FetchSource source,
               FetchOutcome outcome,
               TimePoint now,
               std::optional<Duration> retry_after = std::nullopt);

  // Reports a chunk that this agent got by other means than a fetch of the
  // planner, or that it no longer holds.
  void OnHeld(const Digest& digest, TimePoint now);
  void OnDropped(const Digest& digest, TimePoint now);

  PlannerActions Next(TimePoint now, NextLimits limits = {});

  // True if the goal lists all chunks of the set and this agent holds them.
  bool complete() const {
    return this->goal.all_chunks_listed &&
           this->goal_held == this->chunk_states.size();
  }
  bool Holds(const Digest& digest) const { return this->held.contains(digest); }
  // True if the goal contains `digest`.
  bool Wants(const Digest& digest) const {
    return this->positions_of.contains(digest);
  }
  // Returns the announcement for peers: the chunks of the goal that this agent
  // holds, and those that it is fetching from the origin or another region.
  HaveAnnouncement Have() const;
  // Number of unknown peers whose announcements are kept.
  size_t early_announcements() const { return this->early_haves.size(); }
  size_t chunks_held() const { return this->goal_held; }
  size_t chunks_total() const { return this->goal.chunks.size(); }
  const ChunkGoal& current_goal() const { return this->goal; }
  size_t in_flight() const { return this->fetches.size(); }
  // Corrupt chunks received from `peer`.
  uint32_t CorruptChunks(InstanceId peer) const {
    const auto found = this->corrupt_counts.find(peer);
    return found == this->corrupt_counts.end() ? 0 : found->second;
  }

 private:
  struct Peer {
    PeerState state;
    HaveAnnouncement have;
    // For each position of the goal, whether the peer holds that chunk.
    std::vector<bool> holds;
    uint32_t in_flight = 0;
    Backoff backoff;
    // Consecutive failures and timeouts.
    uint32_t failures = 0;
    // An avoided peer is neither asked nor counted as a holder or fetcher.
    bool avoided = false;
    TimePoint avoided_until{};
  };
  struct Fetch {
    ChunkRef chunk;
    FetchSource source;
    bool crosses_regions = false;
    TimePoint started;
    TimePoint deadline;
  };
  // State of one chunk of the goal.
  struct ChunkState {
    bool held = false;
    bool in_flight = false;
    uint32_t holders_in_region = 0;
    uint32_t holders_elsewhere = 0;
    // Peers that hold the chunk, avoided ones included.
    std::vector<InstanceId> holders;
  };

  void ApplyHave(Peer& peer, TimePoint now);
  void SetHolds(Peer& peer, size_t position, bool holds, TimePoint now);
  // Returns the positions of a digest in the goal, none if it does not occur.
  const std::vector<size_t>& PositionsOf(const Digest& digest) const;
  void SetInFlight(const Digest& digest, bool in_flight);
  void AdjustHolderCount(const Peer& peer,
                         size_t position,
                         int change,
                         TimePoint now);
  void NotifyAvailability(size_t position, TimePoint now);
  void Avoid(Peer& peer, Duration period, TimePoint now);
  void EndAvoidance(TimePoint now);
  void SetAvoided(Peer& peer, bool avoided, TimePoint now);
  void OnOriginOutcome(FetchOutcome outcome,
                       TimePoint now,
                       std::optional<Duration> retry_after);
  void OnPeerOutcome(const Digest& digest,
                     InstanceId peer,
                     FetchOutcome outcome,
                     TimePoint now,
                     std::optional<Duration> retry_after);
  void UpdateView(bool new_goal, TimePoint now);
  void ExpireFetches(TimePoint now);
  // Ends the fetches for which `unwanted` is true and returns them.
  std::vector<Fetch> CancelFetches(
      const std::function<bool(const Fetch&)>& unwanted);
  void EndFetch(const Fetch& fetch);
  FetchTimeout& TimeoutFor(FetchSource source, bool crosses_regions);
  // Returns the positions of chunks that are neither held nor in flight, in the
  // strategy's order.
  std::vector<size_t> MissingPositions();
  // `local` and `cross_regions`: whether sources within and outside this region
  // may be asked.
  ChunkView MakeView(size_t position,
                     TimePoint now,
                     bool local,
                     bool cross_regions) const;
  bool CrossesRegions(const FetchSource& source) const;

  ChunkPlannerOptions options;
  std::unique_ptr<FetchStrategy> strategy;
  std::mt19937_64& random;

  ChunkGoal goal;
  DigestPositions positions_of;
  std::vector<ChunkState> chunk_states;
  size_t goal_held = 0;
  GoalHistory earlier_goals;
  std::unordered_set<Digest> held;

  std::unordered_map<InstanceId, Peer> peers;
  // Announcements of peers that are not known yet.
  std::unordered_map<InstanceId, HaveAnnouncement> early_haves;
  std::unordered_map<InstanceId, uint32_t> corrupt_counts;
  std::unordered_map<Digest, Fetch> fetches;
  std::vector<FetchCancel> cancelled;
  SwarmView view;
  bool view_dirty = true;

  uint32_t cross_in_flight = 0;
  uint32_t origin_in_flight = 0;
  Backoff origin_backoff;
  // When a chunk of the goal last got its first holder among the peers.
  TimePoint last_new_chunk{};
  // When this agent's region last received a chunk of the goal that no agent in
  // it held before.
  TimePoint region_progress{};
  TimePoint paused_until{};
  TimePoint next_avoidance_end = TimePoint::max();
  // Fetches from peers of this region, of other regions, and from the origin.
  std::array<FetchTimeout, 3> timeouts;
};

}  // namespace celerypost

#endif  // SRC_VERSION_CHUNK_PLANNER_H_
