#ifndef SRC_VERSION_VERSION_CHOICE_H_
#define SRC_VERSION_VERSION_CHOICE_H_

#include <chrono>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

struct VersionChoiceOptions {
  // Time in which all targets of a service have a version staged, as a multiple
  // of the time that one copy takes over a VM's link.
  double staging_copies = 2.0;
  // Time from the end of staging until the weights are loaded everywhere.
  std::chrono::milliseconds load_time{1300};
  // A version of which at least this share is staged is completed.
  double finish_share = 0.6;
  // Staging is taken to be stuck when no chunk has arrived for this long.
  std::chrono::milliseconds progress_timeout{500};
};

// The staging of one version when a newer one is named.
struct StagingProgress {
  double staged_share = 0;
  std::chrono::milliseconds since_progress{0};
  // Time that one copy takes over the VM's link.
  std::chrono::milliseconds copy_time{0};
  // Time until the weights that the target serves must no longer be used;
  // nothing when it serves none.
  std::optional<std::chrono::milliseconds> until_due;
};

// Returns whether the version being staged is completed before the newer one is
// begun. Staging starts over with each version, so the target would be without
// weights that may be used if the newer one took longer than the bound of those
// that it serves.
bool FinishesCurrentVersion(const VersionChoiceOptions& options,
                            const StagingProgress& progress);

}  // namespace celerypost

#endif  // SRC_VERSION_VERSION_CHOICE_H_
