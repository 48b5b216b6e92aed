#ifndef SRC_PROCESS_STAGER_LOAD_PLANNER_H_
#define SRC_PROCESS_STAGER_LOAD_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "src/process/log.h"
#include "src/version/load_schedule.h"
#include "src/version/version_choice.h"

namespace celerypost {

// What a stager knows about the version that it stages.
struct LoadFacts {
  int64_t version = 0;
  int64_t newest_version = 0;
  // 0 when the target serves nothing.
  int64_t serving_version = 0;
  double staged_share = 0;
  // Time that one copy takes over the slower of the VM's link and the origin's;
  // 0 while the size of a copy is not known.
  Duration copy_time{0};
  // When the weights that the target serves, and `version`, were superseded;
  // nothing when they were not.
  std::optional<TimePoint> superseded_at;
  std::optional<TimePoint> newer_named_at;
  // Time from then until the weights must no longer be used.
  std::chrono::milliseconds version_bound{0};
  uint32_t rank = 0;
  uint32_t count = 1;
  bool origin_available = true;
};

// Decides for one stager when its target loads the staged version, and whether
// a version is completed after a newer one was named. Writes a line `load_plan`
// when a decision changes.
class LoadPlanner {
 public:
  LoadPlanner(LoadScheduleOptions schedule,
              VersionChoiceOptions choice,
              Log& log);

  // A version is staged from now on.
  void OnGoal(TimePoint now);
  // A chunk was staged.
  void OnProgress(TimePoint now);

  // Returns whether the version being staged is completed and loaded before the
  // newest one is begun.
  bool CompletesCurrent(const LoadFacts& facts, TimePoint now);
  // Returns when the target is ordered to load; the earliest time if it serves
  // nothing or the copy is not complete.
  TimePoint LoadTime(const LoadFacts& facts, TimePoint now);

 private:
  // Returns the time that staging a whole version takes. When the version being
  // staged has taken longer than estimated, the next one is expected to.
  Duration StagingTime(const LoadFacts& facts, TimePoint now) const;
  // `before_newer`: whether a newer version is to be staged afterwards.
  TimePoint PlannedTime(const LoadFacts& facts,
                        bool before_newer,
                        TimePoint now);
  void LogPlan(const LoadFacts& facts,
               std::string_view choice,
               std::optional<TimePoint> load_at,
               TimePoint now);

  LoadScheduleOptions schedule_options;
  VersionChoiceOptions choice_options;
  Log& log;
  TimePoint started{};
  TimePoint last_progress{};
  // When the copy was completed. A chunk that goes bad later does not move it.
  std::optional<TimePoint> whole_at;
  // The last choice for the version being staged.
  VersionChoice choice;
  // What the last line told.
  int64_t logged_version = 0;
  int64_t logged_newest = 0;
  std::string_view logged_choice;
  std::optional<TimePoint> logged_time;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_LOAD_PLANNER_H_
