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
  GatewayBeatOptions gateway;
  StagerBeats stager{{}};
  TimePoint now{std::chrono::seconds(1000)};

  int GatewayBeats(const BeatPeer& peer, uint64_t beats) const {
    int reached = 0;
    for (uint64_t number = 0; number < beats; ++number) {
      reached +=
          ShouldSendGatewayBeat(this->gateway, number, false, peer) ? 1 : 0;
    }
    return reached;
  }
  bool StagerBeat(bool to_all, const BeatPeer& peer) {
    this->stager.Begin(to_all, /*staging=*/true, this->now);
    return this->stager.ShouldSendTo(peer);
  }
};

// Guards against a directory or a placement that lacks gateways of the own
// region.
TEST(BeatScheduleTest, NearGatewaysGetEveryBeatOfAGateway) {
  CHECK_EQUAL(100, this->GatewayBeats(kNearGateway, 100));
}

// Guards against stagers that learn of new weights only with the next regular
// beat, which takes a second of the eight that they have.
TEST(BeatScheduleTest, NewsReachStagersOfTheRegionAtOnce) {
  CHECK_TRUE(ShouldSendGatewayBeat(this->gateway, 1, true, kNearStager));
  CHECK_FALSE(ShouldSendGatewayBeat(this->gateway, 1, true, kFarStager));
  CHECK_FALSE(ShouldSendGatewayBeat(this->gateway, 1, false, kNearStager));
}

// Guards against beats that fill the links between regions: while 83 processes
// sent every beat to each other, no connection between regions was established
// within its timeout. Two regions of ten gateways and eighteen stagers each may
// use a fifth of a link of 25 Mbit/s, in datagrams of half a kilobyte.
TEST(BeatScheduleTest, BeatsBetweenRegionsStayAPartOfTheLink) {
  constexpr int kGateways = 10;
  constexpr int kStagers = 18;
  constexpr int kGatewayBeatsASecond = 10;
  constexpr int kChunksASecond = 16;
  int datagrams =
      kGateways *
      (kGateways * this->GatewayBeats(kFarGateway, kGatewayBeatsASecond) +
       kStagers * this->GatewayBeats(kFarStager, kGatewayBeatsASecond));
  for (int chunk = 0; chunk < kChunksASecond; ++chunk) {
    this->now += milliseconds(1000 / kChunksASecond);
    this->stager.Begin(/*to_all=*/chunk == 0, /*staging=*/true, this->now);
    datagrams += kStagers *
                 (kGateways * (this->stager.ShouldSendTo(kFarGateway) ? 1 : 0) +
                  kStagers * (this->stager.ShouldSendTo(kFarStager) ? 1 : 0));
  }
  constexpr double kDatagramBits = 512 * 8;
  constexpr double kLinkBits = 25e6;
  CHECK_TRUE(datagrams * kDatagramBits < kLinkBits / 5);
}

// Guards against a stager that waits for chunks that other stagers of its
// region already hold.
TEST(BeatScheduleTest, NearStagersHearOfEveryChunk) {
  CHECK_TRUE(this->StagerBeat(false, kNearStager));
  CHECK_TRUE(this->StagerBeat(false, kNearStager));
  CHECK_FALSE(this->StagerBeat(false, kNearGateway));
}

// Guards against two regions that fetch the same chunks from the origin for
// more than half a second.
TEST(BeatScheduleTest, FarStagersHearOfChunksTwiceASecond) {
  CHECK_TRUE(this->StagerBeat(false, kFarStager));
  this->now += milliseconds(400);
  CHECK_FALSE(this->StagerBeat(false, kFarStager));
  this->now += milliseconds(100);
  CHECK_TRUE(this->StagerBeat(false, kFarStager));
}

// Guards against two regions that fetch the same chunk from the origin because
// the claim of one arrives after the other has begun.
TEST(BeatScheduleTest, FarStagersHearOfClaimsSoon) {
  CHECK_TRUE(this->StagerBeat(false, kFarStager));
  this->stager.NoteFarNews();
  this->now += milliseconds(100);
  CHECK_TRUE(this->StagerBeat(false, kFarStager));
  this->now += milliseconds(100);
  CHECK_FALSE(this->StagerBeat(false, kFarStager));
}

// Guards against gateways that send requests to a target that is loading
// weights.
TEST(BeatScheduleTest, EveryGatewayHearsOfTheTargetsState) {
  CHECK_TRUE(this->StagerBeat(true, kNearGateway));
  CHECK_TRUE(this->StagerBeat(true, kFarGateway));
}

// Guards against processes that never discover each other: an address known
// from other sources is sent beats until one is received from it.
TEST(BeatScheduleTest, UnheardAddressesAreTried) {
  CHECK_TRUE(this->GatewayBeats(kUnheard, 10) > 0);
  CHECK_TRUE(this->StagerBeat(true, kUnheard));
}

// Guards against beats that use up the processors of a large region.
TEST(BeatScheduleTest, PeriodsGrowWithTheRegion) {
  CHECK_TRUE(milliseconds(100) ==
             GatewayBeatPeriod(this->gateway, milliseconds(100), 12));
  CHECK_TRUE(milliseconds(300) ==
             GatewayBeatPeriod(this->gateway, milliseconds(100), 36));
  CHECK_TRUE(this->stager.MinGap(28) == 2 * this->stager.MinGap(14));
}

}  // namespace
}  // namespace celerypost
