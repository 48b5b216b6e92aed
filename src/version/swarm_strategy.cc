#include <algorithm>
#include <set>
#include <utility>

#include "celerypost/assert.h"
#include "src/version/fetch_strategy.h"

namespace celerypost {
namespace {

// Number of takeover timeouts without a new chunk in any region after which a
// region other than the origin's fetches from the origin itself.
constexpr int kStalledPeriods = 4;

std::optional<FetchSource> PickLeastBusy(const std::vector<Holder>& holders,
                                         const RegionName& region,
                                         std::mt19937_64& random) {
  std::optional<FetchSource> picked;
  uint32_t least = UINT32_MAX;
  uint64_t equal = 0;
  for (const Holder& holder : holders) {
    if (holder.region != region || holder.in_flight > least) {
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

class SwarmStrategy : public FetchStrategy {
 public:
  explicit SwarmStrategy(SwarmOptions options) : options(options) {}

  ChunkOrder Order() const override { return ChunkOrder::kRarestFirst; }

  void OnView(const SwarmView& view, bool new_goal, TimePoint now) override {
    this->view = &view;
    if (!this->started) {
      this->started = now;
    }
    if (new_goal) {
      this->last_new_chunk = now;
      this->importable.clear();
      this->chunks.assign(view.chunks->size(), {});
      for (ChunkState& chunk : this->chunks) {
        chunk.missing_since = now;
      }
    }
    this->AssignChunks();
  }

  void OnAvailability(size_t position,
                      uint32_t holders_in_region,
                      uint32_t holders_elsewhere,
                      TimePoint now) override {
    ChunkState& chunk = this->chunks[position];
    const bool was_in_region = chunk.in_region;
    const bool was_in_other_region = chunk.elsewhere;
    chunk.in_region = holders_in_region > 0;
    chunk.elsewhere = holders_elsewhere > 0;
    if (!was_in_region && !was_in_other_region &&
        (chunk.in_region || chunk.elsewhere)) {
      this->last_new_chunk = now;
    }
    if (was_in_region && !chunk.in_region) {
      chunk.missing_since = now;
    }
    if (!was_in_other_region && chunk.elsewhere) {
      chunk.elsewhere_since = now;
    }
    if (chunk.elsewhere && !chunk.in_region) {
      this->importable.insert(position);
    } else {
      this->importable.erase(position);
    }
  }

  std::optional<FetchSource> Choose(const ChunkView& chunk,
                                    std::mt19937_64& random,
                                    TimePoint now) override {
    if (chunk.holders_in_region > 0) {
      return PickLeastBusy(chunk.usable, this->view->self_region, random);
    }
    const ChunkState& state = this->chunks[chunk.position];
    if (!this->IsTurn(chunk, state, now)) {
      return std::nullopt;
    }
    if (chunk.holders_elsewhere > 0) {
      return this->Import(chunk, state, random, now);
    }
    const bool own_region = state.entry_region == this->view->self_region;
    const auto stall_timeout =
        this->options.takeover_timeout * kStalledPeriods * (1 + state.own_rank);
    const bool stalled = now - this->last_new_chunk > stall_timeout;
    if ((own_region || stalled) && chunk.origin_usable) {
      return FetchSource::Origin();
    }
    return std::nullopt;
  }

 private:
  struct ChunkState {
    // Region that fetches the chunk from the origin.
    RegionName entry_region;
    // Region that this agent's region imports the chunk from.
    RegionName import_region;
    // Number of agents of this region that rank before this one for the chunk.
    uint32_t own_rank = 0;
    bool in_region = false;
    bool elsewhere = false;
    TimePoint missing_since{};
    TimePoint elsewhere_since{};
  };

  bool IsTurn(const ChunkView& view,
              const ChunkState& chunk,
              TimePoint now) const {
    if (now < *this->started + this->options.startup_delay) {
      return false;
    }
    if (chunk.own_rank == 0) {
      return true;
    }
    // While other chunks arrive, the fetch of the first agent may only be
    // queued on a slow link, and a takeover would make the link slower still.
    TimePoint stalled_since =
        std::max(view.region_progress, chunk.missing_since);
    if (chunk.entry_region != this->view->self_region) {
      stalled_since = std::max(stalled_since, chunk.elsewhere_since);
    }
    return now >=
           stalled_since + this->options.takeover_timeout * chunk.own_rank;
  }

  // Whether the chunk is within the region's import window. All agents of the
  // region see about the same importable chunks, so that they share the window
  // without any message.
  bool InWindow(size_t position) const {
    uint32_t index = 0;
    for (const size_t waiting : this->importable) {
      if (waiting == position) {
        return true;
      }
      if (++index >= this->options.import_window) {
        return false;
      }
    }
    return true;
  }

  // Chooses a holder in another region.
  std::optional<FetchSource> Import(const ChunkView& chunk,
                                    const ChunkState& state,
                                    std::mt19937_64& random,
                                    TimePoint now) const {
    if (!chunk.cross_regions || !this->InWindow(chunk.position)) {
      return std::nullopt;
    }
    if (auto holder =
            PickLeastBusy(chunk.usable, state.import_region, random)) {
      return holder;
    }
    // While chunks arrive, the import region may still be waiting for this one.
    // Importing it from another region would put both regions' parts of the set
    // on that region's link.
    if (now < std::max(state.elsewhere_since, chunk.region_progress) +
                  this->options.takeover_timeout) {
      return std::nullopt;
    }
    for (const Holder& holder : chunk.usable) {
      return FetchSource::Peer(holder.instance);
    }
    return std::nullopt;
  }

  static const RegionName& HighestRankedRegion(
      const Digest& digest,
      const std::vector<RegionName>& regions,
      const RegionName* excluded) {
    const RegionName* first = nullptr;
    uint64_t best = 0;
    for (const RegionName& region : regions) {
      const uint64_t weight = RendezvousWeight(
          digest, RendezvousWeight(std::string_view(region.value()), 0));
      if (&region != excluded && (first == nullptr || weight > best)) {
        first = &region;
        best = weight;
      }
    }
    CELERYPOST_ASSERT(first != nullptr,
                      "no region is available to fetch the chunk from the "
                      "origin or to relay it");
    return *first;
  }

  void AssignChunks() {
    std::vector<RegionName> regions;
    for (const SwarmMember& member : this->view->members) {
      if (std::find(regions.begin(), regions.end(), member.region) ==
          regions.end()) {
        regions.push_back(member.region);
      }
    }
    std::sort(regions.begin(), regions.end());
    const auto origin_region =
        std::find(regions.begin(), regions.end(), this->view->origin_region);
    for (size_t i = 0; i < this->chunks.size(); ++i) {
      const Digest& digest = (*this->view->chunks)[i].digest;
      ChunkState& chunk = this->chunks[i];
      const RegionName* selected =
          origin_region != regions.end()
              ? &*origin_region
              : &HighestRankedRegion(digest, regions, nullptr);
      chunk.entry_region = *selected;
      chunk.import_region = *selected;
      if (this->options.exchange_between_regions && regions.size() > 2) {
        const RegionName& relay =
            HighestRankedRegion(digest, regions, selected);
        if (relay != this->view->self_region) {
          chunk.import_region = relay;
        }
      }
      this->RankMembers(digest, chunk);
    }
  }

  void RankMembers(const Digest& digest, ChunkState& chunk) const {
    const auto rank_key = [&digest](InstanceId instance) {
      return std::pair(RendezvousWeight(digest, instance.value),
                       instance.value);
    };
    const auto own_key = rank_key(this->view->self);
    chunk.own_rank = 0;
    for (const SwarmMember& member : this->view->members) {
      if (member.region != this->view->self_region ||
          member.instance == this->view->self) {
        continue;
      }
      chunk.own_rank += rank_key(member.instance) > own_key ? 1 : 0;
    }
  }

  SwarmOptions options;
  const SwarmView* view = nullptr;
  std::vector<ChunkState> chunks;
  // Positions of the chunks that only other regions hold.
  std::set<size_t> importable;
  std::optional<TimePoint> started;
  // When a chunk last got its first holder in any region.
  TimePoint last_new_chunk{};
};

}  // namespace

std::unique_ptr<FetchStrategy> MakeSwarmStrategy(SwarmOptions options) {
  return std::make_unique<SwarmStrategy>(options);
}

}  // namespace celerypost
