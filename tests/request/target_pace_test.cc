#include "src/request/target_pace.h"

#include <cmath>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr TargetStartHash kStart = 7;
const std::string kAddress = "10.0.0.1:80";

TEST_GROUP(TargetPaceTest) {
  TargetPace paces{{}};
  TimePoint now{std::chrono::seconds(1000)};

  double Pace(TargetStartHash start = kStart) {
    return this->paces.PaceOf(kAddress, start, this->now);
  }
  // Measures `ratio` once every 50 ms.
  void Measure(double ratio, int times) {
    for (int i = 0; i < times; ++i) {
      this->now += milliseconds(50);
      this->paces.OnMeasured(kStart, ratio, 1, this->now);
    }
  }
};

}  // namespace

// Guards against changed decisions without evidence, and where targets have
// their usual pace.
TEST(TargetPaceTest, IsOneWithoutNewsAndAtTheUsualPace) {
  DOUBLES_EQUAL(1, this->Pace(), 0);
  this->Measure(1.1, 20);
  DOUBLES_EQUAL(1, this->Pace(), 0);
  CHECK_TRUE(this->paces.Share(this->now).empty());
  this->paces.OnReport(kAddress, 1, this->now);
  DOUBLES_EQUAL(1, this->Pace(), 0);
}

// Guards against a report that is ignored, that outlives its stager, or that
// counts for the next start of the target.
TEST(TargetPaceTest, AReportHoldsForOneStartAndForAShortTime) {
  this->paces.OnReport(kAddress, 2.5, this->now);
  DOUBLES_EQUAL(2.5, this->Pace(), 0);
  this->now += milliseconds(1000);
  DOUBLES_EQUAL(2.5, this->Pace(), 0);
  this->now += milliseconds(600);
  DOUBLES_EQUAL(1, this->Pace(), 0);
  this->paces.OnReport(kAddress, 2.5, this->now);
  DOUBLES_EQUAL(2.5, this->Pace(), 0);
  DOUBLES_EQUAL(1, this->Pace(kStart + 1), 0);
  this->paces.OnReport(kAddress, 3, this->now);
  DOUBLES_EQUAL(3, this->Pace(kStart + 1), 0);
  this->paces.OnReport(kAddress, std::nullopt, this->now);
  DOUBLES_EQUAL(1, this->Pace(kStart + 1), 0);
}

// Guards against paces that keep a target from all requests, or that draw all
// requests to it.
TEST(TargetPaceTest, PacesAreBounded) {
  for (const double pace : {0.0, 1e9, -3.0, 1e300}) {
    this->paces.OnReport(kAddress, pace, this->now);
    CHECK_TRUE(this->Pace() >= 0.5 && this->Pace() <= 8);
  }
  this->paces.OnReport(kAddress, std::nan(""), this->now);
  DOUBLES_EQUAL(1, this->Pace(), 0);
  this->Measure(1e300, 30);
  CHECK_TRUE(this->Pace() <= 8);
  this->Measure(INFINITY, 30);
  CHECK_TRUE(this->Pace() <= 8);
}

// Guards against a slow target that goes unnoticed, and against one that is
// avoided long after it has become fast.
TEST(TargetPaceTest, FollowsMeasurementsWithinAFewHundredMilliseconds) {
  this->Measure(2.5, 8);
  CHECK_TRUE(this->Pace() > 1.7);
  CHECK_EQUAL(1u, this->paces.Share(this->now).size());
  this->Measure(1, 8);
  CHECK_TRUE(this->Pace() < 1.5);
  this->Measure(2.5, 8);
  this->now += milliseconds(1000);
  DOUBLES_EQUAL(1, this->Pace(), 0);
  CHECK_TRUE(this->paces.Share(this->now).empty());
}

// Guards against a peer that alone, by a wrong clock or wrong measurements,
// keeps all gateways from a target; several peers are believed.
TEST(TargetPaceTest, OnePeerIsNotBelievedAndSeveralAre) {
  this->paces.OnShared(InstanceId{1}, {{kStart, 6, milliseconds(-5000)}},
                       this->now);
  DOUBLES_EQUAL(1, this->Pace(), 0);
  for (uint64_t peer = 2; peer < 5; ++peer) {
    this->paces.OnShared(InstanceId{peer}, {{kStart, 2.4, milliseconds(50)}},
                         this->now);
  }
  DOUBLES_EQUAL(2.4, this->Pace(), 0.01);
  DOUBLES_EQUAL(1, this->Pace(kStart + 1), 0);
  this->now += milliseconds(1000);
  DOUBLES_EQUAL(1, this->Pace(), 0);
  this->paces.OnShared(InstanceId{2}, {}, this->now);
  DOUBLES_EQUAL(1, this->Pace(), 0);
}

// Guards against a beat that grows with the number of slow targets.
TEST(TargetPaceTest, SharesABoundedNumber) {
  for (TargetStartHash start = 1; start < 1000; ++start) {
    for (int i = 0; i < 5; ++i) {
      this->paces.OnMeasured(start, 3, 1, this->now);
    }
  }
  CHECK_EQUAL(TargetPaceOptions{}.max_shared,
              this->paces.Share(this->now).size());
  this->now += milliseconds(1000);
  this->paces.Forget(this->now);
  CHECK_TRUE(this->paces.Share(this->now).empty());
}

}  // namespace celerypost
