#ifndef TESTS_SCENARIOS_SCENARIO_H_
#define TESTS_SCENARIOS_SCENARIO_H_

#include <chrono>
#include <string>
#include <vector>

#include "tests/scenarios/figures.h"
#include "tests/scenarios/fleet.h"

namespace celerypost::scenarios {

// Result of a `figure` command.
struct FigureRow {
  std::string name;
  double value = 0;
  std::string unit;
  // Comparison operator; `bound` is its right-hand side.
  std::string comparison;
  double bound = 0;
  bool holds = false;
};

// Runs the commands of a scenario file; README.md describes the language.
class Scenario {
 public:
  Scenario(Loop& loop, const FleetOptions& options, bool verbose);

  // Runs all lines and continues after a failed one. Returns false if the file
  // cannot be read.
  bool RunFile(const std::string& path);

  int passed() const { return this->checks_passed; }
  int failed() const { return this->checks_failed; }
  const std::vector<FigureRow>& figures() const { return this->rows; }

 private:
  using Tokens = std::vector<std::string>;
  // Returns an error message, or an empty string.
  using Command = std::string (Scenario::*)(const Tokens&);

  static const std::map<std::string, Command>& Commands();
  void RunLine(const std::string& line);
  std::string Start(const Tokens& tokens);
  std::string StartOne(const Tokens& tokens);
  std::string Signal(const Tokens& tokens);
  std::string Fault(const Tokens& tokens);
  std::string Weights(const Tokens& tokens);
  std::string Ctl(const Tokens& tokens);
  std::string Race(const Tokens& tokens);
  std::string Load(const Tokens& tokens);
  std::string Wait(const Tokens& tokens);
  std::string Expect(const Tokens& tokens);
  std::string Figure(const Tokens& tokens);
  std::string Http(const Tokens& tokens);
  std::string Garbage(const Tokens& tokens);
  std::string Counter(const Tokens& tokens);
  std::string Cut(const Tokens& tokens);

  std::string StartCtl(const std::string& process, const Tokens& arguments);
  int WaitExit(const std::string& process);
  void RecordAcceptedChange();
  bool Compare(const Tokens& condition, double* value, std::string* shown);
  void RunLoopFor(std::chrono::milliseconds duration);
  void PrintProblems();
  // Prints the arrivals over the bounds of cold targets.
  void PrintColdStarts();

  Loop& loop;
  const FleetOptions options;
  const bool verbose;
  Fleet fleet;
  ClientPool pool;
  ScenarioState state;
  Figures reader;
  int checks_passed = 0;
  int checks_failed = 0;
  int ctl_runs = 0;
  std::vector<FigureRow> rows;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_SCENARIO_H_
