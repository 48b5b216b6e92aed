#include "src/request/admission.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(AdmissionTest) {
  TimePoint now{};
  ColdStart cold{{.cold_limit = 2, .full_limit = 2}};
  FairQueue queue{{.max_requests = 3}};
  Admission admission{{.initial_service_time = milliseconds(100)}, cold, queue};
  uint64_t next_id = 0;

  AdmissionOutcome Offer(int deadline_ms = 10000, const char* workspace = "a") {
    return this->admission.Offer(
        {++this->next_id, WorkspaceName(workspace), Priority::kNormal,
         this->now + milliseconds(deadline_ms)},
        this->now);
  }

  void Expect(AdmissionDecision expected, const AdmissionOutcome& outcome) {
    LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(outcome.decision));
  }
};

// Guards against more load on a target than its limit (P2).
TEST(AdmissionTest, RunsUpToTheLimitAndQueuesTheRest) {
  Expect(AdmissionDecision::kRun, Offer());
  Expect(AdmissionDecision::kRun, Offer());
  Expect(AdmissionDecision::kQueued, Offer());
  LONGS_EQUAL(2, admission.in_flight());
  const auto actions = admission.OnFinished(1, true, now);
  LONGS_EQUAL(1, actions.run.size());
  LONGS_EQUAL(3, actions.run[0]);
  LONGS_EQUAL(2, admission.in_flight());
}

// Guards against a target that becomes cold and still gets requests up to the
// old limit, and against requests of the old epoch that count as warm-up
// requests of the new one.
TEST(AdmissionTest, HoldsBackWhileOldRequestsExceedTheColdLimit) {
  ColdStart start{
      {.cold_limit = 1, .full_limit = 2, .warm_up = milliseconds(0)}};
  start.OnFinished(true, now);
  Admission agent({}, start, queue);
  const auto offer = [&](uint64_t id) {
    return agent.Offer({id, WorkspaceName("a"), {}, now + milliseconds(10000)},
                       now);
  };
  offer(1);
  offer(2);
  start.OnSentinelClosed(now);
  Expect(AdmissionDecision::kQueued, offer(3));
  CHECK_TRUE(agent.OnFinished(1, true, now).run.empty());
  LONGS_EQUAL(1, agent.OnFinished(2, true, now).run.size());
  LONGS_EQUAL(1, start.Limit(now));
}

// Guards against requests that cannot be answered in time and take the queue
// places of requests that can.
TEST(AdmissionTest, ShedsWhatWouldMissItsDeadline) {
  Offer();
  Offer();
  const auto refused = Offer(120);
  Expect(AdmissionDecision::kRefused, refused);
  CHECK(refused.code == ErrorCode::kOverloaded);
  Expect(AdmissionDecision::kRefused, Offer(0));
  Expect(AdmissionDecision::kQueued, Offer(200));
  now += milliseconds(200);
  const auto actions = admission.OnTick(now);
  LONGS_EQUAL(1, actions.refused.size());
  LONGS_EQUAL(5, actions.refused[0]);
  CHECK_TRUE(actions.run.empty());
}

// Guards against a queue whose requests start so late that the longer ones miss
// their deadline.
TEST(AdmissionTest, AllowsForServiceTimesThatVary) {
  for (int round = 0; round < 200; ++round) {
    Offer();
    now += milliseconds(round % 2 == 0 ? 50 : 150);
    admission.OnFinished(next_id, true, now);
  }
  CHECK(admission.service_time() > milliseconds(80));
  CHECK(admission.service_time() < milliseconds(120));
  Offer();
  Offer();
  Expect(AdmissionDecision::kRefused, Offer(200));
  Expect(AdmissionDecision::kQueued, Offer(400));
}

// Guards against refusals by a wrong service time estimate while the target is
// idle: as no request would run, the estimate would never be corrected.
TEST(AdmissionTest, IdleTargetRunsAnyDeadline) {
  Expect(AdmissionDecision::kRun, Offer(1));
}

// Guards against an unbounded queue and against a caller whose displaced
// request gets no response.
TEST(AdmissionTest, ReportsDisplacedRequests) {
  for (int count = 0; count < 5; ++count) {
    Offer();
  }
  Expect(AdmissionDecision::kRefused, Offer());
  const auto outcome = Offer(10000, "b");
  Expect(AdmissionDecision::kQueued, outcome);
  LONGS_EQUAL(5, outcome.displaced.value());
}

// Guards against a planned stop that interrupts accepted requests (P8) or
// accepts new ones (P7).
TEST(AdmissionTest, StopsNewWorkOnly) {
  Offer();
  Offer();
  Offer();
  admission.StopNewWork("the agent is leaving");
  const auto refused = Offer();
  Expect(AdmissionDecision::kRefused, refused);
  CHECK(refused.message == "the agent is leaving");
  LONGS_EQUAL(1, admission.OnFinished(1, true, now).run.size());
  admission.ResumeNewWork();
  Expect(AdmissionDecision::kQueued, Offer());
}

// Guards against a cancelled request that runs all the same.
TEST(AdmissionTest, CancelsOnlyWaitingRequests) {
  Offer();
  Offer();
  Offer();
  CHECK_FALSE(admission.Cancel(1));
  CHECK_TRUE(admission.Cancel(3));
  CHECK_TRUE(admission.OnFinished(1, true, now).run.empty());
}

}  // namespace
}  // namespace celerypost
