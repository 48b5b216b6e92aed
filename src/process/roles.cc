#include "src/process/roles.h"

#include <cstdio>

namespace celerypost {

int RunEntry(const EntrySettings&) {
  std::fputs("celerypost entry: not built yet\n", stderr);
  return 1;
}

int RunAgent(const AgentSettings&) {
  std::fputs("celerypost agent: not built yet\n", stderr);
  return 1;
}

}  // namespace celerypost
