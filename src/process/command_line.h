#ifndef SRC_PROCESS_COMMAND_LINE_H_
#define SRC_PROCESS_COMMAND_LINE_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "src/process/flags.h"
#include "src/process/settings.h"

namespace celerypost {

// Exit code for an invalid command line.
inline constexpr int kUsageExitCode = 2;

// Streams, environment and role functions that the command line uses.
struct CommandLineContext {
  std::ostream& out;
  std::ostream& err;
  Environment environment;
  // True when `out` is a terminal.
  bool terminal = false;
  // Each runs a role and returns the exit code of the process.
  std::function<int(const EntrySettings&)> run_entry;
  std::function<int(const AgentSettings&)> run_agent;
  std::function<int(const NodeRoleSettings&)> run_gateway{};
  std::function<int(const NodeRoleSettings&)> run_stager{};
};

// Runs `celerypost ARGS...` (without the program's name) and returns the exit
// code. An invalid command line prints a message to `err` and returns
// kUsageExitCode.
int RunCommandLine(const std::vector<std::string>& args,
                   const CommandLineContext& context);

// Returns a bash completion script that covers roles, commands and flags.
std::string BashCompletion();

}  // namespace celerypost

#endif  // SRC_PROCESS_COMMAND_LINE_H_
