#include "src/process/gateway/summary_wire.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(SummaryWireTest){};

// Guards against other regions that don't learn of targets that leave.
TEST(SummaryWireTest, CarriesTheTargetsThatLeave) {
  RegionSummary summary;
  summary.leaving_targets = {1, UINT64_MAX, uint64_t{1} << 63};
  summary.targets = {{"10.0.0.1:80", 1, false, std::nullopt, true},
                     {"10.0.0.2:80", 1, false, std::nullopt, false}};
  const RegionSummary decoded = DecodeSummary(EncodeSummary(summary));
  CHECK(decoded.leaving_targets == summary.leaving_targets);
  CHECK_TRUE(decoded.targets.at(0).leaving);
  CHECK_FALSE(decoded.targets.at(1).leaving);
}

}  // namespace
}  // namespace celerypost
