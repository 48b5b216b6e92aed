#include "celerypost/verdict.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(VerdictTest){};

// Guards against a refusal whose header does not match its verdict.
TEST(VerdictTest, NamesEveryVerdict) {
  CHECK(VerdictName(Verdict::kNotRun) == "not-run");
  CHECK(VerdictName(Verdict::kMayHaveRun) == "may-have-run");
  CHECK(VerdictName(Verdict::kRan) == "ran");
}

// Guards against names that no longer match their codes after an error code is
// added.
TEST(VerdictTest, NamesTheLastErrorCode) {
  CHECK(ErrorCodeName(ErrorCode::kInternal) == "internal");
}

}  // namespace
}  // namespace celerypost
