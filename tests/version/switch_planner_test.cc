#include "src/version/switch_planner.h"

#include <algorithm>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

constexpr uint32_t kAgents = 16;

struct AgentGroup {
  explicit AgentGroup(uint32_t min_serving) {
    for (uint64_t i = 1; i <= kAgents; ++i) {
      this->planners.emplace_back(
          SwitchOptions{ZoneName("z"), 0.25, min_serving}, InstanceId{i});
      this->planners.back().OnSelfServing(true);
    }
    for (uint64_t i = 1; i <= kAgents; ++i) {
      this->Announce(i, 0, true);
    }
  }
  void Announce(uint64_t instance, uint64_t switched, bool warm) {
    for (SwitchPlanner& planner : this->planners) {
      planner.OnPeer({InstanceId{instance}, ZoneName("z"), switched, warm});
    }
  }
  std::vector<uint64_t> Allowed() const {
    std::vector<uint64_t> allowed;
    for (uint64_t i = 1; i <= kAgents; ++i) {
      if (this->planners[i - 1].MaySwitch(7, {})) {
        allowed.push_back(i);
      }
    }
    return allowed;
  }
  std::vector<SwitchPlanner> planners;
};

TEST_GROUP(SwitchPlannerTest){};

// Guards against a zone in which more than a quarter of the agents switch at a
// time.
TEST(SwitchPlannerTest, WindowAdvancesWithEachSwitch) {
  AgentGroup group(10);
  const auto first = group.Allowed();
  LONGS_EQUAL(4, first.size());
  group.Announce(first[0], 7, true);
  LONGS_EQUAL(5, group.Allowed().size());
  // `switched` never decreases, so a late message withdraws no permission.
  group.Announce(first[0], 0, true);
  LONGS_EQUAL(5, group.Allowed().size());
}

// Guards against switches that leave fewer warm replicas than `min_serving`.
TEST(SwitchPlannerTest, KeepsEnoughPeersServing) {
  AgentGroup group(15);
  LONGS_EQUAL(4, group.Allowed().size());
  const auto first = group.Allowed();
  group.Announce(first[0], 0, false);
  const auto rest = group.Allowed();
  // Only the cold one itself still counts 15 warm peers.
  LONGS_EQUAL(1, rest.size());
  LONGS_EQUAL(first[0], rest[0]);
}

// Guards against a first roll-out that waits for peers that cannot serve yet.
TEST(SwitchPlannerTest, TargetThatServesNothingMayAlwaysSwitch) {
  AgentGroup group(10);
  for (SwitchPlanner& planner : group.planners) {
    planner.OnSelfServing(false);
  }
  LONGS_EQUAL(kAgents, group.Allowed().size());
}

// Guards against dead agents that block the agents after them in the order.
TEST(SwitchPlannerTest, DeadAgentsDoNotBlockOthers) {
  AgentGroup group(0);
  const auto first = group.Allowed();
  for (SwitchPlanner& planner : group.planners) {
    for (const uint64_t dead : first) {
      planner.OnPeerGone(InstanceId{dead});
    }
  }
  size_t others = 0;
  for (const uint64_t allowed : group.Allowed()) {
    others += std::find(first.begin(), first.end(), allowed) == first.end();
  }
  LONGS_EQUAL(3, others);
}

}  // namespace
}  // namespace celerypost
