#include "src/request/crash_evidence.h"

#include <set>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr PartHash kDeadly = 1;
constexpr PartHash kShared = 2;
constexpr PartHash kOther = 3;

TEST_GROUP(CrashEvidenceTest) {
  CrashEvidence evidence{{}};
  TimePoint now{milliseconds(1000000)};

  // Requests with the part `kOther` survive at 20 a second.
  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(50)) {
      this->now += milliseconds(50);
      this->evidence.OnSurvived({kOther}, this->now);
    }
  }
  std::vector<PartHash> Judge(const std::set<PartHash>& quarantined = {}) {
    return this->evidence.Judge(quarantined, this->now);
  }
};

// Guards against targets that crash one after the other on one part of prompts.
TEST(CrashEvidenceTest, HoldsAPartResponsibleAfterThreeCrashes) {
  this->Run(milliseconds(5000));
  for (TargetStartHash target = 1; target <= 3; ++target) {
    CHECK_TRUE(this->Judge().empty());
    this->evidence.OnBroken({kShared, kDeadly}, target, this->now);
    this->Run(milliseconds(300));
    this->evidence.OnSurvived({kShared}, this->now);
  }
  const auto responsible = this->Judge();
  CHECK_EQUAL(1u, responsible.size());
  CHECK_EQUAL(kDeadly, responsible[0]);
  CHECK_TRUE(this->Judge({kDeadly}).empty());
}

// Guards against turning away callers that share the first part with requests
// that crash targets, before their own requests are known to survive.
TEST(CrashEvidenceTest, BlamesANewPartBeforeOneWhoseRequestsSurvived) {
  this->Run(milliseconds(5000));
  this->evidence.OnSurvived({kShared}, this->now);
  for (TargetStartHash target = 1; target <= 4; ++target) {
    this->Run(milliseconds(200));
    this->evidence.OnBroken({kShared, kDeadly}, target, this->now);
  }
  const auto responsible = this->Judge();
  CHECK_EQUAL(1u, responsible.size());
  CHECK_EQUAL(kDeadly, responsible[0]);
  this->Run(milliseconds(3000));
  CHECK_TRUE(this->Judge({kDeadly}).empty());
}

// Guards against parts that are blamed for the failure of a zone.
TEST(CrashEvidenceTest, BlamesNoPartWhenMostRequestsBreak) {
  this->Run(milliseconds(5000));
  for (TargetStartHash target = 1; target <= 20; ++target) {
    this->now += milliseconds(20);
    this->evidence.OnBroken({kShared}, target, this->now);
    this->evidence.OnBroken({100 + target}, target, this->now);
  }
  this->now += milliseconds(2500);
  CHECK_TRUE(this->Judge().empty());
}

// Guards against parts that are blamed while a service comes back slowly: no
// request survives, whatever its parts.
TEST(CrashEvidenceTest, BlamesNoPartWhileNoOtherRequestSurvives) {
  this->Run(milliseconds(5000));
  for (TargetStartHash target = 1; target <= 20; ++target) {
    this->now += milliseconds(2000);
    this->evidence.OnBroken({kShared}, target, this->now);
  }
  this->now += milliseconds(2500);
  CHECK_TRUE(this->Judge().empty());
}

// Guards against a part that begins to crash targets after its requests have
// survived for a long time.
TEST(CrashEvidenceTest, HoldsAPartResponsibleThatUsedToSurvive) {
  this->evidence.OnSurvived({kDeadly}, this->now);
  this->Run(milliseconds(20000));
  this->evidence.OnSurvived({kDeadly}, this->now);
  for (TargetStartHash target = 1; target <= 3; ++target) {
    this->Run(milliseconds(300));
    this->evidence.OnBroken({kDeadly}, target, this->now);
  }
  CHECK_TRUE(this->Judge().empty());
  this->Run(milliseconds(2000));
  CHECK_EQUAL(1u, this->Judge().size());
}

// Guards against crashes of one target that count as several.
TEST(CrashEvidenceTest, CountsACrashOnce) {
  this->Run(milliseconds(5000));
  for (int i = 0; i < 10; ++i) {
    this->evidence.OnBroken({kDeadly}, 1, this->now);
    this->evidence.AddAccusation({kDeadly, 2}, this->now);
    this->Run(milliseconds(300));
  }
  CHECK_EQUAL(2u, this->evidence.Crashes(kDeadly));
  CHECK_TRUE(this->Judge().empty());
}

// Guards against parts that are blamed for broken connections to targets which
// have not crashed, such as those that a target closes while they are idle.
TEST(CrashEvidenceTest, ATargetThatAnswersALaterRequestHasNotCrashed) {
  this->Run(milliseconds(5000));
  for (TargetStartHash target = 1; target <= 4; ++target) {
    this->evidence.OnBroken({kDeadly}, target, this->now);
    this->evidence.OnAnswerBegan(target, this->now);
    CHECK_EQUAL(1u, this->evidence.Crashes(kDeadly));
    this->Run(milliseconds(300));
    this->evidence.OnAnswerBegan(target, this->now);
    CHECK_EQUAL(0u, this->evidence.Crashes(kDeadly));
  }
  this->Run(milliseconds(3000));
  CHECK_TRUE(this->Judge().empty());
}

// Guards against evidence of other gateways that is taken for newer than it is.
TEST(CrashEvidenceTest, ASurvivalAcquitsOfEarlierCrashesOnly) {
  this->evidence.AddAccusation({kShared, 1}, this->now);
  this->evidence.AddAccusation({kShared, 2}, this->now + milliseconds(500));
  CHECK_TRUE(this->evidence.AddSurvival(kShared, this->now));
  CHECK_EQUAL(1u, this->evidence.Crashes(kShared));
  CHECK_FALSE(this->evidence.AddSurvival(kShared, this->now));
  CHECK_FALSE(this->evidence.AddAccusation({kShared, 1}, this->now));
}

// Guards against memory that grows with the number of parts.
TEST(CrashEvidenceTest, KeepsABoundedNumberOfParts) {
  CrashEvidenceOptions options;
  options.max_suspects = 16;
  options.max_known_parts = 16;
  options.max_crashes_per_part = 4;
  CrashEvidence bounded(options);
  for (TargetStartHash target = 1; target <= 6; ++target) {
    bounded.AddAccusation({kDeadly, target}, this->now);
  }
  for (PartHash part = 100; part < 1100; ++part) {
    this->now += milliseconds(1);
    bounded.AddAccusation({part, 1}, this->now);
    bounded.AddSurvival(part + 5000, this->now);
  }
  CHECK_EQUAL(4u, bounded.Crashes(kDeadly));
  size_t accused = 0;
  size_t known = 0;
  for (PartHash part = 100; part < 1100; ++part) {
    accused += bounded.Crashes(part);
    known += bounded.LastSurvival(part + 5000) != TimePoint{} ? 1 : 0;
  }
  CHECK_EQUAL(15u, accused);
  CHECK_TRUE(known <= 16);
  CHECK_TRUE(bounded.LastSurvival(6099) != TimePoint{});
}

}  // namespace
}  // namespace celerypost
