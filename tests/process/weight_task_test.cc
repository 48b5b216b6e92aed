#include "src/process/weight_task.h"

#include <cstdlib>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "tests/process/weight_swarm.h"

namespace celerypost {
namespace {

using std::chrono::seconds;

FakeSet MakeSet(const std::string& version,
                uint32_t generation,
                size_t chunks = 40) {
  // Every fifth chunk is new in each generation.
  std::vector<uint32_t> generations(chunks, 0);
  for (size_t i = 0; i < chunks; i += 5) {
    generations[i] = generation;
  }
  return FakeSet::Make(version, generations, 512);
}

double Copies(const Swarm& swarm, const FakeSet& set) {
  return static_cast<double>(swarm.origin_bytes) /
         static_cast<double>(set.set.TotalBytes());
}

SwarmSetup Setup(std::vector<uint32_t> regions) {
  SwarmSetup setup;
  setup.regions = std::move(regions);
  setup.vm_rate = 20e3;
  setup.origin_rate = 40e3;
  setup.region_rate = 20e3;
  return setup;
}

TEST_GROUP(WeightTaskTest){};

// Guards against a swarm in which every agent asks the origin.
TEST(WeightTaskTest, AllServeAfterOneOriginCopy) {
  Swarm swarm(Setup({8}));
  const FakeSet set = MakeSet("v1", 1);
  swarm.SetGoal(set);
  CHECK_TRUE(swarm.Run(seconds(60)));
  std::fprintf(stderr, "copies %f\n", Copies(swarm, set));
  CHECK(Copies(swarm, set) < 1.15);
}

}  // namespace
}  // namespace celerypost
