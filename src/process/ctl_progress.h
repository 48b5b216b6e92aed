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
  // Live targets that are to serve the version.
  uint64_t targets = 0;
  // Targets that have verified all bytes, and of these the ones that serve it.
  uint64_t verified = 0;
  uint64_t switched = 0;

  // False without targets: a service that has none yet is not done.
  bool Complete() const {
    return this->targets > 0 && this->switched >= this->targets;
  }
};

// Reads "rollouts"; nothing when it is not a list of objects with these
// members.
std::optional<std::vector<RolloutRow>> ReadRollouts(
    const nlohmann::ordered_json& status);

// Returns one line per roll-out with a bar, ended by a newline. A bar has two
// parts: '#' for switched and '-' for verified targets.
std::string RenderProgress(const std::vector<RolloutRow>& rollouts);

// Shows successive renderings: on a terminal each replaces the one before,
// elsewhere only changed ones are written.
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
