#include "src/process/operator_api.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "src/process/membership_client.h"
#include "tests/support/virtual_fleet.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::seconds;

class RecordingResponder : public HttpResponder {
 public:
  void Start(int code, const HttpHeaders&) override { this->status = code; }
  void Write(std::string_view bytes) override { this->body.append(bytes); }
  void End() override {}
  void Abort() override {}
  void CloseConnectionAfter() override {}
  void OnClosed(std::function<void()>) override {}
  bool closed() const override { return false; }

  int status = 0;
  std::string body;
};

FleetOptions SmallFleet() {
  FleetOptions options;
  options.entries = 4;
  options.agents = 4;
  return options;
}

TEST_GROUP(OperatorApiTest) {
  VirtualFleet fleet{SmallFleet()};
  bool allowed = true;
  std::unique_ptr<OperatorApi> api;

  void setup() override {
    OperatorApiOptions options;
    options.authenticate = [this](const HttpRequest&) -> Result<void> {
      if (!this->allowed) {
        return NotRun(ErrorCode::kUnauthenticated, "no proof");
      }
      return {};
    };
    this->api = std::make_unique<OperatorApi>(
        options, *this->fleet.node(0).commits, *this->fleet.node(0).gossip);
    this->fleet.RunFor(seconds(3));
  }
  std::shared_ptr<RecordingResponder> Call(const std::string& method,
                                           const std::string& path,
                                           const std::string& body) {
    auto responder = std::make_shared<RecordingResponder>();
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    this->api->Handle(request, responder);
    this->fleet.RunFor(seconds(5));
    return responder;
  }
  std::shared_ptr<RecordingResponder> ZoneOut(const std::string& id) {
    return this->Call("POST", "/v1/operator/changes",
                      R"({"id":")" + id + R"(","who":"asha","why":"test",)" +
                          R"("kind":"zone_out","zone":"zone-1"})");
  }
};

// Guards against responses that differ from the documented API (section 10.5 of
// the design page).
TEST(OperatorApiTest, ChangeStatusAndAudit) {
  const auto first = this->ZoneOut("c1");
  LONGS_EQUAL(200, first->status);
  CHECK(nlohmann::json::parse(first->body)["outcome"] == "accepted");
  const auto settled = this->Call("GET", "/v1/operator/changes/c1", "");
  LONGS_EQUAL(200, settled->status);
  CHECK(nlohmann::json::parse(settled->body)["number"] == 1);
  LONGS_EQUAL(404, this->Call("GET", "/v1/operator/changes/c9", "")->status);
  const auto status =
      nlohmann::json::parse(this->Call("GET", "/v1/operator/status", "")->body);
  CHECK(status["zones"]["zone-1"]["state"] == "out");
  LONGS_EQUAL(8, status["members"].size());
  const auto audit = nlohmann::json::parse(
      this->Call("GET", "/v1/operator/audit?last=5", "")->body);
  CHECK(audit["changes"][0]["who"] == "asha");
}

// Guards against a repeated request that is applied twice or fails.
TEST(OperatorApiTest, RepeatedIdGetsTheSameAnswer) {
  this->ZoneOut("c1");
  const auto again = this->ZoneOut("c1");
  LONGS_EQUAL(200, again->status);
  LONGS_EQUAL(1, this->fleet.store.history["celerypost/config"].size());
}

// Guards against invalid input that changes something or gets no explanation.
TEST(OperatorApiTest, RefusesBadInput) {
  const auto missing =
      this->Call("POST", "/v1/operator/changes", R"({"id":"c1"})");
  LONGS_EQUAL(400, missing->status);
  CHECK(missing->body.find("\\\"kind\\\"") != std::string::npos);
  LONGS_EQUAL(400, this->Call("GET", "/v1/operator/audit?last=x", "")->status);
  LONGS_EQUAL(404, this->Call("DELETE", "/v1/operator/status", "")->status);
  this->allowed = false;
  LONGS_EQUAL(401, this->ZoneOut("c2")->status);
  CHECK_TRUE(this->fleet.store.history["celerypost/config"].empty());
}

// Guards against "accepted" while the key-value service is down.
TEST(OperatorApiTest, OutageIsUnavailable) {
  this->fleet.store.SetUp(false);
  LONGS_EQUAL(503, this->ZoneOut("c1")->status);
}

TEST_GROUP(MembershipClientTest){};

// Guards against a malformed list that is accepted in part.
TEST(MembershipClientTest, ParsesTheListOrNamesTheField) {
  const auto members = ParseMembers(
      R"({"members":[{"vm":"v1","role":"agent","peer_address":"10.0.0.1:7000",
          "zone":"dar-a","region":"dar","service":"s","state":"leaving"}]})");
  CHECK_TRUE((*members)[0].leaving);
  CHECK((*members)[0].role == Role::kAgent);
  const auto bad = ParseMembers(R"({"members":[{"vm":"v1","role":"x",
      "peer_address":"a","zone":"z","region":"r","state":"live"}]})");
  CHECK(bad.error().message.find("members[0].role") != std::string::npos);
  CHECK_FALSE(ParseMembers("nonsense").has_value());
}

}  // namespace
}  // namespace celerypost
