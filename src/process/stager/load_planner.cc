#include "src/process/stager/load_planner.h"

#include <algorithm>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Share from which on the observed progress corrects the estimate. Before, the
// first hops take most of the time.
constexpr double kMinObservedShare = 0.25;
// A pause of the origin must not count as a slow link for good.
constexpr double kMaxSlowdown = 3;
// Changes of the planned time below this are not logged.
constexpr milliseconds kLoggedChange{20};

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

LoadPlanner::LoadPlanner(LoadScheduleOptions schedule,
                         VersionChoiceOptions choice,
                         Log& log)
    : schedule_options(schedule), choice_options(choice), log(log) {}

void LoadPlanner::OnGoal(TimePoint now) {
  this->started = now;
  this->whole_at.reset();
  this->choice = {};
}

void LoadPlanner::OnProgress(TimePoint now) {
  this->last_progress = now;
}

Duration LoadPlanner::StagingTime(const LoadFacts& facts, TimePoint now) const {
  const Duration estimated =
      EstimatedStagingTime(this->schedule_options, facts.copy_time);
  if (facts.staged_share < kMinObservedShare) {
    return estimated;
  }
  const Duration taken = this->whole_at.value_or(now) - this->started;
  const double slowdown = static_cast<double>(taken.count()) /
                          (static_cast<double>(estimated.count()) *
                           std::min(1.0, facts.staged_share));
  return std::chrono::duration_cast<Duration>(
      estimated * std::clamp(slowdown, 1.0, kMaxSlowdown));
}

bool LoadPlanner::CompletesCurrent(const LoadFacts& facts, TimePoint now) {
  StagingProgress progress;
  progress.staged_share = facts.staged_share;
  progress.since_progress =
      std::chrono::duration_cast<milliseconds>(now - this->last_progress);
  progress.staging_time = this->StagingTime(facts, now);
  progress.load_spread =
      LeastLoadSpread(this->schedule_options, facts.count) / 2;
  progress.margin = this->schedule_options.margin;
  progress.origin_available = facts.origin_available;
  if (facts.serving_version > 0 && facts.superseded_at) {
    progress.until_due = *facts.superseded_at + facts.version_bound - now;
    if (facts.staged_share >= 1) {
      progress.until_load =
          this->PlannedTime(facts, /*before_newer=*/true, now) - now;
    }
  }
  if (facts.newer_named_at) {
    progress.until_newer_due =
        *facts.newer_named_at + facts.version_bound - now;
  }
  this->choice = ChooseVersion(this->choice_options, progress);
  this->LogPlan(facts, this->choice.completes_current ? "complete" : "skip",
                facts.staged_share >= 1 && progress.until_due
                    ? std::optional(this->LoadTime(facts, now))
                    : std::nullopt,
                now);
  return this->choice.completes_current;
}

TimePoint LoadPlanner::LoadTime(const LoadFacts& facts, TimePoint now) {
  // A version that is to be skipped keeps its time, in case the digests of the
  // newer one do not come.
  const TimePoint load_at =
      this->PlannedTime(facts, this->choice.completes_current, now);
  if (facts.version == facts.newest_version && load_at != TimePoint()) {
    this->LogPlan(facts, "load", load_at, now);
  }
  return load_at;
}

TimePoint LoadPlanner::PlannedTime(const LoadFacts& facts,
                                   bool before_newer,
                                   TimePoint now) {
  if (facts.staged_share >= 1 && !this->whole_at) {
    this->whole_at = now;
  }
  if (facts.serving_version == 0 || !facts.superseded_at || !this->whole_at) {
    return {};
  }
  LoadScheduleInput input;
  input.whole_at = *this->whole_at;
  input.due = *facts.superseded_at + facts.version_bound;
  input.rank = facts.rank;
  input.count = facts.count;
  if (before_newer && facts.newer_named_at) {
    input.newer = NewerVersion{*facts.newer_named_at,
                               *facts.newer_named_at + facts.version_bound,
                               this->StagingTime(facts, now)};
  }
  return ScheduledLoadTime(this->schedule_options, input);
}

void LoadPlanner::LogPlan(const LoadFacts& facts,
                          std::string_view choice,
                          std::optional<TimePoint> load_at,
                          TimePoint now) {
  const bool moved =
      load_at.has_value() != this->logged_time.has_value() ||
      (load_at &&
       std::chrono::abs(*load_at - *this->logged_time) >= kLoggedChange);
  if (facts.version == this->logged_version &&
      facts.newest_version == this->logged_newest &&
      choice == this->logged_choice && !moved) {
    return;
  }
  this->logged_version = facts.version;
  this->logged_newest = facts.newest_version;
  this->logged_choice = choice;
  this->logged_time = load_at;
  const auto milliseconds_until = [now](std::optional<TimePoint> from,
                                        Duration bound) {
    return from ? std::max(int64_t{0}, Milliseconds(*from + bound - now))
                : int64_t{-1};
  };
  this->log.Info(
      "load_plan", "when the target loads the version, or why it skips it",
      {{"version", facts.version},
       {"newest_version", facts.newest_version},
       {"serving_version", facts.serving_version},
       {"choice", choice},
       {"reason", choice == "load" ? "newest version" : this->choice.reason},
       {"loads_in_ms", milliseconds_until(load_at, Duration(0))},
       {"staged_share", facts.staged_share},
       {"copy_ms", Milliseconds(facts.copy_time)},
       {"staging_ms", Milliseconds(this->StagingTime(facts, now))},
       {"due_in_ms",
        milliseconds_until(facts.superseded_at, facts.version_bound)},
       {"newer_due_in_ms",
        milliseconds_until(facts.newer_named_at, facts.version_bound)},
       {"gap_if_completed_ms", Milliseconds(this->choice.gap_if_completed)},
       {"gap_if_skipped_ms", Milliseconds(this->choice.gap_if_skipped)},
       {"rank", facts.rank},
       {"zone_targets", facts.count}});
}

}  // namespace celerypost
