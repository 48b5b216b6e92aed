#include "src/process/log.h"

#include <chrono>
#include <cmath>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/process/request_signature.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(LogTest) {
  std::vector<std::string> lines;

  Log MakeLog(LogLevel level, std::vector<std::string> secrets = {}) {
    return Log(
        {level, "agent", ZoneName("dar-a"), InstanceId{255},
         std::move(secrets)},
        [this](LogLevel, std::string_view line) {
          this->lines.emplace_back(line);
        },
        [] {
          return std::chrono::system_clock::time_point(
              std::chrono::milliseconds(1765000000007));
        });
  }
};

// Guards against lines without the members that operators search for.
TEST(LogTest, WritesAllMembers) {
  Log log = this->MakeLog(LogLevel::kInfo);
  log.Info("target_cold", "the target restarted",
           {{"limit", 2},
            {"bytes", uint64_t{1} << 63},
            {"ok", true},
            {"share", 0.5},
            {"service", "summary-llm"}},
           "v3-1-2");
  STRCMP_EQUAL(
      R"({"time":"2025-12-06T05:46:40.007Z","level":"info","role":"agent",)"
      R"("zone":"dar-a","instance":"00000000000000ff","event":"target_cold",)"
      R"("message":"the target restarted","request_id":"v3-1-2",)"
      R"("fields":{"limit":2,"bytes":9223372036854775808,"ok":true,)"
      R"("share":0.5,"service":"summary-llm"}})",
      this->lines.at(0).c_str());
}

// Guards against hostile text that ends a line, forges a member or is not
// valid JSON.
TEST(LogTest, EscapesHostileText) {
  const std::vector<std::string> hostile = {"a\",\"level\":\"error",
                                            "line\nbreak\r",
                                            std::string("zero\0byte", 9),
                                            "\x1b[2J",
                                            "\xff\xfe not UTF-8",
                                            "\\u0000",
                                            "\xed\xa0\x80"};
  Log log = this->MakeLog(LogLevel::kInfo);
  for (const std::string& text : hostile) {
    this->lines.clear();
    log.Info("event", text, {{text, text}}, text);
    const std::string& line = this->lines.at(0);
    CHECK(line.find_first_of(std::string("\n\r\0\x1b", 4)) ==
          std::string::npos);
    const auto json = nlohmann::json::parse(line, nullptr, false);
    CHECK_TRUE(json.is_object());
    LONGS_EQUAL(9, json.size());
    CHECK(json["level"] == "info");
    LONGS_EQUAL(1, json["fields"].size());
  }
}

// Guards against numbers that JSON cannot represent.
TEST(LogTest, WritesNullForNumbersThatAreNotFinite) {
  Log log = this->MakeLog(LogLevel::kInfo);
  log.Info("event", "", {{"nan", std::nan("")}, {"inf", HUGE_VAL}});
  STRCMP_CONTAINS(R"({"nan":null,"inf":null})", this->lines.at(0).c_str());
}

// Guards against the shared key in logs, wherever a caller or peer put it.
TEST(LogTest, ReplacesSecretsEverywhere) {
  const std::string key = "the shared key";
  Log log = this->MakeLog(LogLevel::kDebug, {key, "short"});
  log.Debug("event", "got " + key + key, {{"header", "x" + key}}, key);
  log.Debug("event", "a short text");
  CHECK(this->lines.at(0).find(key) == std::string::npos);
  STRCMP_CONTAINS("got [redacted][redacted]", this->lines.at(0).c_str());
  STRCMP_CONTAINS("a short text", this->lines.at(1).c_str());
}

// Guards against a replacement that finds the secret in its own result and
// never ends.
TEST(LogTest, ReplacesASecretThatIsPartOfTheReplacement) {
  Log log = this->MakeLog(LogLevel::kInfo, {"redacted"});
  log.Info("event", "redacted");
  STRCMP_CONTAINS("\"[redacted]\"", this->lines.at(0).c_str());
}

// Guards against a log field that can be constructed from the key.
TEST(LogTest, KeyIsNotAField) {
  CHECK_FALSE((std::is_constructible_v<LogField, std::string_view, SharedKey>));
  CHECK_FALSE((std::is_convertible_v<SharedKey, std::string>));
}

// Guards against debug lines in production, or lost errors.
TEST(LogTest, DropsLinesBelowTheLevel) {
  Log log = this->MakeLog(LogLevel::kWarn);
  log.Debug("a", "");
  log.Info("b", "");
  log.Warn("c", "");
  log.Error("d", "");
  LONGS_EQUAL(2, this->lines.size());
  STRCMP_CONTAINS("\"event\":\"d\"", this->lines.at(1).c_str());
}

// Guards against a level name that its own parser refuses.
TEST(LogTest, ParsesLevelNames) {
  for (const auto level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarn, LogLevel::kError}) {
    CHECK(ParseLogLevel(LogLevelName(level)) == level);
  }
  CHECK_FALSE(ParseLogLevel("INFO").has_value());
}

// Guards against times that change when they are written and read back.
TEST(LogTest, ParsesTheTimesItWrites) {
  const std::chrono::system_clock::time_point time(
      std::chrono::milliseconds(1765000000007));
  CHECK(ParseTime(FormatTime(time)) == time);
  CHECK_TRUE(ParseTime("2026-12-04T05:37:47Z").has_value());
  for (const char* const bad :
       {"", "2026-12-04", "2026-12-04T05:37:47", "2026-12-04T05:37:47.xyzZ",
        "2026-12-04T05:37:47+03:00"}) {
    CHECK_FALSE_TEXT(ParseTime(bad).has_value(), bad);
  }
}

}  // namespace
}  // namespace celerypost
