#ifndef SRC_VERSION_FETCH_ROLES_H_
#define SRC_VERSION_FETCH_ROLES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <vector>

#include "celerypost/types.h"
#include "src/version/digest.h"

namespace celerypost {

struct FetchRoleOptions {
  // Number of agents that fetch from the origin, one chunk each at a time:
  // enough to fill its link. More would only lengthen its queue, which delays
  // the digests of the next version.
  uint32_t origin_fetchers = 24;
  // Number of agents of each region that fetch from other regions: enough to
  // fill several VM links, which a region's share of the link between regions
  // does not exceed. Only they and the origin's fetchers have to know what
  // other regions hold.
  uint32_t importers = 16;
};

struct FetchMember {
  InstanceId instance;
  RegionName region;
};

struct FetchRoles {
  std::unordered_set<InstanceId> origin_fetchers;
  std::unordered_set<InstanceId> importers;

  // Whether the agent must learn soon what other regions hold and fetch.
  bool NeedsFarNews(InstanceId instance) const {
    return this->origin_fetchers.contains(instance) ||
           this->importers.contains(instance);
  }
};

// Chooses the agents that fetch the set `key` from the origin and from other
// regions. Agents with the same members in view choose the same ones; the
// choice differs from set to set.
FetchRoles AssignFetchRoles(const FetchRoleOptions& options,
                            const Digest& key,
                            const std::vector<FetchMember>& members);

}  // namespace celerypost

#endif  // SRC_VERSION_FETCH_ROLES_H_
