#ifndef SRC_VERSION_FLOW_BOUND_H_
#define SRC_VERSION_FLOW_BOUND_H_

#include <chrono>
#include <cstdint>
#include <vector>

namespace celerypost {

// Links of one region's VMs, in bytes per second.
struct FlowRegion {
  // VMs that each need one copy.
  uint32_t replicas = 0;
  // Rates of each VM's link.
  double vm_in = 0;
  double vm_out = 0;
};

// Links between the origin and the replicas, rates in bytes per second.
struct FlowLinks {
  double origin_out = 0;
  // Index of the origin's region in `regions`.
  size_t origin_region = 0;
  std::vector<FlowRegion> regions;
  // between[a][b]: rate from region a to region b. At most 16 regions.
  std::vector<std::vector<double>> between;
};

// Lower bound of the time in which every replica can hold a copy of `bytes`
// bytes: no schedule over these links is faster. Returns
// std::chrono::duration<double>::max() when some replica cannot be reached.
std::chrono::duration<double> FlowBound(const FlowLinks& links, uint64_t bytes);

}  // namespace celerypost

#endif  // SRC_VERSION_FLOW_BOUND_H_
