// celerypost_standins <JSON settings of a stand-in>...
//
// Runs stand-ins for parts of the platform until SIGTERM. Prints one line per
// open stand-in: its name, data port and control port.

#include <cstdio>
#include <memory>
#include <vector>

#include "tests/standins/stand_in_factory.h"

int main(int argc, char** argv) {
  using celerypost::standins::Json;
  celerypost::Loop loop;
  std::vector<std::unique_ptr<celerypost::standins::StandIn>> stand_ins;
  for (int i = 1; i < argc; ++i) {
    const Json settings = Json::parse(argv[i], nullptr, false);
    auto stand_in = settings.is_object()
                        ? celerypost::standins::MakeStandIn(loop, settings)
                        : nullptr;
    if (!stand_in) {
      std::fprintf(stderr, "argument %d has no known stand-in kind: %s\n", i,
                   argv[i]);
      return 2;
    }
    if (const auto opened = stand_in->Open(); !opened) {
      std::fprintf(stderr, "%s: %s\n", stand_in->name().c_str(),
                   opened.error().message.c_str());
      return 1;
    }
    std::printf("%s %d %d\n", stand_in->name().c_str(), stand_in->port(),
                stand_in->control_port());
    std::fflush(stdout);
    stand_ins.push_back(std::move(stand_in));
  }
  loop.OnTerminate([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
