#include "src/request/attempt.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(AttemptTest){};

// Guards against a refused attempt that closes a later one, or leaves an
// earlier one open.
TEST(AttemptTest, OrdersCallersAttempts) {
  CHECK(MakeAttempt(1, 1) < MakeAttempt(2, 1));
  CHECK(MakeAttempt(kGeneratedId, 1) < MakeAttempt(kGeneratedId, 2));
  CHECK(MakeAttempt(kGeneratedId, UINT32_MAX) <= INT32_MAX);
  CHECK(MakeAttempt(UINT32_MAX - 1, 1) <= INT32_MAX);
  CHECK_TRUE(IsGeneratedAttempt(MakeAttempt(kGeneratedId, 1)));
  CHECK_FALSE(IsGeneratedAttempt(MakeAttempt(UINT32_MAX - 1, 1)));
}

// Guards against an entry's retry of a caller's attempt that runs after another
// copy of the same attempt was refused "not run".
TEST(AttemptTest, EntryRetriesOfCallersIdsAreNotLaterAttempts) {
  LONGS_EQUAL(MakeAttempt(0, 1), MakeAttempt(0, 2));
  LONGS_EQUAL(MakeAttempt(3, 1), MakeAttempt(3, 2));
}

// Guards against a "not run" from an entry that does not know whether the
// request has run (P5).
TEST(AttemptTest, SaysNotRunOnlyForFirstAttempts) {
  CHECK(RefusalVerdict({.caller_attempt = 1}) == Verdict::kNotRun);
  CHECK(RefusalVerdict({.id_generated_here = true}) == Verdict::kNotRun);
  CHECK(RefusalVerdict({}) == Verdict::kMayHaveRun);
  CHECK(RefusalVerdict({.caller_attempt = 2}) == Verdict::kMayHaveRun);
  CHECK(RefusalVerdict({.caller_attempt = 1, .frames_unanswered = 1}) ==
        Verdict::kMayHaveRun);
  CHECK(RefusalVerdict({.caller_attempt = 1, .frames_redirected = 1}) ==
        Verdict::kMayHaveRun);
  CHECK(RefusalVerdict({.id_generated_here = true, .frames_redirected = 1}) ==
        Verdict::kNotRun);
}

}  // namespace
}  // namespace celerypost
