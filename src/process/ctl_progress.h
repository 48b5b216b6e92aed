#ifndef SRC_PROCESS_CTL_PROGRESS_H_
#define SRC_PROCESS_CTL_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace celerypost {

// Progress of one weight set on the targets of one service, a member of
// "rollouts" in the operators' status.
struct RolloutRow {
  std::string service;
  std::string version;
  // Live replicas that should serve the version, and how many of them do.
  uint64_t replicas = 0;
  uint64_t replicas_ready = 0;
  // Verified chunks and all chunks, summed over the replicas; both 0 if unknown
  // to the entry.
  uint64_t chunks_held = 0;
  uint64_t chunks_total = 0;

  // False without replicas: the roll-out of a service that has none yet is not
  // complete.
  bool Complete() const {
    return this->replicas > 0 && this->replicas_ready >= this->replicas;
  }
};

// Reads the member "rollouts". Returns nullopt if it is not a list of objects
// with the members above, of which the chunk counts may be absent.
std::optional<std::vector<RolloutRow>> ReadRollouts(
    const nlohmann::ordered_json& status);

// Returns one line per roll-out with a bar, ended by a newline. A bar has two
// parts: '#' for the share of ready replicas and '-' for that of held chunks.
std::string RenderProgress(const std::vector<RolloutRow>& rollouts);

// Shows successive renderings. Only changed ones are written; on a terminal,
// each replaces the previous one.
class ProgressDisplay {
 public:
  explicit ProgressDisplay(bool terminal) : terminal(terminal) {}

  // Returns the bytes to write.
  std::string Update(const std::string& rendering);

 private:
  bool terminal;
  std::string previous;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_PROGRESS_H_
