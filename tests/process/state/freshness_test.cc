#include "src/process/state/freshness.h"

#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

const RegionName kRegion("dar");
const TimePoint kStart{std::chrono::hours(1)};

std::vector<InstanceId> Ids(const std::vector<uint64_t>& values) {
  std::vector<InstanceId> ids;
  for (const uint64_t value : values) {
    ids.push_back(InstanceId{value});
  }
  return ids;
}

Stamp StampOf(uint64_t witness,
              uint64_t sequence,
              uint64_t number,
              bool store) {
  return Stamp{InstanceId{witness}, kRegion, sequence, number, store};
}

TEST_GROUP(FreshnessTest) {
  Freshness fresh{FreshnessOptions{InstanceId{99}, kRegion}};
  void setup() override {
    this->fresh.SetNumber(5);
    this->fresh.SetWitnesses(kRegion, Ids({1, 2, 3, 4, 5}), {}, kStart);
  }
};

// Guards against giving work under an old configuration after the stamps have
// expired (P3).
TEST(FreshnessTest, StoreEvidenceExpires) {
  this->fresh.OnStamp(StampOf(1, 1, 5, true), milliseconds(500), kStart);
  CHECK_TRUE(this->fresh.MayGiveNewWork(kStart + milliseconds(1000)));
  CHECK_FALSE(this->fresh.MayGiveNewWork(kStart + milliseconds(1001)));
}

// Guards against counting a stamp with a number above this process's own as
// evidence that this process holds the newest configuration.
TEST(FreshnessTest, StampAboveOwnNumberIsNoEvidence) {
  this->fresh.OnStamp(StampOf(1, 1, 6, true), milliseconds(0), kStart);
  CHECK_FALSE(this->fresh.MayGiveNewWork(kStart));
  this->fresh.SetNumber(6);
  CHECK_TRUE(this->fresh.MayGiveNewWork(kStart));
}

// Guards against a fleet that stops during an outage of the key-value service,
// and against a minority of a region that continues on its own.
TEST(FreshnessTest, HalfOfTheWitnessesSuffice) {
  this->fresh.OnStamp(StampOf(1, 1, 5, true), milliseconds(0), kStart);
  CHECK_TRUE(this->fresh.MayGiveNewWork(kStart));
  const TimePoint later = kStart + milliseconds(5000);
  this->fresh.OnStamp(StampOf(1, 2, 5, false), milliseconds(0), later);
  this->fresh.OnStamp(StampOf(2, 1, 5, false), milliseconds(0), later);
  CHECK_FALSE(this->fresh.MayGiveNewWork(later));
  this->fresh.OnStamp(StampOf(3, 1, 5, false), milliseconds(0), later);
  CHECK_TRUE(this->fresh.MayGiveNewWork(later));
}

// Guards against a partitioned process that removes silent witnesses as dead
// and then hears half of the remaining ones.
TEST(FreshnessTest, SilentWitnessesStayWhileMostAreUnheard) {
  const std::set<InstanceId> silent{InstanceId{1}, InstanceId{2},
                                    InstanceId{3}};
  this->fresh.OnStamp(StampOf(4, 1, 5, false), milliseconds(0), kStart);
  this->fresh.SetWitnesses(kRegion, Ids({4, 5}), silent, kStart);
  LONGS_EQUAL(5, this->fresh.Witnesses(kRegion).size());
  // The VMs of the silent witnesses have left the platform's list.
  this->fresh.SetWitnesses(kRegion, Ids({4, 5}), {}, kStart);
  LONGS_EQUAL(2, this->fresh.Witnesses(kRegion).size());
}

// Guards against a process that starts with only an isolated peer in reach and
// treats that peer as the whole region.
TEST(FreshnessTest, NewProcessCountsListedEntries) {
  Freshness fresh_start{FreshnessOptions{InstanceId{98}, kRegion}};
  fresh_start.SetNumber(4);
  fresh_start.SetWitnesses(kRegion, Ids({1, 98}), {}, kStart);
  fresh_start.OnStamp(StampOf(1, 1, 4, false), milliseconds(0), kStart);
  CHECK_FALSE(fresh_start.MayGiveNewWork(kStart));
  fresh_start.SetListedEntries(7);
  CHECK_FALSE(fresh_start.MayGiveNewWork(kStart));
  fresh_start.SetListedEntries(2);
  CHECK_TRUE(fresh_start.MayGiveNewWork(kStart));
}

// Guards against accepting a change with the confirmation of exactly half of
// the witnesses, as the other half is enough to go on with the old
// configuration.
TEST(FreshnessTest, ConfirmedNeedsMoreThanHalf) {
  this->fresh.SetWitnesses(kRegion, Ids({1, 2, 3, 4}), {}, kStart);
  this->fresh.OnStamp(StampOf(1, 1, 6, true), milliseconds(0), kStart);
  this->fresh.OnStamp(StampOf(2, 1, 7, true), milliseconds(0), kStart);
  CHECK_FALSE(this->fresh.Confirmed(6, kRegion));
  this->fresh.OnStamp(StampOf(3, 1, 6, false), milliseconds(0), kStart);
  CHECK_TRUE(this->fresh.Confirmed(6, kRegion));
  CHECK_FALSE(this->fresh.Confirmed(6, RegionName("unknown")));
}

// Guards against an entry that issues stamps after its start before it knows
// that its configuration is the newest.
TEST(FreshnessTest, OnlyAdmittedWitnessesIssueStamps) {
  Freshness witness{FreshnessOptions{InstanceId{1}, kRegion}};
  witness.SetWitnesses(kRegion, Ids({1, 2, 3}), {}, kStart);
  CHECK_FALSE(witness.IssueStamp(false, milliseconds(0), kStart).has_value());
  const auto stamp = witness.IssueStamp(true, milliseconds(40), kStart);
  CHECK_TRUE(stamp.has_value());
  CHECK(stamp->age == milliseconds(40));
  CHECK_TRUE(witness.admitted());
}

}  // namespace
}  // namespace celerypost
