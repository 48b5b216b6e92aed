#include "src/version/version_choice.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(VersionChoiceTest) {
  VersionChoiceOptions options;
  // One copy of 2.36 MB over a link of 7.3 Mbit/s.
  StagingProgress progress{.staged_share = 0.4,
                           .since_progress = milliseconds(20),
                           .copy_time = milliseconds(2590),
                           .until_due = milliseconds(6000)};
};

// Guards against targets that drop a half-staged version for a newer one that
// they cannot have before the weights that they serve are past their bound: on
// kilele-waivers-large, version 3 was named four seconds after version 2, all
// targets went over to it, and from the bound of version 2 on none could serve.
TEST(VersionChoiceTest, FinishesAVersionWhenTheNewerOneWouldBeTooLate) {
  CHECK_TRUE(FinishesCurrentVersion(this->options, this->progress));
}

// Guards against the staging and loading of versions that are not needed.
TEST(VersionChoiceTest, SkipsAVersionWhenTheNewerOneIsInTime) {
  this->progress.until_due = milliseconds(8000);
  CHECK_FALSE(FinishesCurrentVersion(this->options, this->progress));
  this->progress.until_due.reset();
  CHECK_FALSE(FinishesCurrentVersion(this->options, this->progress));
}

// Guards against starting over when the rest takes less time.
TEST(VersionChoiceTest, FinishesWhatIsMostlyStaged) {
  this->progress.until_due.reset();
  this->progress.staged_share = 0.7;
  CHECK_TRUE(FinishesCurrentVersion(this->options, this->progress));
}

// Guards against waiting for chunks of a version that no peer has any more.
TEST(VersionChoiceTest, LeavesAVersionThatMakesNoProgress) {
  this->progress.staged_share = 0.9;
  this->progress.since_progress = milliseconds(600);
  CHECK_FALSE(FinishesCurrentVersion(this->options, this->progress));
  this->progress.staged_share = 1;
  CHECK_TRUE(FinishesCurrentVersion(this->options, this->progress));
}

}  // namespace
}  // namespace celerypost
