#include "src/request/request_id.h"

#include <array>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(RequestIdTest){};

// Guards against an id that changes in a round trip through its text form.
TEST(RequestIdTest, ReadsItsOwnText) {
  const std::string text = "v3-1765000000000-caller-7.x_";
  const auto id = RequestId::Parse(text);
  CHECK_TRUE(id.has_value());
  LONGS_EQUAL(3, id->table_version);
  LONGS_EQUAL(1765000000000, id->issued_at.count());
  CHECK(id->unique == "caller-7.x_");
  CHECK(id->ToString() == text);
  CHECK(text.starts_with(RequestId::Prefix(3, milliseconds(1765000000000))));
}

// Guards against two texts that denote the same id (leading zeros, signs) and
// against crashes on invalid input.
TEST(RequestIdTest, RejectsOtherForms) {
  const std::string oversized(kMaxUniqueBytes + 1, 'x');
  for (const std::string& text :
       {std::string(), std::string("v"), std::string("3-4-x"),
        std::string("v-4-x"), std::string("v03-4-x"), std::string("v3-04-x"),
        std::string("v+3-4-x"), std::string("v3--4-x"), std::string("v3-4-"),
        std::string("v3-4"), std::string("v3-4-a b"), std::string("v3-4-\n"),
        std::string("v18446744073709551616-4-x"),
        std::string("v3-9223372036854775808-x"), "v3-4-" + oversized}) {
    const auto id = RequestId::Parse(text);
    CHECK_FALSE(id.has_value());
    CHECK(id.error().code == ErrorCode::kInvalidArgument);
  }
}

// Guards against generated ids that collide or that put most requests on one
// slot's owner.
TEST(RequestIdTest, SpreadsOverSlots) {
  SplitMixRandom random(1);
  std::array<int, kSlotCount> counts{};
  for (int count = 0; count < 64 * 100; ++count) {
    const auto id = RequestId::Make(1, milliseconds(5), random);
    CHECK_TRUE(RequestId::Parse(id.ToString()) == id);
    ++counts[id.Slot()];
  }
  for (const int count : counts) {
    CHECK(count > 50 && count < 150);
  }
}

// Guards against a change of the slot hash, which is part of the protocol:
// processes of two versions would disagree on the owner of an id.
TEST(RequestIdTest, KeepsTheSlotOfAnId) {
  const auto id = RequestId::Parse("v1-2-abc");
  const auto newer = RequestId::Parse("v9-8-abc");
  LONGS_EQUAL(16, id->Slot());
  LONGS_EQUAL(id->Slot(), newer->Slot());
}

}  // namespace
}  // namespace celerypost
