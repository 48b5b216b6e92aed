#include "src/request/slot_table.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

std::map<uint64_t, int> CountByOwner(const SlotTable& table) {
  std::map<uint64_t, int> counts;
  for (const SlotOwner& slot : table.slots) {
    ++counts[slot.owner.value];
  }
  return counts;
}

TEST_GROUP(SlotTableTest){};

// Guards against a table that changes in a round trip through JSON.
TEST(SlotTableTest, ReadsItsOwnJson) {
  const std::vector<InstanceId> eligible = {{0xfedcba9876543210}, {2}};
  const SlotTable table = ReassignSlots(SlotTable{}, eligible);
  LONGS_EQUAL(1, table.version);
  const std::string json = table.ToJson();
  CHECK(json.find("\"owner\":\"fedcba9876543210\"") != std::string::npos);
  const auto read = SlotTable::Parse(json);
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(*read == table);
}

// Guards against accepting a malformed table, and against an error that does
// not name the field.
TEST(SlotTableTest, RejectsBadFields) {
  const std::string good =
      ReassignSlots(SlotTable{}, {{InstanceId{7}}}).ToJson();
  const auto error = [&good](const std::string& from, const std::string& to) {
    std::string json = good;
    json.replace(json.find(from), from.size(), to);
    const auto read = SlotTable::Parse(json);
    return read.has_value() ? std::string() : read.error().message;
  };
  CHECK(error("{\"owner\":\"0000000000000007\",\"since\":1},", "")
            .find("slots is not") != std::string::npos);
  CHECK(error("0000000000000007", "7").find("slots[0].owner") !=
        std::string::npos);
  CHECK(error("0000000000000007", "-000000000000007").find("slots[0].owner") !=
        std::string::npos);
  CHECK(error("\"since\":1", "\"since\":2").find("slots[0].since") !=
        std::string::npos);
  CHECK(error("\"since\":1", "\"since\":-1").find("slots[0].since") !=
        std::string::npos);
  CHECK(error("\"version\":1", "\"version\":\"1\"").find("version") !=
        std::string::npos);
  CHECK_FALSE(SlotTable::Parse("[").has_value());
  CHECK_FALSE(SlotTable::Parse("").has_value());
}

// Guards against moving slots of live owners, whose ids would then be answered
// with "may have run", and against an uneven distribution of the moved slots.
TEST(SlotTableTest, MovesOnlySlotsOfIneligibleOwners) {
  const std::vector<InstanceId> three = {{1}, {2}, {3}};
  const SlotTable before = ReassignSlots(SlotTable{}, three);
  const std::vector<InstanceId> eligible = {{4}, {3}, {1}};
  const SlotTable after = ReassignSlots(before, eligible);
  LONGS_EQUAL(2, after.version);
  for (size_t slot = 0; slot < kSlotCount; ++slot) {
    if (before.slots[slot].owner == InstanceId{2}) {
      LONGS_EQUAL(2, after.slots[slot].since);
    } else {
      CHECK_TRUE(before.slots[slot] == after.slots[slot]);
    }
  }
  auto counts = CountByOwner(after);
  LONGS_EQUAL(0, counts[2]);
  LONGS_EQUAL(21, counts[4]);
}

// Guards against two agents that propose different tables for the same state,
// and against a new version without a change.
TEST(SlotTableTest, DependsOnValuesOnly) {
  const std::vector<InstanceId> one = {{1}, {2}, {3}};
  const std::vector<InstanceId> other = {{3}, {2}, {1}, {0}};
  const SlotTable table = ReassignSlots(SlotTable{}, one);
  CHECK_TRUE(table == ReassignSlots(SlotTable{}, other));
  CHECK_TRUE(table == ReassignSlots(table, other));
  CHECK_TRUE(table == ReassignSlots(table, {}));
}

}  // namespace
}  // namespace celerypost
