#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/version/chunk_planner.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr size_t kChunks = 12;

ChunkGoal TwelveChunks() {
  ChunkGoal goal{Digest::Of("v2"), {}, true};
  for (size_t i = 0; i < kChunks; ++i) {
    ChunkRef chunk;
    chunk.digest = Digest::Of("chunk " + std::to_string(i));
    goal.chunks.push_back(chunk);
  }
  return goal;
}

// An agent with one peer in its region and one in another.
TEST_GROUP(ClaimStrategyTest) {
  std::mt19937_64 random{1};
  TimePoint now{std::chrono::seconds(1000)};
  ChunkGoal goal = TwelveChunks();
  std::unique_ptr<ChunkPlanner> planner;

  void setup() override {
    ChunkPlannerOptions options;
    options.self = InstanceId{1};
    options.region = options.origin_region = RegionName("home");
    options.max_fetches = kChunks;
    options.max_origin_fetches = kChunks;
    options.max_cross_fetches = kChunks;
    this->planner = std::make_unique<ChunkPlanner>(
        options, MakeClaimStrategy({}), this->random);
    this->planner->OnPeer({InstanceId{2}, ZoneName("a"), RegionName("home")},
                          this->now);
    this->planner->OnPeer({InstanceId{3}, ZoneName("b"), RegionName("far")},
                          this->now);
    this->planner->SetGoal(this->goal, this->now);
  }

  void Announce(uint64_t peer, const std::vector<size_t>& held,
                const std::vector<size_t>& fetching) {
    HaveAnnouncement have;
    have.set = this->goal.set;
    for (const size_t position : held) {
      SetBit(have.bitmap, position);
    }
    for (const size_t position : fetching) {
      SetBit(have.fetching, position);
    }
    this->planner->OnHave(InstanceId{peer}, have, this->now);
  }
};

// Guards against several agents that fetch the same chunk from the origin, and
// against an agent that waits although no peer fetches the chunk.
TEST(ClaimStrategyTest, FetchesFirstRankedChunksAtOnceAndOthersAfterTheDelay) {
  const size_t own = this->planner->Next(this->now).fetch.size();
  CHECK_TRUE(own > 0);
  CHECK_TRUE(own < kChunks);
  this->now += milliseconds(400);
  CHECK_EQUAL(kChunks - own, this->planner->Next(this->now).fetch.size());
}

// Guards against a second fetch of a chunk that a peer has announced to be
// fetching.
TEST(ClaimStrategyTest, DoesNotFetchClaimedChunks) {
  std::vector<size_t> all;
  for (size_t i = 0; i < kChunks; ++i) {
    all.push_back(i);
  }
  this->Announce(3, {}, all);
  this->now += milliseconds(400);
  CHECK_EQUAL(0u, this->planner->Next(this->now).fetch.size());
  // The peer is gone, so its claims end.
  this->planner->OnPeerGone(InstanceId{3}, this->now);
  CHECK_EQUAL(kChunks, this->planner->Next(this->now).fetch.size());
}

// Guards against chunks that nobody fetches since the stager that claimed them
// was cut off: 87 stagers waited four seconds for the claims of one
// (kilele-waivers-grown, quiet-1).
TEST(ClaimStrategyTest, FetchesChunksWhoseClaimsHaveLapsed) {
  std::vector<size_t> all;
  for (size_t i = 0; i < kChunks; ++i) {
    all.push_back(i);
  }
  this->Announce(3, {}, all);
  this->now += milliseconds(400);
  CHECK_EQUAL(0u, this->planner->Next(this->now).fetch.size());
  this->planner->OnClaimsLapsed(InstanceId{3});
  CHECK_EQUAL(kChunks, this->planner->Next(this->now).fetch.size());
}

// Guards against a fetch from another region of a chunk that a peer of this
// region holds.
TEST(ClaimStrategyTest, PrefersHoldersOfItsRegion) {
  this->Announce(2, {0}, {});
  this->Announce(3, {0}, {});
  for (const FetchAction& action : this->planner->Next(this->now).fetch) {
    if (action.chunk.digest == this->goal.chunks[0].digest) {
      CHECK_TRUE(action.source == FetchSource::Peer(InstanceId{2}));
      return;
    }
  }
  FAIL("the chunk that a peer holds is not fetched");
}

// Guards against fetches from the origin that are not announced to peers, which
// would fetch the same chunks.
TEST(ClaimStrategyTest, AnnouncesWhatItFetchesFromTheOrigin) {
  const auto actions = this->planner->Next(this->now);
  const HaveAnnouncement have = this->planner->Have();
  size_t announced = 0;
  for (size_t i = 0; i < kChunks; ++i) {
    announced += TestBit(have.fetching, i) ? 1 : 0;
  }
  CHECK_EQUAL(actions.fetch.size(), announced);
}

}  // namespace
}  // namespace celerypost
