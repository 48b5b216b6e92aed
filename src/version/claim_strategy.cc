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
    const FetchRoles roles = this->AssignRoles(view);
    this->asks_origin = roles.origin_fetchers.contains(view.self);
    this->imports = roles.importers.contains(view.self);
    for (size_t i = 0; i < this->chunks.size(); ++i) {
      Rank(view, roles, (*view.chunks)[i].digest, this->chunks[i]);
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
      return this->imports && delay_over && chunk.cross_regions
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
    // that fetch from the origin and among the importers of this region.
    uint32_t rank = 0;
    uint32_t region_rank = 0;
    TimePoint missing_since{};
    TimePoint elsewhere_since{};
  };

  FetchRoles AssignRoles(const SwarmView& view) const {
    std::vector<FetchMember> members{{view.self, view.self_region}};
    for (const SwarmMember& member : view.members) {
      if (member.instance != view.self) {
        members.push_back({member.instance, member.region});
      }
    }
    return AssignFetchRoles(
        this->options.roles,
        view.chunks->empty() ? Digest() : view.chunks->front().digest, members);
  }

  static void Rank(const SwarmView& view,
                   const FetchRoles& roles,
                   const Digest& digest,
                   ChunkState& chunk) {
    const auto rank_key = [&digest](InstanceId instance) {
      return std::pair(RendezvousWeight(digest, instance.value),
                       instance.value);
    };
    const auto own_key = rank_key(view.self);
    chunk.rank = 0;
    chunk.region_rank = 0;
    for (const InstanceId fetcher : roles.origin_fetchers) {
      chunk.rank += rank_key(fetcher) > own_key ? 1 : 0;
    }
    for (const SwarmMember& member : view.members) {
      chunk.region_rank += member.region == view.self_region &&
                                   member.instance != view.self &&
                                   roles.importers.contains(member.instance) &&
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
  // Whether this agent fetches from the origin and from other regions.
  bool asks_origin = false;
  bool imports = false;
  RegionName region;
  std::vector<ChunkState> chunks;
};

}  // namespace

std::unique_ptr<FetchStrategy> MakeClaimStrategy(ClaimOptions options) {
  return std::make_unique<ClaimStrategy>(options);
}

}  // namespace celerypost
