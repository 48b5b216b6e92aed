#ifndef SRC_PROCESS_GATEWAY_SUMMARY_WIRE_H_
#define SRC_PROCESS_GATEWAY_SUMMARY_WIRE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "messages_types.h"
#include "src/process/state/region_directory.h"
#include "src/request/target_pace.h"

namespace celerypost {

// Conversions between loads, starts and paces of targets, counts by rank and
// region summaries and their messages.
std::vector<wire::TargetLoad> EncodeLoads(
    const std::vector<ReportedLoad>& loads);
std::vector<ReportedLoad> DecodeLoads(
    const std::vector<wire::TargetLoad>& loads);
std::vector<int64_t> EncodeStarts(const std::vector<TargetStartHash>& starts);
std::vector<TargetStartHash> DecodeStarts(const std::vector<int64_t>& starts);
std::vector<wire::RankCounts> EncodeRankCounts(
    const std::vector<RankCounts>& counts);
std::vector<RankCounts> DecodeRankCounts(
    const std::vector<wire::RankCounts>& counts);
int32_t EncodePace(double pace);
double DecodePace(int32_t hundredths);
std::vector<wire::MeasuredPace> EncodePaces(
    const std::vector<SharedPace>& paces);
std::vector<SharedPace> DecodePaces(
    const std::vector<wire::MeasuredPace>& paces);
wire::RegionSummary EncodeSummary(const RegionSummary& summary);
RegionSummary DecodeSummary(const wire::RegionSummary& summary);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_SUMMARY_WIRE_H_
