#include "src/process/gateway/summary_wire.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(SummaryWireTest){};

// Guards against other regions that don't learn of targets that leave.
TEST(SummaryWireTest, CarriesTheTargetsThatLeave) {
  RegionSummary summary;
  summary.leaving_targets = {1, UINT64_MAX, uint64_t{1} << 63};
  summary.targets = {{"10.0.0.1:80", 1, false, std::nullopt, true, 2.5},
                     {"10.0.0.2:80", 1, false, std::nullopt, false, {}}};
  const RegionSummary decoded = DecodeSummary(EncodeSummary(summary));
  CHECK(decoded.leaving_targets == summary.leaving_targets);
  CHECK_TRUE(decoded.targets.at(0).leaving);
  CHECK_FALSE(decoded.targets.at(1).leaving);
}

// Guards against slow targets that other regions take for fast ones, and
// against unknown paces that arrive as some number.
TEST(SummaryWireTest, CarriesPaces) {
  RegionSummary summary;
  summary.targets = {{"10.0.0.1:80", 1, false, std::nullopt, true, 2.5},
                     {"10.0.0.2:80", 1, false, std::nullopt, false, {}}};
  const RegionSummary decoded = DecodeSummary(EncodeSummary(summary));
  DOUBLES_EQUAL(2.5, *decoded.targets.at(0).pace, 0.01);
  CHECK_FALSE(decoded.targets.at(1).pace.has_value());
  const auto paces = DecodePaces(
      EncodePaces({{UINT64_MAX, 0.57, std::chrono::milliseconds(30)}}));
  CHECK_EQUAL(UINT64_MAX, paces.at(0).target_start);
  DOUBLES_EQUAL(0.57, paces.at(0).pace, 0.001);
  CHECK_EQUAL(30, paces.at(0).age.count());
}

}  // namespace
}  // namespace celerypost
