#ifndef TESTS_SCENARIOS_FIGURES_H_
#define TESTS_SCENARIOS_FIGURES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "tests/scenarios/fleet.h"
#include "tests/scenarios/load_generator.h"

namespace celerypost::scenarios {

// What a scenario has done so far, as far as figures need it.
struct ScenarioState {
  std::map<std::string, std::unique_ptr<LoadGenerator>> loads;
  // Digest of the set, and bytes of the set, by version.
  std::map<std::string, std::string> sets;
  std::map<std::string, uint64_t> set_bytes;
  // Milliseconds of the monotonic clock: end of the last accepted change, and
  // of the last planned stop.
  int64_t changed_ms = 0;
  int64_t stopped_ms = 0;
  // Origin bytes when the last change was accepted.
  double origin_bytes_before = 0;
  // Time and values at a `counter` command, by label.
  std::map<std::string, std::pair<int64_t, std::map<std::string, double>>>
      counters;
  int last_exit = 0;
  int last_http_status = 0;
  // Of the last race: changes that were accepted.
  int race_accepted = 0;
};

// Reads the figures that `expect` and `figure` name; README.md lists them.
class Figures {
 public:
  Figures(Fleet& fleet, const ScenarioState& state);

  // Value of a figure, or of "<figure> / <figure>" and "<figure> - <figure>";
  // nothing when it has no value.
  std::optional<double> Evaluate(const std::string& expression);

 private:
  std::optional<double> Value(const std::string& name);
  std::optional<double> LoadValue(const std::string& name) const;
  std::optional<double> WithArgument(const std::string& kind,
                                     const std::string& argument);
  std::optional<double> Rollout(const std::string& version);
  double DoubleRuns() const;
  double FalseNotRun() const;

  Fleet& fleet;
  const ScenarioState& state;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_FIGURES_H_
