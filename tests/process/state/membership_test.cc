#include "src/process/state/membership.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

Member MemberOf(uint64_t instance, uint64_t incarnation) {
  Member member;
  member.instance = InstanceId{instance};
  member.zone = ZoneName("dar-a");
  member.region = RegionName("dar");
  member.address = "10.0.0." + std::to_string(instance) + ":7000";
  member.incarnation = incarnation;
  return member;
}

TEST_GROUP(MembershipTest) {
  Membership members{MembershipOptions{}, MemberOf(1, 100)};
  TimePoint now = kStart;
  void setup() override {
    this->members.OnPeerConnected(MemberOf(2, 100), this->now);
  }
  void Advance(milliseconds span) {
    for (; span.count() > 0; span -= milliseconds(50)) {
      this->now += milliseconds(50);
      this->members.OnTick(this->now);
    }
  }
  MemberState StateOf(uint64_t instance) const {
    return this->members.Find(InstanceId{instance})->state;
  }
};

// Guards against a member that gets work for more than 2 s after it died, and
// against marking a member dead before it had time to refute the suspicion.
TEST(MembershipTest, SilentMemberIsDeadWithin2Seconds) {
  this->Advance(milliseconds(1450));
  CHECK(this->StateOf(2) == MemberState::kLive);
  CHECK_TRUE(this->members.Find(InstanceId{2})->suspected);
  LONGS_EQUAL(1, this->members.Live(Role::kEntry, ServiceName()).size() - 1);
  this->Advance(milliseconds(500));
  CHECK(this->StateOf(2) == MemberState::kDead);
}

// Guards against marking a member dead that is heard only through other
// members.
TEST(MembershipTest, SuspectedMemberRefutes) {
  this->Advance(milliseconds(1500));
  this->members.OnGossip(MemberOf(2, 101), InstanceId{3}, this->now);
  this->Advance(milliseconds(1000));
  CHECK(this->StateOf(2) == MemberState::kLive);
}

// Guards against marking all members dead after a pause of this process.
TEST(MembershipTest, OwnPauseSuspectsNobody) {
  this->Advance(milliseconds(50));
  this->now += std::chrono::seconds(30);
  this->Advance(milliseconds(1000));
  CHECK(this->StateOf(2) == MemberState::kLive);
  CHECK_FALSE(this->members.Find(InstanceId{2})->suspected);
}

// Guards against a process that its peers keep marked dead after it resumes
// from a pause.
TEST(MembershipTest, RefutesItsOwnDeath) {
  Member claim = MemberOf(1, 100);
  claim.state = MemberState::kDead;
  this->members.OnGossip(claim, InstanceId{2}, this->now);
  CHECK(this->members.Self().state == MemberState::kLive);
  CHECK(this->members.Self().incarnation == 101);
}

// Guards against a restarted process that is given its predecessor's work.
TEST(MembershipTest, RestartedProcessReplacesItsPredecessor) {
  Member successor = MemberOf(7, 200);
  successor.address = MemberOf(2, 0).address;
  this->members.OnGossip(successor, InstanceId{3}, this->now);
  CHECK(this->StateOf(2) == MemberState::kDead);
  CHECK_TRUE(this->members.MayStillRun().empty());
  LONGS_EQUAL(7,
              this->members.FindByAddress(successor.address)->instance.value);
}

// Guards against a leaving member that gets new work again after it sends a
// newer record of itself, made before it learned that it has to leave (P7).
TEST(MembershipTest, LeavingIsNotUndone) {
  PlatformMember listed;
  listed.peer_address = MemberOf(2, 0).address;
  listed.leaving = true;
  this->members.OnPlatformList({listed}, this->now);
  CHECK(this->StateOf(2) == MemberState::kLeaving);
  this->members.OnGossip(MemberOf(2, 105), InstanceId{3}, this->now);
  CHECK(this->StateOf(2) == MemberState::kLeaving);
  LONGS_EQUAL(1, this->members.Live(Role::kEntry, ServiceName()).size());
}

// Guards against missing the removal of a VM that no member watches.
TEST(MembershipTest, RemovedFromThePlatformMeansSuspected) {
  PlatformMember listed;
  listed.peer_address = MemberOf(2, 0).address;
  this->members.OnPlatformList({listed}, this->now);
  CHECK_FALSE(this->members.Find(InstanceId{2})->suspected);
  this->members.OnPlatformList({}, this->now);
  CHECK_TRUE(this->members.Find(InstanceId{2})->suspected);
}

// Guards against choosing all neighbours in one zone, which would partition the
// fleet.
TEST(MembershipTest, ChoosesNeighboursInsideAndOutside) {
  for (uint64_t i = 10; i < 40; ++i) {
    Member member = MemberOf(i, 100);
    member.zone = ZoneName(i < 25 ? "dar-a" : "mwanza-a");
    this->members.OnGossip(member, InstanceId{2}, this->now);
  }
  size_t inside = 0;
  for (const InstanceId neighbour : this->members.Neighbours()) {
    inside += this->members.Find(neighbour)->zone == ZoneName("dar-a");
  }
  LONGS_EQUAL(6, this->members.Neighbours().size());
  LONGS_EQUAL(4, inside);
  LONGS_EQUAL(5, this->members.Witnesses(RegionName("dar")).size());
}

}  // namespace
}  // namespace celerypost
