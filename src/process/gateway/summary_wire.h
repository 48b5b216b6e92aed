#ifndef SRC_PROCESS_GATEWAY_SUMMARY_WIRE_H_
#define SRC_PROCESS_GATEWAY_SUMMARY_WIRE_H_

#include <vector>

#include "messages_types.h"
#include "src/process/state/region_directory.h"

namespace celerypost {

// Conversions between loads and region summaries and their messages.
std::vector<wire::TargetLoad> EncodeLoads(
    const std::vector<ReportedLoad>& loads);
std::vector<ReportedLoad> DecodeLoads(
    const std::vector<wire::TargetLoad>& loads);
wire::RegionSummary EncodeSummary(const RegionSummary& summary);
RegionSummary DecodeSummary(const wire::RegionSummary& summary);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_SUMMARY_WIRE_H_
