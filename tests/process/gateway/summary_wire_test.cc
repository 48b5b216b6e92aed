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

// Guards against peers that take late requests, which wait for all others, for
// load, and against reports with more of them than requests.
TEST(SummaryWireTest, CarriesTheLateRequestsThatWait) {
  const std::vector<ReportedLoad> loads = {{7, 5, 800, 2}, {8, 3, 0, 0}};
  std::vector<wire::TargetLoad> encoded = EncodeLoads(loads);
  CHECK_FALSE(encoded.at(1).__isset.late_waiting);
  std::vector<ReportedLoad> decoded = DecodeLoads(encoded);
  CHECK_EQUAL(2u, decoded.at(0).late_waiting);
  CHECK_EQUAL(5u, decoded.at(0).in_flight);
  CHECK_EQUAL(0u, decoded.at(1).late_waiting);
  encoded.at(1).__set_late_waiting(-4);
  encoded.at(0).__set_late_waiting(1000);
  decoded = DecodeLoads(encoded);
  CHECK_EQUAL(5u, decoded.at(0).late_waiting);
  CHECK_EQUAL(0u, decoded.at(1).late_waiting);
}

}  // namespace
}  // namespace celerypost
