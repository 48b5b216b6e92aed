#include "src/version/version_choice.h"

#include <algorithm>

namespace celerypost {

namespace {

// Returns how long the target is without usable weights when the next ones are
// loaded at `loaded` and the present ones are due at `due`.
Duration GapBefore(Duration loaded, const std::optional<Duration>& due) {
  return due ? std::max(Duration(0), loaded - *due) : Duration(0);
}

}  // namespace

VersionChoice ChooseVersion(const VersionChoiceOptions& options,
                            const StagingProgress& progress) {
  const bool staged = progress.staged_share >= 1;
  if (!staged && progress.since_progress >= options.progress_timeout) {
    return {false, "no progress"};
  }
  if (!progress.until_due) {
    return progress.staged_share >= options.finish_share
               ? VersionChoice{true, "serves nothing, mostly staged"}
               : VersionChoice{false, "serves nothing"};
  }
  if (staged && !progress.origin_available) {
    return {true, "origin unavailable"};
  }
  const Duration rest = std::chrono::duration_cast<Duration>(
      progress.staging_time * (1 - std::min(1.0, progress.staged_share)));
  const Duration load_time = progress.load_spread + progress.margin;
  // A copy that is staged is loaded at its planned time.
  const Duration loaded = staged && progress.until_load
                              ? std::max(Duration(0), *progress.until_load)
                              : rest + progress.load_spread;
  VersionChoice choice;
  choice.gap_if_completed =
      GapBefore(loaded, progress.until_due) +
      GapBefore(loaded + progress.staging_time + load_time,
                progress.until_newer_due);
  choice.gap_if_skipped =
      GapBefore(progress.staging_time + load_time, progress.until_due);
  choice.completes_current = choice.gap_if_completed < choice.gap_if_skipped;
  if (choice.gap_if_skipped == Duration(0)) {
    choice.reason = "newer version in time";
  } else {
    choice.reason =
        choice.completes_current ? "newer version too late" : "shorter gap";
  }
  return choice;
}

}  // namespace celerypost
