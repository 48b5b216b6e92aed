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
  std::vector<std::string> lines;
  Log log{LogOptions{},
          [this](LogLevel, std::string_view line) {
            this->lines.emplace_back(line);
          },
          [] { return std::chrono::system_clock::now(); }};
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
        this->loop, this->log, SocketAddress{"127.0.0.1", this->server->port()},
        options);
  }
  // The log has one line, on the bad answer.
  void CheckLogged(const std::string& malformed) {
    CHECK_EQUAL_TEXT(1u, this->lines.size(), malformed.c_str());
    STRCMP_CONTAINS("bad_store_answer", this->lines.front().c_str());
    this->lines.clear();
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
  this->client = std::make_unique<EtcdClient>(this->loop, this->log,
                                              SocketAddress{"127.0.0.1", 1},
                                              EtcdClientOptions{});
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

// Guards against a line of the watch with a field of another JSON type, or a
// revision that is no number, that ends the process or is passed on.
TEST(EtcdClientTest, AMalformedLineEndsTheWatch) {
  constexpr char kKeyAndValue[] = R"("key":"YQ==","value":"Yg==")";
  const auto event = [&](const std::string& fields) {
    return R"({"result":{"events":[{)" + fields + "}]}}";
  };
  const auto revision = [&](const std::string& json) {
    return event(std::string(R"("kv":{)") + kKeyAndValue +
                 R"(,"mod_revision":)" + json + "}");
  };
  for (const std::string& line :
       {std::string(R"({"result":{"canceled":"yes"}})"),
        std::string(R"({"result":{"canceled":1}})"),
        std::string(R"({"result":{"canceled":null}})"),
        std::string(R"({"result":{"events":{"a":1}}})"),
        std::string(R"({"result":{"events":"none"}})"),
        std::string(R"({"result":{"events":[7]}})"),
        std::string(R"({"result":[]})"), std::string("[]"),
        event(R"("type":1,"kv":{)" + std::string(kKeyAndValue) + "}"),
        event(R"("type":["DELETE"])"), event(R"("kv":3)"),
        event(R"("kv":{"key":1})"), revision("true"), revision("\"x\""),
        revision("\"99999999999999999999\""), revision("-1"),
        revision("18446744073709551615"), revision("6.5")}) {
    size_t changes = 0;
    std::optional<Failure> end;
    const auto watch = this->client->Watch(
        KeyRange{"a", "c"}, 5, [&](const std::vector<KeyValue>&) { ++changes; },
        [&](const Failure& failure) { end = failure; });
    this->RunUntil([&] { return this->open != nullptr; });
    this->open->Write(line + "\n");
    this->RunUntil([&] { return end.has_value(); });
    CHECK_EQUAL_TEXT(0u, changes, line.c_str());
    this->CheckLogged(line);
    std::exchange(this->open, nullptr)->End();
  }
}

// Guards against answers of other JSON types that end the process or are taken
// for an empty range or a lost comparison.
TEST(EtcdClientTest, AMalformedAnswerFails) {
  for (const std::string& malformed :
       {std::string(R"({"kvs":7})"), std::string(R"({"kvs":{}})"),
        std::string(R"({"kvs":null})"), std::string(R"({"header":1})"),
        std::string(R"({"header":{"revision":"x"}})"),
        std::string(R"({"header":{"revision":[1]}})"),
        std::string(R"({"kvs":[{"mod_revision":{}}]})")}) {
    this->answer = malformed;
    std::optional<Result<KeyValueRange>> range;
    this->client->GetRange(KeyRange{"a", "c"}, false,
                           [&](Result<KeyValueRange> got) { range = got; });
    this->RunUntil([&] { return range.has_value(); });
    CHECK_FALSE_TEXT(range->has_value(), malformed.c_str());
    this->CheckLogged(malformed);
  }
  for (const std::string& malformed :
       {std::string(R"({"succeeded":"true"})"),
        std::string(R"({"succeeded":1})"),
        std::string(R"({"header":{"revision":"-"},"succeeded":true})")}) {
    this->answer = malformed;
    std::optional<Result<KeyValueTransactionResult>> result;
    this->client->Transact(
        KeyValueTransaction{"a", 0, "b", {}},
        [&](Result<KeyValueTransactionResult> got) { result = got; });
    this->RunUntil([&] { return result.has_value(); });
    CHECK_FALSE_TEXT(result->has_value(), malformed.c_str());
    this->CheckLogged(malformed);
    CHECK(result->error().verdict == Verdict::kMayHaveRun);
  }
}

}  // namespace
}  // namespace celerypost
