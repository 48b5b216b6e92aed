#ifndef SRC_VERSION_VERSION_CHOICE_H_
#define SRC_VERSION_VERSION_CHOICE_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "celerypost/types.h"

namespace celerypost {

struct VersionChoiceOptions {
  // A target that serves nothing completes a version of which at least this
  // share is staged.
  double finish_share = 0.6;
  // Staging is taken to be stuck when no chunk has arrived for this long.
  std::chrono::milliseconds progress_timeout{500};
};

// The staging of one version when a newer one is named. All times count from
// now.
struct StagingProgress {
  double staged_share = 0;
  std::chrono::milliseconds since_progress{0};
  // Time that staging a whole version takes.
  Duration staging_time{0};
  // Time from the first to the last load of the zone, and from the last one to
  // the bound.
  Duration load_spread{0};
  Duration margin{0};
  // The planned time of the load, once all is staged.
  std::optional<Duration> until_load;
  // Time until the weights that the target serves must no longer be used;
  // nothing when it serves none.
  std::optional<Duration> until_due;
  // Time until the version being staged must no longer be used.
  std::optional<Duration> until_newer_due;
  // Whether the origin answered the last call of this stager.
  bool origin_available = true;
};

struct VersionChoice {
  // Whether the version being staged is completed and loaded before the newer
  // one is begun.
  bool completes_current = false;
  std::string_view reason;
  // Estimated time without usable weights if the current version is completed,
  // and if it is skipped.
  Duration gap_if_completed{0};
  Duration gap_if_skipped{0};
};

// Chooses the plan with the shortest time without usable weights and, among
// equal ones, the one with fewer loads, which skips the current version.
// Staging starts over with each version.
VersionChoice ChooseVersion(const VersionChoiceOptions& options,
                            const StagingProgress& progress);

}  // namespace celerypost

#endif  // SRC_VERSION_VERSION_CHOICE_H_
