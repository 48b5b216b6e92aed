#include "src/request/attempt.h"

#include <algorithm>

namespace celerypost {
namespace {

constexpr uint32_t kMaxEntryAttempt = 255;
constexpr uint32_t kMaxCallerAttempt = (1u << 23) - 1;

}  // namespace

AttemptNumber MakeAttempt(uint32_t caller_attempt, uint32_t entry_attempt) {
  // Two copies of an unnumbered attempt through two entries cannot be ordered,
  // so an entry's retries of it do not count as later attempts either.
  if (caller_attempt == 0) {
    return 0;
  }
  return (std::min(caller_attempt, kMaxCallerAttempt) << 8) |
         std::min(entry_attempt, kMaxEntryAttempt);
}

Verdict RefusalVerdict(const RefusalFacts& facts) {
  const bool first = facts.id_generated_here || facts.caller_attempt == 1;
  return first && facts.frames_unanswered == 0 ? Verdict::kNotRun
                                               : Verdict::kMayHaveRun;
}

}  // namespace celerypost
