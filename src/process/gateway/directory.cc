#include "src/process/gateway/directory.h"

namespace celerypost {

std::vector<std::string> ChooseGateways(
    const std::vector<DirectoryEntry>& gateways,
    const RegionName& region,
    size_t least,
    size_t most) {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const DirectoryEntry& gateway : gateways) {
    if (!gateway.ready || gateway.caller_address.empty()) {
      continue;
    }
    all.push_back(gateway.caller_address);
    if (gateway.region == region) {
      near.push_back(gateway.caller_address);
    }
  }
  std::vector<std::string>& chosen = near.size() >= least ? near : all;
  if (chosen.size() > most) {
    chosen.resize(most);
  }
  return chosen;
}

}  // namespace celerypost
