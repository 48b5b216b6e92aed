#include "src/request/placement.h"

#include <cstdio>
#include <set>
#include <string>

#include "tests/request/model_load.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(PlacementTest) {
  SplitMixRandom random{1};
  EngineRates rates = ModelRates();
  PlacementRequest request;

  void setup() override {
    this->request.prompt_tokens = 900;
    this->request.answer_tokens = 100;
    this->request.on_time_left = milliseconds(450);
    this->request.deadline_left = milliseconds(6000);
  }
  PlacementCandidate Candidate(uint32_t in_flight, double waiting) const {
    PlacementCandidate candidate;
    candidate.slots = 16;
    candidate.same_zone = candidate.same_region = true;
    candidate.load = {in_flight, waiting, 1};
    return candidate;
  }
};

// Guards against choosing by free slots: a target with few requests whose
// prompts all wait is slower than one with more that run.
TEST(PlacementTest, PrefersTheEarliestFirstEvent) {
  const auto policy = MakePredictivePolicy({}, this->random);
  const auto placement = policy->Place(
      &this->rates, {this->Candidate(4, 4000), this->Candidate(8, 0)},
      this->request);
  CHECK_EQUAL(1u, *placement.candidate);
}

// Guards against taking a request that cannot be on time anywhere, which makes
// others late as well, and against a refusal without a time to return.
TEST(PlacementTest, RefusesAtOnceWhatWouldBeLate) {
  const auto policy = MakePredictivePolicy({}, this->random);
  const auto placement = policy->Place(
      &this->rates, {this->Candidate(20, 6000), this->Candidate(22, 9000)},
      this->request);
  CHECK_FALSE(placement.candidate.has_value());
  CHECK_TRUE(placement.retry_after >= milliseconds(300));
  CHECK_TRUE(placement.retry_after <= milliseconds(1800));
}

// Guards against callers that were refused together and return together.
TEST(PlacementTest, SpreadsTheReturnOfRefusedCallers) {
  const auto policy = MakePredictivePolicy({}, this->random);
  std::set<int64_t> times;
  for (int i = 0; i < 20; ++i) {
    times.insert(
        policy->Place(&this->rates, {this->Candidate(22, 9000)}, this->request)
            .retry_after.count());
  }
  CHECK_TRUE(times.size() > 5);
}

// Guards against a long answer that keeps a target from loading new weights.
TEST(PlacementTest, LongAnswersAvoidTargetsThatAreAboutToLoad) {
  const auto policy = MakePredictivePolicy({}, this->random);
  auto leaving = this->Candidate(2, 0);
  leaving.leaves_in = milliseconds(500);
  const auto elsewhere = policy->Place(
      &this->rates, {leaving, this->Candidate(8, 0)}, this->request);
  CHECK_EQUAL(1u, *elsewhere.candidate);
  this->request.answer_tokens = 5;
  this->request.prompt_tokens = 50;
  const auto shortly = policy->Place(
      &this->rates, {leaving, this->Candidate(8, 0)}, this->request);
  CHECK_EQUAL(0u, *shortly.candidate);
}

// Guards against a failing target that attracts requests because it answers at
// once.
TEST(PlacementTest, FailingTargetsAreTakenLast) {
  const auto policy = MakePredictivePolicy({}, this->random);
  auto failing = this->Candidate(0, 0);
  failing.failure_share = 0.4;
  const auto placement =
      policy->Place(nullptr, {failing, this->Candidate(5, 0)}, this->request);
  CHECK_EQUAL(1u, *placement.candidate);
}

// Guards against no candidate at all.
TEST(PlacementTest, NoCandidateIsARefusal) {
  const auto policy = MakePredictivePolicy({}, this->random);
  CHECK_FALSE(policy->Place(&this->rates, {}, this->request).candidate);
  CHECK_FALSE(policy->Place(nullptr, {}, this->request).candidate);
}

// Plays the heaviest day's load, 1.35 times what 14 targets can serve. Guards
// the gain of admission by prediction: callers that are taken are served on
// time, where baselines that admit by places make nearly all late.
TEST(PlacementTest, KeepsCallersOnTimeUnderOverload) {
  for (const uint64_t seed : {1u, 2u, 3u}) {
    ModelLoadOptions load;
    load.seed = seed;
    const auto predictive = MakePredictivePolicy({}, this->random);
    const auto least = MakeLeastInFlightPolicy();
    const auto two = MakeTwoChoicesPolicy(this->random);
    const ModelLoadResult ours = PlayModelLoad(*predictive, load);
    const ModelLoadResult by_places = PlayModelLoad(*least, load);
    const ModelLoadResult by_choice = PlayModelLoad(*two, load);
    std::printf("seed %u on time: predictive %.3f, least %.3f, two %.3f\n",
                static_cast<unsigned>(seed), ours.OnTimeShare(),
                by_places.OnTimeShare(), by_choice.OnTimeShare());
    // Of the requests that are taken, nine in ten are on time.
    CHECK_TRUE(ours.late * 9 <= ours.on_time);
    CHECK_TRUE(ours.OnTimeShare() > by_places.OnTimeShare());
    CHECK_TRUE(ours.OnTimeShare() > by_choice.OnTimeShare());
  }
}

// Guards against refusals while there is room: at two thirds of the capacity
// nobody is refused and nearly all are on time.
TEST(PlacementTest, RefusesNobodyWhileThereIsRoom) {
  ModelLoadOptions load;
  load.requests_per_second = 80;
  const auto policy = MakePredictivePolicy({}, this->random);
  const ModelLoadResult result = PlayModelLoad(*policy, load);
  CHECK_TRUE(result.refused * 100 <= result.asked);
  CHECK_TRUE(result.OnTimeShare() > 0.95);
}

}  // namespace
}  // namespace celerypost
