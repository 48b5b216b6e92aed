#include "src/process/gateway/summary_wire.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace celerypost {

using std::chrono::milliseconds;

namespace {

constexpr double kThousandths = 1000;

}  // namespace

std::vector<wire::TargetLoad> EncodeLoads(
    const std::vector<ReportedLoad>& loads) {
  std::vector<wire::TargetLoad> encoded;
  encoded.reserve(loads.size());
  for (const ReportedLoad& load : loads) {
    wire::TargetLoad message;
    message.target = static_cast<int64_t>(load.target_hash);
    message.in_flight = static_cast<int32_t>(load.in_flight);
    message.waiting_tokens = static_cast<int32_t>(std::clamp<double>(
        load.waiting_tokens, 0, std::numeric_limits<int32_t>::max()));
    if (load.late_waiting > 0) {
      message.__set_late_waiting(static_cast<int32_t>(load.late_waiting));
    }
    encoded.push_back(message);
  }
  return encoded;
}

std::vector<ReportedLoad> DecodeLoads(
    const std::vector<wire::TargetLoad>& loads) {
  std::vector<ReportedLoad> decoded;
  decoded.reserve(loads.size());
  for (const wire::TargetLoad& load : loads) {
    decoded.push_back(
        {static_cast<uint64_t>(load.target),
         static_cast<uint32_t>(std::max(0, load.in_flight)),
         static_cast<double>(load.waiting_tokens),
         static_cast<uint32_t>(
             load.__isset.late_waiting
                 ? std::clamp(load.late_waiting, 0, std::max(0, load.in_flight))
                 : 0)});
  }
  return decoded;
}

std::vector<int64_t> EncodeStarts(const std::vector<TargetStartHash>& starts) {
  return {starts.begin(), starts.end()};
}

std::vector<TargetStartHash> DecodeStarts(const std::vector<int64_t>& starts) {
  return {starts.begin(), starts.end()};
}

std::vector<wire::RankCounts> EncodeRankCounts(
    const std::vector<RankCounts>& counts) {
  std::vector<wire::RankCounts> encoded;
  encoded.reserve(counts.size());
  for (const RankCounts& entry : counts) {
    wire::RankCounts message;
    message.service_hash = static_cast<int64_t>(entry.service_hash);
    message.workspace_priority = entry.rank.workspace_priority;
    message.route_priority = entry.rank.route_priority;
    message.asked = static_cast<int32_t>(entry.asked);
    message.placed = static_cast<int32_t>(entry.placed);
    message.begun = static_cast<int32_t>(entry.begun);
    message.on_time = static_cast<int32_t>(entry.on_time);
    message.held_thousandths = std::llround(entry.held * kThousandths);
    encoded.push_back(message);
  }
  return encoded;
}

int32_t EncodePace(double pace) {
  return static_cast<int32_t>(std::lround(std::clamp(pace, 0.0, 1000.0) * 100));
}

double DecodePace(int32_t hundredths) {
  return hundredths / 100.0;
}

std::vector<wire::MeasuredPace> EncodePaces(
    const std::vector<SharedPace>& paces) {
  std::vector<wire::MeasuredPace> encoded;
  encoded.reserve(paces.size());
  for (const SharedPace& pace : paces) {
    wire::MeasuredPace message;
    message.target_start = static_cast<int64_t>(pace.target_start);
    message.pace = EncodePace(pace.pace);
    message.age_ms = static_cast<int32_t>(pace.age.count());
    encoded.push_back(message);
  }
  return encoded;
}

std::vector<RankCounts> DecodeRankCounts(
    const std::vector<wire::RankCounts>& counts) {
  std::vector<RankCounts> decoded;
  decoded.reserve(counts.size());
  for (const wire::RankCounts& entry : counts) {
    // A share above 1 would be taken for spare room.
    const double asked = std::max(0, entry.asked);
    const double begun = std::max(0, entry.begun);
    decoded.push_back(
        {.service_hash = static_cast<uint64_t>(entry.service_hash),
         .rank = {entry.workspace_priority, entry.route_priority},
         .asked = asked,
         .placed = std::clamp<double>(entry.placed, 0, asked),
         .begun = begun,
         .on_time = std::clamp<double>(entry.on_time, 0, begun),
         .held = std::clamp(
             static_cast<double>(entry.held_thousandths) / kThousandths, 0.0,
             asked)});
  }
  return decoded;
}

std::vector<SharedPace> DecodePaces(
    const std::vector<wire::MeasuredPace>& paces) {
  std::vector<SharedPace> decoded;
  decoded.reserve(paces.size());
  for (const wire::MeasuredPace& pace : paces) {
    decoded.push_back({static_cast<TargetStartHash>(pace.target_start),
                       DecodePace(pace.pace), milliseconds(pace.age_ms)});
  }
  return decoded;
}

wire::RegionSummary EncodeSummary(const RegionSummary& summary) {
  wire::RegionSummary message;
  message.region = summary.region.value();
  message.ip = summary.ip;
  message.era = summary.documents.position.era;
  message.revision = summary.documents.position.revision;
  message.operator_revision = summary.documents.operator_position.revision;
  message.config_version = summary.documents.config_version;
  for (const RegionGateway& gateway : summary.gateways) {
    wire::RegionGateway entry;
    entry.ip = gateway.ip;
    entry.caller_address = gateway.caller_address;
    entry.state = static_cast<int32_t>(gateway.state);
    message.gateways.push_back(std::move(entry));
  }
  for (const RegionTarget& target : summary.targets) {
    wire::RegionTarget entry;
    entry.address = target.address;
    entry.serving_version = target.serving_version;
    entry.loading = target.loading;
    entry.leaving = target.leaving;
    if (target.loads_in) {
      entry.__set_loads_in_ms(static_cast<int32_t>(target.loads_in->count()));
    }
    if (target.pace) {
      entry.__set_pace(EncodePace(*target.pace));
    }
    message.targets.push_back(std::move(entry));
  }
  message.loads = EncodeLoads(summary.loads);
  message.leaving_targets = EncodeStarts(summary.leaving_targets);
  if (!summary.rank_counts.empty()) {
    message.__set_rank_counts(EncodeRankCounts(summary.rank_counts));
  }
  return message;
}

RegionSummary DecodeSummary(const wire::RegionSummary& summary) {
  RegionSummary decoded;
  decoded.region = RegionName(summary.region);
  decoded.ip = summary.ip;
  decoded.documents = {{summary.era, summary.revision},
                       {summary.era, summary.operator_revision},
                       summary.config_version};
  for (const wire::RegionGateway& gateway : summary.gateways) {
    decoded.gateways.push_back({gateway.ip, gateway.caller_address,
                                static_cast<NodeState>(gateway.state)});
  }
  for (const wire::RegionTarget& target : summary.targets) {
    decoded.targets.push_back(
        {target.address, target.serving_version, target.loading,
         target.__isset.loads_in_ms
             ? std::optional(milliseconds(target.loads_in_ms))
             : std::nullopt,
         target.leaving,
         target.__isset.pace ? std::optional(DecodePace(target.pace))
                             : std::nullopt});
  }
  decoded.loads = DecodeLoads(summary.loads);
  decoded.leaving_targets = DecodeStarts(summary.leaving_targets);
  decoded.rank_counts = DecodeRankCounts(summary.rank_counts);
  return decoded;
}

}  // namespace celerypost
