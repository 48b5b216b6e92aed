#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/connection/http_server.h"
#include "src/process/engine_client.h"
#include "src/process/origin_client.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// A server that records requests and answers what a test sets.
struct FakeServer {
  FakeServer() {
    auto made = HttpServer::Make(
        this->loop, {},
        [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
          this->requests.push_back(std::move(request));
          responder->Send(this->status, this->headers, this->body);
        });
    CHECK_TRUE(made.has_value());
    this->server = std::move(*made);
  }
  SocketAddress address() const { return {"127.0.0.1", this->server->port()}; }
  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 500 && !done(); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(done());
  }

  Loop loop;
  std::unique_ptr<HttpServer> server;
  std::vector<HttpRequest> requests;
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

TEST_GROUP(OriginClientTest) {
  FakeServer origin;
  std::optional<TransferResult> result;

  const TransferResult& Range() {
    this->result.reset();
    OriginClient client(this->origin.loop, this->origin.address(), {});
    const auto transfer = client.RequestRange(
        Digest::Of("a"), 10, 4,
        [this](TransferResult answer) { this->result = std::move(answer); });
    this->origin.RunUntil([this] { return this->result.has_value(); });
    return *this->result;
  }
};

// Guards against a range that is off by one, and against a truncated answer
// that is taken for a chunk.
TEST(OriginClientTest, AsksForTheRangeAndChecksItsLength) {
  this->origin.status = 206;
  this->origin.body = "four";
  CHECK(Range().value() == "four");
  CHECK(FindHeader(this->origin.requests[0].headers, "range") == "bytes=10-13");
  CHECK(this->origin.requests[0].path ==
        "/artefacts/" + Digest::Of("a").ToHex());
  this->origin.body = "fou";
  CHECK(Range().error().code == ErrorCode::kCorrupt);
  // An origin that ignores the range sends other bytes.
  this->origin.status = 200;
  this->origin.body = "four";
  CHECK_FALSE(Range().has_value());
}

// Guards against refusals that are retried before the origin allows it.
TEST(OriginClientTest, ReadsRetryAfter) {
  this->origin.status = 429;
  this->origin.headers = {{"retry-after", "3"}};
  const TransferFailure refused = Range().error();
  CHECK(refused.code == ErrorCode::kOverloaded);
  CHECK(refused.retry_after == milliseconds(3000));
  this->origin.headers = {{"retry-after", "soon"}};
  CHECK_FALSE(Range().error().retry_after.has_value());
  this->origin.status = 404;
  CHECK(Range().error().code == ErrorCode::kNotFound);
}

// Guards against a callback after the transfer was cancelled.
TEST(OriginClientTest, DestroyedTransferIsSilent) {
  OriginClient client(this->origin.loop, this->origin.address(), {});
  auto transfer = client.RequestIndex(
      Digest::Of("i"),
      [this](TransferResult answer) { this->result = std::move(answer); });
  transfer.reset();
  for (int i = 0; i < 5; ++i) {
    this->origin.loop.RunFor(milliseconds(10));
  }
  CHECK_FALSE(this->result.has_value());
}

TEST_GROUP(EngineClientTest) {
  FakeServer engine;
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

// Guards against a report that is read wrongly and weights that are taken for
// verified.
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

// Guards against orders whose fields the engine does not know, and refusals
// that are taken for success.
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

// Guards against an engine that is gone and whose failure is never reported.
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
