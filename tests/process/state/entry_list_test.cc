#include "src/process/state/entry_list.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

Member EntryIn(uint64_t instance, const char* zone, const char* region) {
  Member member;
  member.instance = InstanceId{instance};
  member.zone = ZoneName(zone);
  member.region = RegionName(region);
  member.address = std::to_string(instance);
  member.http_address = "http-" + std::to_string(instance);
  return member;
}

TEST_GROUP(EntryListTest) {
  ConfigState config;
  Membership members{MembershipOptions{}, EntryIn(1, "dar-a", "dar")};
  EntryList list{EntryListOptions{}, members, config};
  void setup() override {
    const TimePoint now{};
    this->members.OnGossip(EntryIn(2, "dar-b", "dar"), InstanceId{1}, now);
    this->members.OnGossip(EntryIn(3, "mwanza-a", "mwanza"), InstanceId{1},
                           now);
  }
};

// Guards against sending callers to an entry of another zone or region first.
TEST(EntryListTest, OwnZoneThenRegion) {
  const auto answer = this->list.ForCaller(ServiceName("s"), ZoneName("dar-b"),
                                           std::chrono::milliseconds(1000));
  LONGS_EQUAL(3, answer.addresses.size());
  CHECK(answer.addresses[0] == "http-2");
  CHECK(answer.addresses[1] == "http-1");
  CHECK(answer.request_id_prefix.empty());
}

// Guards against sending callers to a zone that is out or to a leaving entry.
TEST(EntryListTest, LeavesOutZonesAndLeavingEntries) {
  ConfigDocument document;
  document.number = 1;
  document.change.id = "a";
  document.zones[ZoneName("mwanza-a")] = {RegionName("mwanza"), false};
  this->config.Offer(
      VersionedDocument{std::string(kConfigKey), 1, document.Serialize()});
  Member leaving = EntryIn(2, "dar-b", "dar");
  leaving.state = MemberState::kLeaving;
  this->members.OnGossip(leaving, InstanceId{2}, TimePoint());
  const auto answer = this->list.ForCaller(ServiceName("s"), ZoneName("dar-b"),
                                           std::chrono::milliseconds(1000));
  LONGS_EQUAL(1, answer.addresses.size());
  CHECK(answer.addresses[0] == "http-1");
}

// Guards against a prefix with another slot table version: no owner runs
// requests with such ids.
TEST(EntryListTest, PrefixHoldsTableVersion) {
  this->config.Offer(VersionedDocument{"celerypost/slots/s", 7,
                                       R"({"version":7,"slots":[]})"});
  const auto answer =
      this->list.ForCaller(ServiceName("s"), ZoneName("dar-a"),
                           std::chrono::milliseconds(1765000000000));
  CHECK(answer.request_id_prefix == "v7-1765000000000");
}

}  // namespace
}  // namespace celerypost
