#include "src/request/attempt.h"

#include <algorithm>

namespace celerypost {
namespace {

// Set in the attempt numbers of ids that the entry generated.
constexpr AttemptNumber kGeneratedBit = 1u << 30;

}  // namespace

AttemptNumber MakeAttempt(uint32_t caller_attempt, uint32_t entry_attempt) {
  return caller_attempt == kGeneratedId
             ? kGeneratedBit | std::min(entry_attempt, kGeneratedBit - 1)
             : std::min(caller_attempt, kGeneratedBit - 1);
}

bool IsGeneratedAttempt(AttemptNumber attempt) {
  return (attempt & kGeneratedBit) != 0;
}

Verdict RefusalVerdict(const RefusalFacts& facts) {
  if (facts.frames_unanswered > 0) {
    return Verdict::kMayHaveRun;
  }
  if (facts.id_generated_here) {
    return Verdict::kNotRun;
  }
  // A delayed copy of the caller's message also carries attempt number 1, so
  // the number proves a first attempt only if no agent redirected the request.
  return facts.caller_attempt == 1 && facts.frames_redirected == 0
             ? Verdict::kNotRun
             : Verdict::kMayHaveRun;
}

}  // namespace celerypost
