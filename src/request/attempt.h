#ifndef SRC_REQUEST_ATTEMPT_H_
#define SRC_REQUEST_ATTEMPT_H_

#include <cstdint>

#include "celerypost/verdict.h"

namespace celerypost {

// Orders the attempts of one request id; carried in Header.attempt. An owner
// that refuses an attempt "not run" closes it and every lower one, so a late
// copy of them never runs, while a higher one may. 0 is an attempt that the
// caller did not number: once refused, the id never runs.
using AttemptNumber = uint32_t;

// Passed as `caller_attempt` for an id that the entry generated.
inline constexpr uint32_t kGeneratedId = UINT32_MAX;

// Returns the number of retry `entry_attempt` (from 1) that an entry makes of
// the caller's attempt `caller_attempt` (`Celerypost-Attempt`, from 1; 0 when
// absent; kGeneratedId). The result fits a positive i32.
//
// An entry's own retries count only for an id that it generated. A caller's
// message may reach entries twice, and then neither copy's retries come after
// the other's refusal.
AttemptNumber MakeAttempt(uint32_t caller_attempt, uint32_t entry_attempt);

// Whether the entry that sends the attempt generated its id.
bool IsGeneratedAttempt(AttemptNumber attempt);

// What an entry knows when it refuses a request with an id, or passes on an
// agent's kBehind or kMoved.
struct RefusalFacts {
  // The entry generated the id, has shown it to nobody, and numbers attempts
  // with kGeneratedId.
  bool id_generated_here = false;
  // `Celerypost-Attempt`; 0 when absent.
  uint32_t caller_attempt = 0;
  // Work frames sent for this request that no agent has answered; a connection
  // that closed before the answer counts.
  uint32_t frames_unanswered = 0;
  // Work frames that agents answered with kBehind or kMoved. Such an agent does
  // not know whether the owner has run a copy of the request.
  uint32_t frames_redirected = 0;
};

// Returns kNotRun when no attempt of the request can have run or will run, and
// kMayHaveRun otherwise.
Verdict RefusalVerdict(const RefusalFacts& facts);

}  // namespace celerypost

#endif  // SRC_REQUEST_ATTEMPT_H_
