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

// Guards against a dead member that gets work for longer than 2 s, and against
// one that is given up before it had time to answer.
TEST(MembershipTest, SilentMemberIsDeadWithin2Seconds) {
  this->Advance(milliseconds(1450));
  CHECK(this->StateOf(2) == MemberState::kLive);
  CHECK_TRUE(this->members.Find(InstanceId{2})->suspected);
  LONGS_EQUAL(1, this->members.Live(Role::kEntry, ServiceName()).size() - 1);
  this->Advance(milliseconds(500));
  CHECK(this->StateOf(2) == MemberState::kDead);
}

// Guards against giving up a member whose messages merely take another way.
TEST(MembershipTest, SuspectedMemberContradicts) {
  this->Advance(milliseconds(1500));
  this->members.OnGossip(MemberOf(2, 101), InstanceId{3}, this->now);
  this->Advance(milliseconds(1000));
  CHECK(this->StateOf(2) == MemberState::kLive);
}

// Guards against declaring the whole fleet dead after an own pause.
TEST(MembershipTest, OwnPauseIsNoSilenceOfOthers) {
  this->Advance(milliseconds(50));
  this->now += std::chrono::seconds(30);
  this->Advance(milliseconds(1000));
  CHECK(this->StateOf(2) == MemberState::kLive);
  CHECK_FALSE(this->members.Find(InstanceId{2})->suspected);
}

// Guards against a paused process that stays dead for its peers after it
// resumes.
TEST(MembershipTest, ContradictsItsOwnDeath) {
  Member claim = MemberOf(1, 100);
  claim.state = MemberState::kDead;
  this->members.OnGossip(claim, InstanceId{2}, this->now);
  CHECK(this->members.Self().state == MemberState::kLive);
  CHECK(this->members.Self().incarnation == 101);
}

// Guards against a restarted process that inherits its predecessor's work.
TEST(MembershipTest, RestartedProcessReplacesItsPredecessor) {
  Member successor = MemberOf(7, 200);
  successor.address = MemberOf(2, 0).address;
  this->members.OnGossip(successor, InstanceId{3}, this->now);
  CHECK(this->StateOf(2) == MemberState::kDead);
  CHECK_TRUE(this->members.MayStillRun().empty());
  LONGS_EQUAL(7,
              this->members.FindByAddress(successor.address)->instance.value);
}

// Guards against a leaving member that gets work again through a record of its
// own that is newer and does not know of the order yet (P7).
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

// Guards against a VM that the platform removed and that nobody watches.
TEST(MembershipTest, RemovedFromThePlatformMeansSuspected) {
  PlatformMember listed;
  listed.peer_address = MemberOf(2, 0).address;
  this->members.OnPlatformList({listed}, this->now);
  CHECK_FALSE(this->members.Find(InstanceId{2})->suspected);
  this->members.OnPlatformList({}, this->now);
  CHECK_TRUE(this->members.Find(InstanceId{2})->suspected);
}

// Guards against neighbours in one zone only, which would split the fleet.
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
