#include "src/version/goal_history.h"

#include <utility>

namespace celerypost {
namespace {

constexpr size_t kMaxGoals = 3;

}  // namespace

void GoalHistory::Remember(ChunkGoal goal) {
  std::erase_if(this->goals, [&goal](const ChunkGoal& known) {
    return known.set == goal.set;
  });
  this->goals.push_front(std::move(goal));
  if (this->goals.size() > kMaxGoals) {
    this->goals.pop_back();
  }
}

std::vector<bool> GoalHistory::Holds(
    const HaveAnnouncement& have,
    const ChunkGoal& goal,
    const DigestPositions& positions_of) const {
  std::vector<bool> holds(goal.chunks.size(), false);
  if (have.set == goal.set) {
    for (size_t i = 0; i < holds.size(); ++i) {
      holds[i] = TestBit(have.bitmap, i);
    }
    return holds;
  }
  for (const ChunkGoal& known : this->goals) {
    if (known.set != have.set) {
      continue;
    }
    for (size_t i = 0; i < known.chunks.size(); ++i) {
      const auto positions = positions_of.find(known.chunks[i].digest);
      if (positions == positions_of.end() || !TestBit(have.bitmap, i)) {
        continue;
      }
      for (const size_t position : positions->second) {
        holds[position] = true;
      }
    }
  }
  return holds;
}

}  // namespace celerypost
