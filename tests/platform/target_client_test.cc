#include "platform/target_client.h"

#include <memory>
#include <optional>
#include <string>

#include "src/connection/http1_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost::platform {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxIterations = 200;

TEST_GROUP(WeightOriginClientTest) {
  Loop loop;

  // Asks an origin that answers with `manifest` for version 2 of model m.
  Result<ChunkDigests> GetDigests(const std::string& manifest) {
    MemoryBudget memory(this->loop, {}, {});
    auto origin = Http1Server::Make(
        this->loop, "127.0.0.1", 0, memory,
        [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& out) {
          out->SendJson(200, manifest);
        });
    WeightOriginClient client(this->loop, {"127.0.0.1", (*origin)->port()}, {});
    std::optional<Result<ChunkDigests>> result;
    client.GetDigests("m", 2, [&](Result<ChunkDigests> digests) {
      result = std::move(digests);
    });
    for (int i = 0; i < kMaxIterations && !result; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(result.has_value());
    return *result;
  }
};

// Guards against weights that are checked against the digests of another
// version, from an earlier answer that the origin sent once more.
TEST(WeightOriginClientTest, RefusesTheManifestOfAnotherVersion) {
  const auto digests =
      this->GetDigests(R"({"model":"m","version":2,"hashes":[]})");
  CHECK_TRUE(digests.has_value());
  CHECK_EQUAL(2, digests->version);
  for (const char* const other :
       {R"({"model":"m","version":1,"hashes":[]})",
        R"({"model":"n","version":2,"hashes":[]})",
        R"({"model":"m","version":"2","hashes":[]})"}) {
    const auto refused = this->GetDigests(other);
    CHECK_FALSE_TEXT(refused.has_value(), other);
    CHECK_TRUE(refused.error().code == ErrorCode::kCorrupt);
  }
}

TEST_GROUP(TargetReportTest) {
  Loop loop;

  // Asks a target that answers with `report`.
  Result<TargetReport> GetReport(const std::string& report) {
    MemoryBudget memory(this->loop, {}, {});
    auto target = Http1Server::Make(
        this->loop, "127.0.0.1", 0, memory,
        [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& out) {
          out->SendJson(200, report);
        });
    TargetClient client(this->loop, {"127.0.0.1", (*target)->port()}, {});
    std::optional<Result<TargetReport>> result;
    client.GetReport(
        [&](Result<TargetReport> got) { result = std::move(got); });
    for (int i = 0; i < kMaxIterations && !result; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(result.has_value());
    return *result;
  }
};

// Guards against an order that expects a number of which the target has said
// nothing, and against a stager that ends on a deeply nested report.
TEST(TargetReportTest, RefusesReportsThatCannotBeRead) {
  const auto good = this->GetReport(
      R"({"models":[{"name":"m","version":1}],"busy":true,"sequence":2})");
  CHECK_EQUAL(2, good->sequence);
  for (const std::string& odd :
       {std::string(R"({"models":[],"sequence":1e300})"),
        std::string(R"({"models":[],"sequence":-1})"),
        std::string(R"({"models":[{"name":"m","version":1e300}]})"),
        std::string(R"({"models":[],"new":)") + std::string(500'000, '[') +
            std::string(500'000, ']') + "}"}) {
    CHECK_FALSE_TEXT(this->GetReport(odd).has_value(),
                     odd.substr(0, 60).c_str());
  }
}

// Guards against a malformed pace that hides the rest of the report, and
// against one that is taken for a number.
TEST(TargetReportTest, ReadsThePaceAndLeavesOutMalformedOnes) {
  const auto slow = this->GetReport(R"({"models":[],"pace":2.5})");
  DOUBLES_EQUAL(2.5, *slow->pace, 1e-9);
  for (const char* const odd :
       {R"({"models":[]})", R"({"models":[],"pace":"2.5"})",
        R"({"models":[],"pace":null})", R"({"models":[],"pace":0})",
        R"({"models":[],"pace":-1})", R"({"models":[],"pace":[2]})"}) {
    const auto report = this->GetReport(odd);
    CHECK_TRUE_TEXT(report.has_value(), odd);
    CHECK_FALSE_TEXT(report->pace.has_value(), odd);
  }
}

}  // namespace
}  // namespace celerypost::platform
