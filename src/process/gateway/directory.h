#ifndef SRC_PROCESS_GATEWAY_DIRECTORY_H_
#define SRC_PROCESS_GATEWAY_DIRECTORY_H_

#include <chrono>
#include <string>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// One gateway known to the directory.
struct DirectoryEntry {
  // Where callers connect, as "ip:port"; empty when unknown.
  std::string caller_address;
  RegionName region;
  bool ready = false;
};

// Returns the caller addresses of the gateways that a caller in `region` should
// use, at most `max_count`: the ready ones of its region, so that requests
// cross regions only between gateway and target, or all ready ones when its
// region has fewer than `min_count`.
std::vector<std::string> ChooseGateways(
    const std::vector<DirectoryEntry>& gateways,
    const RegionName& region,
    size_t min_count,
    size_t max_count);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_DIRECTORY_H_
