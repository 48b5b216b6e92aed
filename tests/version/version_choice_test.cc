#include "src/version/version_choice.h"

#include "src/version/load_schedule.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(VersionChoiceTest) {
  VersionChoiceOptions options;
  LoadScheduleOptions schedule;
  // One copy of 2.36 MB over a link of 7.3 Mbit/s, and 29 targets in a zone.
  StagingProgress progress{
      .staged_share = 0.4,
      .since_progress = milliseconds(20),
      .staging_time = EstimatedStagingTime(schedule, milliseconds(2590)),
      .load_spread = LeastLoadSpread(schedule, 29) / 2,
      .margin = schedule.margin,
      .until_load = {},
      .until_due = milliseconds(6000),
      .until_newer_due = {}};

  bool Completes() const {
    return ChooseVersion(this->options, this->progress).completes_current;
  }
  // The links, the number of targets of a zone and the bound of a deployment in
  // docs/hard-load.md, with a newer version named after `since_named`.
  void Deploy(milliseconds copy, uint32_t count, milliseconds bound,
              milliseconds since_named) {
    this->progress.staging_time = EstimatedStagingTime(this->schedule, copy);
    this->progress.load_spread = LeastLoadSpread(this->schedule, count) / 2;
    this->progress.until_due = bound - since_named;
    this->progress.until_newer_due = bound;
  }
};

// Guards against targets that drop a half-staged version for a newer one that
// they cannot have before the weights that they serve are past their bound: on
// kilele-waivers-large, version 3 was named four seconds after version 2, all
// targets went over to it, and from the bound of version 2 on none could serve.
TEST(VersionChoiceTest, FinishesAVersionWhenTheNewerOneWouldBeTooLate) {
  CHECK_TRUE(this->Completes());
}

// Guards against the staging and loading of versions that are not needed.
TEST(VersionChoiceTest, SkipsAVersionWhenTheNewerOneIsInTime) {
  this->progress.until_due = milliseconds(8000);
  CHECK_FALSE(this->Completes());
  this->progress.until_due.reset();
  CHECK_FALSE(this->Completes());
}

// Guards against starting over when the rest takes less time.
TEST(VersionChoiceTest, FinishesWhatIsMostlyStaged) {
  this->progress.until_due.reset();
  this->progress.staged_share = 0.7;
  CHECK_TRUE(this->Completes());
}

// Guards against waiting for chunks of a version that no peer has any more.
TEST(VersionChoiceTest, LeavesAVersionThatMakesNoProgress) {
  this->progress.staged_share = 0.9;
  this->progress.since_progress = milliseconds(600);
  CHECK_FALSE(this->Completes());
  this->progress.staged_share = 1;
  CHECK_TRUE(this->Completes());
}

// Guards against two loads, or a newer version that is staged only after the
// older one's planned load, when two versions are named 2 s apart.
TEST(VersionChoiceTest, SkipsAVersionThatWasNamedTwoSecondsBefore) {
  for (const double share : {0.3, 0.8, 1.0}) {
    this->progress.staged_share = share;
    this->Deploy(milliseconds(4310), 12, milliseconds(13400),
                 milliseconds(2000));
    CHECK_FALSE(this->Completes());
    this->Deploy(milliseconds(2210), 14, milliseconds(8000),
                 milliseconds(2000));
    CHECK_FALSE(this->Completes());
  }
}

// Guards against targets without usable weights when the newer version comes
// too late to skip one that is staged.
TEST(VersionChoiceTest, LoadsAStagedVersionWhenTheNewerOneIsTooLate) {
  this->progress.staged_share = 1;
  this->Deploy(milliseconds(2210), 14, milliseconds(8000), milliseconds(5000));
  this->progress.until_load = milliseconds(500);
  CHECK_TRUE(this->Completes());
  // With an origin that does not answer, nobody knows when it will be staged.
  this->Deploy(milliseconds(2210), 14, milliseconds(8000), milliseconds(2000));
  CHECK_FALSE(this->Completes());
  this->progress.origin_available = false;
  CHECK_TRUE(this->Completes());
}

}  // namespace
}  // namespace celerypost
