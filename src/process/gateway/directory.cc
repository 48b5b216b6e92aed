#include "src/process/gateway/directory.h"

namespace celerypost {

std::vector<std::string> ChooseGateways(
    const std::vector<DirectoryEntry>& gateways,
    const RegionName& region,
    size_t min_count,
    size_t max_count) {
  std::vector<std::string> same_region;
  std::vector<std::string> all;
  for (const DirectoryEntry& gateway : gateways) {
    if (!gateway.ready || gateway.caller_address.empty()) {
      continue;
    }
    all.push_back(gateway.caller_address);
    if (gateway.region == region) {
      same_region.push_back(gateway.caller_address);
    }
  }
  std::vector<std::string>& chosen =
      same_region.size() >= min_count ? same_region : all;
  if (chosen.size() > max_count) {
    chosen.resize(max_count);
  }
  return chosen;
}

}  // namespace celerypost
