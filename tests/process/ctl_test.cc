#include "src/process/ctl.h"

#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using nlohmann::json;

// Returns the given responses in order and records the requests.
class FakeOperatorClient : public OperatorClient {
 public:
  struct Sent {
    std::string method;
    std::string path;
    std::string body;
  };

  Result<HttpResponse> Call(std::string_view method,
                            std::string_view path,
                            std::string_view body) override {
    this->calls.push_back(
        {std::string(method), std::string(path), std::string(body)});
    if (this->answers.empty()) {
      return NotRun(ErrorCode::kUnavailable, "no more answers");
    }
    auto answer = std::move(this->answers.front());
    this->answers.pop_front();
    return answer;
  }

  std::vector<Sent> calls;
  std::deque<Result<HttpResponse>> answers;
};

Result<HttpResponse> Lost() {
  return tl::unexpected<Failure>(
      Failure{Verdict::kMayHaveRun, ErrorCode::kUnavailable, "closed"});
}

Result<HttpResponse> Answer(int status, std::string body) {
  return HttpResponse{status, {}, std::move(body)};
}

TEST_GROUP(CtlTest) {
  CtlSettings settings;
  FakeOperatorClient client;
  std::ostringstream out;
  std::ostringstream err;
  bool terminal = false;
  int sleeps = 0;
  std::filesystem::path directory;

  void setup() override {
    this->settings.who = "asha";
    this->settings.why = "power cut";
    char name[] = "/tmp/ctl_test_XXXXXX";
    this->directory = mkdtemp(name);
  }
  void teardown() override {
    std::filesystem::remove_all(this->directory);
  }

  int Run(const std::string& command,
          const std::vector<std::string>& arguments = {}) {
    this->out.str("");
    this->err.str("");
    Ctl ctl(this->settings, &this->client,
            CtlContext{this->out, this->err, this->terminal,
                       [this](std::chrono::milliseconds) { ++this->sleeps; },
                       [] { return std::string("ctl-test"); }});
    return static_cast<int>(ctl.Run(command, arguments));
  }

  std::string Write(const std::string& name, const std::string& text) {
    const auto path = this->directory / name;
    std::ofstream(path, std::ios::binary) << text;
    return path.string();
  }

  std::string Read(const std::string& name) {
    std::ifstream in(this->directory / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
};

struct ChangeCase {
  Result<HttpResponse> answer;
  int exit;
  const char* outcome;
};

// Guards against an outcome that is reported as another one: above all, a
// change that may be in force must never be called refused or unavailable.
TEST(CtlTest, ChangeOutcomesHaveTheirExitCodes) {
  const std::vector<ChangeCase> cases = {
      {Answer(200, R"({"outcome": "accepted", "number": 13})"), 0, "accepted"},
      {Answer(409, R"({"outcome": "refused_newer", "number": 14})"), 1,
       "refused_newer"},
      {Answer(400, R"({"error": {"message": "zone: unknown"}})"), 1, "refused"},
      {Answer(401, ""), 1, "refused"},
      {Answer(503, R"({"outcome": "unavailable"})"), 3, "unavailable"},
      {Answer(503, R"({"outcome": "region_unreachable"})"), 3,
       "region_unreachable"},
      {NotRun(ErrorCode::kUnavailable, "connection refused"), 3, "unavailable"},
      {Answer(504, R"({"outcome": "unknown", "id": "ctl-test"})"), 4,
       "unknown"},
      {Lost(), 4, "unknown"},
      {Answer(200, "accepted"), 4, "unknown"},
      {Answer(200, R"({"outcome": "unknown"})"), 4, "unknown"},
      {Answer(503, ""), 4, "unknown"},
      {Answer(502, "<html>"), 4, "unknown"},
      {Answer(500, R"({"outcome": "unavailable"})"), 4, "unknown"},
  };
  for (const bool use_json : {false, true}) {
    this->settings.json = use_json;
    for (const ChangeCase& each : cases) {
      this->client.answers = {each.answer};
      LONGS_EQUAL_TEXT(each.exit, this->Run("zone-out", {"dar-a"}),
                       each.outcome);
      const bool explains =
          this->err.str().find("celerypost ctl change ctl-test") !=
          std::string::npos;
      CHECK_EQUAL_TEXT(each.exit == 4, explains, each.outcome);
      if (use_json) {
        const auto printed = json::parse(this->out.str(), nullptr, false);
        CHECK(printed["outcome"] == each.outcome);
        CHECK(printed["id"] == "ctl-test");
      } else {
        CHECK_EQUAL(each.exit == 0, !this->out.str().empty());
      }
    }
  }
}

// Guards against a request body that the operators' API does not accept
// (section 10.5 of the design page).
TEST(CtlTest, SendsChanges) {
  this->settings.expected_number = 12;
  this->Run("zone-in", {"dar-a"});
  this->settings.change_id = "mine";
  this->Run("commit", {this->Write("m.json", R"({"format": 1})")});
  LONGS_EQUAL(2, this->client.calls.size());
  STRCMP_EQUAL("POST", this->client.calls[0].method.c_str());
  STRCMP_EQUAL("/v1/operator/changes", this->client.calls[0].path.c_str());
  CHECK(json::parse(this->client.calls[0].body) ==
        json({{"id", "ctl-test"},
              {"who", "asha"},
              {"why", "power cut"},
              {"kind", "zone_in"},
              {"zone", "dar-a"},
              {"expected_number", 12}}));
  const auto commit = json::parse(this->client.calls[1].body);
  CHECK(commit["id"] == "mine");
  CHECK(commit["kind"] == "manifest");
  CHECK(commit["manifest"] == json({{"format", 1}}));
}

// Guards against a request that is sent for a wrong command line or file.
TEST(CtlTest, SendsNothingForWrongInput) {
  LONGS_EQUAL(2, this->Run("zone-out"));
  LONGS_EQUAL(2, this->Run("zone-out", {"dar-a", "muscat-a"}));
  LONGS_EQUAL(2, this->Run("status", {"x"}));
  LONGS_EQUAL(2, this->Run("bogus"));
  LONGS_EQUAL(2, this->Run("change", {"../status"}));
  LONGS_EQUAL(2, this->Run("commit", {"/nonexistent"}));
  LONGS_EQUAL(2, this->Run("commit", {this->directory.string()}));
  LONGS_EQUAL(2, this->Run("commit", {this->Write("bad.json", "{\"a\":")}));
  LONGS_EQUAL(2, this->Run("commit", {this->Write("list.json", "[]")}));
  LONGS_EQUAL(2, this->Run("commit", {this->Write("large.json",
                                                  std::string(1000001, ' '))}));
  STRCMP_CONTAINS("larger than 1000000 bytes", this->err.str().c_str());
  this->settings.why = "";
  LONGS_EQUAL(2, this->Run("zone-out", {"dar-a"}));
  STRCMP_CONTAINS("--why: value is missing", this->err.str().c_str());
  this->settings.who = "";
  LONGS_EQUAL(2, this->Run("zone-out", {"dar-a"}));
  LONGS_EQUAL(0, this->client.calls.size());
}

// Guards against a misinterpreted response to a query by id: above all, a query
// without a response must not be reported as "nothing was changed".
TEST(CtlTest, ChangeResolvesAnOutcome) {
  const std::vector<ChangeCase> cases = {
      {Answer(200, R"({"outcome": "accepted", "number": 13})"), 0, ""},
      {Answer(409, R"({"outcome": "refused_newer", "number": 14})"), 1, ""},
      {Answer(503, R"({"outcome": "unavailable", "message": "m"})"), 4, ""},
      {Answer(500, ""), 4, ""},
      {Answer(401, ""), 4, ""},
      {Lost(), 4, ""},
      {NotRun(ErrorCode::kUnavailable, "connection refused"), 4, ""},
      {Answer(504, R"({"outcome": "unknown"})"), 4, ""},
      {Answer(200, "{}"), 4, ""},
  };
  for (const ChangeCase& each : cases) {
    this->client.answers = {each.answer};
    LONGS_EQUAL(each.exit, this->Run("change", {"ctl-9"}));
    CHECK(this->err.str().find("not changed") == std::string::npos);
    STRCMP_EQUAL("/v1/operator/changes/ctl-9",
                 this->client.calls.back().path.c_str());
  }
}

// Guards against a change that is reported as "not applied" while the entry
// that received it may still store it.
TEST(CtlTest, ChangeWaitsBeforeItReportsNotApplied) {
  this->settings.interval = std::chrono::milliseconds(2000);
  for (int i = 0; i < 4; ++i) {
    this->client.answers.push_back(Answer(404, "{}"));
  }
  LONGS_EQUAL(1, this->Run("change", {"ctl-9"}));
  LONGS_EQUAL(3, this->sleeps);
  LONGS_EQUAL(0, this->client.answers.size());
  this->client.answers = {Answer(404, "{}"),
                          Answer(200, R"({"outcome": "accepted"})")};
  LONGS_EQUAL(0, this->Run("change", {"ctl-9"}));
}

// Guards against tables that lose members, and against escape sequences that
// another operator's text sends to this terminal.
TEST(CtlTest, ShowsStatusAndAudit) {
  const std::string status =
      R"({"number": 12, "zones": {"dar-a": {"region": "dar", "state": "out"}},)"
      R"("services": [], "members": [{"vm": "vm1", "role": "agent"},)"
      R"({"vm": "\u001b[2Jvm2", "load": {"queued": 1}}]})";
  this->client.answers = {Answer(200, status)};
  LONGS_EQUAL(0, this->Run("status"));
  STRCMP_EQUAL(
      "configuration number 12\n"
      "\nzones\nZONE   REGION  STATE\ndar-a  dar     out\n"
      "\nservices\nnone\n"
      "\nmembers\nROLE   VM       LOAD\nagent  vm1\n"
      "       ?[2Jvm2  {\"queued\":1}\n",
      this->out.str().c_str());
  this->settings.audit_record_count = 5;
  this->client.answers = {
      Answer(200, R"({"changes": [{"number": 12, "who": "asha"}]})")};
  LONGS_EQUAL(0, this->Run("audit"));
  STRCMP_EQUAL("/v1/operator/audit?last=5",
               this->client.calls.back().path.c_str());
  STRCMP_EQUAL("NUMBER  WHO\n12      asha\n", this->out.str().c_str());
  this->settings.json = true;
  this->client.answers = {Answer(200, status)};
  LONGS_EQUAL(0, this->Run("status"));
  CHECK(json::parse(this->out.str()) == json::parse(status));
}

// Guards against exit code 0 after a failed read.
TEST(CtlTest, ReadsReportFailures) {
  for (const char* const command : {"status", "audit", "rollout"}) {
    this->client.answers = {Answer(401, "{}"), Answer(500, "x"),
                            Answer(200, "[]"), Lost()};
    LONGS_EQUAL(1, this->Run(command));
    for (int i = 0; i < 3; ++i) {
      LONGS_EQUAL(3, this->Run(command));
      CHECK_FALSE(this->err.str().empty());
    }
  }
  this->client.answers = {Answer(200, "{}")};
  LONGS_EQUAL(3, this->Run("audit"));
}

std::string Rollouts(int number, int ready) {
  return R"({"number": )" + std::to_string(number) +
         R"(, "rollouts": [{"service": "summary-llm", "version": "v7",)"
         R"("replicas": 4, "replicas_ready": )" +
         std::to_string(ready) + R"(, "chunks_held": 3, "chunks_total": 4}]})";
}

// Guards against `rollout --follow` ending early, never, or at the first lost
// response.
TEST(CtlTest, FollowsARollout) {
  this->settings.follow = true;
  this->settings.expected_number = 13;
  this->client.answers = {
      Answer(200, Rollouts(12, 4)), Answer(200, Rollouts(13, 2)), Lost(),
      Answer(200, Rollouts(13, 2)), Answer(200, Rollouts(13, 4))};
  LONGS_EQUAL(0, this->Run("rollout"));
  LONGS_EQUAL(4, this->sleeps);
  STRCMP_EQUAL(
      "summary-llm v7 [##############################] 4/4 replicas ready, "
      "3/4 chunks\n"
      "summary-llm v7 [###############-------        ] 2/4 replicas ready, "
      "3/4 chunks\n"
      "summary-llm v7 [##############################] 4/4 replicas ready, "
      "3/4 chunks\n",
      this->out.str().c_str());
  this->terminal = true;
  this->client.answers = {Answer(200, Rollouts(13, 2)),
                          Answer(200, Rollouts(13, 4))};
  LONGS_EQUAL(0, this->Run("rollout"));
  STRCMP_CONTAINS("chunks\n\x1b[1A\x1b[Jsummary", this->out.str().c_str());
}

// Guards against `rollout --follow` waiting forever for an entry that does not
// return.
TEST(CtlTest, FollowGivesUp) {
  this->settings.follow = true;
  this->client.answers = {Answer(200, Rollouts(13, 2))};
  LONGS_EQUAL(3, this->Run("rollout"));
  CHECK(this->sleeps > 3);
}

// Guards against a division by zero and a bar that exceeds its width.
TEST(CtlTest, ShowsUnusualProgress) {
  this->client.answers = {Answer(
      200, R"({"rollouts": [{"service": "a", "version": "v", "replicas": 0,)"
           R"("replicas_ready": 0}, {"service": "b", "version": "v",)"
           R"("replicas": 1, "replicas_ready": 18446744073709551615}]})")};
  LONGS_EQUAL(0, this->Run("rollout"));
  STRCMP_EQUAL(
      "a v [                              ] no replicas yet\n"
      "b v [##############################] 18446744073709551615/1 replicas "
      "ready\n",
      this->out.str().c_str());
}

const char* const kDescription =
    R"({"name": "n1", "services": [{"name": "summary-llm", "kind": "engine",)"
    R"("zones": ["dar-a"], "limits": {"cold": 2, "full": 32,)"
    R"("warm_up_ms": 4000, "min_serving": 1}, "set": {"version": "v7",)"
    R"("artefacts": [{"name": "base", "kind": "model", "file": "base.bin"}]}}]})";

// Guards against a manifest or an index document that agents refuse.
TEST(CtlTest, MakesAManifest) {
  this->Write("base.bin", std::string(4096, 'a') + "tail");
  const std::string file = this->Write("d.json", kDescription);
  this->settings.output_directory = (this->directory / "out").string();
  this->settings.manifest_name = "2026-12-04.1";
  this->settings.chunk_bytes = 4096;
  LONGS_EQUAL(0, this->Run("make-manifest", {file}));
  const auto manifest = json::parse(this->Read("out/manifest.json"));
  CHECK(manifest["format"] == 1);
  CHECK(manifest["name"] == "2026-12-04.1");
  const auto& artefact = manifest["services"][0]["set"]["artefacts"][0];
  LONGS_EQUAL(4100, artefact["size"].get<int>());
  CHECK_FALSE(artefact.contains("file"));
  const std::string digest = artefact["digest"];
  CHECK(this->Read("out/artefacts/" + digest) == this->Read("base.bin"));
  const auto index =
      json::parse(this->Read("out/objects/" + std::string(artefact["index"])));
  // printf tail | sha256sum
  CHECK(index["chunks"][1] ==
        "0c62f876ef1dea830de9f32c2f4b46dd6d74d50d15896e09ef5a2fcd4ac7e1d7");
  LONGS_EQUAL(2, index["chunks"].size());
  LONGS_EQUAL(4096, index["chunk_size"].get<int>());
  LONGS_EQUAL(4100, index["size"].get<int>());
  LONGS_EQUAL(0, this->Run("make-manifest", {file}));
}

// Guards against a manifest of files that are missing or empty, and against an
// error that does not name the field.
TEST(CtlTest, RefusesWrongDescriptions) {
  this->settings.output_directory = (this->directory / "out").string();
  const std::string file = this->Write("d.json", kDescription);
  LONGS_EQUAL(2, this->Run("make-manifest", {file}));
  STRCMP_CONTAINS("services[0].set.artefacts[0].file", this->err.str().c_str());
  this->Write("base.bin", "");
  LONGS_EQUAL(2, this->Run("make-manifest", {file}));
  STRCMP_CONTAINS("is empty", this->err.str().c_str());
  this->Write("base.bin", "x");
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"model\"", "\"tokens\""},
           {"\"n1\"", "7"},
           {"\"cold\": 2", "\"cold\": 0"},
           {"\"services\"", "\"other\""},
           {"{\"name\"", "{\"format\": 2, \"name\""}}) {
    std::string text = kDescription;
    const size_t at = text.find(from);
    if (at != std::string::npos) {
      text.replace(at, from.size(), to);
      LONGS_EQUAL(2, this->Run("make-manifest", {this->Write("e.json", text)}));
      CHECK_FALSE(this->err.str().empty());
    }
  }
  CHECK_FALSE(std::filesystem::exists(this->directory / "out"));
  this->settings.output_directory = "/proc/out";
  LONGS_EQUAL(3, this->Run("make-manifest", {file}));
}

// Guards against ids that repeat or that an entry refuses (at most 64 bytes).
TEST(CtlTest, MakesChangeIds) {
  LONGS_EQUAL(36, MakeChangeId().size());
  CHECK(MakeChangeId() != MakeChangeId());
}

}  // namespace
}  // namespace celerypost
