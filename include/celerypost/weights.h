#ifndef INCLUDE_CELERYPOST_WEIGHTS_H_
#define INCLUDE_CELERYPOST_WEIGHTS_H_

// The decision components of weight distribution, for programs that embed them:
// the manifest, which chunk to fetch from where, and when to switch.
#include "celerypost/random.h"             // IWYU pragma: export
#include "celerypost/types.h"              // IWYU pragma: export
#include "celerypost/verdict.h"            // IWYU pragma: export
#include "src/version/chunk_planner.h"     // IWYU pragma: export
#include "src/version/chunk_store.h"       // IWYU pragma: export
#include "src/version/flow_bound.h"        // IWYU pragma: export
#include "src/version/manifest.h"          // IWYU pragma: export
#include "src/version/rollout_progress.h"  // IWYU pragma: export
#include "src/version/switch_planner.h"    // IWYU pragma: export
#include "src/version/weight_index.h"      // IWYU pragma: export

#endif  // INCLUDE_CELERYPOST_WEIGHTS_H_
