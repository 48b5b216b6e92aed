#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "platform/roles.h"
#include "src/process/command_line.h"
#include "src/process/roles.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + (argc > 0 ? 1 : 0), argv + argc);
  return celerypost::RunCommandLine(
      args,
      {std::cout, std::cerr, celerypost::ProcessEnvironment,
       isatty(STDOUT_FILENO) == 1, celerypost::RunEntry, celerypost::RunAgent,
       celerypost::platform::RunGateway, celerypost::platform::RunStager});
}
