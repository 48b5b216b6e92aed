#include "src/process/audit_trail.h"

#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include <nlohmann/json.hpp>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

AuditRecord Record(uint64_t number) {
  return {number,
          "ctl-1",
          "zone_out",
          "asha",
          std::chrono::system_clock::time_point(
              std::chrono::milliseconds(1765000000000)),
          "dar-a:in",
          "dar-a:out",
          "power\ncut \"2\" \xff"};
}

TEST_GROUP(AuditTrailTest) {
  std::filesystem::path directory;

  void setup() override {
    char name[] = "/tmp/audit_trail_test_XXXXXX";
    this->directory = mkdtemp(name);
  }
  void teardown() override {
    std::filesystem::remove_all(this->directory);
  }

  std::string Content() {
    std::ifstream in(this->directory / "audit");
    return {std::istreambuf_iterator<char>(in), {}};
  }
};

// Guards against a record without who, when, from, to or why, and against text
// that breaks its line.
TEST(AuditTrailTest, AppendsOneLinePerRecord) {
  const auto path = (this->directory / "audit").string();
  {
    auto trail = AuditTrail::Make({path, 10});
    CHECK_TRUE(trail.has_value());
    CHECK_TRUE((*trail)->Append(Record(1)).has_value());
  }
  auto reopened = AuditTrail::Make({path, 10});
  CHECK_TRUE(reopened.has_value());
  CHECK_TRUE((*reopened)->Append(Record(2)).has_value());
  const std::string content = this->Content();
  LONGS_EQUAL(2, std::count(content.begin(), content.end(), '\n'));
  STRCMP_EQUAL(
      R"({"number":1,"id":"ctl-1","kind":"zone_out","who":"asha",)"
      R"("when":"2025-12-06T05:46:40.000Z","from":"dar-a:in",)"
      "\"to\":\"dar-a:out\",\"why\":\"power\\ncut \\\"2\\\" \xef\xbf\xbd\"}",
      content.substr(0, content.find('\n')).c_str());
}

// Guards against a change that is listed twice because it also arrived by
// gossip.
TEST(AuditTrailTest, IgnoresKnownNumbers) {
  auto trail = AuditTrail::Make({(this->directory / "audit").string(), 10});
  (*trail)->Append(Record(1));
  (*trail)->Append(Record(1));
  LONGS_EQUAL(1, (*trail)->Tail(10).size());
  const std::string content = this->Content();
  LONGS_EQUAL(1, std::count(content.begin(), content.end(), '\n'));
}

// Guards against memory use that grows with the number of changes.
TEST(AuditTrailTest, KeepsTheNewestRecordsInMemory) {
  auto trail = AuditTrail::Make({"", 3});
  for (uint64_t number = 1; number <= 5; ++number) {
    CHECK_TRUE((*trail)->Append(Record(number)).has_value());
  }
  const auto tail = (*trail)->Tail(2);
  LONGS_EQUAL(2, tail.size());
  LONGS_EQUAL(4, tail[0].number);
  LONGS_EQUAL(5, tail[1].number);
  LONGS_EQUAL(3, (*trail)->Tail(100).size());
}

// Guards against a daemon that starts without the audit file it was told to
// write, and against a failed write that nobody notices.
TEST(AuditTrailTest, ReportsFilesThatCannotBeWritten) {
  const auto made = AuditTrail::Make({"/nonexistent/audit", 10});
  CHECK_FALSE(made.has_value());
  STRCMP_CONTAINS("--audit_file", made.error().message.c_str());
  STRCMP_CONTAINS("/nonexistent/audit", made.error().message.c_str());
  auto full = AuditTrail::Make({"/dev/full", 10});
  CHECK_TRUE(full.has_value());
  CHECK_FALSE((*full)->Append(Record(1)).has_value());
  LONGS_EQUAL(1, (*full)->Tail(10).size());
}

}  // namespace
}  // namespace celerypost
