#ifndef SRC_PROCESS_ROLES_H_
#define SRC_PROCESS_ROLES_H_

#include "src/process/settings.h"

namespace celerypost {

// Runs an entry until SIGTERM or SIGINT; returns the process's exit code.
int RunEntry(const EntrySettings& settings);

// Runs an agent until SIGTERM or SIGINT; returns the process's exit code.
int RunAgent(const AgentSettings& settings);

}  // namespace celerypost

#endif  // SRC_PROCESS_ROLES_H_
