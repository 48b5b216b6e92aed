#include <algorithm>

#include "src/version/fetch_strategy.h"

namespace celerypost {
namespace {

class OriginStrategy : public FetchStrategy {
 public:
  ChunkOrder Order() const override { return ChunkOrder::kInOrder; }
  void OnView(const SwarmView&, bool, TimePoint) override {}
  void OnAvailability(size_t, uint32_t, uint32_t, TimePoint) override {}

  std::optional<FetchSource> Choose(const ChunkView& chunk,
                                    std::mt19937_64&,
                                    TimePoint) override {
    if (!chunk.origin_usable) {
      return std::nullopt;
    }
    return FetchSource::Origin();
  }
};

class TreeStrategy : public FetchStrategy {
 public:
  explicit TreeStrategy(uint32_t fanout)
      : fanout(std::max<uint32_t>(1, fanout)) {}

  ChunkOrder Order() const override { return ChunkOrder::kInOrder; }
  void OnAvailability(size_t, uint32_t, uint32_t, TimePoint) override {}

  void OnView(const SwarmView& view, bool, TimePoint) override {
    this->parent.reset();
    const auto self = std::find_if(view.members.begin(), view.members.end(),
                                   [&view](const SwarmMember& member) {
                                     return member.instance == view.self;
                                   });
    const auto index = static_cast<size_t>(self - view.members.begin());
    if (index > 0) {
      this->parent = view.members[(index - 1) / this->fanout].instance;
    }
  }

  std::optional<FetchSource> Choose(const ChunkView& chunk,
                                    std::mt19937_64&,
                                    TimePoint) override {
    if (!this->parent) {
      return chunk.origin_usable ? std::optional(FetchSource::Origin())
                                 : std::nullopt;
    }
    for (const Holder& holder : chunk.usable) {
      if (holder.instance == *this->parent) {
        return FetchSource::Peer(holder.instance);
      }
    }
    return std::nullopt;
  }

 private:
  uint32_t fanout;
  // Empty at the root of the tree.
  std::optional<InstanceId> parent;
};

class RandomStrategy : public FetchStrategy {
 public:
  ChunkOrder Order() const override { return ChunkOrder::kRandom; }
  void OnView(const SwarmView&, bool, TimePoint) override {}
  void OnAvailability(size_t, uint32_t, uint32_t, TimePoint) override {}

  std::optional<FetchSource> Choose(const ChunkView& chunk,
                                    std::mt19937_64& random,
                                    TimePoint) override {
    if (!chunk.usable.empty()) {
      return FetchSource::Peer(
          chunk.usable[random() % chunk.usable.size()].instance);
    }
    if (chunk.holders_in_region + chunk.holders_elsewhere == 0 &&
        chunk.origin_usable) {
      return FetchSource::Origin();
    }
    return std::nullopt;
  }
};

}  // namespace

std::unique_ptr<FetchStrategy> MakeOriginStrategy() {
  return std::make_unique<OriginStrategy>();
}

std::unique_ptr<FetchStrategy> MakeTreeStrategy(uint32_t fanout) {
  return std::make_unique<TreeStrategy>(fanout);
}

std::unique_ptr<FetchStrategy> MakeRandomStrategy() {
  return std::make_unique<RandomStrategy>();
}

}  // namespace celerypost
