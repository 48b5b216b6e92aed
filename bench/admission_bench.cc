#include "src/request/admission.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace celerypost {
namespace {

// One request offered and one finished at a target with a full queue. Argument:
// number of workspaces with queued requests.
void BmAdmissionUnderLoad(benchmark::State& state) {
  ColdStart cold({.cold_limit = 32, .full_limit = 32});
  FairQueue queue({});
  Admission admission({.shed_early = false}, cold, queue);
  std::vector<WorkspaceName> workspaces;
  for (int64_t index = 0; index < state.range(0); ++index) {
    workspaces.emplace_back("workspace-" + std::to_string(index));
  }
  TimePoint now{};
  uint64_t id = 0;
  std::vector<uint64_t> running;
  const auto offer = [&] {
    ++id;
    const auto outcome =
        admission.Offer({id, workspaces[id % workspaces.size()],
                         Priority::kNormal, now + std::chrono::hours(1)},
                        now);
    if (outcome.decision == AdmissionDecision::kRun) {
      running.push_back(id);
    }
  };
  for (int count = 0; count < 300; ++count) {
    offer();
  }
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    offer();
    const uint64_t finished = running.back();
    running.pop_back();
    const auto actions = admission.OnFinished(finished, true, now);
    running.insert(running.end(), actions.run.begin(), actions.run.end());
  }
}
BENCHMARK(BmAdmissionUnderLoad)->Arg(1)->Arg(10)->Arg(100);

}  // namespace
}  // namespace celerypost
