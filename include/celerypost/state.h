#ifndef INCLUDE_CELERYPOST_STATE_H_
#define INCLUDE_CELERYPOST_STATE_H_

// The decision components on configuration and membership, for programs that
// embed them.
#include "celerypost/types.h"                   // IWYU pragma: export
#include "celerypost/verdict.h"                 // IWYU pragma: export
#include "src/process/state/commit.h"           // IWYU pragma: export
#include "src/process/state/config_document.h"  // IWYU pragma: export
#include "src/process/state/config_state.h"     // IWYU pragma: export
#include "src/process/state/entry_list.h"       // IWYU pragma: export
#include "src/process/state/freshness.h"        // IWYU pragma: export
#include "src/process/state/membership.h"       // IWYU pragma: export

#endif  // INCLUDE_CELERYPOST_STATE_H_
