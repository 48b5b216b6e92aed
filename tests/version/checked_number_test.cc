#include "src/version/checked_number.h"

#include <limits>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

constexpr int64_t kMin = std::numeric_limits<int64_t>::min();
constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();

TEST_GROUP(CheckedNumberTest){};

TEST(CheckedNumberTest, AcceptsWholeNumbersInRange) {
  CHECK_TRUE(ToInteger(3.0, 0, 5) == 3);
  CHECK_TRUE(ToInteger(-0.0, 0, 5) == 0);
  CHECK_TRUE(ToInteger(-0x1p63, kMin, kMax) == kMin);
  for (const double value :
       {3.5, -1.0, 6.0, 1e300, -1e300, 0x1p63, kInfinity, -kInfinity, kNaN}) {
    CHECK_FALSE(ToInteger(value, 0, 5).has_value());
  }
  CHECK_FALSE(ToInteger(0x1p63, kMin, kMax).has_value());
}

TEST(CheckedNumberTest, AcceptsWholeNumbersOfJson) {
  const auto read = [](const char* text) {
    return ToInteger(nlohmann::json::parse(text), kMin, kMax);
  };
  CHECK_TRUE(read("9223372036854775807") == kMax);
  CHECK_TRUE(read("-9223372036854775808") == kMin);
  CHECK_TRUE(read("3") == 3);
  CHECK_TRUE(read("3.0") == 3);
  CHECK_TRUE(read("-3") == -3);
  for (const char* const text :
       {"9223372036854775808", "18446744073709551615", "18446744073709551616",
        "3.5", "1e300", "\"3\"", "null", "true", "[3]", "{}"}) {
    CHECK_FALSE(read(text).has_value());
  }
  CHECK_FALSE(ToInteger(nlohmann::json(-1), 0, 5).has_value());
  CHECK_FALSE(ToInteger(nlohmann::json(6u), 0, 5).has_value());
}

TEST(CheckedNumberTest, LimitsDurations) {
  CHECK_EQUAL(1, ToDuration(1.9)->count());
  CHECK_TRUE(ToDuration(1e11) == kMaxDuration);
  for (const double value : {-0.5, 1e12, 1e300, kInfinity, -kInfinity, kNaN}) {
    CHECK_FALSE(ToDuration(value).has_value());
    CHECK_TRUE(ToClampedDuration(value) ==
               (value > 0 ? kMaxDuration : std::chrono::milliseconds(0)));
  }
}

TEST(CheckedNumberTest, AcceptsPortsThatCanBeConnectedTo) {
  CHECK_TRUE(ParsePort("1") == 1);
  CHECK_TRUE(ParsePort("65535") == 65535);
  for (const char* const digits : {"", "0", "65536", "70000", "-1", "+1", " 1",
                                   "1 ", "80x", "4294967376"}) {
    CHECK_FALSE(ParsePort(digits).has_value());
  }
}

}  // namespace
}  // namespace celerypost
