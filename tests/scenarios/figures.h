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

// State of a running scenario that figures are computed from.
struct ScenarioState {
  std::map<std::string, std::unique_ptr<LoadGenerator>> loads;
  // Digest and size in bytes of each weight set, by version.
  std::map<std::string, std::string> sets;
  std::map<std::string, uint64_t> set_bytes;
  // Monotonic clock in milliseconds: when the last change was accepted, and
  // when the last planned stop began.
  int64_t changed_ms = 0;
  int64_t stopped_ms = 0;
  // Bytes served by the origin before the last accepted change was sent.
  double origin_bytes_before = 0;
  // Monotonic time in milliseconds and figure values at each `counter` command,
  // by label.
  std::map<std::string, std::pair<int64_t, std::map<std::string, double>>>
      counters;
  int last_exit = 0;
  int last_http_status = 0;
  // Number of changes that were accepted in the last race.
  int race_accepted = 0;
};

// Evaluates the figures of `expect` and `figure`; README.md lists them.
class Figures {
 public:
  Figures(Fleet& fleet, const ScenarioState& state);

  // Evaluates a figure, "<figure> / <figure>" or "<figure> - <figure>". Returns
  // nullopt if a figure is unknown or has no value yet, and for a division by
  // zero.
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
