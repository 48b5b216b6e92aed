#ifndef SRC_VERSION_STAGER_PLANNING_H_
#define SRC_VERSION_STAGER_PLANNING_H_

#include <chrono>
#include <cstddef>

#include "src/version/chunk_planner.h"

namespace celerypost {

// Limits of the chunks that a stager sends to peers over its VM's link.
struct StagerUploadOptions {
  size_t max_concurrent = 1;
  // Maximum number of queued requests; others are refused and go to another
  // holder.
  size_t max_waiting = 4;
  // Share of the link that chunks may use. The rest is for the events of the
  // target's streams, which must not queue behind chunks.
  double link_share = 0.9;
};

// Returns the time from the start of one upload to the next over a link of
// `link_rate` bytes per second.
inline std::chrono::milliseconds UploadInterval(
    const StagerUploadOptions& options,
    size_t bytes,
    double link_rate) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(static_cast<double>(bytes) /
                                    (link_rate * options.link_share)));
}

// Returns the planner options of the stager `self`.
inline ChunkPlannerOptions StagerPlannerOptions(InstanceId self,
                                                const RegionName& region) {
  ChunkPlannerOptions options;
  options.self = self;
  options.region = region;
  // Each chunk is fetched from the origin by one agent of all regions, so such
  // a fetch does not count as crossing regions wherever the origin is.
  options.origin_region = region;
  // A few chunks in flight fill the VM's link without a queue that would delay
  // the events of running streams, which share it.
  options.max_fetches = 3;
  options.max_fetches_per_peer = 1;
  options.max_origin_fetches = 1;
  options.max_cross_fetches = 1;
  options.timeout.initial = std::chrono::milliseconds(1500);
  options.timeout.min = std::chrono::milliseconds(700);
  options.timeout.max = std::chrono::seconds(3);
  options.avoid_after_corrupt = std::chrono::seconds(2);
  // New weights are due within seconds after the origin is reachable again.
  options.max_origin_backoff = std::chrono::milliseconds(400);
  options.max_peer_backoff = std::chrono::milliseconds(200);
  return options;
}

}  // namespace celerypost

#endif  // SRC_VERSION_STAGER_PLANNING_H_
