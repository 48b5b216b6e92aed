#include "src/request/target_tracker.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(TargetTrackerTest) {
  TargetTracker book{{}};
  TimePoint now{std::chrono::seconds(1000)};
};

// Guards against a prompt that counts as waiting after its first event, or
// twice.
TEST(TargetTrackerTest, CountsWaitingTokensUntilTheFirstEvent) {
  this->book.OnSent("a", 100, this->now);
  this->book.OnSent("a", 50, this->now);
  this->book.OnFirstEvent("a", 100);
  DOUBLES_EQUAL(50, this->book.LoadOf("a", this->now).waiting_tokens, 0.01);
  this->book.OnEnd("a", 100, true, AttemptOutcome::kAnswered, this->now);
  this->book.OnEnd("a", 50, false, AttemptOutcome::kAbandoned, this->now);
  CHECK_EQUAL(0u, this->book.LoadOf("a", this->now).in_flight);
  DOUBLES_EQUAL(0, this->book.LoadOf("a", this->now).waiting_tokens, 0.01);
}

// Guards against counting the last report of a gateway that no longer reports.
TEST(TargetTrackerTest, ForgetsReportsOfSilentGateways) {
  this->book.OnReport(InstanceId{7}, {{TargetTracker::HashOf("a"), 3, 900}},
                      milliseconds(100), this->now);
  CHECK_EQUAL(3u, this->book.LoadOf("a", this->now).in_flight);
  this->now += milliseconds(601);
  CHECK_EQUAL(0u, this->book.LoadOf("a", this->now).in_flight);
}

// Guards against targets that look idle although gateways of other regions use
// them, and against loads that a region reports back to the region that they
// came from.
TEST(TargetTrackerTest, AddsTheLoadsOfOtherRegionsButDoesNotReportThem) {
  const uint64_t hash = TargetTracker::HashOf("a");
  this->book.OnSent("a", 100, this->now);
  this->book.OnReport(InstanceId{7}, {{hash, 3, 900}}, milliseconds(100),
                      this->now);
  this->book.OnRegionReport(RegionName("south"), {{hash, 5, 50}},
                            milliseconds(2000), this->now);
  CHECK_EQUAL(9u, this->book.LoadOf("a", this->now).in_flight);
  DOUBLES_EQUAL(1050, this->book.LoadOf("a", this->now).waiting_tokens, 0.01);
  const auto combined = this->book.CombinedLoads(this->now);
  CHECK_EQUAL(1u, combined.size());
  CHECK_EQUAL(4u, combined.front().in_flight);
  DOUBLES_EQUAL(1000, combined.front().waiting_tokens, 0.01);
  this->now += milliseconds(2001);
  CHECK_EQUAL(1u, this->book.LoadOf("a", this->now).in_flight);
}

// Guards against sending a cold target more requests in a second than this
// gateway's share of the target's bound.
TEST(TargetTrackerTest, CountsWhatWasSentInTheLastSecond) {
  for (int i = 0; i < 5; ++i) {
    this->book.OnSent("a", 1, this->now);
    this->now += milliseconds(300);
  }
  CHECK_EQUAL(3u, this->book.SentInLastSecond("a", this->now));
}

// Guards against repeated requests to a target whose address another target has
// taken over. After a power loss, every registration is wrong for some seconds;
// in fruitdesk-oman (fresh-20f0), this caused 1,288 refusals in three seconds.
TEST(TargetTrackerTest, AvoidsATargetThatIsGoneUntilItsRegistrationLapses) {
  this->book.OnSent("a", 1, this->now);
  this->book.OnEnd("a", 1, false, AttemptOutcome::kReplaced, this->now);
  CHECK_TRUE(this->book.Avoided("a", this->now + milliseconds(3900)));
  CHECK_FALSE(this->book.Avoided("a", this->now + milliseconds(4100)));
}

// Guards against a silent target that gets further requests, or that looks
// idle, while its request is kept.
TEST(TargetTrackerTest, AvoidsASilentTargetWhileItHoldsItsRequest) {
  this->book.OnSent("a", 7, this->now);
  this->book.OnSilent("a", this->now);
  CHECK_TRUE(this->book.Avoided("a", this->now));
  CHECK_TRUE(this->book.FailureShare("a") > 0);
  CHECK_EQUAL(1u, this->book.LoadOf("a", this->now).in_flight);
  this->book.OnEnd("a", 7, false, AttemptOutcome::kAbandoned, this->now);
  CHECK_EQUAL(0u, this->book.LoadOf("a", this->now).in_flight);
}

// Guards against an attempt that has ended at its target and holds room there
// until its outcome is known, and against an outcome that is lost.
TEST(TargetTrackerTest, AReleasedAttemptHoldsNoRoomAndHasAnOutcome) {
  this->book.OnSent("a", 7, this->now);
  this->book.OnReleased("a", 7, /*had_event=*/false);
  CHECK_EQUAL(0u, this->book.LoadOf("a", this->now).in_flight);
  DOUBLES_EQUAL(0, this->book.LoadOf("a", this->now).waiting_tokens, 0.001);
  CHECK_FALSE(this->book.Avoided("a", this->now));
  this->book.OnOutcome("a", AttemptOutcome::kBroken, this->now);
  CHECK_TRUE(this->book.Avoided("a", this->now));
  CHECK_TRUE(this->book.FailureShare("a") > 0);
}

// Guards against sending all requests to a target that breaks every attempt at
// once and therefore looks the least loaded.
TEST(TargetTrackerTest, AvoidsABreakingTargetLongerEachTime) {
  milliseconds pause{0};
  for (int i = 0; i < 3; ++i) {
    this->book.OnSent("a", 1, this->now);
    this->book.OnEnd("a", 1, false, AttemptOutcome::kBroken, this->now);
    milliseconds avoided{0};
    while (this->book.Avoided("a", this->now + avoided)) {
      avoided += milliseconds(10);
    }
    CHECK_TRUE(avoided > pause);
    pause = avoided;
  }
  this->now += pause;
  this->book.OnSent("a", 1, this->now);
  this->book.OnEnd("a", 1, true, AttemptOutcome::kAnswered, this->now);
  CHECK_FALSE(this->book.Avoided("a", this->now));
}

}  // namespace
// Guards against late requests, which wait for all others, that make a target
// look busy to requests on time.
TEST(TargetTrackerTest, CountsLateRequestsThatWaitSeparately) {
  this->book.OnSent("a", 100, this->now);
  this->book.OnSent("a", 70, this->now, /*late=*/true);
  TargetTracker peer{{}};
  peer.OnReport(InstanceId{1}, this->book.OwnLoads(),
                std::chrono::milliseconds(100), this->now);
  for (const TargetTracker* const tracker : {&this->book, &peer}) {
    const EngineLoad load = tracker->LoadOf("a", this->now);
    CHECK_EQUAL(1u, load.in_flight);
    CHECK_EQUAL(1u, load.late_waiting);
    DOUBLES_EQUAL(100, load.waiting_tokens, 0);
  }
  this->book.OnFirstEvent("a", 70, /*late=*/true);
  CHECK_EQUAL(2u, this->book.LoadOf("a", this->now).in_flight);
  CHECK_EQUAL(0u, this->book.LoadOf("a", this->now).late_waiting);
  this->book.OnEnd("a", 70, /*had_event=*/true, AttemptOutcome::kAnswered,
                   this->now, /*late=*/true);
  CHECK_EQUAL(1u, this->book.LoadOf("a", this->now).in_flight);
}

}  // namespace celerypost
