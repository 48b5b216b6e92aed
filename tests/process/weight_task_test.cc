#include "src/process/weight_task.h"

#include <cstdlib>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "tests/process/weight_swarm.h"

namespace celerypost {
namespace {

using std::chrono::seconds;

constexpr size_t kChunkSize = 4096;

// Four fifths of the chunks are the same in all generations.
FakeSet MakeSet(uint32_t generation) {
  std::vector<uint32_t> generations(40, 0);
  for (size_t i = 0; i < generations.size(); i += 5) {
    generations[i] = generation;
  }
  return FakeSet::Make("v" + std::to_string(generation), generations,
                       kChunkSize);
}

SwarmSetup Setup(std::vector<uint32_t> regions) {
  SwarmSetup setup;
  setup.regions = std::move(regions);
  setup.vm_rate = 40 * kChunkSize / 10.0;
  setup.origin_rate = 2 * setup.vm_rate;
  setup.region_rate = setup.vm_rate;
  setup.store_bytes = 20 * kChunkSize;
  return setup;
}

double OriginCopies(const Swarm& swarm) {
  return static_cast<double>(swarm.origin_bytes) / (40 * kChunkSize);
}

TEST_GROUP(WeightTaskTest) {
  const FakeSet v1 = MakeSet(1);
  const FakeSet v2 = MakeSet(2);
  std::unique_ptr<Swarm> swarm;

  void Start(SwarmSetup setup) {
    this->swarm = std::make_unique<Swarm>(std::move(setup));
    this->swarm->timeline.RunFor(seconds(1));
    this->swarm->SetGoal(this->v1);
  }
  void Finish(Duration limit = seconds(60)) {
    CHECK_TRUE(this->swarm->Run(limit));
  }
};

// Guards against several agents that fetch the same chunk from the origin, and
// against more than one copy over the link into a remote region.
TEST(WeightTaskTest, OneCopyLeavesTheOriginAndEntersEachRegion) {
  this->Start(Setup({4, 4, 4}));
  this->Finish();
  CHECK(OriginCopies(*this->swarm) <= 1.05);
  const auto& bytes = this->swarm->region_bytes;
  for (const size_t to : {1, 2}) {
    uint64_t into = 0;
    for (const auto& [link, amount] : bytes) {
      into += link % 16 == to ? amount : 0;
    }
    CHECK(into <= 1.05 * 40 * kChunkSize);
  }
}

// Guards against fetching all chunks of the next version although four fifths
// of them are held already.
TEST(WeightTaskTest, NextVersionFetchesOnlyItsOwnChunks) {
  this->Start(Setup({8}));
  this->Finish();
  this->swarm->origin_bytes = 0;
  this->swarm->SetGoal(this->v2);
  this->Finish();
  CHECK(OriginCopies(*this->swarm) <= 0.25);
  for (const auto* node : this->swarm->Live()) {
    LONGS_EQUAL(0, node->engine.stale_orders);
    LONGS_EQUAL(2, node->task->state().switched);
  }
}

// Guards against corrupt or truncated chunks, and wrong bytes of the right
// length, that reach an engine or keep the swarm from finishing.
TEST(WeightTaskTest, DamagedChunksAreFetchedElsewhere) {
  SwarmSetup setup = Setup({8});
  setup.corrupt = 0.05;
  this->Start(std::move(setup));
  this->swarm->At(0).sends_wrong_bytes = true;
  this->swarm->At(1).sends_truncated = true;
  this->Finish();
  uint64_t corrupt = 0;
  for (const auto* node : this->swarm->Live()) {
    corrupt += node->task->state().corrupt_chunks;
  }
  CHECK(corrupt > 0);
}

// Guards against peers that neither answer nor fail, and against the loss of
// chunks whose only holder dies.
TEST(WeightTaskTest, StalledAndDyingPeers) {
  this->Start(Setup({8}));
  this->swarm->At(2).stalled = true;
  for (int i = 0; i < 3; ++i) {
    this->swarm->timeline.RunFor(seconds(1));
    this->swarm->Kill(this->swarm->At(4).instance);
  }
  this->Finish();
  LONGS_EQUAL(5, this->swarm->Live().size());
}

// Guards against agents that never reach the goal after it has changed during
// the transfer, has returned to the previous set, or has changed twice in quick
// succession.
TEST(WeightTaskTest, GoalChangesMidFlight) {
  this->Start(Setup({6}));
  this->swarm->timeline.RunFor(seconds(4));
  this->swarm->SetGoal(this->v2);
  this->swarm->timeline.RunFor(seconds(2));
  this->swarm->SetGoal(this->v1);
  this->Finish();
  this->swarm->SetGoal(MakeSet(3));
  this->swarm->SetGoal(this->v2);
  this->Finish();
  CHECK(this->swarm->At(0).task->state().serving->version == "v2");
  // The previous set is still loaded, so a return to it needs no transfer.
  const uint64_t before = this->swarm->origin_requests;
  this->swarm->SetGoal(this->v1);
  this->Finish(seconds(10));
  LONGS_EQUAL(before, this->swarm->origin_requests);
}

// Guards against the assumption that an engine that restarted while it loaded
// or served still serves what it served before.
TEST(WeightTaskTest, RestartedEngineStartsOver) {
  SwarmSetup setup = Setup({4});
  this->Start(std::move(setup));
  Swarm::Node& node = this->swarm->At(0);
  node.engine.load_time = seconds(2);
  CHECK_TRUE(this->swarm->timeline.RunUntil(
      [&node] { return node.task->state().phase == WeightPhase::kLoading; },
      seconds(30)));
  node.engine.Restart();
  this->Finish();
  LONGS_EQUAL(2, node.engine.loads);
  node.engine.Restart();
  node.task->OnTargetRestarted();
  CHECK_FALSE(node.task->state().serving.has_value());
  this->Finish();
  // Without the sentinel the next report shows the restart.
  node.engine.Restart();
  this->swarm->timeline.RunFor(seconds(1));
  CHECK_FALSE(node.task->state().serving.has_value());
  this->Finish();
}

// Guards against chunks that are never staged again after the engine has
// restarted between their staging and the load, which is noticed only when the
// engine refuses the load.
TEST(WeightTaskTest, EngineRestartsUnnoticedWhileChunksAreStaged) {
  for (const uint64_t held : {1, 10, 25, 40, 41}) {
    this->Start(Setup({3}));
    Swarm::Node& node = this->swarm->At(0);
    CHECK_TRUE(this->swarm->timeline.RunUntil(
        [&node, held] { return node.task->state().chunks_held >= held; },
        seconds(60)));
    node.engine.Restart();
    this->Finish();
  }
}

// Guards against a restarted agent that loads again the set that its engine
// serves, or that counts the engine as serving before it has read the report.
TEST(WeightTaskTest, RestartedAgentReadsTheEnginesState) {
  this->Start(Setup({4}));
  this->Finish();
  Swarm::Node& node = this->swarm->At(0);
  WeightTaskOptions options;
  options.planner.self = InstanceId{77};
  WeightTask restarted(
      options, node, node.engine, *node.store, node.pacer, node.random,
      [this] { return this->swarm->timeline.Now(); }, nullptr);
  restarted.SetGoal(this->v1.set, 1, 0);
  CHECK_FALSE(restarted.state().serving.has_value());
  CHECK(restarted.state().phase == WeightPhase::kUnknown);
  restarted.OnTick();
  this->swarm->timeline.RunFor(seconds(1));
  CHECK(restarted.state().phase == WeightPhase::kServing);
  LONGS_EQUAL(1, node.engine.loads);
}

// Guards against a roll-out that never ends because the origin was down, slow
// or refused requests, and against agents that send it too many requests
// meanwhile.
TEST(WeightTaskTest, OriginDownRefusingAndSlow) {
  this->Start(Setup({6}));
  this->swarm->origin_down = true;
  this->swarm->timeline.RunFor(seconds(20));
  this->swarm->origin_down = false;
  this->swarm->origin_refuses = true;
  const uint64_t before = this->swarm->origin_requests;
  this->swarm->timeline.RunFor(seconds(20));
  // At most two requests at a time per agent, and a second between them.
  CHECK(this->swarm->origin_requests - before <= 6 * 2 * 20);
  this->swarm->origin_refuses = false;
  this->swarm->origin_delay = seconds(3);
  this->Finish(seconds(200));
}

// Guards against a switch that leaves fewer replicas serving than the service
// needs.
TEST(WeightTaskTest, SwitchesInTurns) {
  SwarmSetup setup = Setup({8});
  setup.min_serving = 6;
  this->Start(std::move(setup));
  this->Finish();
  this->swarm->SetGoal(this->v2);
  size_t fewest_serving = 8;
  CHECK_TRUE(this->swarm->timeline.RunUntil(
      [this, &fewest_serving] {
        size_t serving = 0;
        for (const auto* node : this->swarm->Live()) {
          serving += node->task->state().serving ? 1 : 0;
        }
        fewest_serving = std::min(fewest_serving, serving);
        return this->swarm->Finished();
      },
      seconds(60)));
  CHECK(fewest_serving >= 6);
}

// Guards against an unbounded queue of uploads, and against refusing a chunk
// that only the engine still holds.
TEST(WeightTaskTest, ServesPeersFromEngineAndRefusesOverTheLimit) {
  this->Start(Setup({2}));
  this->Finish();
  WeightTask& task = *this->swarm->At(0).task;
  size_t served = 0;
  size_t refused = 0;
  for (size_t i = 0; i < 40; ++i) {
    const auto& content = this->v1.artefacts.begin()->second;
    const Digest digest =
        Digest::Of(content.substr(i * kChunkSize, kChunkSize));
    task.ServeChunk(digest, false, [&](TransferResult result) {
      served += result ? 1 : 0;
      refused += !result && result.error().code == ErrorCode::kOverloaded;
    });
  }
  this->swarm->timeline.RunFor(seconds(10));
  LONGS_EQUAL(40, served + refused);
  CHECK(served >= 4 && refused >= 20);
  bool missing = false;
  task.ServeChunk(Digest::Of("?"), false, [&missing](TransferResult result) {
    missing = result.error().code == ErrorCode::kNotFound;
  });
  CHECK_TRUE(missing);
}

// Injects a random fault or changes the goal.
void InjectFault(Swarm& swarm, std::mt19937_64& random) {
  auto live = swarm.Live();
  Swarm::Node& node = *live[random() % live.size()];
  switch (random() % 10) {
    case 0: {
      // Killed, and replaced by a new VM of the same region.
      swarm.Kill(node.instance);
      swarm.timeline.After(
          seconds(1), [&swarm, region = node.region] { swarm.Add(region); });
      break;
    }
    case 1:
      node.engine.Restart();
      node.task->OnTargetRestarted();
      break;
    case 2:
      // The agent notices it only by the next report.
      node.engine.Restart();
      break;
    case 3:
      node.stalled = !node.stalled;
      break;
    case 4:
      node.sends_wrong_bytes = !node.sends_wrong_bytes;
      break;
    case 5:
      node.sends_truncated = !node.sends_truncated;
      break;
    case 6:
      swarm.origin_down = !swarm.origin_down;
      break;
    case 7:
      swarm.origin_refuses = !swarm.origin_refuses;
      break;
    default:
      swarm.SetGoal(MakeSet(1 + random() % 4));
  }
}

// Guards against partial or mixed weights when agents are killed, chunks are
// corrupted or the goal changes at any moment; the product itself asserts it.
// Environment variables: CELERYPOST_TEST_SEED, CELERYPOST_TEST_ROUNDS, and
// CELERYPOST_TEST_UNVERIFIED, which uses a store that verifies nothing and so
// shows that the assertion fails then.
TEST(WeightTaskTest, RandomisedRunEndsWithTheGoalEverywhere) {
  const auto variable = [](const char* name, uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
  };
  const uint64_t rounds = variable("CELERYPOST_TEST_ROUNDS", 10);
  for (uint64_t round = 0; round < rounds; ++round) {
    SwarmSetup setup = Setup({5, 4, 3});
    setup.seed = variable("CELERYPOST_TEST_SEED", 20261204) + round;
    setup.corrupt = 0.01;
    setup.verify = variable("CELERYPOST_TEST_UNVERIFIED", 0) == 0;
    setup.min_serving = 4;
    std::mt19937_64 random(setup.seed);
    this->Start(std::move(setup));
    uint64_t goals = this->swarm->rollout;
    for (int i = 0; i < 60; ++i) {
      this->swarm->timeline.RunFor(milliseconds(random() % 1500));
      InjectFault(*this->swarm, random);
    }
    goals = this->swarm->rollout - goals;
    for (Swarm::Node* node : this->swarm->Live()) {
      node->stalled = node->sends_wrong_bytes = node->sends_truncated = false;
    }
    this->swarm->origin_down = this->swarm->origin_refuses = false;
    const bool finished = this->swarm->Run(seconds(600));
    UT_PRINT(StringFromFormat(
                 "seed %llu: %llu goals, %.2f origin copies",
                 static_cast<unsigned long long>(this->swarm->setup.seed),
                 static_cast<unsigned long long>(goals),
                 OriginCopies(*this->swarm))
                 .asCharString());
    CHECK_TRUE(finished);
    for (const Swarm::Node* node : this->swarm->Live()) {
      CHECK(node->engine.health.serving->set ==
            this->swarm->goal->set.SetDigest());
    }
  }
}

}  // namespace
}  // namespace celerypost
