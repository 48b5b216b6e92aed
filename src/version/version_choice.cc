#include "src/version/version_choice.h"

namespace celerypost {

using std::chrono::milliseconds;

bool FinishesCurrentVersion(const VersionChoiceOptions& options,
                            const StagingProgress& progress) {
  if (progress.staged_share >= 1) {
    return true;
  }
  if (progress.since_progress >= options.progress_timeout) {
    return false;
  }
  if (progress.staged_share >= options.finish_share) {
    return true;
  }
  const milliseconds newer_version_time =
      std::chrono::duration_cast<milliseconds>(progress.copy_time *
                                               options.staging_copies) +
      options.load_time;
  return progress.until_due && *progress.until_due < newer_version_time;
}

}  // namespace celerypost
