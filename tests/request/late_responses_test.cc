#include "src/request/late_responses.h"

#include <set>
#include <string>
#include <vector>

#include "tests/request/fleet_load.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Model targets of deployment S in docs/hard-load.md.
EngineRates Rates() {
  EngineRates rates;
  rates.slots = 12;
  rates.step = Milliseconds(6.73);
  rates.prompt_tokens_per_ms = 30.6;
  rates.steps_per_pass = 7;
  rates.mean_prompt_tokens = 900;
  rates.mean_answer_tokens = 126;
  return rates;
}

// A load of `factor` times the capacity; of `factor` times `burst` from second
// 7 to 9.
FleetLoadOptions Load(double factor, double burst = 1) {
  FleetLoadOptions options;
  options.rates = Rates();
  options.targets = 17;
  options.gateways = 20;
  options.callers_return = true;
  options.report_period = milliseconds(150);
  const double per_target =
      1000.0 * options.rates.slots /
      SlotTime(options.rates, options.rates.slots).count();
  options.kinds = {
      {.name = "plain",
       .per_second = factor * per_target * static_cast<double>(options.targets),
       .burst = burst,
       .burst_from = milliseconds(7000),
       .burst_until = milliseconds(9000),
       .mean_events = 18}};
  return options;
}

FleetLoadHooks WithLateResponses() {
  FleetLoadHooks hooks;
  hooks.set_up = [](LoadGateway& gateway, size_t) {
    gateway.admission = std::make_unique<GatewayAdmission>(
        *gateway.policy, gateway.sizes, gateway.errors, gateway.ranks,
        &gateway.late_responses);
  };
  return hooks;
}

double RefusedTwice(const FleetLoadResult& result) {
  double twice = 0;
  for (const LoadRequest& request : result.requests) {
    twice += request.returned && request.outcome == LoadOutcome::kRefused;
  }
  return twice / static_cast<double>(result.requests.size());
}

// Checks the shares on time and refused twice against decisions without
// LateResponses.
void CheckAgainstRefusals(const FleetLoadOptions& options) {
  const FleetLoadResult before = PlayFleetLoad(options);
  const FleetLoadResult after = PlayFleetLoad(options, WithLateResponses());
  CHECK_TRUE(RefusedTwice(before) > 0.02);
  CHECK_TRUE(RefusedTwice(after) < RefusedTwice(before) / 4);
  CHECK_TRUE(after.Share(LoadOutcome::kOnTime) >=
             before.Share(LoadOutcome::kOnTime));
  CHECK_TRUE(after.Share(LoadOutcome::kLost) < 0.01);
}

}  // namespace

TEST_GROUP(LateResponsesTest){};

// Guards against callers that return when they were told to and are refused a
// second time, and against late requests that make others late, under slight,
// usual and heavy lasting overload.
TEST(LateResponsesTest, ReturnsFindRoomAtSlightOverload) {
  CheckAgainstRefusals(Load(1.1));
}

TEST(LateResponsesTest, ReturnsFindRoomAtUsualOverload) {
  CheckAgainstRefusals(Load(1.3));
}

TEST(LateResponsesTest, ReturnsFindRoomAtHeavyOverload) {
  CheckAgainstRefusals(Load(2));
}

// The same for an overload that is over before most callers return.
TEST(LateResponsesTest, ReturnsFindRoomAfterABurst) {
  CheckAgainstRefusals(Load(0.8, 2.5));
}

// Guards against a change of decisions where it is not called for: while no
// caller returns, each request has the same outcome as without LateResponses.
TEST(LateResponsesTest, ChangesNothingWhileNoCallerReturns) {
  FleetLoadOptions options = Load(1.3);
  options.callers_return = false;
  options.duration = milliseconds(4000);
  const FleetLoadResult before = PlayFleetLoad(options);
  const FleetLoadResult after = PlayFleetLoad(options, WithLateResponses());
  CHECK_EQUAL(before.requests.size(), after.requests.size());
  for (size_t i = 0; i < before.requests.size(); ++i) {
    CHECK_TRUE(before.requests[i].outcome == after.requests[i].outcome);
    DOUBLES_EQUAL(before.requests[i].first_event_ms,
                  after.requests[i].first_event_ms, 0);
  }
}

// Guards against new callers that are refused in a short overload although a
// target has room for them, and, where only the configured ranks call for late
// admission, against late requests that take room from requests on time. The
// loads differ after the first changed decision, so that shares on time of the
// same rules differ by up to a hundredth.
TEST(LateResponsesTest, NewCallersUseIdleSlotsOnly) {
  FleetLoadHooks hooks = WithLateResponses();
  hooks.prepare = [](size_t, const LoadRequest&, AdmissionRequest& decision) {
    decision.ranks_differ = true;
  };
  constexpr double kNoise = 0.01;
  constexpr uint64_t kSeeds = 4;
  const auto check = [&](FleetLoadOptions options, double more_served) {
    options.callers_return = false;
    double on_time = 0;
    double served = 0;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const FleetLoadResult before = PlayFleetLoad(options);
      const FleetLoadResult after = PlayFleetLoad(options, hooks);
      on_time += after.Share(LoadOutcome::kOnTime) -
                 before.Share(LoadOutcome::kOnTime);
      served += after.Served() - before.Served();
    }
    CHECK_TRUE(on_time / kSeeds > -kNoise);
    CHECK_TRUE(served / kSeeds > more_served);
  };
  check(Load(0.8, 2.5), 0);
  check(Load(1.3), -kNoise);
}

TEST_GROUP(ReturningCallersTest) {
  ReturningCallers callers{{}};
  const ServiceName service{"model"};
  TimePoint now{};

  milliseconds Arrive(int64_t time_left, std::string_view route = "chat") {
    this->now += milliseconds(10);
    return this->callers.OnArrival(this->service, route,
                                   milliseconds(time_left), this->now);
  }
};

// Guards against a returning request that counts as new.
TEST(ReturningCallersTest, KnowsTheAgeOfAReturningRequest) {
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(this->Arrive(6000 - i % 3).count() == 0);
  }
  CHECK_FALSE(this->callers.CallersReturn(this->service, "chat"));
  CHECK_TRUE(this->Arrive(5100).count() == 900);
  CHECK_TRUE(this->callers.CallersReturn(this->service, "chat"));
  CHECK_FALSE(this->callers.CallersReturn(this->service, "other"));
}

// Guards against an age by the few requests that a gateway has seen since it
// started.
TEST(ReturningCallersTest, KnowsNothingAtFirst) {
  this->Arrive(6000);
  CHECK_TRUE(this->Arrive(5000).count() == 0);
}

// Guards against callers with less time that count as returning ones.
TEST(ReturningCallersTest, GivesNoAgeWhereFirstRequestsDiffer) {
  for (int i = 0; i < 60; ++i) {
    CHECK_TRUE(this->Arrive(i % 3 == 0 ? 5000 : 6000).count() == 0 || i < 9);
  }
  CHECK_TRUE(this->Arrive(5000).count() == 0);
  for (int i = 0; i < 60; ++i) {
    this->Arrive(i % 10 == 0 ? 2000 + 50 * i : 6000, "short");
  }
  CHECK_TRUE(this->Arrive(2000, "short").count() == 0);
}

// Guards against memory that grows with the routes of all configurations.
TEST(ReturningCallersTest, KeepsFewRoutes) {
  ReturningCallers few{{.max_routes = 3}};
  for (int i = 0; i < 10; ++i) {
    few.OnArrival(this->service, std::to_string(i), milliseconds(6000),
                  this->now + milliseconds(i));
  }
  CHECK_EQUAL(3u, few.routes());
}

TEST_GROUP(LateAdmissionTest) {
  SplitMixRandom random{1};
  LateAdmission late{{}, random};
  EngineRates rates = Rates();
  TimePoint now = TimePoint(std::chrono::seconds(100));
  LateRequest request{.service = ServiceName("model"),
                      .prompt_tokens = 900,
                      .answer_tokens = 126,
                      .patience = milliseconds(2200),
                      .deadline_left = milliseconds(5000),
                      .returning = true};

  bool Places(uint32_t in_flight, uint32_t late_waiting) {
    PlacementCandidate candidate;
    candidate.slots = this->rates.slots;
    candidate.load.in_flight = in_flight;
    candidate.load.late_waiting = late_waiting;
    return this->late.Place(this->rates, {candidate}, this->request, this->now)
        .has_value();
  }
};

// Guards against targets with ever more late requests, and against new ones
// that take the place of returning ones.
TEST(LateAdmissionTest, BoundsTheLateRequestsOfATarget) {
  CHECK_TRUE(this->Places(14, 2));
  CHECK_FALSE(this->Places(14, 3));
  this->request.returning = false;
  CHECK_FALSE(this->Places(14, 0));
  CHECK_TRUE(this->Places(6, 0));
  CHECK_FALSE(this->Places(6, 1));
}

// Guards against requests that run for nobody: the caller would leave before
// the first event, or the answer would end after the deadline.
TEST(LateAdmissionTest, RefusesWhatComesTooLate) {
  CHECK_FALSE(this->Places(60, 0));
  this->request.deadline_left = milliseconds(900);
  CHECK_FALSE(this->Places(0, 0));
}

// Guards against late requests that wait at a target that may have left.
TEST(LateAdmissionTest, UsesNoTargetThatIsMissingLongerThanOthers) {
  std::vector<PlacementCandidate> candidates(2);
  candidates[0].slots = candidates[1].slots = this->rates.slots;
  candidates[0].unregistered_for = milliseconds(300);
  size_t placed = 0;
  for (int i = 0; i < 100; ++i) {
    const auto placement =
        this->late.Place(this->rates, candidates, this->request, this->now);
    placed += placement ? 1 : 0;
    CHECK_TRUE(!placement || placement->candidate == 1);
  }
  CHECK_TRUE(placed > 0);
}

// Guards against late requests that wait in vain while an overload lasts.
TEST(LateAdmissionTest, StopsWhileLateRequestsDoNotBegin) {
  const TimePoint sent_at = this->now;
  this->late.OnSent(this->request.service, sent_at);
  CHECK_TRUE(this->Places(12, 0));
  this->now += milliseconds(2000);
  CHECK_FALSE(this->Places(12, 0));
  this->late.OnEnded(this->request.service, sent_at, this->request.patience,
                     this->now);
  CHECK_EQUAL(0u, this->late.waiting());
  CHECK_FALSE(this->Places(12, 0));
  this->now += milliseconds(1000);
  CHECK_TRUE(this->Places(12, 0));
}

// Guards against a stop after a caller that left on its own soon.
TEST(LateAdmissionTest, GoesOnAfterAShortWait) {
  this->late.OnSent(this->request.service, this->now);
  this->late.OnEnded(this->request.service, this->now, this->request.patience,
                     this->now + milliseconds(300));
  CHECK_TRUE(this->Places(12, 0));
}

TEST_GROUP(ReturnPromisesTest) {
  SplitMixRandom random{1};
  ReturnPromises promises{{}, random};
  const ServiceName service{"model"};
  TimePoint now = TimePoint(std::chrono::seconds(100));

  void Arrive(int count) {
    for (int i = 0; i < count; ++i) {
      this->now += milliseconds(5);
      this->promises.OnNewCaller(this->service, this->now);
    }
  }
  milliseconds Promise(int64_t until_room) {
    return this->promises.Promise(this->service, milliseconds(until_room),
                                  milliseconds(6000), this->now);
  }
};

// Guards against more returns at one moment than will find room: of 200 new
// callers a second, three in a hundred may return at first.
TEST(ReturnPromisesTest, KeepsReturnsApart) {
  this->Arrive(2000);
  std::set<milliseconds> promised;
  size_t without = 0;
  for (int i = 0; i < 40; ++i) {
    const milliseconds wait = this->Promise(500);
    CHECK_TRUE(wait >= milliseconds(500));
    if (wait > milliseconds(2000)) {
      ++without;
    } else {
      promised.insert(wait);
    }
  }
  // At most one in each sixth of a second from 0.5 s to 2 s.
  CHECK_TRUE(promised.size() >= 4);
  CHECK_TRUE(promised.size() <= 10);
  CHECK_EQUAL(40u, without + promised.size());
  CHECK_EQUAL(promised.size(), this->promises.promises(this->service));
}

// Guards against a promise that the caller cannot use.
TEST(ReturnPromisesTest, NamesALongTimeIfNoReturnIsUseful) {
  this->Arrive(2000);
  CHECK_TRUE(this->Promise(2500) > milliseconds(2000));
  CHECK_EQUAL(0u, this->promises.promises(this->service));
}

// Guards against promises that go on although returns find no room, and against
// none while they do.
TEST(ReturnPromisesTest, LearnsFromReturns) {
  const double first = 0.03;
  this->promises.OnReturn(this->service, /*found_room=*/true);
  CHECK_TRUE(this->promises.LargestShare() > first);
  for (int i = 0; i < 20; ++i) {
    this->promises.OnReturn(this->service, /*found_room=*/false);
  }
  CHECK_TRUE(this->promises.LargestShare() < first / 5);
  for (int i = 0; i < 200; ++i) {
    this->promises.OnReturn(this->service, /*found_room=*/true);
  }
  CHECK_TRUE(this->promises.LargestShare() > 5 * first);
}

}  // namespace celerypost
