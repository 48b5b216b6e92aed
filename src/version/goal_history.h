#ifndef SRC_VERSION_GOAL_HISTORY_H_
#define SRC_VERSION_GOAL_HISTORY_H_

#include <deque>
#include <unordered_map>
#include <vector>

#include "src/version/chunk_goal.h"

namespace celerypost {

// The positions of each digest in a goal, ascending.
using DigestPositions = std::unordered_map<Digest, std::vector<size_t>>;

// The most recent goals before the current one. Their chunk lists decode the
// bitmaps of peers that still announce one of these sets.
class GoalHistory {
 public:
  void Remember(ChunkGoal goal);

  // Returns for each position of `goal` whether the sender of `have` holds that
  // chunk. `positions_of` are those of `goal`.
  std::vector<bool> Holds(const HaveAnnouncement& have,
                          const ChunkGoal& goal,
                          const DigestPositions& positions_of) const;

 private:
  // Newest first.
  std::deque<ChunkGoal> goals;
};

}  // namespace celerypost

#endif  // SRC_VERSION_GOAL_HISTORY_H_
