#include "src/request/router.h"

#include <benchmark/benchmark.h>

#include <string>

namespace celerypost {
namespace {

// One Pick, OnSent and OnFinished with targets in five zones of two regions.
// Argument: number of targets.
void BmRouterDecision(benchmark::State& state) {
  SplitMixRandom random(1);
  Router router({.zone = ZoneName("z0"), .region = RegionName("r0")}, random);
  const auto targets = static_cast<uint64_t>(state.range(0));
  for (uint64_t index = 0; index < targets; ++index) {
    const uint64_t zone = index % 5;
    router.UpdateTarget({{index + 1},
                         ZoneName("z" + std::to_string(zone)),
                         RegionName(zone < 3 ? "r0" : "r1"),
                         true,
                         32});
  }
  TimePoint now(std::chrono::seconds(1));
  for (auto _ : state) {
    now += std::chrono::microseconds(1);
    const auto picked =
        router.Pick({.prefix_hash = random.Next() % 1000 + 1}, now);
    router.OnSent(*picked);
    router.OnFinished(*picked, {.in_flight = 8, .limit = 32}, now);
  }
}
BENCHMARK(BmRouterDecision)->Arg(14)->Arg(310)->Arg(860);

// A target that stops and resumes accepting work, which rebuilds its part of
// the prefix table. Argument: number of targets.
void BmRouterTargetChange(benchmark::State& state) {
  SplitMixRandom random(1);
  Router router({.zone = ZoneName("z"), .region = RegionName("r")}, random);
  TargetState target{{1}, ZoneName("z"), RegionName("r"), true, 32};
  for (int64_t index = 1; index <= state.range(0); ++index) {
    target.instance = {static_cast<uint64_t>(index)};
    router.UpdateTarget(target);
  }
  for (auto _ : state) {
    target.accepting = !target.accepting;
    router.UpdateTarget(target);
  }
}
BENCHMARK(BmRouterTargetChange)->Arg(14)->Arg(860);

}  // namespace
}  // namespace celerypost
