#include "src/process/settings.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const char* const kKey = "a shared key of the tests";

FlagValues Flags(FlagRole role, const std::vector<std::string>& args) {
  auto read = ReadFlags(role, args, [](const std::string&) {
    return std::optional<std::string>();
  });
  return read ? read->flags : FlagValues();
}

std::vector<std::string> CommonArgs() {
  return {"--zone=dar-a",
          "--region=dar",
          "--peer_address=10.0.0.1:7000",
          "--http_address=10.0.0.1:8080",
          "--membership_address=10.0.0.9:80",
          std::string("--shared_key=") + kKey};
}

FlagValues EntryFlags() {
  auto args = CommonArgs();
  args.insert(args.end(), {"--operator_address=10.0.0.1:8081",
                           "--key_value_address=10.0.0.8:2379"});
  return Flags(FlagRole::kEntry, args);
}

FlagValues AgentFlags() {
  auto args = CommonArgs();
  args.insert(args.end(),
              {"--service=summary-llm", "--target_address=10.0.0.1:9000",
               "--origin_address=10.0.0.7:80"});
  return Flags(FlagRole::kAgent, args);
}

FlagValues CtlFlags() {
  return Flags(FlagRole::kCtl, {"--operator=10.0.0.1:8081",
                                std::string("--shared_key=") + kKey});
}

struct BadValue {
  const char* flag;
  const char* value;
};

// Checks that each bad value is rejected with a message that names the flag and
// the value.
template <typename Make>
void CheckRefused(const FlagValues& good,
                  const std::vector<BadValue>& bad_values,
                  Make make) {
  CHECK_TRUE(make(good).has_value());
  for (const BadValue& bad : bad_values) {
    FlagValues flags = good;
    flags[bad.flag] = bad.value;
    const auto made = make(flags);
    CHECK_FALSE_TEXT(made.has_value(), bad.flag);
    const std::string& message = made.error().message;
    const std::string value(bad.value);
    STRCMP_CONTAINS((std::string("--") + bad.flag + ": ").c_str(),
                    message.c_str());
    STRCMP_CONTAINS("; expected ", message.c_str());
    STRCMP_CONTAINS(value.empty() ? "value is missing" : value.c_str(),
                    message.c_str());
    LONGS_EQUAL(static_cast<int>(ErrorCode::kInvalidArgument),
                static_cast<int>(made.error().code));
  }
}

const std::vector<BadValue> kBadCommon = {
    {"zone", ""},
    {"zone", "dar a"},
    {"region", "dar/1"},
    {"peer_address", "10.0.0.1"},
    {"peer_address", "10.0.0.1:0"},
    {"peer_address", "0.0.0.0:7000"},
    {"http_address", "10.0.0.1:65536"},
    {"http_address", "host.example:80"},
    {"membership_address", "10.0.0.1:-1"},
    {"membership_address", "[::1]:80"},
    {"seeds", "10.0.0.1:7000,"},
    {"seeds", "10.0.0.1:7000;10.0.0.2:7000"},
    {"log_level", "verbose"},
};

TEST_GROUP(SettingsTest){};

// Guards against an entry that starts with a wrong value in any of its flags.
TEST(SettingsTest, EntryRefusesBadValuesOfEveryFlag) {
  auto bad = kBadCommon;
  bad.insert(bad.end(), {{"operator_address", "10.0.0.1:80x"},
                         {"key_value_address", ""},
                         {"entry_max_age", "5"},
                         {"entry_max_age", "99ms"},
                         {"entry_max_age", "61s"},
                         {"entry_max_age", "-5s"},
                         {"entry_max_age", "99999999999999999999s"}});
  CheckRefused(EntryFlags(), bad, MakeEntrySettings);
}

// Guards against an agent that starts with a wrong value in any of its flags.
TEST(SettingsTest, AgentRefusesBadValuesOfEveryFlag) {
  auto bad = kBadCommon;
  bad.insert(bad.end(), {{"service", ""},
                         {"service", "a b"},
                         {"target_address", ":9000"},
                         {"target_kind", "gpu"},
                         {"origin_address", ""},
                         {"origin_region", "dar/1"},
                         {"weights_memory_mb", "0"},
                         {"weights_memory_mb", "65537"},
                         {"link_mbit", "nan"},
                         {"link_mbit", "-1"},
                         {"region_link_mbit", "1e9"},
                         {"region_link_mbit", "20Mbit"}});
  CheckRefused(AgentFlags(), bad, MakeAgentSettings);
}

// Guards against a command that is sent with a wrong flag.
TEST(SettingsTest, CtlRefusesBadValuesOfEveryFlag) {
  const std::string long_why(1001, 'x');
  CheckRefused(
      CtlFlags(),
      {{"operator", ""},
       {"operator", "10.0.0.1:0"},
       {"json", "yes"},
       {"follow", "1"},
       {"timeout", "11m"},
       {"interval", "0s"},
       {"id", "a/b"},
       {"expected_number", "-1"},
       {"expected_number", "9223372036854775808"},
       {"last", "0"},
       {"last", "1001"},
       {"manifest_name", "a b"},
       {"chunk_kb", "1025"}},
      [](const FlagValues& flags) { return MakeCtlSettings(flags, true); });
  for (const char* const flag : {"who", "why", "output"}) {
    FlagValues flags = CtlFlags();
    flags[flag] = std::string(5000, 'x');
    const auto made = MakeCtlSettings(flags, true);
    CHECK_FALSE(made.has_value());
    STRCMP_CONTAINS("; expected at most ", made.error().message.c_str());
  }
}

// Guards against a key that appears in an error message.
TEST(SettingsTest, NeverShowsTheSharedKey) {
  for (const std::string& key :
       {std::string("short key"), std::string(1025, 'k')}) {
    FlagValues flags = EntryFlags();
    flags["shared_key"] = key;
    const auto made = MakeEntrySettings(flags);
    CHECK_FALSE(made.has_value());
    STRCMP_CONTAINS("--shared_key: ", made.error().message.c_str());
    CHECK(made.error().message.find(key) == std::string::npos);
  }
}

// Guards against a zero byte in the audit file path, at which the operating
// system would truncate it.
TEST(SettingsTest, RefusesZeroBytesInPaths) {
  FlagValues flags = EntryFlags();
  flags["audit_file"] = std::string("/tmp/a\0b", 8);
  CHECK_FALSE(MakeEntrySettings(flags).has_value());
}

// Guards against values that are checked but not stored, or in a wrong unit.
TEST(SettingsTest, StoresValues) {
  FlagValues flags = AgentFlags();
  flags["seeds"] = "10.0.0.2:7000,10.0.0.3:7001";
  flags["link_mbit"] = "0.5";
  flags["weights_memory_mb"] = "2";
  auto agent = MakeAgentSettings(flags);
  CHECK_TRUE(agent.has_value());
  CHECK(agent->zone == ZoneName("dar-a"));
  CHECK(agent->origin_region == RegionName("dar"));
  LONGS_EQUAL(2, agent->seeds.size());
  LONGS_EQUAL(7001, agent->seeds[1].port);
  LONGS_EQUAL(62500, agent->link_bytes_per_second);
  LONGS_EQUAL(2500000, agent->region_link_bytes_per_second);
  LONGS_EQUAL(2 << 20, agent->weights_memory_bytes);
  CHECK(agent->shared_key.bytes() == kKey);
  flags["origin_region"] = "arusha";
  agent = MakeAgentSettings(flags);
  CHECK_TRUE(agent.has_value());
  CHECK(agent->origin_region == RegionName("arusha"));
  const auto entry = MakeEntrySettings(EntryFlags());
  CHECK_TRUE(entry.has_value());
  CHECK(entry->entry_max_age == milliseconds(5000));
}

// Guards against requiring a weight origin for a plain target.
TEST(SettingsTest, PlainTargetNeedsNoOrigin) {
  FlagValues flags = AgentFlags();
  flags["target_kind"] = "plain";
  flags["origin_address"] = "";
  const auto agent = MakeAgentSettings(flags);
  CHECK_TRUE(agent.has_value());
  CHECK_FALSE(agent->origin_address.has_value());
}

// Guards against a startup that reports only the first of several wrong flags.
TEST(SettingsTest, ListsAllWrongFlags) {
  const auto made = MakeEntrySettings({});
  CHECK_FALSE(made.has_value());
  STRCMP_CONTAINS("--zone", made.error().message.c_str());
  STRCMP_CONTAINS("\n--key_value_address", made.error().message.c_str());
}

// Guards against escape sequences that a wrong value writes to the terminal.
TEST(SettingsTest, ShowsHostileValuesSafely) {
  FlagValues flags = EntryFlags();
  flags["zone"] = "\x1b[2Jx\n" + std::string(10000, 'y');
  const auto made = MakeEntrySettings(flags);
  CHECK_FALSE(made.has_value());
  STRCMP_CONTAINS("'?[2Jx?yyy", made.error().message.c_str());
  CHECK(made.error().message.size() < 300);
}

// Guards against wrong units and overflow.
TEST(SettingsTest, ParsesDurations) {
  CHECK(ParseDuration("5s") == microseconds(5000000));
  CHECK(ParseDuration("200ms") == microseconds(200000));
  CHECK(ParseDuration("7us") == microseconds(7));
  CHECK(ParseDuration("2m") == microseconds(120000000));
  CHECK(ParseDuration("1h") == microseconds(3600000000));
  for (const char* const bad :
       {"", "s", "5", "5 s", "1.5s", "5S", "9223372036854775807h", "+5s"}) {
    CHECK_FALSE_TEXT(ParseDuration(bad).has_value(), bad);
  }
}

TEST_GROUP(FlagsTest){};

// Guards against a variable that overrides a flag, and against a lost flag.
TEST(FlagsTest, FlagOverridesVariableAndDefault) {
  const std::map<std::string, std::string> variables = {
      {"CELERYPOST_ZONE", "from-variable"}, {"CELERYPOST_REGION", "dar"}};
  const auto read = ReadFlags(
      FlagRole::kEntry, {"--zone", "from-flag", "left", "--", "--right"},
      [&variables](const std::string& name) {
        const auto it = variables.find(name);
        return it == variables.end() ? std::nullopt
                                     : std::optional<std::string>(it->second);
      });
  CHECK_TRUE(read.has_value());
  CHECK(read->flags.at("zone") == "from-flag");
  CHECK(read->flags.at("region") == "dar");
  CHECK(read->flags.at("entry_max_age") == "5s");
  CHECK(read->positional == std::vector<std::string>({"left", "--right"}));
}

// Guards against a misspelt flag that is silently ignored, and against gflags'
// own flags (such as --flagfile), which read files.
TEST(FlagsTest, RefusesUnknownForeignAndIncompleteFlags) {
  for (const char* const arg : {"--bogus=1", "--service=x", "--flagfile=/x",
                                "--zone", "---zone=x", "--json"}) {
    const auto read = ReadFlags(
        FlagRole::kEntry, {arg},
        [](const std::string&) { return std::optional<std::string>(); });
    CHECK_FALSE_TEXT(read.has_value(), arg);
    STRCMP_CONTAINS("--", read.error().message.c_str());
  }
}

// Guards against a flag without unit or range in its help.
TEST(FlagsTest, EveryFlagHasVariableAndHelp) {
  for (const FlagRole role :
       {FlagRole::kEntry, FlagRole::kAgent, FlagRole::kCtl}) {
    for (const FlagDescription& flag : DescribeFlags(role)) {
      STRCMP_CONTAINS("CELERYPOST_", flag.variable.c_str());
      STRCMP_CONTAINS(";", flag.help.c_str());
    }
  }
}

}  // namespace
}  // namespace celerypost
