#ifndef SRC_REQUEST_ATTEMPT_H_
#define SRC_REQUEST_ATTEMPT_H_

#include <cstdint>

#include "celerypost/verdict.h"

namespace celerypost {

// Orders the attempts of one request id; sent as Header.attempt. When a slot's
// owner refuses an attempt as "not run", it also closes every lower attempt, so
// that a delayed copy of any of them never runs; a higher attempt may still
// run. 0 means that the caller does not number its attempts: once one is
// refused, the id never runs.
using AttemptNumber = uint32_t;

// Passed as `caller_attempt` for an id that the entry generated.
inline constexpr uint32_t kGeneratedId = UINT32_MAX;

// Returns the number of retry `entry_attempt` (from 1) that an entry makes of
// the caller's attempt `caller_attempt` (`Celerypost-Attempt`, from 1; 0 when
// absent; kGeneratedId). The result fits a positive i32.
//
// `entry_attempt` affects the result only for an id that the entry generated. A
// caller's message may reach entries twice, and a retry that one entry makes of
// its copy must not rank above the refusal of the other copy.
AttemptNumber MakeAttempt(uint32_t caller_attempt, uint32_t entry_attempt);

// Returns whether the entry that sent the attempt generated the request id.
bool IsGeneratedAttempt(AttemptNumber attempt);

// What an entry knows when it refuses a request that has an id, or when it ends
// a request that an agent answered with BeginResult::kBehind or kMoved.
struct RefusalFacts {
  // The entry generated the id, has not sent it to the caller, and numbers
  // attempts with kGeneratedId.
  bool id_generated_here = false;
  // `Celerypost-Attempt`; 0 when absent.
  uint32_t caller_attempt = 0;
  // Work frames sent for this request that no agent has answered, including
  // those whose connection closed before the answer.
  uint32_t frames_unanswered = 0;
  // Work frames that agents answered with kBehind or kMoved. These agents do
  // not know whether the owner has run a copy of the request.
  uint32_t frames_redirected = 0;
};

// Returns kNotRun when no attempt of the request can have run or will run, and
// kMayHaveRun otherwise.
Verdict RefusalVerdict(const RefusalFacts& facts);

}  // namespace celerypost

#endif  // SRC_REQUEST_ATTEMPT_H_
