#include "src/version/load_schedule.h"

#include <algorithm>

namespace celerypost {

namespace {

// Returns the time of one order among those from `first` to `last`.
TimePoint TurnOf(const LoadScheduleInput& input,
                 TimePoint first,
                 TimePoint last) {
  const uint32_t turns = std::max(1u, input.count - 1);
  return first + (last - first) * std::min(input.rank, turns) / turns;
}

}  // namespace

Duration EstimatedStagingTime(const LoadScheduleOptions& options,
                              Duration copy_time) {
  return std::chrono::duration_cast<Duration>(copy_time *
                                              options.staging_copies) +
         options.staging_hops;
}

Duration LeastLoadSpread(const LoadScheduleOptions& options, uint32_t count) {
  const uint32_t together =
      std::max(1u, static_cast<uint32_t>(count * options.window_share));
  return options.window * (std::max(1u, count) - 1) / together;
}

TimePoint ScheduledLoadTime(const LoadScheduleOptions& options,
                            const LoadScheduleInput& input) {
  const Duration spread = LeastLoadSpread(options, input.count);
  const TimePoint latest = input.due - options.min_margin;
  TimePoint last = input.due - options.margin;
  if (last - input.whole_at < spread) {
    last = std::min(input.whole_at + spread, latest);
  }
  last = std::max(last, input.whole_at);
  const Duration lead =
      std::clamp(last - input.whole_at - spread, Duration(0), options.lead);
  const TimePoint planned = TurnOf(input, input.whole_at + lead, last);
  if (!input.newer) {
    return planned;
  }
  const TimePoint first = std::max(input.whole_at, input.newer->named_at);
  const TimePoint newer_begins =
      input.newer->due - options.margin - input.newer->staging;
  last = std::clamp(newer_begins, first + spread / 2, first + spread);
  last = std::max(first, std::min(last, latest));
  return std::min(planned, TurnOf(input, first, last));
}

}  // namespace celerypost
