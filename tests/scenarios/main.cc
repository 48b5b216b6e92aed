// scenario_runner --celerypost <binary> --standins <binary>
//     --output <directory> [--json] [--quiet] <scenario file>...
//
// Runs scenarios against real processes; README.md describes the language. The
// last line is "N passed, N failed"; exits 0 only if nothing failed. --json
// prints the rows of `figure` as JSON lines instead of a table.

#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/scenarios/scenario.h"

namespace {

using celerypost::scenarios::FigureRow;

void PrintJson(const FigureRow& row) {
  std::printf("%s\n", nlohmann::json{{"name", row.name},
                                     {"value", row.value},
                                     {"unit", row.unit},
                                     {"comparison", row.comparison},
                                     {"bound", row.bound},
                                     {"holds", row.holds},
                                     {"seed", 0}}
                          .dump()
                          .c_str());
}

void PrintTable(const std::vector<FigureRow>& rows) {
  std::printf("%-44s %12s  %-9s %8s  %s\n", "figure", "value", "unit", "bound",
              "holds");
  for (const FigureRow& row : rows) {
    std::printf("%-44s %12.3f  %-9s %2s %5g  %s\n", row.name.c_str(), row.value,
                row.unit.c_str(), row.comparison.c_str(), row.bound,
                row.holds ? "yes" : "NO");
  }
}

}  // namespace

int main(int argc, char** argv) {
  celerypost::scenarios::FleetOptions options;
  std::vector<std::string> files;
  bool json = false;
  bool verbose = true;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--json") {
      json = true;
    } else if (argument == "--quiet") {
      verbose = false;
    } else if (argument.starts_with("--") && i + 1 < argc) {
      std::string* value = argument == "--celerypost" ? &options.celerypost
                           : argument == "--standins" ? &options.standins
                                                      : &options.output;
      *value = argv[++i];
    } else {
      files.push_back(argument);
    }
  }
  signal(SIGPIPE, SIG_IGN);
  int passed = 0;
  int failed = files.empty() ? 1 : 0;
  const std::string output = options.output;
  for (const std::string& file : files) {
    options.output = output + "/" + std::filesystem::path(file).stem().string();
    std::filesystem::remove_all(options.output);
    std::filesystem::create_directories(options.output);
    celerypost::Loop loop;
    celerypost::scenarios::Scenario scenario(loop, options, verbose && !json);
    bool readable = false;
    try {
      readable = scenario.RunFile(file);
    } catch (const std::exception& error) {
      std::printf("FAILED %s: %s\n", file.c_str(), error.what());
    }
    if (json) {
      for (const FigureRow& row : scenario.figures()) {
        PrintJson(row);
      }
    } else if (!scenario.figures().empty()) {
      PrintTable(scenario.figures());
    }
    passed += scenario.passed();
    failed += scenario.failed() + (readable ? 0 : 1);
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
