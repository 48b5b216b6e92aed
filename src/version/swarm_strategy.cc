#include <algorithm>
#include <utility>

#include "celerypost/assert.h"
#include "src/version/fetch_strategy.h"

namespace celerypost {
namespace {

// How many takeover periods without any new chunk in any region pass before a
// region other than the origin's asks the origin itself.
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
      this->chunks.assign(view.chunks->size(), {});
      for (Chunk& chunk : this->chunks) {
        chunk.missing_since = now;
      }
    }
    this->AssignChunks();
  }

  void OnAvailability(size_t position,
                      uint32_t holders_in_region,
                      uint32_t holders_elsewhere,
                      TimePoint now) override {
    Chunk& chunk = this->chunks[position];
    const bool was_here = chunk.in_region;
    const bool was_elsewhere = chunk.elsewhere;
    chunk.in_region = holders_in_region > 0;
    chunk.elsewhere = holders_elsewhere > 0;
    if (!was_here && !was_elsewhere && (chunk.in_region || chunk.elsewhere)) {
      this->last_new_chunk = now;
    }
    if (was_here && !chunk.in_region) {
      chunk.missing_since = now;
    }
    if (!was_elsewhere && chunk.elsewhere) {
      chunk.elsewhere_since = now;
    }
  }

  std::optional<FetchSource> Choose(const ChunkView& chunk,
                                    std::mt19937_64& random,
                                    TimePoint now) override {
    if (chunk.holders_in_region > 0) {
      return PickLeastBusy(chunk.usable, this->view->self_region, random);
    }
    const Chunk& known = this->chunks[chunk.position];
    if (!this->IsTurn(chunk, known, now)) {
      return std::nullopt;
    }
    if (chunk.holders_elsewhere > 0) {
      return this->Import(chunk, known, random, now);
    }
    const bool own_region = known.entry == this->view->self_region;
    const auto patience =
        this->options.takeover * kStalledPeriods * (1 + known.own_rank);
    const bool stalled = now - this->last_new_chunk > patience;
    if ((own_region || stalled) && chunk.origin_usable) {
      return FetchSource::Origin();
    }
    return std::nullopt;
  }

 private:
  struct Chunk {
    // Region that fetches the chunk from the origin, and the region that this
    // agent's region imports it from.
    RegionName entry;
    RegionName import_from;
    // This agent's place among the agents of its region.
    uint32_t own_rank = 0;
    bool in_region = false;
    bool elsewhere = false;
    TimePoint missing_since{};
    TimePoint elsewhere_since{};
  };

  bool IsTurn(const ChunkView& view, const Chunk& chunk, TimePoint now) const {
    if (now < *this->started + this->options.settle) {
      return false;
    }
    if (chunk.own_rank == 0) {
      return true;
    }
    // While other chunks come in, the first agent may only be waiting for its
    // turn on a slow link, and a takeover would make the link slower still.
    TimePoint stalled_since =
        std::max(view.region_progress, chunk.missing_since);
    if (chunk.entry != this->view->self_region) {
      stalled_since = std::max(stalled_since, chunk.elsewhere_since);
    }
    return now >= stalled_since + this->options.takeover * chunk.own_rank;
  }

  // Chooses a holder in another region.
  std::optional<FetchSource> Import(const ChunkView& chunk,
                                    const Chunk& known,
                                    std::mt19937_64& random,
                                    TimePoint now) const {
    if (!chunk.cross_regions) {
      return std::nullopt;
    }
    if (auto holder = PickLeastBusy(chunk.usable, known.import_from, random)) {
      return holder;
    }
    // While chunks come in, the region to import from may still be waiting for
    // this one; taking it from elsewhere would load the other link with both
    // halves.
    if (now < std::max(known.elsewhere_since, chunk.region_progress) +
                  this->options.takeover) {
      return std::nullopt;
    }
    for (const Holder& holder : chunk.usable) {
      return FetchSource::Peer(holder.instance);
    }
    return std::nullopt;
  }

  static const RegionName& FirstRegion(const Digest& digest,
                                       const std::vector<RegionName>& regions,
                                       const RegionName* except) {
    const RegionName* first = nullptr;
    uint64_t best = 0;
    for (const RegionName& region : regions) {
      const uint64_t weight = RendezvousWeight(
          digest, RendezvousWeight(std::string_view(region.value()), 0));
      if (&region != except && (first == nullptr || weight > best)) {
        first = &region;
        best = weight;
      }
    }
    CELERYPOST_ASSERT(first != nullptr, "a chunk needs a region to enter by");
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
      Chunk& chunk = this->chunks[i];
      const RegionName* entry = origin_region != regions.end()
                                    ? &*origin_region
                                    : &FirstRegion(digest, regions, nullptr);
      chunk.entry = *entry;
      chunk.import_from = *entry;
      if (this->options.exchange_between_regions && regions.size() > 2) {
        const RegionName& relay = FirstRegion(digest, regions, entry);
        if (relay != this->view->self_region) {
          chunk.import_from = relay;
        }
      }
      this->RankMembers(digest, chunk);
    }
  }

  void RankMembers(const Digest& digest, Chunk& chunk) const {
    const auto place = [&digest](InstanceId instance) {
      return std::pair(RendezvousWeight(digest, instance.value),
                       instance.value);
    };
    const auto own = place(this->view->self);
    chunk.own_rank = 0;
    for (const SwarmMember& member : this->view->members) {
      if (member.region != this->view->self_region ||
          member.instance == this->view->self) {
        continue;
      }
      chunk.own_rank += place(member.instance) > own ? 1 : 0;
    }
  }

  SwarmOptions options;
  const SwarmView* view = nullptr;
  std::vector<Chunk> chunks;
  std::optional<TimePoint> started;
  // When a chunk last got its first holder in any region.
  TimePoint last_new_chunk{};
};

}  // namespace

std::unique_ptr<FetchStrategy> MakeSwarmStrategy(SwarmOptions options) {
  return std::make_unique<SwarmStrategy>(options);
}

}  // namespace celerypost
