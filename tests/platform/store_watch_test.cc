#include "platform/store_client.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/connection/http1_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost::platform {
namespace {

using std::chrono::milliseconds;

// Longest silence of a connection that may go unnoticed: what is left of the
// three seconds after which a process counts as connected again, less the time
// to read the change (0.5 s) and to pass it on (0.4 s).
constexpr milliseconds kMaxSilence{2100};

// A store that answers the first `answered_watches` calls of watches.
TEST_GROUP(StoreWatchTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
  Log log{LogOptions{}, [](LogLevel, std::string_view) {},
          [] { return std::chrono::system_clock::time_point(); }};
  std::unique_ptr<Http1Server> server;
  std::unique_ptr<StoreClient> client;
  std::vector<std::shared_ptr<HttpResponder>> unanswered;
  int answered_watches = 0;

  void setup() override {
    auto made = Http1Server::Make(
        this->loop, "127.0.0.1", 0, this->memory,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
          CHECK_TRUE(request.path.starts_with("/kv-watch"));
          if (this->answered_watches-- > 0) {
            responder->SendJson(200, R"({"events":[],"at":41})");
          } else {
            this->unanswered.push_back(responder);
          }
        });
    CHECK_TRUE(made.has_value());
    this->server = std::move(*made);
    this->client = std::make_unique<StoreClient>(
        this->loop, this->log, SocketAddress{"127.0.0.1", this->server->port()},
        StoreClientOptions{});
  }
  void teardown() override {
    this->client.reset();
    this->unanswered.clear();
    this->loop.RunFor(milliseconds(20));
  }
  milliseconds TimeUntil(const std::function<bool()>& done,
                         milliseconds limit) {
    const TimePoint start = this->loop.Now();
    while (!done() && this->loop.Now() - start < limit) {
      this->loop.RunFor(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(this->loop.Now() - start);
  }
  std::unique_ptr<KeyValueWatch> Watch(std::optional<Failure> & end) {
    return this->client->Watch(
        KeyRange{}, 42, [](const std::vector<KeyValue>&) {},
        [&end](Failure failure) { end = std::move(failure); });
  }
};

TEST(StoreWatchTest, SilentWatchIsNoticedBeforeAChangeIsOverdue) {
  std::optional<Failure> end;
  this->answered_watches = 1;
  const auto watch = this->Watch(end);
  const milliseconds noticed =
      this->TimeUntil([&end] { return end.has_value(); }, milliseconds(5000));
  CHECK_TRUE(end.has_value());
  CHECK_TRUE(noticed <= kMaxSilence);
}

// A watch that begins in an outage must not outlast it unnoticed.
TEST(StoreWatchTest, WatchOpenedInAnOutageFailsAsFastAsARead) {
  std::optional<Failure> end;
  const auto watch = this->Watch(end);
  const milliseconds noticed =
      this->TimeUntil([&end] { return end.has_value(); }, milliseconds(5000));
  CHECK_TRUE(end.has_value());
  CHECK_TRUE(noticed < StoreClientOptions{}.call_timeout + milliseconds(200));
}

}  // namespace
}  // namespace celerypost::platform
