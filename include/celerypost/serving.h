#ifndef INCLUDE_CELERYPOST_SERVING_H_
#define INCLUDE_CELERYPOST_SERVING_H_

// The decision components of the request path, for programs that embed them:
// routing to targets, limits for cold targets, queueing order, retries, and
// at-most-once execution.
#include "celerypost/random.h"           // IWYU pragma: export
#include "celerypost/types.h"            // IWYU pragma: export
#include "celerypost/verdict.h"          // IWYU pragma: export
#include "src/request/admission.h"       // IWYU pragma: export
#include "src/request/cold_start.h"      // IWYU pragma: export
#include "src/request/fair_queue.h"      // IWYU pragma: export
#include "src/request/request_id.h"      // IWYU pragma: export
#include "src/request/request_ledger.h"  // IWYU pragma: export
#include "src/request/retry_budget.h"    // IWYU pragma: export
#include "src/request/router.h"          // IWYU pragma: export
#include "src/request/slot_table.h"      // IWYU pragma: export

#endif  // INCLUDE_CELERYPOST_SERVING_H_
