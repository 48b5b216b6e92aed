#ifndef SRC_VERSION_LOAD_SCHEDULE_H_
#define SRC_VERSION_LOAD_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

struct LoadScheduleOptions {
  // Time until all targets of a service have a version staged, as a multiple of
  // the time that one copy takes over the slower link, and a constant for the
  // hops. ClaimSwarm, with the links of docs/hard-load.md and 7 to 138 stagers,
  // takes 3.7 to 6.8 s, which is at most 10 % more than this.
  double staging_copies = 1.6;
  Duration staging_hops = std::chrono::milliseconds(400);
  // How long before the version is due the last target is ordered to load it.
  // Requests that wait at a target at that moment still begin on the old
  // weights.
  Duration margin = std::chrono::milliseconds(900);
  // The margin when the loads could not be kept apart otherwise: one load takes
  // 0.3 s.
  Duration min_margin = std::chrono::milliseconds(400);
  // Time from the completion of a copy to the first order, if there is time:
  // the chunks are checked, and gateways learn of the order.
  Duration lead = std::chrono::milliseconds(500);
  // No more than `window_share` of a zone's targets, but at least one, load
  // within this time.
  Duration window = std::chrono::milliseconds(420);
  double window_share = 0.25;
};

// A version that was named after the one to be loaded.
struct NewerVersion {
  TimePoint named_at{};
  // When the older version must no longer be used.
  TimePoint due{};
  // Time that staging it takes.
  Duration staging{};
};

struct LoadScheduleInput {
  // When this target's copy was completed.
  TimePoint whole_at{};
  // When the weights that the target serves must no longer be used.
  TimePoint due{};
  std::optional<NewerVersion> newer;
  // Position of the target, from 0, among the targets of its zone, and their
  // number.
  uint32_t rank = 0;
  uint32_t count = 1;
};

// Returns the time after which all targets have a version staged. `copy_time`
// is the time that one copy takes over the slower of the VM's link and the
// origin's.
Duration EstimatedStagingTime(const LoadScheduleOptions& options,
                              Duration copy_time);

// Returns the shortest time from the first to the last of `count` loads that
// keeps within `window_share`.
Duration LeastLoadSpread(const LoadScheduleOptions& options, uint32_t count);

// Returns when the target is ordered to load. The orders of a zone are spread
// evenly, by rank, over the time between the completion of the copies and the
// bound, so that few targets are out of service at a time, and are known in
// advance, so that long requests can be sent to other targets before. When a
// newer version is named, the orders come sooner, so that it can be staged in
// time, but not closer together than half of LeastLoadSpread.
TimePoint ScheduledLoadTime(const LoadScheduleOptions& options,
                            const LoadScheduleInput& input);

}  // namespace celerypost

#endif  // SRC_VERSION_LOAD_SCHEDULE_H_
