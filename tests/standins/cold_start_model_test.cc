#include "tests/standins/cold_start_model.h"

#include "celerypost/random.h"
#include "src/request/admission.h"
#include "tests/support/virtual_time.h"

#include "CppUTest/TestHarness.h"

namespace celerypost::standins {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kCold = 2;
constexpr uint32_t kFull = 32;
constexpr milliseconds kWarmUp{1000};
constexpr milliseconds kPrefill{30};
constexpr int kColdFactor = 6;
constexpr milliseconds kTokens{80};

// An agent's admission in front of a target that turns cold without a sign.
struct ColdTarget {
  explicit ColdTarget(uint64_t seed)
      : random(seed), max_gap_ms(20 * (1 + seed % 4)) {
    this->model.Configure(
        {{"cold", kCold}, {"full", kFull}, {"warm_up_ms", kWarmUp.count()}});
    this->model.Restart(this->NowMs());
    this->cold_start.OnTargetStarted({1}, this->time.Now());
    this->Arrive();
    this->Tick();
  }

  int64_t NowMs() const {
    return std::chrono::duration_cast<milliseconds>(
               this->time.Now().time_since_epoch())
        .count();
  }

  int64_t OverBound() const {
    nlohmann::json figures;
    this->model.AddFigures(figures, this->NowMs());
    return figures["over_bound"].get<int64_t>();
  }

  void Arrive() {
    const uint64_t id = this->next_id++;
    const auto outcome = this->admission.Offer(
        {.id = id,
         .workspace = WorkspaceName("w"),
         .deadline = this->time.Now() + milliseconds(10000)},
        this->time.Now());
    if (outcome.decision == AdmissionDecision::kRun) {
      this->Dispatch();
    }
    this->time.At(
        this->time.Now() + milliseconds(this->random.Below(this->max_gap_ms)),
        [this] { this->Arrive(); });
  }

  void Tick() {
    this->Apply(this->admission.OnTick(this->time.Now()));
    this->time.At(this->time.Now() + milliseconds(20),
                  [this] { this->Tick(); });
  }

  void Apply(const AdmissionActions& actions) {
    for (size_t run = 0; run < actions.run.size(); ++run) {
      this->Dispatch(actions.run[run]);
    }
  }

  void Dispatch() { this->Dispatch(this->next_id - 1); }

  void Dispatch(uint64_t id) {
    this->model.OnArrival(++this->in_flight, this->NowMs());
    const bool cold = this->model.IsCold(this->NowMs());
    const milliseconds first_token = kPrefill * (cold ? kColdFactor : 1);
    const uint64_t epoch = this->cold_start.epoch();
    this->time.At(
        this->time.Now() + first_token, [this, cold, first_token, epoch] {
          if (cold) {
            this->model.OnSlowAnswer(this->NowMs());
          }
          if (epoch == this->cold_start.epoch()) {
            this->cold_start.OnFirstToken(first_token, this->time.Now());
          }
        });
    this->time.At(this->time.Now() + first_token + kTokens, [this, id] {
      --this->in_flight;
      this->Apply(this->admission.OnFinished(id, true, this->time.Now()));
    });
  }

  VirtualTime time;
  SplitMixRandom random;
  // Requests arrive within this time of the one before.
  const uint64_t max_gap_ms;
  ColdStartModel model;
  ColdStart cold_start{
      {.cold_limit = kCold, .full_limit = kFull, .warm_up = kWarmUp}};
  FairQueue queue{{}};
  Admission admission{{}, cold_start, queue};
  uint64_t next_id = 1;
  int64_t in_flight = 0;
};

TEST_GROUP(ColdStartModelTest){};

// Guards against load over the bound of a target that turns cold without a
// restart while its agent knows few of its answers (issue 20, P2).
TEST(ColdStartModelTest, SilentColdStartsAreNoticedAtAnyTime) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    ColdTarget target(seed);
    target.time.RunFor(milliseconds(1500 + 10 * seed));
    target.model.TurnColdSilently(target.NowMs());
    target.time.RunFor(milliseconds(5000));
    LONGS_EQUAL(0, target.OverBound());
  }
}

}  // namespace
}  // namespace celerypost::standins
