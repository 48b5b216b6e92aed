#include "src/process/engine_client.h"

#include <functional>
#include <optional>
#include <string>

#include "tests/process/fake_http_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(EngineClientTest) {
  FakeHttpServer engine;
  HttpEngineClient client{this->engine.loop, this->engine.address(), {}};
  std::optional<Result<void>> result;

  std::function<void(Result<void>)> Done() {
    this->result.reset();
    return [this](Result<void> answer) { this->result = std::move(answer); };
  }
  const Result<void>& Wait() {
    this->engine.RunUntil([this] { return this->result.has_value(); });
    return *this->result;
  }
};

// Guards against a misread report, which could make weights count as verified.
TEST(EngineClientTest, ParsesTheHealthReport) {
  const std::string set = Digest::Of("s").ToHex();
  const std::string rest =
      R"(,"loaded":[")" + set +
      R"("],"fencing":{"highest":4},"load":{"in_flight":3,"queued":1}})";
  const auto health = HttpEngineClient::ParseHealth(
      R"({"start_id":"x-1","warm":true,"serving":{"version":"v7","set":")" +
      set + "\"}" + rest);
  CHECK_TRUE(health.has_value());
  CHECK(health->serving == (EngineServing{"v7", Digest::Of("s")}));
  LONGS_EQUAL(4, health->highest_fencing);
  LONGS_EQUAL(1, health->loaded.size());
  CHECK_FALSE(HttpEngineClient::ParseHealth(
                  R"({"start_id":"x","warm":true,"serving":null)" + rest)
                  ->serving.has_value());
  const auto bad = HttpEngineClient::ParseHealth(
      R"({"start_id":"x","warm":1,"serving":null)" + rest);
  CHECK(bad.error().message ==
        "engine health report: field warm is 1; accepted: true or false");
}

// Guards against orders with fields that the engine does not know, and against
// taking refusals for success.
TEST(EngineClientTest, SendsOrdersAndReadsRefusals) {
  const Digest set = Digest::Of("s");
  this->client.Switch(set, 5, Done());
  CHECK_TRUE(Wait().has_value());
  CHECK(this->engine.requests[0].path == "/admin/switch");
  CHECK(this->engine.requests[0].body ==
        R"({"fencing":5,"set":")" + set.ToHex() + "\"}");
  EngineLoadOrder order{set, "v7", 6, {}};
  order.artefacts.push_back(
      {{"base", ArtefactKind::kModel, Digest::Of("b"), 9, Digest::Of("i")},
       {Digest::Of("c")}});
  this->client.Load(order, Done());
  CHECK_TRUE(Wait().has_value());
  CHECK(this->engine.requests[1].body.find(R"("chunks":[")" +
                                           Digest::Of("c").ToHex() + "\"]") !=
        std::string::npos);
  this->engine.status = 409;
  this->client.Unload(set, 1, Done());
  CHECK(Wait().error().code == ErrorCode::kConflict);
  this->engine.status = 400;
  this->client.PutObject(set, "bytes", Done());
  CHECK(Wait().error().code == ErrorCode::kInvalidArgument);
  CHECK(this->engine.requests[3].method == "PUT");
  CHECK(this->engine.requests[3].body == "bytes");
}

// Guards against a chunk that cannot be read back for a peer.
TEST(EngineClientTest, ReadsObjectsBack) {
  this->engine.body = std::string(300000, 'x');
  std::optional<Result<std::string>> object;
  this->client.GetObject(Digest::Of("c"), [&object](Result<std::string> read) {
    object = std::move(read);
  });
  this->engine.RunUntil([&object] { return object.has_value(); });
  LONGS_EQUAL(300000, object->value().size());
}

// Guards against a call that never ends because the engine is gone.
TEST(EngineClientTest, ReportsAnEngineThatIsGone) {
  const SocketAddress address = this->engine.address();
  this->engine.server->StopListening();
  this->engine.loop.RunFor(milliseconds(10));
  HttpEngineClient gone(this->engine.loop, address, {});
  gone.Unload(Digest::Of("s"), 1, Done());
  CHECK_FALSE(Wait().has_value());
}

}  // namespace
}  // namespace celerypost
