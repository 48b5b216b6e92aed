#ifndef SRC_VERSION_FETCH_STRATEGY_H_
#define SRC_VERSION_FETCH_STRATEGY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "celerypost/types.h"
#include "src/version/chunk_goal.h"
#include "src/version/fetch_roles.h"

namespace celerypost {

// Where a chunk is fetched from.
struct FetchSource {
  bool origin = false;
  // Peer instance; zero for the origin.
  InstanceId peer;

  bool operator==(const FetchSource&) const = default;
  static FetchSource Origin() { return {true, {}}; }
  static FetchSource Peer(InstanceId peer) { return {false, peer}; }
};

// The order in which missing chunks are considered.
enum class ChunkOrder : uint8_t { kRarestFirst, kRandom, kInOrder };

// A live agent as a strategy sees it.
struct SwarmMember {
  InstanceId instance;
  RegionName region;
};

// The live agents whose chunks may be used, this one included, ordered by
// instance.
struct SwarmView {
  InstanceId self;
  RegionName self_region;
  RegionName origin_region;
  std::vector<SwarmMember> members;
  const std::vector<ChunkRef>* chunks = nullptr;
};

// A peer that holds a chunk and that may be asked now.
struct Holder {
  InstanceId instance;
  RegionName region;
  // Fetches of this agent that this peer is serving.
  uint32_t in_flight = 0;
};

// What is known of one missing chunk.
struct ChunkView {
  size_t position = 0;
  // Holders that may be asked now.
  std::vector<Holder> usable;
  // Known holders, those included that may not be asked at the moment.
  uint32_t holders_in_region = 0;
  uint32_t holders_elsewhere = 0;
  // Whether the origin may be asked now.
  bool origin_usable = false;
  // Whether a fetch may cross regions now.
  bool cross_regions = true;
  // When this agent's region last received a chunk of the goal that no agent in
  // it held before.
  TimePoint region_progress{};
  // Whether a peer of this region, or of another one, has announced that it is
  // fetching the chunk from the origin or from another region.
  bool claimed_in_region = false;
  bool claimed_elsewhere = false;
};

// Chooses sources. One object serves one planner.
class FetchStrategy {
 public:
  virtual ~FetchStrategy() = default;

  virtual ChunkOrder Order() const = 0;
  // The members or, if `new_goal`, the goal have changed. `view` stays valid
  // until the next call.
  virtual void OnView(const SwarmView& view, bool new_goal, TimePoint now) = 0;
  // The number of holders of a chunk in this agent's region, this agent
  // included, or in other regions has become zero or has risen from zero.
  virtual void OnAvailability(size_t position,
                              uint32_t holders_in_region,
                              uint32_t holders_elsewhere,
                              TimePoint now) = 0;
  // Returns the source for a missing chunk, or nothing if it must wait.
  virtual std::optional<FetchSource> Choose(const ChunkView& chunk,
                                            std::mt19937_64& random,
                                            TimePoint now) = 0;
};

struct SwarmOptions {
  // How long the agent that ranks first for a chunk may make no progress before
  // the next in rank takes over.
  Duration takeover_timeout = std::chrono::seconds(5);
  // How long an agent that has just started collects its peers before it may
  // rank itself first for a chunk.
  Duration startup_delay = std::chrono::milliseconds(500);
  // Whether regions other than the origin's exchange chunks, so that each link
  // from the origin's region carries only a part of the set.
  bool exchange_between_regions = true;
  // Maximum number of chunks that all agents of a region together import at a
  // time. Bounds the queue on the region's links however many agents the region
  // has.
  uint32_t import_window = 64;
};

// One agent per region fetches each chunk from the origin or from another
// region; all others get it from peers of their region (section 4.11).
std::unique_ptr<FetchStrategy> MakeSwarmStrategy(SwarmOptions options);
struct ClaimOptions {
  // With kRarestFirst, all agents of a region queue at the one that holds the
  // newest chunk.
  ChunkOrder order = ChunkOrder::kRandom;
  // How long an agent waits before it fetches a chunk, for each agent that
  // ranks before it for the chunk.
  Duration delay_per_rank = std::chrono::milliseconds(150);
  FetchRoleOptions roles;
};

// For sets that are due within seconds. An agent fetches any chunk that no peer
// has announced to be fetching (claimed), and starts with the chunks for which
// it ranks first, so that no agent waits for one that is slow or gone.
std::unique_ptr<FetchStrategy> MakeClaimStrategy(ClaimOptions options);
// Baseline: every agent fetches everything from the origin.
std::unique_ptr<FetchStrategy> MakeOriginStrategy();
// Baseline: a fixed tree over the live agents; each fetches from its parent,
// the root from the origin.
std::unique_ptr<FetchStrategy> MakeTreeStrategy(uint32_t fanout);
// Baseline: random chunks from random holders in any region; from the origin
// when no holder is known.
std::unique_ptr<FetchStrategy> MakeRandomStrategy();

}  // namespace celerypost

#endif  // SRC_VERSION_FETCH_STRATEGY_H_
