#include "src/version/flow_bound.h"

#include <algorithm>

#include "celerypost/assert.h"

namespace celerypost {

std::chrono::duration<double> FlowBound(const FlowLinks& links,
                                        uint64_t bytes) {
  using Seconds = std::chrono::duration<double>;
  const size_t count = links.regions.size();
  CELERYPOST_ASSERT(count <= 16 && links.origin_region < count &&
                        links.between.size() == count,
                    "FlowBound takes 1 to 16 regions and a full rate matrix");
  const auto size = static_cast<double>(bytes);
  double bound = 0;
  bool reachable = true;
  // Needing `amount` bytes over a cut of `rate` takes at least amount / rate.
  const auto require = [&bound, &reachable](double amount, double rate) {
    if (amount <= 0) {
      return;
    }
    if (rate <= 0) {
      reachable = false;
      return;
    }
    bound = std::max(bound, amount / rate);
  };
  // By the max-flow min-cut theorem the largest rate from the origin to one VM
  // is the smallest cut. In this network every cut is the origin's link, the
  // VM's link, or the links into a subset of the regions. Counting all copies
  // of a subset gives a second bound: they come in over the links or from the
  // subset's own VMs.
  for (uint32_t subset = 1; subset < (1u << count); ++subset) {
    const bool has_origin = subset & (1u << links.origin_region);
    double inflow = has_origin ? links.origin_out : 0;
    double uploads = 0;
    double downloads_needed = 0;
    for (size_t region = 0; region < count; ++region) {
      if (!(subset & (1u << region))) {
        continue;
      }
      const FlowRegion& vms = links.regions[region];
      uploads += vms.replicas * vms.vm_out;
      downloads_needed += vms.replicas * size;
      for (size_t from = 0; from < count; ++from) {
        if (!(subset & (1u << from))) {
          inflow += links.between[from][region];
        }
      }
    }
    if (downloads_needed <= 0) {
      continue;
    }
    if (!has_origin) {
      require(size, inflow);
      require(size, links.origin_out);
      require(downloads_needed, inflow + uploads);
    } else {
      // Links into a subset with the origin can only bring copies back, which
      // the subset's own VMs or the origin sent out before.
      require(size, links.origin_out);
      require(downloads_needed, inflow + uploads);
    }
  }
  for (const FlowRegion& vms : links.regions) {
    if (vms.replicas > 0) {
      require(size, vms.vm_in);
    }
  }
  return reachable ? Seconds(bound) : Seconds::max();
}

}  // namespace celerypost
