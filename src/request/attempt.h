#ifndef SRC_REQUEST_ATTEMPT_H_
#define SRC_REQUEST_ATTEMPT_H_

#include <cstdint>

#include "celerypost/verdict.h"

namespace celerypost {

// Orders the attempts of one request id across callers' repeats and entries'
// own retries; carried in Header.attempt. An owner that refuses an attempt "not
// run" closes it and every lower one, so a late copy of them never runs, while
// a higher one may. 0 is an attempt that the caller did not number: once
// refused, the id never runs.
using AttemptNumber = uint32_t;

// Returns the number for retry `entry_attempt` (from 1) that an entry makes of
// the caller's attempt `caller_attempt` (`Celerypost-Attempt`, from 1; 0 when
// absent). Ids that the entry generated count as caller attempt 1. Both parts
// are limited to 255 and 2^23 - 1 so that the result fits a positive i32; past
// the limit attempts share a number, which can only refuse.
AttemptNumber MakeAttempt(uint32_t caller_attempt, uint32_t entry_attempt);

// What an entry knows when it refuses a request with an id, or passes on an
// agent's kBehind or kMoved.
struct RefusalFacts {
  // The entry generated the id and has shown it to nobody.
  bool id_generated_here = false;
  // `Celerypost-Attempt`; 0 when absent.
  uint32_t caller_attempt = 0;
  // Work frames sent for this request that no agent has answered; a connection
  // that closed before the answer counts.
  uint32_t frames_unanswered = 0;
};

// Returns kNotRun when no attempt of the request can have run or will run, and
// kMayHaveRun otherwise.
Verdict RefusalVerdict(const RefusalFacts& facts);

}  // namespace celerypost

#endif  // SRC_REQUEST_ATTEMPT_H_
