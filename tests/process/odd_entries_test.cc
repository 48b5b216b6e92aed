#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/directory_codec.h"
#include "platform/document_decoder.h"
#include "platform/request_codec.h"
#include "src/connection/http1_client.h"
#include "src/connection/http1_server.h"
#include "src/process/delta_codec.h"
#include "src/process/gateway/gateway.h"
#include "src/process/stager/stager.h"
#include "src/process/state/cluster_view.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using platform::PlatformDocumentDecoder;
using std::chrono::milliseconds;

// Answers every read with the same items, and keeps the watch.
class FakeStore : public KeyValueClient, public LeaseClient {
 public:
  void Get(const std::string&,
           std::function<void(Result<std::optional<KeyValue>>)>) override {}
  void GetRange(const KeyRange& range,
                bool,
                std::function<void(Result<KeyValueRange>)> done) override {
    KeyValueRange found;
    found.revision = 100;
    for (const KeyValue& item : this->items) {
      if (item.key.starts_with(range.first)) {
        found.items.push_back(item);
      }
    }
    done(found);
  }
  void Transact(
      KeyValueTransaction,
      std::function<void(Result<KeyValueTransactionResult>)>) override {}
  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange&,
      int64_t,
      std::function<void(std::vector<KeyValue>)> on_change,
      std::function<void(Failure)>) override {
    this->change = std::move(on_change);
    return std::make_unique<KeyValueWatch>();
  }
  KeyValueCalls Calls() const override { return {}; }
  void Grant(milliseconds, std::function<void(Result<int64_t>)>) override {}
  void Renew(int64_t, std::function<void(Result<void>)>) override {}
  void Revoke(int64_t, std::function<void(Result<void>)>) override {}

  std::vector<KeyValue> items;
  std::function<void(std::vector<KeyValue>)> change;
};

// Never answers.
class FakeTarget : public ModelTarget {
 public:
  void GetReport(std::function<void(Result<TargetReport>)>) override {}
  void Load(const std::string&,
            int64_t,
            int64_t,
            LoadMode,
            std::function<void(Result<void>)>) override {}
  void Unload(const std::string&,
              int64_t,
              int64_t,
              LoadMode,
              std::function<void(Result<void>)>) override {}
  void PutChunk(const std::string&,
                size_t,
                std::string,
                std::function<void(Result<void>)>) override {}
  void GetChunk(const std::string&,
                size_t,
                std::function<void(Result<std::string>)>) override {}
};

uint16_t FreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(probe, reinterpret_cast<sockaddr*>(&address), length));
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  close(probe);
  return ntohs(address.sin_port);
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string Entry(uint16_t port) {
  return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"z","version":"v","slots":16,"state":"ready",)"
         R"("cold_remaining_ms":0,"sequence":4,"born":1790000000000,)"
         R"("models":[{"name":"m","version":1}],)"
         R"("layers":{"from":0,"target":8,"version":1}})";
}

// One value for each way in which an entry can be odd. None names a target.
std::vector<std::string> OddEntries() {
  const std::string good = Entry(9);
  const std::string deep =
      std::string(400'000, '[') + std::string(400'000, ']');
  std::string many = "{";
  for (int i = 0; i < 50'000; ++i) {
    many += "\"f" + std::to_string(i) + "\":[],";
  }
  return {
      deep,
      "\xff\xfe\x01",
      good.substr(0, good.size() / 2),
      "null",
      many + R"("service":"s"})",
      "\"" + std::string(1 << 20, 'x') + "\"",
      Replaced(good, "\"slots\":16", "\"slots\":" + deep),
      Replaced(good, "{", "{\"new\":" + deep + ","),
      Replaced(good, "16", "1e300"),
      Replaced(good, "16", "1e999"),
      Replaced(good, "16", std::string(100'000, '9')),
      Replaced(good, "\"sequence\":4", "\"sequence\":-1e300"),
      Replaced(good, "1790000000000", "1e300"),
      Replaced(good, "\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1e300"),
      Replaced(good, ":9\"", ":70000\""),
      Replaced(good, ":9\"", ":0\""),
      Replaced(good, ":9\"", ":-1\""),
      Replaced(good, "\"ready\"", "\"" + std::string(1 << 20, 'r') + "\""),
      Replaced(good, "\"ready\"", "7"),
      Replaced(good, "\"zone\":\"z\"", "\"zone\":null"),
      Replaced(good, "\"target\":8", "\"target\":1e300"),
  };
}

constexpr char kConfig[] =
    R"({"version":1,"services":[{"name":"s","max_conns":10}],
        "routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent",
        "service":"s","timeout_ms":5000,"public":true}]})";

TEST_GROUP(OddEntriesTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
  std::vector<std::string> lines;
  Log log{LogOptions{},
          [this](LogLevel, std::string_view line) {
            this->lines.emplace_back(line);
          },
          [] { return std::chrono::system_clock::now(); }};
  Metrics metrics;
  SplitMixRandom random{1};
  FakeStore store;
  PlatformDocumentDecoder decoder;
  platform::PlatformRequestCodec request_codec;
  platform::PlatformDirectoryCodec directory_codec;
  FakeTarget target;
  NodeSettings settings;
  // Why the last call got no answer.
  std::string failure;

  void setup() override {
    this->settings.ip = "127.0.0.1";
    this->settings.caller_address = {"127.0.0.1", FreePort()};
    this->settings.ready_address = {"127.0.0.1", FreePort()};
    this->settings.directory_address = {"127.0.0.1", FreePort()};
    this->settings.first_internal_port = FreePort();
    this->settings.last_internal_port = this->settings.first_internal_port;
    this->settings.stop_grace = milliseconds(1000);
    this->settings.max_directory_ttl = milliseconds(100);
  }
  void teardown() override {
    this->loop.RunFor(milliseconds(20));
  }

  NodeDependencies Dependencies() {
    return {this->loop,     this->log,    this->metrics, this->random,
            this->store,    this->store,  this->memory,  this->decoder,
            this->settings, InstanceId{1}};
  }
  size_t CountLines(const std::string& text) const {
    return static_cast<size_t>(
        std::ranges::count_if(this->lines, [&](const std::string& line) {
          return line.find(text) != std::string::npos;
        }));
  }
  void RunUntilLogged(const std::string& text) {
    for (int i = 0; i < 250 && this->CountLines(text) == 0; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE_TEXT(this->CountLines(text) > 0, text.c_str());
  }
  // Returns the status of the answer to one request.
  int Call() {
    // Timers that are started outside the loop count from its last iteration,
    // which may have taken longer than the connect timeout.
    this->loop.RunFor(milliseconds(1));
    Http1Client client(this->loop, *this->settings.caller_address, {});
    HttpRequest request;
    request.path = "/";
    request.headers = {{"host", "h"}, {"x-attempt-id", "a"}};
    std::optional<int> status;
    const auto call =
        client.Fetch(std::move(request), milliseconds(4000),
                     [&](const Result<HttpResponse>& response) {
                       status = response ? response->status : 0;
                       this->failure = response ? "" : response.error().message;
                     });
    for (int i = 0; i < 250 && !status; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    return status.value_or(0);
  }
  void CheckCall(int expected) {
    const int status = this->Call();
    CHECK_EQUAL_TEXT(expected, status,
                     (this->failure + this->lines.back()).c_str());
  }
};

// Guards against a gateway that ends, stops following the list, or sends
// requests to a target that an odd entry names.
TEST(OddEntriesTest, GatewayFollowsAListWithOddEntries) {
  int served = 0;
  auto server = Http1Server::Make(
      this->loop, "127.0.0.1", 0, this->memory,
      [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& out) {
        ++served;
        out->Send(200, {{"x-attempt-id", "a"}, {"x-response-seal", "1"}}, "ok");
      });
  const std::string good = Entry((*server)->port());
  const std::vector<std::string> odd = OddEntries();
  this->store.items = {{"op/config", kConfig, 1}};
  for (size_t i = 0; i < odd.size(); ++i) {
    this->store.items.push_back({"servers/odd" + std::to_string(i), odd[i],
                                 static_cast<int64_t>(2 + i)});
  }
  this->store.items.push_back({"servers/good", good, 90});
  Gateway gateway(this->Dependencies(), this->request_codec,
                  this->directory_codec, GatewayOptions{});
  CHECK_TRUE(gateway.Start().has_value());
  this->RunUntilLogged("\"ready\"");
  CHECK_EQUAL(odd.size(), this->CountLines("\"unreadable\""));
  for (int i = 0; i < 5; ++i) {
    this->CheckCall(200);
  }
  // The good entry becomes odd and good again, beside a change of the others.
  int64_t revision = 100;
  for (const std::string& value : odd) {
    this->store.change({{"servers/good", value, ++revision}});
    this->loop.RunFor(milliseconds(1));
    this->CheckCall(503);
    this->store.change({{"servers/odd0", value, ++revision},
                        {"servers/good", good, revision + 1}});
    revision += 2;
    this->loop.RunFor(milliseconds(1));
    this->CheckCall(200);
  }
  CHECK_EQUAL(5 + static_cast<int>(odd.size()), served);
  for (const std::string& line : this->lines) {
    CHECK_TRUE(line.size() < 1000);
  }
  gateway.Stop();
  this->loop.Run();
}

// Guards against a log line for every rewrite of an odd entry.
TEST(OddEntriesTest, UnreadableEntryIsLoggedOnceForEachReason) {
  this->store.items = {{"op/config", kConfig, 1}};
  Gateway gateway(this->Dependencies(), this->request_codec,
                  this->directory_codec, GatewayOptions{});
  CHECK_TRUE(gateway.Start().has_value());
  this->RunUntilLogged("store_connected");
  this->loop.RunFor(milliseconds(20));
  int64_t revision = 100;
  for (int i = 0; i < 100; ++i) {
    this->store.change({{"servers/a", "null", ++revision}});
    this->store.change({{"op/config", "null", ++revision}});
  }
  CHECK_EQUAL(2u, this->CountLines("\"unreadable\""));
  this->store.change(
      {{"servers/a", Replaced(Entry(9), ":9\"", ":0\""), ++revision}});
  CHECK_EQUAL(3u, this->CountLines("\"unreadable\""));
  this->store.change({{"servers/a", Entry(9), ++revision}});
  this->store.change({{"servers/a", "null", ++revision}});
  CHECK_EQUAL(4u, this->CountLines("\"unreadable\""));
  gateway.Stop();
  this->loop.Run();
}

// Guards against a stager that ends on, or no longer follows, the operators'
// documents.
TEST(OddEntriesTest, StagerFollowsDocumentsWithOddOnes) {
  this->settings.target_address = {"127.0.0.1", 1};
  this->settings.target_service = ServiceName("s");
  const std::vector<std::string> odd = OddEntries();
  this->store.items = {{"op/config", kConfig, 1}};
  for (size_t i = 0; i < odd.size(); ++i) {
    const std::string number = std::to_string(i);
    this->store.items.push_back({"op/version/" + number, odd[i], 2});
    this->store.items.push_back(
        {"celerypost/nodes/r/stager/10.9.9." + number, odd[i], 2});
  }
  Stager stager(
      this->Dependencies(), this->target,
      [](const SocketAddress&) { return std::unique_ptr<WeightOrigin>(); }, {});
  CHECK_TRUE(stager.Start().has_value());
  this->RunUntilLogged("\"version 1\"");
  int64_t revision = 100;
  for (const std::string& value : odd) {
    this->store.change({{"op/config", value, ++revision},
                        {"op/version/m", value, ++revision}});
    this->loop.RunFor(milliseconds(1));
  }
  std::string next(kConfig);
  next = Replaced(next, "\"version\":1", "\"version\":2");
  this->store.change(
      {{"op/config", next, ++revision},
       {"op/version/m", R"({"model":"m","version":2})", revision + 1}});
  this->RunUntilLogged("\"version 2\"");
  this->RunUntilLogged("m version 2 named");
  stager.Stop();
  this->loop.RunFor(milliseconds(100));
}

// Changes one part of a valid entry at random.
std::string Mutated(std::string text, SplitMixRandom& random) {
  static const std::string parts[] = {
      "[[[[",  "]]]]", "{\"",     "1e300", "-1e300",
      "1e999", "\xff", "\\ud800", "null",  "99999999999999999999",
      "-0.0",  "\"\"", "0",       "65536", ":",
      ","};
  const size_t changes = 1 + random.Below(3);
  for (size_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = random.Below(text.size());
    const std::string& part = parts[random.Below(std::size(parts))];
    switch (random.Below(4)) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text.insert(at, part);
        break;
      case 2:
        text.replace(at, 1 + random.Below(8), part);
        break;
      default:
        text[at] = static_cast<char>(random.Below(256));
    }
  }
  return text;
}

// Guards against a mutation of an entry that ends the process, hides the other
// entries, or breaks a document that a peer passes on.
TEST(OddEntriesTest, MutatedEntriesHideNoOthersFromPeers) {
  ClusterView view(this->decoder, {});
  ClusterView peer(this->decoder, {});
  const TimePoint now{std::chrono::seconds(1000)};
  std::vector<std::string> values = OddEntries();
  for (int i = 0; i < 500; ++i) {
    values.push_back(Mutated(Entry(9), this->random));
  }
  std::vector<KeyValue> items = {{"op/config", kConfig, 1}};
  for (size_t i = 0; i < values.size(); ++i) {
    items.push_back({"servers/odd" + std::to_string(i), values[i],
                     static_cast<int64_t>(2 + i)});
  }
  const auto revision = static_cast<int64_t>(items.size() + 1);
  items.push_back({"servers/good", Entry(9), revision});
  view.ApplySnapshot(items, {0, revision}, now);
  const auto delta = DecodeDelta(EncodeDelta(view.MakeDelta({}, now)));
  CHECK_TRUE(delta.has_value());
  peer.ApplyDelta(*delta, now);
  const auto for_stager =
      DecodeDelta(EncodeDelta(view.MakeDelta({{}, true}, now)));
  CHECK_EQUAL(1u, for_stager->items.size());
  for (const ClusterView* known : {&view, &peer}) {
    CHECK_TRUE(known->targets().contains("good"));
    CHECK_EQUAL(1, known->config()->version);
    for (const auto& [id, known_target] : known->targets()) {
      const TargetRegistration& entry = known_target.entry;
      CHECK_TRUE(entry.address.port != 0);
      CHECK_TRUE(entry.slots >= 1 && entry.slots <= 1'000'000);
      CHECK_TRUE(entry.cold_remaining >= milliseconds(0));
      CHECK_TRUE(entry.sequence >= 0);
    }
    for (size_t i = 0; i < OddEntries().size(); ++i) {
      CHECK_FALSE(known->targets().contains("odd" + std::to_string(i)));
    }
  }
  CHECK_EQUAL(view.targets().size(), peer.targets().size());
}

}  // namespace
}  // namespace celerypost
