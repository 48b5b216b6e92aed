#ifndef SRC_VERSION_LOAD_SCHEDULE_H_
#define SRC_VERSION_LOAD_SCHEDULE_H_

#include <cstdint>

#include "celerypost/types.h"

namespace celerypost {

struct LoadScheduleOptions {
  // Time from the naming of a version until the first targets have it staged:
  // one copy over a link as fast as the origin's, and one hop.
  Duration staging = std::chrono::milliseconds(3300);
  // How long before the version is due the last target is ordered to load it.
  // Requests that wait at a target at that moment still begin on the old
  // weights.
  Duration margin = std::chrono::milliseconds(900);
};

// Returns when the target with rank `rank`, from 0, among the `count` targets
// of its zone is ordered to load a version that was named at `named_at` and is
// due at `due`. The times are spread evenly, so that few targets are out of
// service at a time, and known in advance, so that long requests can be sent to
// other targets before.
TimePoint ScheduledLoadTime(const LoadScheduleOptions& options,
                            TimePoint named_at,
                            TimePoint due,
                            uint32_t rank,
                            uint32_t count);

}  // namespace celerypost

#endif  // SRC_VERSION_LOAD_SCHEDULE_H_
