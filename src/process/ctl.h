#ifndef SRC_PROCESS_CTL_H_
#define SRC_PROCESS_CTL_H_

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "celerypost/verdict.h"
#include "src/process/ctl_client.h"
#include "src/process/ctl_outcome.h"
#include "src/process/settings.h"

namespace celerypost {

// Streams and functions that commands use.
struct CtlContext {
  std::ostream& out;
  std::ostream& err;
  // True when `out` is a terminal.
  bool terminal = false;
  // Waits between two progress reports or two queries of a change.
  std::function<void(std::chrono::milliseconds)> sleep;
  // Returns a new change id.
  std::function<std::string()> make_change_id;
};

// Returns a random change id: "ctl-" and 32 hex digits.
std::string MakeChangeId();

// One command of celerypost ctl.
struct CtlCommand {
  const char* name;
  // Names of the arguments in capitals, separated by spaces.
  const char* arguments;
  const char* summary;
  // Names of the flags that the command reads, separated by spaces.
  const char* flags;
  // Whether the command calls the operators' API.
  bool needs_operator;
};

// All commands in the order of the help text.
const std::vector<CtlCommand>& CtlCommands();

// Returns nullptr for an unknown name.
const CtlCommand* FindCtlCommand(std::string_view name);

// Runs commands of celerypost ctl. Results are printed to `out`, errors and
// hints to `err`.
class Ctl {
 public:
  // `client` may be nullptr for commands without `needs_operator`.
  Ctl(CtlSettings settings, OperatorClient* client, CtlContext context);

  // Runs `command` with its arguments and returns the exit code.
  CtlExit Run(std::string_view command,
              const std::vector<std::string>& arguments);

 private:
  using Arguments = std::vector<std::string>;

  CtlExit Commit(const Arguments& arguments);
  CtlExit ZoneOut(const Arguments& arguments);
  CtlExit ZoneIn(const Arguments& arguments);
  CtlExit Status(const Arguments& arguments);
  CtlExit Audit(const Arguments& arguments);
  CtlExit Rollout(const Arguments& arguments);
  CtlExit Change(const Arguments& arguments);
  CtlExit MakeManifest(const Arguments& arguments);

  CtlExit SendChange(nlohmann::ordered_json change);
  CtlExit ReportChange(const CtlOutcome& outcome, const std::string& id);
  // Prints the error of a failed read.
  CtlExit ReportFailure(const CtlOutcome& outcome);
  CtlExit UsageError(std::string_view message);
  void PrintJson(const nlohmann::ordered_json& json);

  CtlSettings settings;
  OperatorClient* client;
  CtlContext context;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_H_
