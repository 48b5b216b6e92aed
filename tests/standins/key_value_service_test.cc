#include "tests/standins/key_value_service.h"

#include "tests/standins/blocking_client.h"
#include "tests/standins/encoding.h"

// Last, since it redefines new.
#include "CppUTest/TestHarness.h"

namespace celerypost::standins {
namespace {

Json PutOperation(const std::string& key, const std::string& value) {
  return {{"requestPut",
           {{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}}}};
}

Json CompareAndPut(int64_t mod_revision, const std::string& value) {
  return {
      {"compare", Json::array({{{"target", "MOD"},
                                {"key", EncodeBase64("a")},
                                {"mod_revision", std::to_string(mod_revision)},
                                {"result", "EQUAL"}}})},
      {"success", Json::array({PutOperation("a", value)})}};
}

TEST_GROUP(KeyValueServiceTest) {
  Loop loop;
  KeyValueService service{loop, {{"name", "kv"}}};

  void setup() override {
    CHECK_TRUE(service.Open().has_value());
  }

  Json Ask(const std::string& path, const Json& body) {
    const auto answer = Post(loop, service.port(), path, body.dump());
    return answer ? Json::parse(answer->body, nullptr, false) : Json();
  }
  std::string Value() {
    const Json answer = Ask("/v3/kv/range", {{"key", EncodeBase64("a")}});
    return answer.contains("kvs")
               ? DecodeBase64(answer["kvs"][0]["value"].get<std::string>())
               : "";
  }
};

// Guards against a compare-and-swap that lets two writers both win.
TEST(KeyValueServiceTest, ComparesModRevisions) {
  const Json first = Ask("/v3/kv/txn", CompareAndPut(0, "one"));
  CHECK_TRUE(first.value("succeeded", false));
  const Json second = Ask("/v3/kv/txn", CompareAndPut(0, "two"));
  CHECK_FALSE(second.contains("succeeded"));
  CHECK(Value() == "one");
  const int64_t revision =
      std::stoll(first["header"]["revision"].get<std::string>());
  CHECK_TRUE(Ask("/v3/kv/txn", CompareAndPut(revision, "two"))
                 .value("succeeded", false));
  LONGS_EQUAL(3, service.Report()["writes"].get<int64_t>());
  LONGS_EQUAL(1, service.Report()["reads"].get<int64_t>());
}

// Guards against a "lose_answers" fault that drops the write as well. Scenarios
// would then not test writes whose outcome the caller doesn't know.
TEST(KeyValueServiceTest, LosesAnAnswerAfterTheWrite) {
  service.Apply({{"lose_answers", 1}});
  CHECK_TRUE(Ask("/v3/kv/txn", CompareAndPut(0, "one")).is_null());
  CHECK(Value() == "one");
}

// Guards against an outage that leaves the port open, and one that never ends.
TEST(KeyValueServiceTest, RefusesConnectionsWhileDown) {
  Ask("/v3/kv/txn", CompareAndPut(0, "one"));
  service.Apply({{"fault", "down"}});
  const auto answer = Post(loop, service.port(), "/v3/kv/range", "{}");
  CHECK_FALSE(answer.has_value());
  CHECK(answer.error().verdict == Verdict::kNotRun);
  service.Apply({{"fault", "none"}});
  CHECK(Value() == "one");
}

// Guards against watches that miss events or are counted once per event.
TEST(KeyValueServiceTest, StreamsWatchEvents) {
  HttpClient client(loop, {"127.0.0.1", service.port()}, {});
  HttpRequest request;
  request.method = "POST";
  request.path = "/v3/watch";
  request.body = Json{{"create_request", {{"key", EncodeBase64("a")}}}}.dump();
  std::string stream;
  bool failed = false;
  const auto call = client.Send(
      request, {.on_head = nullptr,
                .on_body = [&](std::string_view bytes) { stream += bytes; },
                .on_end = nullptr,
                .on_failure = [&](const Failure&) { failed = true; }});
  while (stream.find("created") == std::string::npos) {
    loop.RunFor(std::chrono::milliseconds(10));
  }
  Ask("/v3/kv/txn", CompareAndPut(0, "one"));
  while (stream.find(EncodeBase64("one")) == std::string::npos) {
    loop.RunFor(std::chrono::milliseconds(10));
  }
  LONGS_EQUAL(1, service.Report()["watches"].get<int64_t>());
  service.Apply({{"fault", "down"}});
  while (!failed) {
    loop.RunFor(std::chrono::milliseconds(10));
  }
}

// Guards against a lease that keeps its keys after it expired.
TEST(KeyValueServiceTest, ExpiredLeaseDeletesItsKeys) {
  KeyValueStore store([](const std::string&, const Json&) {});
  store.GrantLease({{"ID", "7"}, {"TTL", "5"}}, 0);
  Json put = PutOperation("a", "one")["requestPut"];
  put["lease"] = "7";
  store.Put(put);
  store.ExpireLeases(4999);
  CHECK_TRUE(store.Range({{"key", EncodeBase64("a")}}).contains("kvs"));
  store.ExpireLeases(5000);
  CHECK_FALSE(store.Range({{"key", EncodeBase64("a")}}).contains("kvs"));
}

}  // namespace
}  // namespace celerypost::standins
