#include "src/process/state/beat_schedule.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr BeatPeer kNearGateway{true, true, NodeRole::kGateway};
constexpr BeatPeer kFarGateway{true, false, NodeRole::kGateway};
constexpr BeatPeer kNearStager{true, true, NodeRole::kStager};
constexpr BeatPeer kFarStager{true, false, NodeRole::kStager};
constexpr BeatPeer kUnheard{false, true, NodeRole::kGateway};

TEST_GROUP(BeatScheduleTest) {
  GatewayBeatOptions options;
  GatewayBeats gateway{options};
  StagerBeats stager{{}};
  TimePoint now{std::chrono::seconds(1000)};

  // Returns how many of `beats` beats of a gateway, `period` apart, reach
  // `peer`.
  int CountGatewayBeats(const BeatPeer& peer, int beats,
                        milliseconds period = milliseconds(100)) {
    int reached = 0;
    for (int number = 0; number < beats; ++number) {
      this->now += period;
      this->gateway.Begin(/*has_new_document=*/false, this->now);
      reached += this->gateway.ShouldSendTo(peer) ? 1 : 0;
    }
    return reached;
  }
  bool StagerBeat(bool to_all, const BeatPeer& peer) {
    this->stager.Begin(to_all, /*staging=*/true, this->now);
    return this->stager.ShouldSendTo(peer);
  }
  bool FarBeat() {
    this->stager.Begin(/*to_all=*/false, /*staging=*/true, this->now);
    return this->stager.ReachesFarFetchers();
  }
};

// Guards against a directory or a placement that lacks gateways of the own
// region.
TEST(BeatScheduleTest, NearGatewaysGetEveryBeatOfAGateway) {
  CHECK_EQUAL(100, this->CountGatewayBeats(kNearGateway, 100));
}

// Guards against stagers that learn of new weights only with the next regular
// beat, which takes a second of the eight that they have.
TEST(BeatScheduleTest, NewsReachStagersOfTheRegionAtOnce) {
  this->gateway.Begin(false, this->now);
  this->now += milliseconds(100);
  this->gateway.Begin(false, this->now);
  CHECK_FALSE(this->gateway.ShouldSendTo(kNearStager));
  this->gateway.Begin(true, this->now);
  CHECK_TRUE(this->gateway.ShouldSendTo(kNearStager));
  CHECK_FALSE(this->gateway.ShouldSendTo(kFarStager));
}

// Guards against stagers that take every gateway of a large region for dead and
// read the key-value service themselves: the time between two beats grows with
// the region, but stagers must hear each gateway within the 1.5 s after which
// it counts as dead.
TEST(BeatScheduleTest, StagersHearGatewaysOftenEnoughInRegionsOfAnySize) {
  for (const size_t gateways : {2, 12, 30, 185}) {
    const auto period =
        GatewayBeatPeriod(this->options, milliseconds(100), gateways);
    const int beats = 15000 / static_cast<int>(period.count());
    CHECK_TRUE(this->CountGatewayBeats(kNearStager, beats, period) >= 10);
  }
}

// Guards against beats that fill the links between regions: while 83 processes
// sent every beat to each other, no connection between regions was established
// within its timeout, and 287 processes took two thirds of all links. Processes
// of other regions get no beats, except for the chunk announcements of stagers
// (FetchRolesTest), whatever the size.
TEST(BeatScheduleTest, BeatsStayInTheRegion) {
  CHECK_EQUAL(0, this->CountGatewayBeats(kFarGateway, 100));
  CHECK_EQUAL(0, this->CountGatewayBeats(kFarStager, 100));
  CHECK_FALSE(this->StagerBeat(true, kFarGateway));
  CHECK_FALSE(this->StagerBeat(true, kFarStager));
}

// Guards against a stager that waits for chunks that other stagers of its
// region already hold.
TEST(BeatScheduleTest, NearStagersHearOfEveryChunk) {
  CHECK_TRUE(this->StagerBeat(false, kNearStager));
  CHECK_TRUE(this->StagerBeat(false, kNearStager));
  CHECK_FALSE(this->StagerBeat(false, kNearGateway));
}

// Guards against two regions that fetch the same chunks from the origin for
// more than half a second because a datagram was lost.
TEST(BeatScheduleTest, FarFetchersHearOfChunksTwiceASecond) {
  this->stager.NoteFarNews();
  CHECK_TRUE(this->FarBeat());
  this->now += milliseconds(400);
  CHECK_FALSE(this->FarBeat());
  this->now += milliseconds(100);
  CHECK_TRUE(this->FarBeat());
}

// Guards against two regions that fetch the same chunk from the origin because
// the claim of one arrives after the other has begun.
TEST(BeatScheduleTest, FarFetchersHearOfClaimsSoon) {
  this->stager.NoteFarNews();
  CHECK_TRUE(this->FarBeat());
  this->stager.NoteFarNews();
  this->now += milliseconds(100);
  CHECK_TRUE(this->FarBeat());
  this->now += milliseconds(100);
  CHECK_FALSE(this->FarBeat());
}

// Guards against traffic between regions from the many stagers that fetch only
// within their region.
TEST(BeatScheduleTest, StagersWithoutFarNewsSendNoFarBeats) {
  for (int beat = 0; beat < 20; ++beat) {
    this->now += milliseconds(500);
    CHECK_FALSE(this->FarBeat());
  }
}

// Guards against gateways that send requests to a target that is loading
// weights.
TEST(BeatScheduleTest, GatewaysOfTheRegionHearOfTheTargetsState) {
  CHECK_TRUE(this->StagerBeat(true, kNearGateway));
}

// Guards against processes that never discover each other: an address known
// from other sources is sent beats until one is received from it.
TEST(BeatScheduleTest, UnheardAddressesAreTried) {
  CHECK_TRUE(this->CountGatewayBeats(kUnheard, 10) > 0);
  CHECK_TRUE(this->StagerBeat(true, kUnheard));
}

// Guards against beats that use up the processors of a large region.
TEST(BeatScheduleTest, PeriodsGrowWithTheRegion) {
  CHECK_TRUE(milliseconds(100) ==
             GatewayBeatPeriod(this->options, milliseconds(100), 12));
  CHECK_TRUE(milliseconds(300) ==
             GatewayBeatPeriod(this->options, milliseconds(100), 36));
  CHECK_TRUE(this->stager.MinGap(28) == 2 * this->stager.MinGap(14));
}

}  // namespace
}  // namespace celerypost
