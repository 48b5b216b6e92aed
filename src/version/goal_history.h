#ifndef SRC_VERSION_GOAL_HISTORY_H_
#define SRC_VERSION_GOAL_HISTORY_H_

#include <deque>
#include <unordered_map>
#include <vector>

#include "src/version/chunk_goal.h"

namespace celerypost {

// The most recent goals before the current one. Their chunk lists decode the
// bitmaps of peers that still announce one of these sets.
class GoalHistory {
 public:
  void Remember(ChunkGoal goal);

  // Returns for each position of `goal` whether the sender of `have` holds that
  // chunk. `position_of` maps the digests of `goal` to their positions.
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
