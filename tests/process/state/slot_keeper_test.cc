#include "src/process/state/slot_keeper.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
const ServiceName kService("waiver-ledger");

Member Agent(uint64_t instance) {
  Member member;
  member.instance = InstanceId{instance};
  member.role = Role::kAgent;
  member.zone = ZoneName("dar-a");
  member.region = RegionName("dar");
  member.service = kService;
  member.address = std::to_string(instance);
  member.incarnation = 1;
  return member;
}

Member Entry(uint64_t instance) {
  Member member = Agent(instance);
  member.role = Role::kEntry;
  member.service = ServiceName();
  return member;
}

// A table with the single owner 2.
Result<std::optional<std::string>> Reassign(std::string_view table,
                                            const std::set<InstanceId>& keep,
                                            const std::vector<InstanceId>&) {
  if (!table.empty() && keep.contains(InstanceId{2})) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>("next");
}

TEST_GROUP(SlotKeeperTest) {
  ConfigState config;
  // Entries 11 and 13 have keepers, entry 12 has none.
  Membership first{MembershipOptions{}, Entry(11)};
  Membership third{MembershipOptions{}, Entry(13)};
  SlotKeeper first_keeper{
      SlotKeeperOptions{}, InstanceId{11}, kService, first, config, Reassign};
  SlotKeeper third_keeper{
      SlotKeeperOptions{}, InstanceId{13}, kService, third, config, Reassign};
  void setup() override {
    for (Membership* members : {&this->first, &this->third}) {
      for (const uint64_t instance : {1, 2, 3}) {
        members->OnGossip(Agent(instance), InstanceId{9}, kStart);
        members->OnGossip(Entry(instance + 10), InstanceId{9}, kStart);
      }
    }
  }
  void Die(uint64_t instance, TimePoint now) {
    Member dead = Agent(instance);
    dead.state = MemberState::kDead;
    this->first.OnGossip(dead, InstanceId{9}, now);
    this->third.OnGossip(dead, InstanceId{9}, now);
  }
};

// Guards against reassigning slots of an owner that is live or was only just
// marked dead, and against several entries that write at the same time.
TEST(SlotKeeperTest, OneEntryProposesAfterTheDelay) {
  this->config.Offer(VersionedDocument{this->first_keeper.key(), 4,
                                       R"({"version":4,"slots":[]})"});
  TimePoint now = kStart;
  const auto run = [&](milliseconds span) {
    size_t proposals = 0;
    for (const TimePoint end = now + span; now < end;
         now += milliseconds(100)) {
      for (SlotKeeper* keeper : {&this->first_keeper, &this->third_keeper}) {
        const auto proposal = keeper->OnTick(now);
        proposals += proposal.has_value();
        CHECK_TRUE(!proposal || proposal->expected_number == 4);
      }
    }
    return proposals;
  };
  LONGS_EQUAL(0, run(milliseconds(5000)));
  this->Die(2, now);
  LONGS_EQUAL(0, run(milliseconds(900)));
  LONGS_EQUAL(1, run(milliseconds(1000)));
  // The first proposal may be lost, so the next entry in the order proposes
  // too.
  CHECK_TRUE(run(milliseconds(2000)) >= 1);
}

// Guards against a service that never gets a slot table.
TEST(SlotKeeperTest, ProposesTheFirstTable) {
  size_t proposals = 0;
  for (milliseconds at{0}; at < milliseconds(900); at += milliseconds(100)) {
    proposals += this->first_keeper.OnTick(kStart + at).has_value();
    proposals += this->third_keeper.OnTick(kStart + at).has_value();
  }
  // Entry 12, which has no keeper here, may be the first in the order.
  CHECK_TRUE(proposals <= 1);
  for (milliseconds at{900}; at < milliseconds(3000); at += milliseconds(100)) {
    proposals += this->first_keeper.OnTick(kStart + at).has_value();
    proposals += this->third_keeper.OnTick(kStart + at).has_value();
  }
  CHECK_TRUE(proposals >= 1);
}

}  // namespace
}  // namespace celerypost
