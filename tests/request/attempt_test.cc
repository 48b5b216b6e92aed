#include "src/request/attempt.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(AttemptTest){};

// Guards against a refused attempt that closes a later one, or leaves an
// earlier one open.
TEST(AttemptTest, OrdersCallersAttemptsBeforeEntriesRetries) {
  CHECK(MakeAttempt(1, 1) < MakeAttempt(1, 2));
  CHECK(MakeAttempt(1, 255) < MakeAttempt(2, 1));
  CHECK(MakeAttempt(1, 1000) < MakeAttempt(2, 1));
  CHECK(MakeAttempt(UINT32_MAX, 255) <= INT32_MAX);
}

// Guards against entry retries of unnumbered repeats being taken for later
// attempts: their order across entries is unknown.
TEST(AttemptTest, LeavesUnnumberedAttemptsUnordered) {
  LONGS_EQUAL(MakeAttempt(0, 1), MakeAttempt(0, 2));
}

// Guards against a "not run" from an entry that cannot know (P5).
TEST(AttemptTest, SaysNotRunOnlyForFirstAttempts) {
  CHECK(RefusalVerdict({.caller_attempt = 1}) == Verdict::kNotRun);
  CHECK(RefusalVerdict({.id_generated_here = true}) == Verdict::kNotRun);
  CHECK(RefusalVerdict({}) == Verdict::kMayHaveRun);
  CHECK(RefusalVerdict({.caller_attempt = 2}) == Verdict::kMayHaveRun);
  CHECK(RefusalVerdict({.caller_attempt = 1, .frames_unanswered = 1}) ==
        Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace celerypost
