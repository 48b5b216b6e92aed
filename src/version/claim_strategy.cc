#include <algorithm>
#include <utility>

#include "src/version/fetch_strategy.h"

namespace celerypost {
namespace {

class ClaimStrategy : public FetchStrategy {
 public:
  explicit ClaimStrategy(ClaimOptions options) : options(options) {}

  ChunkOrder Order() const override { return this->options.order; }

  void OnView(const SwarmView& view, bool new_goal, TimePoint now) override {
    if (new_goal || this->chunks.size() != view.chunks->size()) {
      this->chunks.assign(view.chunks->size(), ChunkState{0, 0, now, now});
    }
    this->region = view.self_region;
    const std::vector<InstanceId> fetchers = this->ChooseOriginFetchers(view);
    this->asks_origin = std::find(fetchers.begin(), fetchers.end(),
                                  view.self) != fetchers.end();
    for (size_t i = 0; i < this->chunks.size(); ++i) {
      this->Rank(view, fetchers, (*view.chunks)[i].digest, this->chunks[i]);
    }
  }

  void OnAvailability(size_t position,
                      uint32_t /*holders_in_region*/,
                      uint32_t holders_elsewhere,
                      TimePoint now) override {
    if (holders_elsewhere > 0) {
      this->chunks[position].elsewhere_since = now;
    }
  }

  std::optional<FetchSource> Choose(const ChunkView& chunk,
                                    std::mt19937_64& random,
                                    TimePoint now) override {
    if (chunk.holders_in_region > 0) {
      return this->PickLeastBusy(chunk.usable, /*in_region=*/true, random);
    }
    if (chunk.claimed_in_region) {
      return std::nullopt;
    }
    const ChunkState& state = this->chunks[chunk.position];
    if (chunk.holders_elsewhere > 0) {
      const bool delay_over =
          now >= state.elsewhere_since +
                     this->options.delay_per_rank * state.region_rank;
      return delay_over && chunk.cross_regions
                 ? this->PickLeastBusy(chunk.usable, false, random)
                 : std::nullopt;
    }
    const bool delay_over =
        now >= state.missing_since + this->options.delay_per_rank * state.rank;
    if (!this->asks_origin || !delay_over || chunk.claimed_elsewhere ||
        !chunk.origin_usable) {
      return std::nullopt;
    }
    return FetchSource::Origin();
  }

 private:
  struct ChunkState {
    // Number of agents that rank before this one for the chunk, among those
    // that fetch from the origin and among those of this region.
    uint32_t rank = 0;
    uint32_t region_rank = 0;
    TimePoint missing_since{};
    TimePoint elsewhere_since{};
  };

  // Returns the agents that fetch from the origin. Agents with the same members
  // in view choose the same ones; the choice differs from set to set.
  std::vector<InstanceId> ChooseOriginFetchers(const SwarmView& view) const {
    std::vector<InstanceId> agents{view.self};
    for (const SwarmMember& member : view.members) {
      if (member.instance != view.self) {
        agents.push_back(member.instance);
      }
    }
    if (view.chunks->empty()) {
      return agents;
    }
    const Digest& key = view.chunks->front().digest;
    std::sort(agents.begin(), agents.end(), [&key](InstanceId a, InstanceId b) {
      return RendezvousWeight(key, a.value) > RendezvousWeight(key, b.value);
    });
    if (agents.size() > this->options.origin_fetchers) {
      agents.resize(this->options.origin_fetchers);
    }
    return agents;
  }

  static void Rank(const SwarmView& view,
                   const std::vector<InstanceId>& fetchers,
                   const Digest& digest,
                   ChunkState& chunk) {
    const auto rank_key = [&digest](InstanceId instance) {
      return std::pair(RendezvousWeight(digest, instance.value),
                       instance.value);
    };
    const auto own_key = rank_key(view.self);
    chunk.rank = 0;
    chunk.region_rank = 0;
    for (const InstanceId fetcher : fetchers) {
      chunk.rank += rank_key(fetcher) > own_key ? 1 : 0;
    }
    for (const SwarmMember& member : view.members) {
      chunk.region_rank += member.region == view.self_region &&
                                   member.instance != view.self &&
                                   rank_key(member.instance) > own_key
                               ? 1
                               : 0;
    }
  }

  std::optional<FetchSource> PickLeastBusy(const std::vector<Holder>& holders,
                                           bool in_region,
                                           std::mt19937_64& random) const {
    std::optional<FetchSource> picked;
    uint32_t least = UINT32_MAX;
    uint64_t equal = 0;
    for (const Holder& holder : holders) {
      if ((holder.region == this->region) != in_region ||
          holder.in_flight > least) {
        continue;
      }
      equal = holder.in_flight < least ? 1 : equal + 1;
      least = holder.in_flight;
      // Reservoir sampling gives each of the least busy the same chance.
      if (random() % equal == 0) {
        picked = FetchSource::Peer(holder.instance);
      }
    }
    return picked;
  }

  ClaimOptions options;
  bool asks_origin = false;
  RegionName region;
  std::vector<ChunkState> chunks;
};

}  // namespace

std::unique_ptr<FetchStrategy> MakeClaimStrategy(ClaimOptions options) {
  return std::make_unique<ClaimStrategy>(options);
}

}  // namespace celerypost
