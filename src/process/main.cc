#include <malloc.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "platform/roles.h"
#include "src/process/command_line.h"
#include "src/process/roles.h"

namespace {

// Buffers of this size are returned to the operating system when they are
// freed.
constexpr int kMappedBufferBytes = 128 << 10;

}  // namespace

int main(int argc, char** argv) {
  // The allocator would raise the threshold with the first large buffer that is
  // freed. A failure leaves its default.
  mallopt(M_MMAP_THRESHOLD, kMappedBufferBytes);
  const std::vector<std::string> args(argv + (argc > 0 ? 1 : 0), argv + argc);
  return celerypost::RunCommandLine(
      args,
      {std::cout, std::cerr, celerypost::ProcessEnvironment,
       isatty(STDOUT_FILENO) == 1, celerypost::RunEntry, celerypost::RunAgent,
       celerypost::platform::RunGateway, celerypost::platform::RunStager});
}
