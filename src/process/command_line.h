#ifndef SRC_PROCESS_COMMAND_LINE_H_
#define SRC_PROCESS_COMMAND_LINE_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "src/process/flags.h"
#include "src/process/settings.h"

namespace celerypost {

// Exit code of the daemons' command lines for wrong flags.
inline constexpr int kUsageExitCode = 2;

// What the command line needs from the process.
struct CommandLineContext {
  std::ostream& out;
  std::ostream& err;
  Environment environment;
  // True when `out` is a terminal.
  bool terminal = false;
  std::function<int(const EntrySettings&)> run_entry;
  std::function<int(const AgentSettings&)> run_agent;
  std::function<int(const NodeRoleSettings&)> run_gateway{};
  std::function<int(const NodeRoleSettings&)> run_stager{};
};

// Runs `celerypost ARGS...` (without the program's name) and returns the exit
// code. Wrong input gives a message on `err` and exit code 2.
int RunCommandLine(const std::vector<std::string>& args,
                   const CommandLineContext& context);

// Returns a bash completion script that covers roles, commands and flags.
std::string BashCompletion();

}  // namespace celerypost

#endif  // SRC_PROCESS_COMMAND_LINE_H_
