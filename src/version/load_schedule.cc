#include "src/version/load_schedule.h"

#include <algorithm>

namespace celerypost {

TimePoint ScheduledLoadTime(const LoadScheduleOptions& options,
                            TimePoint named_at,
                            TimePoint due,
                            uint32_t rank,
                            uint32_t count) {
  const TimePoint last = due - options.margin;
  const TimePoint first = std::min(named_at + options.staging, last);
  return first + (last - first) * rank / std::max(1u, count - 1);
}

}  // namespace celerypost
