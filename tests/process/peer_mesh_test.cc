#include "src/process/peer_mesh.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

class FakeKey : public PeerKey {
 public:
  std::string Sign(std::string_view message) const override {
    return std::string(message);
  }
  bool Verify(std::string_view message, std::string_view proof) const override {
    return proof == message;
  }
  std::string MakeNonce() override { return "nonce"; }
};

constexpr InstanceId kPeer{2};

// A mesh with a connection to one peer, whose loop runs only on demand.
TEST_GROUP(PeerMeshTest) {
  Loop loop;
  Loop peer_loop;
  FakeKey key;
  PeerMeshOptions options;
  std::vector<std::shared_ptr<PeerConnection>> accepted;
  std::unique_ptr<PeerListener> listener;
  std::unique_ptr<PeerMesh> mesh;
  size_t frames = 0;
  bool closed = false;

  void setup() override {
    PeerConnectionHandlers handlers;
    handlers.on_frame = [this](PeerConnection&, const Frame&) {
      ++this->frames;
    };
    handlers.on_closed = [](PeerConnection&, const Failure&) {};
    PeerIdentity identity;
    identity.instance = kPeer;
    auto listening = PeerListener::Make(
        this->peer_loop, identity, this->key, SocketAddress{"127.0.0.1", 0}, {},
        handlers, [this](std::shared_ptr<PeerConnection> connection) {
          this->accepted.push_back(std::move(connection));
        });
    CHECK_TRUE(listening.has_value());
    this->listener = std::move(*listening);
    this->options.connection.receive_timeout = milliseconds(60000);
    this->options.linger = milliseconds(100);
    PeerMeshHandlers mesh_handlers;
    mesh_handlers.on_open = [](PeerConnection&) {};
    mesh_handlers.on_frame = [](PeerConnection&, const Frame&) {};
    mesh_handlers.on_closed = [this](PeerConnection&, bool, std::string_view) {
      this->closed = true;
    };
    identity.instance = InstanceId{1};
    auto made = PeerMesh::Make(this->loop, identity, this->key,
                               SocketAddress{"127.0.0.1", 0}, this->options,
                               std::move(mesh_handlers));
    CHECK_TRUE(made.has_value());
    this->mesh = std::move(*made);
    this->mesh->SetWanted(
        "test",
        {{kPeer, "127.0.0.1:" + std::to_string(this->listener->port())}});
    for (int i = 0; i < 400 && this->mesh->Find(kPeer) == nullptr; ++i) {
      this->loop.RunFor(milliseconds(5));
      this->peer_loop.RunFor(milliseconds(5));
    }
    CHECK_TRUE(this->mesh->Find(kPeer) != nullptr);
  }

  void teardown() override {
    this->mesh.reset();
    this->loop.RunFor(milliseconds(20));
    for (const auto& connection : this->accepted) {
      connection->Close();
    }
    this->accepted.clear();
    this->listener.reset();
    this->peer_loop.RunFor(milliseconds(20));
  }

  // Sends more than the sockets buffer.
  size_t SendMuch() {
    wire::PullDocument message;
    message.key = std::string(1u << 20, 'x');
    constexpr size_t kFrames = 24;
    for (size_t i = 0; i < kFrames; ++i) {
      this->mesh->Send(
          kPeer, EncodeFrame(wire::Kind::PULL_DOCUMENT, i + 1, 1, message));
    }
    return kFrames;
  }
};

// Guards against a planned stop that drops results which a slow peer has not
// taken yet.
TEST(PeerMeshTest, CountsTheBytesThatAPeerHasNotTaken) {
  this->loop.RunFor(milliseconds(20));
  CHECK_EQUAL(0u, this->mesh->queued_bytes());
  const size_t sent = this->SendMuch();
  this->loop.RunFor(milliseconds(20));
  CHECK_TRUE(this->mesh->queued_bytes() > 0);
  for (int i = 0; i < 2000 && this->frames < sent; ++i) {
    this->loop.RunFor(milliseconds(1));
    this->peer_loop.RunFor(milliseconds(1));
  }
  CHECK_EQUAL(sent, this->frames);
  CHECK_EQUAL(0u, this->mesh->queued_bytes());
}

// Guards against closing a connection that is no longer wanted while frames for
// the peer are still queued.
TEST(PeerMeshTest, UnwantedConnectionStaysOpenUntilItsFramesAreSent) {
  const size_t sent = this->SendMuch();
  this->mesh->SetWanted("test", {});
  for (int i = 0; i < 100; ++i) {
    this->loop.RunFor(milliseconds(5));
  }
  this->mesh->SetWanted("test", {});
  CHECK_FALSE(this->closed);
  for (int i = 0; i < 2000 && this->frames < sent; ++i) {
    this->loop.RunFor(milliseconds(1));
    this->peer_loop.RunFor(milliseconds(1));
  }
  CHECK_EQUAL(sent, this->frames);
}

}  // namespace
}  // namespace celerypost
