#include "src/process/etcd_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/connection/http_server.h"
#include "src/connection/loop.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(EtcdClientTest) {
  Loop loop;
  std::vector<std::pair<std::string, nlohmann::json>> requests;
  // Answer to the next request; if empty, the response is started and kept
  // open.
  std::string answer;
  int status = 200;
  std::shared_ptr<HttpResponder> open;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<EtcdClient> client;

  void setup() override {
    auto made = HttpServer::Make(
        this->loop, HttpServerOptions{},
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
          this->requests.emplace_back(
              request.path,
              nlohmann::json::parse(request.body, nullptr, false));
          if (!this->answer.empty()) {
            responder->SendJson(this->status, this->answer);
            return;
          }
          this->open = responder;
          responder->Start(200, {});
        });
    this->server = std::move(*made);
    EtcdClientOptions options;
    options.call_timeout = milliseconds(200);
    this->client = std::make_unique<EtcdClient>(
        this->loop, SocketAddress{"127.0.0.1", this->server->port()}, options);
  }
  // Runs the loop until `done`, at most 5 s.
  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 500 && !done(); ++i) {
      this->loop.RunFor(milliseconds(10));
    }
    CHECK_TRUE(done());
  }
};

// Guards against keys or values that base64 encoding changes.
TEST(EtcdClientTest, Base64RoundTrip) {
  for (const std::string& text :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff", 2)}) {
    CHECK(*DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK(EncodeBase64("celerypost/config") == "Y2VsZXJ5cG9zdC9jb25maWc=");
  CHECK_FALSE(DecodeBase64("a").has_value());
  CHECK_FALSE(DecodeBase64("????").has_value());
}

// Guards against misread numbers: etcd's JSON gateway sends them as strings.
TEST(EtcdClientTest, ReadsARange) {
  this->answer = R"({"header":{"revision":"42"},"kvs":[{"key":"YQ==",
      "value":"Yg==","mod_revision":"17"}],"count":"1"})";
  std::optional<Result<KeyValueRange>> range;
  this->client->GetRange(KeyRange{"a", "c"}, false,
                         [&](Result<KeyValueRange> got) { range = got; });
  this->RunUntil([&] { return range.has_value(); });
  LONGS_EQUAL(42, (*range)->revision);
  LONGS_EQUAL(17, (*range)->items[0].mod_revision);
  CHECK((*range)->items[0].value == "b");
  CHECK(this->requests[0].second["range_end"] == "Yw==");
  LONGS_EQUAL(1, this->client->Calls().reads);
}

// Guards against a write without its comparison.
TEST(EtcdClientTest, TransactionComparesTheRevision) {
  this->answer = R"({"header":{"revision":"43"},"succeeded":true})";
  std::optional<Result<KeyValueTransactionResult>> result;
  this->client->Transact(
      KeyValueTransaction{"a", 17, "b", {{"c", "d"}}},
      [&](Result<KeyValueTransactionResult> got) { result = got; });
  this->RunUntil([&] { return result.has_value(); });
  CHECK_TRUE((*result)->succeeded);
  const auto& body = this->requests[0].second;
  CHECK(body["compare"][0]["mod_revision"] == "17");
  LONGS_EQUAL(2, body["success"].size());
  // etcd's JSON gateway leaves "succeeded" out when it is false.
  this->answer = R"({"header":{"revision":"44"}})";
  result.reset();
  this->client->Transact(
      KeyValueTransaction{"a", 0, "b", {}},
      [&](Result<KeyValueTransactionResult> got) { result = got; });
  this->RunUntil([&] { return result.has_value(); });
  CHECK_FALSE((*result)->succeeded);
  CHECK(this->requests[1].second["compare"][0]["target"] == "CREATE");
}

// Guards against the verdict "not run" for a write that may have taken effect.
TEST(EtcdClientTest, SilenceAndErrorsMayHaveRun) {
  std::optional<Result<KeyValueTransactionResult>> result;
  const auto transact = [&] {
    result.reset();
    this->client->Transact(
        KeyValueTransaction{"a", 0, "b", {}},
        [&](Result<KeyValueTransactionResult> got) { result = got; });
    this->RunUntil([&] { return result.has_value(); });
    return result->error().verdict;
  };
  CHECK(transact() == Verdict::kMayHaveRun);
  this->answer = "{}";
  this->status = 503;
  CHECK(transact() == Verdict::kMayHaveRun);
  this->server->StopListening();
  this->server.reset();
  this->client = std::make_unique<EtcdClient>(
      this->loop, SocketAddress{"127.0.0.1", 1}, EtcdClientOptions{});
  CHECK(transact() == Verdict::kNotRun);
}

// Guards against losing an event that arrives in two parts, and against a
// broken watch that looks like one without changes.
TEST(EtcdClientTest, WatchReportsChangesAndItsEnd) {
  std::vector<KeyValue> seen;
  bool ended = false;
  const auto watch = this->client->Watch(
      KeyRange{"a", "c"}, 5,
      [&](const std::vector<KeyValue>& items) {
        seen.insert(seen.end(), items.begin(), items.end());
      },
      [&](const Failure&) { ended = true; });
  this->RunUntil([&] { return this->open != nullptr; });
  CHECK(this->requests[0].second["create_request"]["start_revision"] == "5");
  this->open->Write("{\"result\":{\"created\":true}}\n{\"result\":{\"events\"");
  this->loop.RunFor(milliseconds(20));
  this->open->Write(
      ":[{\"kv\":{\"key\":\"YQ==\",\"value\":\"Yg==\","
      "\"mod_revision\":\"6\"}}]}}\n");
  this->RunUntil([&] { return !seen.empty(); });
  LONGS_EQUAL(6, seen[0].mod_revision);
  CHECK_FALSE(ended);
  this->open->Abort();
  this->RunUntil([&] { return ended; });
}

}  // namespace
}  // namespace celerypost
