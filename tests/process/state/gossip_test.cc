#include "src/process/state/gossip.h"

#include <optional>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
const RegionName kRegion("dar");
constexpr InstanceId kSelf{1};
constexpr InstanceId kPeer{2};

Member MemberOf(InstanceId instance) {
  Member member;
  member.instance = instance;
  member.region = kRegion;
  member.address = std::to_string(instance.value);
  member.incarnation = 1;
  return member;
}

VersionedDocument Table(uint64_t version) {
  return VersionedDocument{
      "celerypost/slots/a", version,
      R"({"version":)" + std::to_string(version) + R"(,"slots":[]})"};
}

TEST_GROUP(GossipTest) {
  Membership members{MembershipOptions{}, MemberOf(kSelf)};
  Freshness fresh{FreshnessOptions{kSelf, kRegion}};
  ConfigState config;
  Gossip gossip{GossipOptions{}, members, fresh, config};
  void setup() override {
    for (const uint64_t peer : {2, 3}) {
      this->gossip.OnConnected(InstanceId{peer}, kStart);
      this->members.OnPeerConnected(MemberOf(InstanceId{peer}), kStart);
    }
    this->gossip.Flush(kStart);
  }
  template <typename Body>
  std::vector<Body> Take(const std::vector<GossipMessage>& messages,
                         InstanceId to) {
    std::vector<Body> bodies;
    for (const GossipMessage& message : messages) {
      if (message.to == to && std::holds_alternative<Body>(message.body)) {
        bodies.push_back(std::get<Body>(message.body));
      }
    }
    return bodies;
  }
};

// Guards against a new document that is announced only with the next heartbeat,
// and against announcing one to a peer more than once.
TEST(GossipTest, AnnouncesADocumentAtOnceAndOnce) {
  this->gossip.Offer(Table(3), kStart);
  CHECK_TRUE(this->gossip.HasUrgent());
  const auto sent =
      this->Take<GossipHeartbeat>(this->gossip.Flush(kStart), kPeer);
  LONGS_EQUAL(1, sent.size());
  LONGS_EQUAL(3, sent[0].documents[0].number);
  const auto next =
      this->Take<GossipHeartbeat>(this->gossip.Heartbeats(kStart), kPeer);
  LONGS_EQUAL(0, next[0].documents.size());
}

// Guards against pulling a document from every peer that announces it, and
// against a lost pull that is not repeated.
TEST(GossipTest, PullsADocumentOnceAndElsewhereAfterATimeout) {
  GossipHeartbeat offer;
  offer.documents = {DocumentHead{Table(3).key, 3}};
  this->gossip.OnHeartbeat(kPeer, offer, milliseconds(1), kStart);
  this->gossip.OnHeartbeat(InstanceId{3}, offer, milliseconds(1), kStart);
  const auto first = this->gossip.Flush(kStart);
  LONGS_EQUAL(1, this->Take<GossipPull>(first, kPeer).size());
  LONGS_EQUAL(0, this->Take<GossipPull>(first, InstanceId{3}).size());
  const auto second = this->gossip.Flush(kStart + milliseconds(300));
  LONGS_EQUAL(1, this->Take<GossipPull>(second, InstanceId{3}).size());
  this->gossip.OnDocument(InstanceId{3}, Table(3), kStart);
  LONGS_EQUAL(3, this->config.NumberOf(Table(3).key));
  LONGS_EQUAL(1, this->gossip.TakeNewDocuments().size());
}

// Guards against heartbeats whose size grows with the fleet.
TEST(GossipTest, HeartbeatsAreBounded) {
  for (uint64_t i = 10; i < 60; ++i) {
    this->fresh.OnStamp(Stamp{InstanceId{i}, kRegion, 1, 1, true},
                        milliseconds(0), kStart);
    this->members.OnGossip(MemberOf(InstanceId{i}), InstanceId{9}, kStart);
  }
  const auto sent =
      this->Take<GossipHeartbeat>(this->gossip.Heartbeats(kStart), kPeer);
  for (const GossipHeartbeat& heartbeat : sent) {
    CHECK_TRUE(heartbeat.stamps.size() <= 10);
    CHECK_TRUE(heartbeat.members.size() <= 16);
  }
}

// Guards against stamps that seem younger than they are because their transit
// time is unknown.
TEST(GossipTest, StampsWithoutTransitTimeAreIgnored) {
  GossipHeartbeat heartbeat;
  heartbeat.stamps = {
      AgedStamp{Stamp{InstanceId{9}, kRegion, 1, 0, true}, milliseconds(100)}};
  this->gossip.OnHeartbeat(kPeer, heartbeat, std::nullopt, kStart);
  CHECK_TRUE(this->fresh.Stamps(kStart).empty());
  this->gossip.OnHeartbeat(kPeer, heartbeat, milliseconds(70), kStart);
  CHECK(this->fresh.Stamps(kStart)[0].age == milliseconds(170));
}

// Guards against member tables that remain different after a lost message.
TEST(GossipTest, DifferentDigestsLeadToATableExchange) {
  GossipHeartbeat heartbeat;
  heartbeat.members_digest = 12345;
  this->gossip.OnHeartbeat(kPeer, heartbeat, milliseconds(1), kStart);
  const auto pulls = this->Take<GossipPull>(this->gossip.Flush(kStart), kPeer);
  LONGS_EQUAL(1, pulls.size());
  CHECK(pulls[0].key == kMembersKey);
  this->gossip.OnPull(kPeer, pulls[0], kStart);
  const auto table =
      this->Take<GossipHeartbeat>(this->gossip.Flush(kStart), kPeer);
  LONGS_EQUAL(3, table.back().members.size());
}

// Guards against a process that has marked a live member dead and does not send
// that record to others: only the member itself can refute it.
TEST(GossipTest, CorrectsTheSenderOfATable) {
  Member dead = MemberOf(InstanceId{7});
  this->members.OnGossip(dead, kPeer, kStart);
  dead.state = MemberState::kDead;
  this->members.OnGossip(dead, kPeer, kStart);
  GossipHeartbeat part;
  part.members = {MemberOf(InstanceId{7})};
  this->gossip.OnHeartbeat(kPeer, part, milliseconds(1), kStart);
  const auto sent =
      this->Take<GossipHeartbeat>(this->gossip.Flush(kStart), kPeer);
  CHECK(sent[0].members[0].state == MemberState::kDead);
}

}  // namespace
}  // namespace celerypost
