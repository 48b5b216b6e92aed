#include "src/connection/peer_connection.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "src/connection/sentinel.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Signs a message by putting the secret in front of it.
class FakeKey : public PeerKey {
 public:
  explicit FakeKey(std::string secret) : secret(std::move(secret)) {}
  std::string Sign(std::string_view message) const override {
    return this->secret + std::string(message);
  }
  bool Verify(std::string_view message, std::string_view proof) const override {
    return proof == this->Sign(message);
  }
  std::string MakeNonce() override {
    return "nonce" + std::to_string(this->count++);
  }

 private:
  std::string secret;
  int count = 0;
};

TEST_GROUP(PeerConnectionTest) {
  Loop loop;
  FakeKey server_key{"secret"};
  FakeKey client_key{"secret"};
  PeerConnectionOptions options{milliseconds(20), milliseconds(100),
                                milliseconds(100), 64u << 20};
  std::vector<std::shared_ptr<PeerConnection>> accepted;
  std::unique_ptr<PeerListener> listener;
  std::vector<std::string> received;
  std::vector<Failure> client_failures;
  std::vector<Failure> server_failures;

  void setup() override {
    PeerConnectionHandlers handlers;
    handlers.on_frame = [this](PeerConnection& connection, Frame frame) {
      this->received.push_back(
          DecodeMessage<wire::PullDocument>(frame).value().key +
          connection.peer().zone.value());
    };
    handlers.on_closed = [this](PeerConnection&, const Failure& failure) {
      this->server_failures.push_back(failure);
    };
    auto made = PeerListener::Make(
        this->loop, PeerIdentity{}, this->server_key,
        SocketAddress{"127.0.0.1", 0}, this->options, handlers,
        [this](std::shared_ptr<PeerConnection> connection) {
          this->accepted.push_back(std::move(connection));
        });
    CHECK_TRUE(made.has_value());
    this->listener = std::move(*made);
  }

  std::shared_ptr<PeerConnection> ConnectAs(PeerKey & key) {
    PeerIdentity identity;
    identity.zone = ZoneName("dar-a");
    PeerConnectionHandlers handlers;
    handlers.on_frame = [](PeerConnection&, const Frame&) {};
    handlers.on_closed = [this](PeerConnection&, const Failure& failure) {
      this->client_failures.push_back(failure);
    };
    return PeerConnection::Connect(
        this->loop, identity, key,
        SocketAddress{"127.0.0.1", this->listener->port()}, this->options,
        handlers);
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    for (int i = 0; i < 2000 && !condition(); ++i) {
      this->loop.RunFor(milliseconds(5));
    }
  }
};

// Guards against frames that get lost between the handshake and first use.
TEST(PeerConnectionTest, DeliversFramesAfterTheHandshake) {
  const auto connection = this->ConnectAs(this->client_key);
  this->RunUntil([&] { return connection->open(); });
  wire::PullDocument message;
  message.key = "config@";
  CHECK_TRUE(connection->Send(wire::Kind::PULL_DOCUMENT, 1, 1, message));
  this->RunUntil([&] { return !this->received.empty(); });
  CHECK(this->received.at(0) == "config@dar-a");
}

// Guards against accepting a process without the shared key as a peer.
TEST(PeerConnectionTest, RefusesAnotherKey) {
  FakeKey wrong("guess");
  const auto connection = this->ConnectAs(wrong);
  this->RunUntil([&] { return !this->client_failures.empty(); });
  CHECK(this->client_failures.at(0).code == ErrorCode::kUnauthenticated);
  CHECK_FALSE(connection->open());
}

// Guards against closing an idle connection in spite of its pings.
TEST(PeerConnectionTest, IdleConnectionStaysOpen) {
  const auto connection = this->ConnectAs(this->client_key);
  this->RunUntil([&] { return connection->open(); });
  const auto start = this->loop.Now();
  this->RunUntil([&] { return this->loop.Now() - start > milliseconds(400); });
  CHECK_TRUE(connection->open());
}

// Guards against waiting forever for a handshake that the other side never
// answers.
TEST(PeerConnectionTest, SilentPeerIsClosed) {
  Loop other_loop;
  auto silent =
      PeerListener::Make(other_loop, PeerIdentity{}, this->server_key,
                         SocketAddress{"127.0.0.1", 0}, this->options, {},
                         [](const std::shared_ptr<PeerConnection>&) {});
  PeerConnectionHandlers handlers;
  handlers.on_closed = [this](PeerConnection&, const Failure& failure) {
    this->client_failures.push_back(failure);
  };
  const auto connection = PeerConnection::Connect(
      this->loop, PeerIdentity{}, this->client_key,
      SocketAddress{"127.0.0.1", (*silent)->port()}, this->options, handlers);
  this->RunUntil([&] { return !this->client_failures.empty(); });
  LONGS_EQUAL(1, this->client_failures.size());
  CHECK(this->client_failures[0].verdict == Verdict::kNotRun);
}

// Guards against sending work to a restarted target before the agent has
// detected the restart.
TEST(PeerConnectionTest, SentinelSeesTheEndOfTheTargetBeforeTheLoopDoes) {
  int opened = 0;
  int closed = 0;
  Sentinel sentinel(
      this->loop, SocketAddress{"127.0.0.1", this->listener->port()},
      SentinelOptions{}, [&opened] { ++opened; }, [&closed] { ++closed; });
  this->RunUntil([&] { return opened == 1 && !this->accepted.empty(); });
  CHECK_TRUE(sentinel.Check());
  this->accepted.clear();
  // One iteration closes the accepted side; the loop may not have delivered the
  // close to the sentinel yet.
  this->RunUntil([&] { return !sentinel.Check(); });
  LONGS_EQUAL(1, closed);
}

}  // namespace
}  // namespace celerypost
