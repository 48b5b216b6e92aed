#ifndef SRC_PROCESS_GATEWAY_DIRECTORY_H_
#define SRC_PROCESS_GATEWAY_DIRECTORY_H_

#include <chrono>
#include <string>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// A gateway as the directory sees it.
struct DirectoryEntry {
  std::string caller_address;
  RegionName region;
  bool ready = false;
};

// Chooses the gateways that a caller in `region` is told to use: the ready ones
// of its region, so that requests cross regions only on the way to a target,
// or all ready ones when its region has fewer than `least`.
std::vector<std::string> ChooseGateways(
    const std::vector<DirectoryEntry>& gateways,
    const RegionName& region,
    size_t least,
    size_t most);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_DIRECTORY_H_
