#include "src/version/digest_source.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(DigestSourceTest) {
  SplitMixRandom random{1};
  Digest set = Digest::Of("m/2");

  std::vector<DigestPeer> Others(uint64_t self, uint64_t count) const {
    std::vector<DigestPeer> others;
    for (uint64_t i = 1; i <= count; ++i) {
      if (i != self) {
        others.push_back({InstanceId{i}, true, false});
      }
    }
    return others;
  }
  size_t CountAsking(uint64_t agents, milliseconds waited) {
    size_t asking = 0;
    for (uint64_t self = 1; self <= agents; ++self) {
      const DigestSource source =
          ChooseDigestSource({}, this->set, InstanceId{self},
                             this->Others(self, agents), waited, this->random);
      asking += source.wait ? 0 : 1;
    }
    return asking;
  }
};

// Guards against 88 agents that ask an origin with room for 48 connections at
// once, so that it resets their connections for seconds (kilele-waivers-grown,
// trouble-1: digests arrived eight seconds after a start).
TEST(DigestSourceTest, OneAgentOfARegionAsksTheOriginAtFirst) {
  CHECK_EQUAL(1u, this->CountAsking(30, milliseconds(0)));
}

// Guards against waiting for agents that are gone or whose requests to the
// origin failed.
TEST(DigestSourceTest, OthersFollowWhenNoDigestsCome) {
  CHECK_EQUAL(4u, this->CountAsking(30, milliseconds(240)));
  CHECK_EQUAL(30u, this->CountAsking(30, milliseconds(1500)));
}

// Guards against one peer that must answer all agents over its slow link.
TEST(DigestSourceTest, HoldersOfTheRegionShareTheRequests) {
  auto peers = this->Others(1, 10);
  peers[2].has_digests = true;
  peers[5].has_digests = true;
  peers[7].has_digests = true;
  peers[7].same_region = false;
  int from_first_holder = 0;
  for (int i = 0; i < 200; ++i) {
    const DigestSource source = ChooseDigestSource(
        {}, this->set, InstanceId{1}, peers, milliseconds(0), this->random);
    CHECK_TRUE(source.peer.has_value());
    CHECK_FALSE(*source.peer == peers[7].instance);
    from_first_holder += *source.peer == peers[2].instance ? 1 : 0;
  }
  CHECK_TRUE(from_first_holder > 60 && from_first_holder < 140);
}

// Guards against a request to the origin although an agent of another region
// has the digests.
TEST(DigestSourceTest, HoldersElsewhereComeBeforeTheOrigin) {
  auto peers = this->Others(1, 10);
  peers[4].has_digests = true;
  peers[4].same_region = false;
  const DigestSource source = ChooseDigestSource(
      {}, this->set, InstanceId{1}, peers, milliseconds(0), this->random);
  CHECK_TRUE(source.peer == peers[4].instance);
}

}  // namespace
}  // namespace celerypost
