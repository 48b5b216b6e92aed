#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/process/stager/stager.h"
#include "tests/process/gateway/fake_decoder.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Grants a lease at once and ends it after a delay.
class FakeStore : public KeyValueClient, public LeaseClient {
 public:
  explicit FakeStore(Loop& loop)
      : revoke_timer(loop, [this] {
          this->revoked = true;
          this->on_revoked(Result<void>());
        }) {}

  void Get(const std::string&,
           std::function<void(Result<std::optional<KeyValue>>)>) override {}
  void GetRange(const KeyRange&,
                bool,
                std::function<void(Result<KeyValueRange>)> done) override {
    done(KeyValueRange{});
  }
  void Transact(
      KeyValueTransaction,
      std::function<void(Result<KeyValueTransactionResult>)> done) override {
    done(KeyValueTransactionResult{true, 1});
  }
  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange&,
      int64_t,
      std::function<void(std::vector<KeyValue>)>,
      std::function<void(Failure)>) override {
    return std::make_unique<KeyValueWatch>();
  }
  KeyValueCalls Calls() const override { return {}; }
  void Grant(milliseconds, std::function<void(Result<int64_t>)> done) override {
    done(int64_t{5});
  }
  void Renew(int64_t, std::function<void(Result<void>)>) override {}
  void Revoke(int64_t, std::function<void(Result<void>)> done) override {
    this->on_revoked = std::move(done);
    if (this->answers) {
      this->revoke_timer.StartOnce(milliseconds(200));
    }
  }

  bool answers = true;
  bool revoked = false;

 private:
  Timer revoke_timer;
  std::function<void(Result<void>)> on_revoked;
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

TEST_GROUP(StagerStopTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
  Log log{LogOptions{}, [](LogLevel, std::string_view) {},
          [] { return std::chrono::system_clock::now(); }};
  Metrics metrics;
  SplitMixRandom random{1};
  FakeStore store{loop};
  FakeDecoder decoder;
  FakeTarget target;
  NodeSettings settings;

  // Returns how long the stager takes to stop.
  milliseconds Stop() {
    this->settings.ip = "127.0.0.1";
    this->settings.first_internal_port = FreePort();
    this->settings.last_internal_port = this->settings.first_internal_port;
    this->settings.target_address = {"127.0.0.1", 1};
    NodeDependencies dependencies{this->loop,   this->log,     this->metrics,
                                  this->random, this->store,   this->store,
                                  this->memory, this->decoder, this->settings,
                                  InstanceId{1}};
    Stager stager(
        dependencies, this->target,
        [](const SocketAddress&) { return std::unique_ptr<WeightOrigin>(); },
        {});
    CHECK_TRUE(stager.Start().has_value());
    TimePoint start{};
    Timer stop(this->loop, [this, &stager, &start] {
      start = this->loop.Now();
      stager.Stop();
    });
    stop.StartOnce(milliseconds(50));
    this->loop.Run();
    return std::chrono::duration_cast<milliseconds>(this->loop.Now() - start);
  }

  void teardown() override {
    this->loop.RunFor(milliseconds(20));
  }
};

// Guards against an exit before the call that ends the lease has left the
// process: others take the stager for a peer until the lease runs out.
TEST(StagerStopTest, EndsItsLeaseBeforeTheExit) {
  this->Stop();
  CHECK_TRUE(this->store.revoked);
}

// Guards against a stager that waits for a key-value service that is out.
TEST(StagerStopTest, ExitsWithoutAnAnswerOfTheStore) {
  this->store.answers = false;
  CHECK_TRUE(this->Stop() < milliseconds(4000));
}

}  // namespace
}  // namespace celerypost
