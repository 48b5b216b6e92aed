#include "src/process/state/region_directory.h"

#include <algorithm>
#include <utility>

namespace celerypost {

using std::chrono::milliseconds;

bool SendsSummaries(const SummaryOptions& options,
                    InstanceId self,
                    const std::vector<InstanceId>& other_gateways) {
  const auto before =
      std::count_if(other_gateways.begin(), other_gateways.end(),
                    [&](InstanceId other) { return other.value < self.value; });
  return static_cast<size_t>(before) < options.senders;
}

milliseconds SummaryPeriod(const SummaryOptions& options, size_t bytes) {
  const milliseconds at_limit(bytes * 1000 /
                              std::max<size_t>(1, options.bytes_per_second));
  return std::max(options.min_period, at_limit);
}

void RegionDirectory::OnSummary(RegionSummary summary,
                                bool forward,
                                TimePoint now) {
  Entry& entry = this->regions[summary.region];
  entry.forward = entry.forward || forward;
  entry.received_at = now;
  entry.summary = std::move(summary);
}

std::vector<RegionSummary> RegionDirectory::TakeForwards() {
  std::vector<RegionSummary> forwards;
  for (auto& [region, entry] : this->regions) {
    if (std::exchange(entry.forward, false)) {
      forwards.push_back(entry.summary);
    }
  }
  return forwards;
}

std::vector<const RegionSummary*> RegionDirectory::Fresh(TimePoint now) const {
  std::vector<const RegionSummary*> fresh;
  for (const auto& [region, entry] : this->regions) {
    if (now - entry.received_at <= this->lifetime) {
      fresh.push_back(&entry.summary);
    }
  }
  return fresh;
}

}  // namespace celerypost
