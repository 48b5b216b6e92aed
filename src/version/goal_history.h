#ifndef SRC_VERSION_GOAL_HISTORY_H_
#define SRC_VERSION_GOAL_HISTORY_H_

#include <deque>
#include <unordered_map>
#include <vector>

#include "src/version/chunk_goal.h"

namespace celerypost {

// The latest goals before the current one. Announcements of peers that still
// have one of them are understood through its list.
class GoalHistory {
 public:
  void Remember(ChunkGoal goal);

  // Returns one flag per position of `goal`: whether the sender of `have` holds
  // that chunk. `position_of` gives the positions of `goal` by digest.
  std::vector<bool> Holds(
      const HaveAnnouncement& have,
      const ChunkGoal& goal,
      const std::unordered_map<Digest, size_t>& position_of) const;

 private:
  // Newest first.
  std::deque<ChunkGoal> goals;
};

}  // namespace celerypost

#endif  // SRC_VERSION_GOAL_HISTORY_H_
