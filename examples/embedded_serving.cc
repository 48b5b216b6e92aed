// Embeds the serving components in a program with its own clock and targets:
// three targets of one service start cold, 200 requests arrive, and each target
// runs no more requests at once than its cold-start limit allows.
//
// The components do no I/O. The program passes them events with their times and
// carries out the decisions that they return.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "celerypost/serving.h"

namespace {

using celerypost::AdmissionDecision;
using celerypost::InstanceId;
using celerypost::TimePoint;
using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kServiceTime{50};
constexpr uint64_t kRequestCount = 200;

// A target and the components of the agent in front of it.
class EmbeddedTarget {
 public:
  explicit EmbeddedTarget(InstanceId instance, TimePoint now)
      : cold_start({.cold_limit = 2, .full_limit = 16}),
        queue({}),
        admission({}, this->cold_start, this->queue) {
    this->cold_start.OnTargetStarted(instance, now);
  }

  // Returns false when the request was refused. A refused request has not run.
  bool Offer(uint64_t id, TimePoint now) {
    celerypost::AdmissionRequest request;
    request.id = id;
    request.workspace = celerypost::WorkspaceName("kilele");
    request.deadline = now + std::chrono::seconds(5);
    const auto outcome = this->admission.Offer(std::move(request), now);
    if (outcome.decision == AdmissionDecision::kRun) {
      this->Start(id, now);
    }
    return outcome.decision != AdmissionDecision::kRefused;
  }

  // Finishes the requests that are due and starts queued ones. Returns the
  // number of requests that finished.
  uint64_t Advance(TimePoint now) {
    uint64_t ended = 0;
    while (!this->end_times.empty() && this->end_times.begin()->first <= now) {
      const uint64_t id = this->end_times.begin()->second;
      this->end_times.erase(this->end_times.begin());
      ++ended;
      this->cold_start.OnFirstToken(kServiceTime, now);
      for (const uint64_t next :
           this->admission.OnFinished(id, /*ok=*/true, now).run) {
        this->Start(next, now);
      }
    }
    for (const uint64_t next : this->admission.OnTick(now).run) {
      this->Start(next, now);
    }
    return ended;
  }

  celerypost::LoadReport Report(TimePoint now) const {
    return {static_cast<uint32_t>(this->end_times.size()),
            static_cast<uint32_t>(this->admission.queued()),
            this->cold_start.Limit(now),
            this->cold_start.state() == celerypost::ColdState::kCold};
  }

  size_t running() const { return this->end_times.size(); }

 private:
  void Start(uint64_t id, TimePoint now) {
    this->end_times.emplace(now + kServiceTime, id);
  }

  celerypost::ColdStart cold_start;
  celerypost::FairQueue queue;
  celerypost::Admission admission;
  std::multimap<TimePoint, uint64_t> end_times;
};

}  // namespace

int main() {
  TimePoint now{};
  celerypost::SplitMixRandom random(1);
  celerypost::Router router(
      {celerypost::ZoneName("dar-a"), celerypost::RegionName("dar"),
       celerypost::AffinityOptions{}},
      random);
  std::map<InstanceId, std::unique_ptr<EmbeddedTarget>> targets;
  for (uint64_t i = 1; i <= 3; ++i) {
    const InstanceId instance{i};
    targets[instance] = std::make_unique<EmbeddedTarget>(instance, now);
    router.UpdateTarget({instance, celerypost::ZoneName("dar-a"),
                         celerypost::RegionName("dar"), true, 2});
  }

  uint64_t ended = 0;
  uint64_t refused = 0;
  size_t max_running_while_cold = 0;
  for (uint64_t id = 1; ended + refused < kRequestCount; now += kStep) {
    for (const uint64_t last = std::min(id + 4, kRequestCount + 1); id < last;
         ++id) {
      const auto picked = router.Pick({}, now);
      if (!picked || !targets.at(*picked)->Offer(id, now)) {
        ++refused;
        continue;
      }
      router.OnSent(*picked);
    }
    for (auto& [instance, target] : targets) {
      if (target->Report(now).cold) {
        max_running_while_cold =
            std::max(max_running_while_cold, target->running());
      }
      const uint64_t count = target->Advance(now);
      ended += count;
      for (uint64_t i = 0; i < count; ++i) {
        router.OnFinished(instance, target->Report(now), now);
      }
    }
  }
  std::printf(
      "%llu requests ended, %llu refused, at most %zu at once at a cold "
      "target\n",
      static_cast<unsigned long long>(ended),
      static_cast<unsigned long long>(refused), max_running_while_cold);
  return ended + refused == kRequestCount && ended > 0 &&
                 max_running_while_cold <= 2
             ? 0
             : 1;
}
