// Distribution of one set under virtual time. The counters hold the results:
// time until all replicas have the set divided by the max-flow bound, copies
// read from the origin, and copies sent into the busiest remote region. The
// wall time of the benchmark itself is only the cost of the simulation.
#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include <benchmark/benchmark.h>

#include "tests/process/weight_swarm.h"

namespace celerypost {
namespace {

constexpr size_t kChunks = 128;
constexpr size_t kChunkSize = 16384;

struct Case {
  std::vector<uint32_t> regions;
  bool faults = false;
  std::function<std::unique_ptr<FetchStrategy>()> strategy;
  // A VM's rate divided by that of the link between two regions.
  double region_divisor = 1;
};

void Distribute(benchmark::State& state, const Case& scenario) {
  for (auto iteration : state) {
    SwarmSetup setup;
    setup.regions = scenario.regions;
    // The origin's link has twice the rate of a VM's: four copies in the time
    // that a VM's link takes for two.
    setup.vm_rate = kChunks * kChunkSize / 20.0;
    setup.origin_rate = 2 * setup.vm_rate;
    setup.region_rate = setup.vm_rate / scenario.region_divisor;
    setup.neighbours = 24;
    setup.store_bytes = 16 * kChunkSize;
    setup.corrupt = scenario.faults ? 0.01 : 0;
    setup.strategy = scenario.strategy;
    Swarm swarm(setup);
    const FakeSet set =
        FakeSet::Make("v1", std::vector<uint32_t>(kChunks, 1), kChunkSize);
    // Agents know each other before a roll-out begins.
    swarm.timeline.RunFor(std::chrono::seconds(2));
    const TimePoint start = swarm.timeline.Now();
    swarm.SetGoal(set);
    if (scenario.faults) {
      auto victims = swarm.Live();
      std::shuffle(victims.begin(), victims.end(), swarm.random);
      for (size_t i = 0; i < victims.size() / 10; ++i) {
        swarm.timeline.After(
            milliseconds(2000 + swarm.random() % 15000),
            [&swarm, id = victims[i]->instance] { swarm.Kill(id); });
      }
    }
    const bool finished = swarm.Run(std::chrono::seconds(4000));
    const double size = static_cast<double>(set.set.TotalBytes());
    const double seconds =
        std::chrono::duration<double>(swarm.timeline.Now() - start).count();
    uint64_t most = 0;
    for (size_t to = 1; to < setup.regions.size(); ++to) {
      uint64_t into = 0;
      for (const auto& [key, bytes] : swarm.region_bytes) {
        into += key % 16 == to ? bytes : 0;
      }
      most = std::max(most, into);
    }
    state.counters["finished"] = finished ? 1 : 0;
    state.counters["seconds"] = seconds;
    state.counters["over_bound"] =
        seconds / swarm.LowerBoundSeconds(set.set.TotalBytes());
    state.counters["origin_copies"] = swarm.origin_bytes / size;
    state.counters["region_copies"] = most / size;
  }
}

std::unique_ptr<FetchStrategy> Swarming() {
  return MakeSwarmStrategy({});
}
// Every region imports all chunks from the origin's region.
std::unique_ptr<FetchStrategy> Direct() {
  return MakeSwarmStrategy({.exchange_between_regions = false});
}
std::unique_ptr<FetchStrategy> Tree() {
  return MakeTreeStrategy(2);
}

#define CELERYPOST_SWARM_BENCH(name, ...)                \
  BENCHMARK_CAPTURE(Distribute, name, Case{__VA_ARGS__}) \
      ->Iterations(1)                                    \
      ->Unit(benchmark::kMillisecond)

CELERYPOST_SWARM_BENCH(swarm_14, {14}, false, Swarming);
CELERYPOST_SWARM_BENCH(swarm_310, {310}, false, Swarming);
CELERYPOST_SWARM_BENCH(swarm_14_regions, {5, 5, 4}, false, Swarming);
CELERYPOST_SWARM_BENCH(swarm_14_half_links, {5, 5, 4}, false, Swarming, 2);
CELERYPOST_SWARM_BENCH(swarm_14_quarter_links, {5, 5, 4}, false, Swarming, 4);
CELERYPOST_SWARM_BENCH(swarm_14_no_exchange, {5, 5, 4}, false, Direct, 4);
CELERYPOST_SWARM_BENCH(swarm_80_two_regions, {40, 40}, false, Swarming);
CELERYPOST_SWARM_BENCH(swarm_310_two_regions, {155, 155}, false, Swarming);
CELERYPOST_SWARM_BENCH(swarm_14_faults, {14}, true, Swarming);
CELERYPOST_SWARM_BENCH(swarm_310_faults, {310}, true, Swarming);
CELERYPOST_SWARM_BENCH(origin_14, {14}, false, MakeOriginStrategy);
CELERYPOST_SWARM_BENCH(origin_310, {310}, false, MakeOriginStrategy);
CELERYPOST_SWARM_BENCH(tree_14, {14}, false, Tree);
CELERYPOST_SWARM_BENCH(tree_310, {310}, false, Tree);
CELERYPOST_SWARM_BENCH(random_14, {14}, false, MakeRandomStrategy);
CELERYPOST_SWARM_BENCH(random_310, {310}, false, MakeRandomStrategy);

}  // namespace
}  // namespace celerypost
