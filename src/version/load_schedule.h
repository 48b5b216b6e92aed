#ifndef SRC_VERSION_LOAD_SCHEDULE_H_
#define SRC_VERSION_LOAD_SCHEDULE_H_

#include <cstdint>

#include "celerypost/types.h"

namespace celerypost {

struct LoadScheduleOptions {
  // Time after the naming of a version at which the first targets have it
  // staged: one copy over a link as fast as the origin's, and a hop.
  Duration staging = std::chrono::milliseconds(3300);
  // The last target is ordered this long before the version's bound. Requests
  // that wait at a target when it is ordered still begin on the old weights.
  Duration margin = std::chrono::milliseconds(900);
};

// When the target with place `place` among the `count` targets of its zone is
// ordered to load a version that was named at `named_at` and is due at `due`:
// spread evenly, so that few are out of service at a time, and known in
// advance, so that long requests can go elsewhere before.
TimePoint PlannedLoad(const LoadScheduleOptions& options,
                      TimePoint named_at,
                      TimePoint due,
                      uint32_t place,
                      uint32_t count);

}  // namespace celerypost

#endif  // SRC_VERSION_LOAD_SCHEDULE_H_
