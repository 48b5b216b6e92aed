#include "platform/store_client.h"

#include <optional>
#include <string>
#include <vector>

#include "tests/process/fake_http_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost::platform {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(StoreClientTest) {
  FakeHttpServer server;
  std::vector<std::string> logged;
  Log log{LogOptions{},
          [this](LogLevel, std::string_view line) {
            this->logged.emplace_back(line);
          },
          [] { return std::chrono::system_clock::time_point(); }};
  std::unique_ptr<StoreClient> client;
  std::vector<int64_t> eras;

  void setup() override {
    this->client = std::make_unique<StoreClient>(
        this->server.loop, this->log, this->server.address(),
        StoreClientOptions{.watch_wait = milliseconds(100),
                           .watch_pause = milliseconds(1)});
    this->client->OnEra([this](int64_t era) { this->eras.push_back(era); });
  }
  void teardown() override {
    this->client.reset();
    this->server.loop.RunFor(milliseconds(20));
  }
  void SetAnswer(int status, const char* era, const char* body) {
    this->server.status = status;
    this->server.headers.clear();
    if (era != nullptr) {
      this->server.headers.emplace_back("store-era", era);
    }
    this->server.body = body;
  }
  Result<KeyValueRange> Read() {
    std::optional<Result<KeyValueRange>> range;
    this->client->GetRange({"op/", ""}, false, [&](Result<KeyValueRange> got) {
      range = std::move(got);
    });
    this->server.RunUntil([&] { return range.has_value(); });
    return *range;
  }
};

constexpr char kOneItem[] =
    R"({"at":44,"items":[{"key":"op/config","value":"e30=","revision":42}],)"
    R"("has_more":false})";
constexpr char kFirstPage[] =
    R"({"at":44,"items":[{"key":"op/a","value":"e30=","revision":42}],)"
    R"("has_more":true})";
constexpr char kNoChange[] = R"({"at":44,"events":[]})";

// Guards against documents whose era is lost on the way to the view.
TEST(StoreClientTest, ItemsCarryTheEraOfTheirResponse) {
  this->SetAnswer(200, "3", kOneItem);
  const auto range = this->Read();
  CHECK_TRUE(range.has_value());
  CHECK_EQUAL(3, range->era);
  CHECK_TRUE(range->items.front().position() == (StorePosition{3, 42}));
  CHECK_EQUAL(3, this->client->Era());
  CHECK_EQUAL(1u, this->eras.size());
}

// Guards against a list that is never read again, or a removal that is seen,
// because one of its items cannot be read.
TEST(StoreClientTest, UnreadableItemHidesNoOtherItem) {
  this->SetAnswer(200, nullptr, R"({"at":44,"has_more":false,"items":[
      {"key":"servers/a","value":"e30=","revision":41},
      {"key":"servers/b","value":"not base64","revision":42},
      {"key":"servers/c","value":"","revision":42},
      {"key":"servers/d","value":7,"revision":42},
      {"key":"servers/e","revision":42},
      {"key":"servers/f","value":"e30=","revision":1e300},
      {"key":"servers/g","value":"e30=","revision":9223372036854775807},
      {"key":7,"value":"e30=","revision":42}, 7, null, [],
      {"key":"servers/z","value":"e30=","revision":43}]})");
  for (int i = 0; i < 3; ++i) {
    const auto range = this->Read();
    CHECK_TRUE(range.has_value());
    std::string keys;
    for (const KeyValue& item : range->items) {
      keys += item.key.back();
      CHECK_FALSE(item.value.empty());
    }
    CHECK_EQUAL(std::string("abcdez"), keys);
  }
  CHECK_EQUAL(1u, this->logged.size());
}

// Guards against a watch that ends at an event which cannot be read, and begins
// again with the same one.
TEST(StoreClientTest, UnreadableEventDoesNotEndTheWatch) {
  this->SetAnswer(200, nullptr, R"({"at":44,"events":[
      {"key":"servers/b","value":"not base64","revision":42},
      {"key":"servers/c","value":"","revision":42},
      {"key":"servers/d","revision":42,"deleted":true},
      {"key":"servers/e","revision":-1,"deleted":true}, 7,
      {"key":"servers/z","value":"e30=","revision":43}]})");
  std::vector<KeyValue> changes;
  bool ended = false;
  const auto watch = this->client->Watch(
      KeyRange{}, 42,
      [&](const std::vector<KeyValue>& got) {
        if (changes.empty()) {
          changes = got;
        }
        this->SetAnswer(200, nullptr, kNoChange);
      },
      [&](const Failure&) { ended = true; });
  this->server.RunUntil([&] { return ended || !changes.empty(); });
  CHECK_FALSE(ended);
  CHECK_EQUAL(4u, changes.size());
  CHECK_FALSE(changes[0].value.empty());
  CHECK_FALSE(changes[1].value.empty());
  CHECK_TRUE(changes[2].value.empty());
  CHECK_EQUAL(std::string("servers/z"), changes[3].key);
}

// Guards against an era that is learned only from some kinds of response.
TEST(StoreClientTest, EveryResponseNamesTheEra) {
  const int statuses[] = {404, 410, 412, 429, 503};
  for (size_t i = 0; i < std::size(statuses); ++i) {
    const std::string era = std::to_string(10 + i);
    this->SetAnswer(statuses[i], era.c_str(), "{}");
    CHECK_FALSE(this->Read().has_value());
    CHECK_EQUAL(static_cast<int64_t>(10 + i), this->client->Era());
  }
  this->SetAnswer(404, "20", "");
  bool renewed = false;
  this->client->Renew(7, [&](const Result<void>& result) {
    renewed = true;
    CHECK_FALSE(result.has_value());
    CHECK_TRUE(result.error().code == ErrorCode::kNotFound);
  });
  this->server.RunUntil([&] { return renewed; });
  CHECK_EQUAL(20, this->client->Era());
}

// Guards against a malformed era that hides the known one or passes for a
// restore, and against a log line for every response.
TEST(StoreClientTest, MalformedEraStatesNothing) {
  this->SetAnswer(200, "3", kOneItem);
  this->Read();
  for (const char* const era : {"", "x", "4.0", "-5", "4 5", "99999999999",
                                "99999999999999999999999", "0"}) {
    this->SetAnswer(200, era, kOneItem);
    const auto range = this->Read();
    CHECK_TRUE(range.has_value());
    CHECK_EQUAL(3, range->era);
    CHECK_EQUAL(3, range->items.front().era);
  }
  this->SetAnswer(200, nullptr, kOneItem);
  CHECK_EQUAL(3, this->Read()->era);
  CHECK_EQUAL(1u, this->eras.size());
  CHECK_EQUAL(1u, this->logged.size());
}

// Guards against a response to a call that was sent before the restore.
TEST(StoreClientTest, ResponseOfAnOlderEraFails) {
  this->SetAnswer(200, "3", kOneItem);
  this->Read();
  this->SetAnswer(200, "2", kOneItem);
  const auto range = this->Read();
  CHECK_FALSE(range.has_value());
  CHECK_TRUE(range.error().code == ErrorCode::kConflict);
  CHECK_EQUAL(3, this->client->Era());
}

// Guards against a snapshot that joins pages of two eras.
TEST(StoreClientTest, PagesOfTwoErasAreReadAgain) {
  this->SetAnswer(200, "1", kFirstPage);
  std::optional<Result<KeyValueRange>> range;
  this->client->GetRange({"op/", ""}, false, [&](Result<KeyValueRange> got) {
    range = std::move(got);
  });
  this->server.RunUntil([this] { return !this->server.requests.empty(); });
  this->SetAnswer(200, "2", kOneItem);
  this->server.RunUntil([&] { return range.has_value(); });
  CHECK_EQUAL(2, (*range)->era);
  CHECK_EQUAL(1u, (*range)->items.size());
  STRCMP_EQUAL("op/config", (*range)->items.front().key.c_str());
}

// Guards against a watch that goes on in a new era in which its revision exists
// again, and so misses the changes before it.
TEST(StoreClientTest, WatchEndsWhenANewEraBegins) {
  this->SetAnswer(200, "1", kNoChange);
  std::optional<Failure> failure;
  int answers = 0;
  const auto watch = this->client->Watch(
      {"op/", ""}, 45, [&](const std::vector<KeyValue>&) { ++answers; },
      [&](Failure failed) { failure = std::move(failed); });
  this->server.RunUntil([&] { return answers > 1; });
  this->SetAnswer(200, "2", kNoChange);
  this->server.RunUntil([&] { return failure.has_value(); });
  CHECK_TRUE(failure->code == ErrorCode::kConflict);
  CHECK_EQUAL(2, this->client->Era());
}

}  // namespace
}  // namespace celerypost::platform
