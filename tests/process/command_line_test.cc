#include "src/process/command_line.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "src/process/build_info.h"
#include "src/process/ctl.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(CommandLineTest) {
  std::ostringstream out;
  std::ostringstream err;
  std::map<std::string, std::string> variables;
  int entries = 0;
  int agents = 0;

  int Run(const std::vector<std::string>& args) {
    this->out.str("");
    this->err.str("");
    return RunCommandLine(
        args, {this->out, this->err,
               [this](const std::string& name) {
                 const auto it = this->variables.find(name);
                 return it == this->variables.end()
                            ? std::nullopt
                            : std::optional<std::string>(it->second);
               },
               false,
               [this](const EntrySettings&) {
                 ++this->entries;
                 return 7;
               },
               [this](const AgentSettings&) {
                 ++this->agents;
                 return 8;
               }});
  }
};

// Guards against a role that is not started or whose exit code is lost.
TEST(CommandLineTest, RunsRolesFromVariables) {
  this->variables = {{"CELERYPOST_ZONE", "dar-a"},
                     {"CELERYPOST_REGION", "dar"},
                     {"CELERYPOST_PEER_ADDRESS", "127.0.0.1:1"},
                     {"CELERYPOST_HTTP_ADDRESS", "127.0.0.1:2"},
                     {"CELERYPOST_MEMBERSHIP_ADDRESS", "127.0.0.1:3"},
                     {"CELERYPOST_OPERATOR_ADDRESS", "127.0.0.1:4"},
                     {"CELERYPOST_KEY_VALUE_ADDRESS", "127.0.0.1:5"},
                     {"CELERYPOST_SHARED_KEY", "a shared key of the tests"}};
  LONGS_EQUAL(7, this->Run({"entry"}));
  LONGS_EQUAL(8, this->Run({"agent", "--service=s", "--target_kind=plain",
                            "--target_address=127.0.0.1:6"}));
  LONGS_EQUAL(1, this->entries);
  LONGS_EQUAL(1, this->agents);
}

// Guards against wrong input that starts a role or exits with another code.
TEST(CommandLineTest, WrongInputExitsWithTwo) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"bogus"},
      {"entry"},
      {"entry", "positional"},
      {"entry", "--bogus"},
      {"agent", "--zone"},
      {"ctl"},
      {"ctl", "bogus"},
      {"ctl", "status"},
      {"ctl", "status", "--zone=x"},
      {"help", "bogus"},
      {"help", "ctl", "bogus"},
      {"help", "--completion", "fish"},
      {"version", "x"}};
  for (const auto& args : wrong) {
    LONGS_EQUAL(2, this->Run(args));
    CHECK_FALSE(this->err.str().empty());
    CHECK_TRUE(this->out.str().empty());
  }
  LONGS_EQUAL(0, this->entries + this->agents);
}

// Guards against a key that is shown when its flag is misspelt.
TEST(CommandLineTest, NeverShowsTheKeyOfAMisspeltFlag) {
  const std::string key = "a shared key of the tests";
  for (const std::string flag :
       {"--shared-key=", "shared_key=", "-sharedkey=", "--shared_key =",
        "--operator=x --shared_key="}) {
    LONGS_EQUAL(2, this->Run({"entry", flag + key}));
    CHECK(this->err.str().find(key) == std::string::npos);
  }
  LONGS_EQUAL(2, this->Run({"ctl", "--shared_key=" + key, "status"}));
  CHECK(this->err.str().find(key) == std::string::npos);
}

// Guards against a command or flag that the help text omits.
TEST(CommandLineTest, HelpListsRolesCommandsAndFlags) {
  for (const char* const topic : {"entry", "agent", "ctl"}) {
    LONGS_EQUAL(0, this->Run({"help", topic}));
    const std::string help = this->out.str();
    LONGS_EQUAL(0, this->Run({topic, "--help"}));
    CHECK(help == this->out.str());
    STRCMP_CONTAINS("--shared_key=VALUE  (CELERYPOST_SHARED_KEY)",
                    help.c_str());
  }
  LONGS_EQUAL(0, this->Run({"help", "ctl"}));
  const std::string ctl_help = this->out.str();
  LONGS_EQUAL(0, this->Run({"help", "--completion", "bash"}));
  const std::string completion = this->out.str();
  for (const CtlCommand& command : CtlCommands()) {
    STRCMP_CONTAINS(command.name, ctl_help.c_str());
    STRCMP_CONTAINS(command.name, completion.c_str());
    LONGS_EQUAL(0, this->Run({"help", "ctl", command.name}));
    std::istringstream flags(command.flags);
    for (std::string flag; flags >> flag;) {
      STRCMP_CONTAINS(("--" + flag).c_str(), this->out.str().c_str());
    }
  }
  LONGS_EQUAL(0, this->Run({"--help"}));
}

// Guards against a program that does not tell which sources it was built from.
TEST(CommandLineTest, VersionNamesTheCommitAndTheSources) {
  LONGS_EQUAL(0, this->Run({"version"}));
  const BuildInfo build = ThisBuild();
  CHECK_TRUE(build.sources != "unknown");
  STRCMP_EQUAL(("celerypost " + std::string(build.version) + " (commit " +
                std::string(build.commit) + ", sources " +
                std::string(build.sources) + ")\n")
                   .c_str(),
               this->out.str().c_str());
}

// Guards against a flag that the operators' page does not describe, or
// describes with another range.
TEST(CommandLineTest, OperationsPageDescribesEveryFlag) {
  const std::filesystem::path root(CELERYPOST_SOURCE_DIR);
  std::ifstream in(root / "docs" / "operations.md");
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  for (const FlagRole role :
       {FlagRole::kEntry, FlagRole::kAgent, FlagRole::kCtl}) {
    for (const FlagDescription& flag : DescribeFlags(role)) {
      STRCMP_CONTAINS(("| `--" + flag.name + "` | " + flag.help).c_str(),
                      page.c_str());
    }
  }
}

// Guards against exit code 0 when the entry cannot be reached.
TEST(CommandLineTest, CtlReportsAnUnreachableEntry) {
  this->variables = {{"CELERYPOST_SHARED_KEY", "a shared key of the tests"},
                     {"USER", "asha"}};
  LONGS_EQUAL(3, this->Run({"ctl", "zone-out", "dar-a", "--operator",
                            "127.0.0.1:1", "--why=test"}));
  STRCMP_CONTAINS("cannot be reached", this->err.str().c_str());
}

}  // namespace
}  // namespace celerypost
