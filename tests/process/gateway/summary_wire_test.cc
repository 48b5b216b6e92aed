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

// Guards against gateways that hold ranks back by different counts, and against
// counts of a faulty peer that would say that there is spare room.
TEST(SummaryWireTest, CarriesTheCountsByRank) {
  RegionSummary summary;
  summary.rank_counts = {
      {.service_hash = UINT64_MAX,
       .rank = {-1, 2},
       .asked = 10,
       .placed = 9,
       .begun = 8,
       .on_time = 7,
       .held = 2.5},
      {.service_hash = 1, .rank = {}, .asked = 5, .placed = 6}};
  const auto counts = DecodeSummary(EncodeSummary(summary)).rank_counts;
  CHECK_EQUAL(2, counts.size());
  CHECK_TRUE(counts[0].service_hash == UINT64_MAX);
  CHECK_TRUE(counts[0].rank == summary.rank_counts[0].rank);
  CHECK_EQUAL(10, counts[0].asked);
  CHECK_EQUAL(9, counts[0].placed);
  CHECK_EQUAL(8, counts[0].begun);
  CHECK_EQUAL(7, counts[0].on_time);
  CHECK_EQUAL(2.5, counts[0].held);
  CHECK_EQUAL(5, counts[1].placed);
  CHECK_FALSE(EncodeSummary(RegionSummary()).__isset.rank_counts);
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
