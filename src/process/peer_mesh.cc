#include "src/process/peer_mesh.h"

#include <algorithm>
#include <set>
#include <utility>

namespace celerypost {

namespace {

constexpr std::chrono::milliseconds kMaintenancePeriod{50};
constexpr std::string_view kGossipPurpose = "gossip";

}  // namespace

PeerMesh::PeerMesh(Loop& loop,
                   PeerIdentity self,
                   PeerKey& key,
                   PeerMeshOptions options,
                   PeerMeshHandlers handlers)
    : loop(loop),
      self(std::move(self)),
      key(key),
      options(options),
      handlers(std::move(handlers)),
      timer(loop, [this] { this->Maintain(); }) {
  this->timer.StartRepeating(kMaintenancePeriod);
}

Result<std::unique_ptr<PeerMesh>> PeerMesh::Make(Loop& loop,
                                                 PeerIdentity self,
                                                 PeerKey& key,
                                                 const SocketAddress& listen,
                                                 PeerMeshOptions options,
                                                 PeerMeshHandlers handlers) {
  // The constructor is private, so std::make_unique cannot be used.
  std::unique_ptr<PeerMesh> mesh(
      new PeerMesh(loop, std::move(self), key, options, std::move(handlers)));
  PeerMesh* raw = mesh.get();
  auto listener = PeerListener::Make(
      loop, mesh->self, key, listen, options.connection, mesh->MakeHandlers(),
      [raw](std::shared_ptr<PeerConnection> connection) {
        raw->accepted.push_back(std::move(connection));
      });
  if (!listener) {
    return tl::unexpected<Failure>(listener.error());
  }
  mesh->listener = std::move(*listener);
  return mesh;
}

PeerMesh::~PeerMesh() {
  // Closed explicitly, as connections that other components still hold must not
  // call back.
  for (const auto& [address, peer] : this->outbound) {
    if (peer.connection) {
      peer.connection->Close();
    }
  }
  for (const auto& connection : this->accepted) {
    connection->Close();
  }
}

PeerConnectionHandlers PeerMesh::MakeHandlers() {
  PeerConnectionHandlers result;
  result.on_open = [this](PeerConnection& connection) {
    this->OnOpen(connection);
  };
  result.on_frame = [this](PeerConnection& connection, Frame frame) {
    this->handlers.on_frame(connection, std::move(frame));
  };
  result.on_closed = [this](PeerConnection& connection,
                            const Failure& failure) {
    this->OnClosed(connection, failure.message);
  };
  return result;
}

void PeerMesh::SetNeighbours(const std::vector<PeerEndpoint>& neighbours) {
  this->SetWanted(kGossipPurpose, neighbours);
}

void PeerMesh::SetWanted(std::string_view purpose,
                         const std::vector<PeerEndpoint>& peers) {
  std::vector<std::string> addresses;
  addresses.reserve(peers.size());
  for (const PeerEndpoint& peer : peers) {
    if (peer.instance != this->self.instance) {
      addresses.push_back(peer.address);
    }
  }
  this->wanted[std::string(purpose)] = std::move(addresses);
  this->Maintain();
}

void PeerMesh::Probe(const std::string& address) {
  if (address == this->self.address || this->outbound.contains(address)) {
    return;
  }
  OutboundPeer& peer = this->outbound[address];
  peer.probe = true;
  peer.wanted_at = this->loop.Now();
  this->Connect(address, &peer);
}

void PeerMesh::Connect(const std::string& address, OutboundPeer* peer) {
  const auto parsed = SocketAddress::Parse(address);
  if (!parsed) {
    return;
  }
  peer->connection =
      PeerConnection::Connect(this->loop, this->self, this->key, *parsed,
                              this->options.connection, this->MakeHandlers());
}

void PeerMesh::Maintain() {
  const TimePoint now = this->loop.Now();
  std::set<std::string> all;
  for (const auto& [purpose, addresses] : this->wanted) {
    all.insert(addresses.begin(), addresses.end());
  }
  std::set<std::string> connected;
  for (const auto& [instance, connection] : this->open) {
    connected.insert(connection->peer().address);
  }
  for (const std::string& address : all) {
    OutboundPeer& peer = this->outbound[address];
    peer.wanted_at = now;
    peer.probe = false;
    const bool disconnected = !peer.connection || peer.connection->closed();
    if (disconnected && !connected.contains(address) &&
        now >= peer.next_attempt) {
      peer.backoff =
          std::clamp(peer.backoff * 2, this->options.min_reconnect_delay,
                     this->options.max_reconnect_delay);
      peer.next_attempt = now + peer.backoff;
      this->Connect(address, &peer);
    }
  }
  for (auto it = this->outbound.begin(); it != this->outbound.end();) {
    const OutboundPeer& peer = it->second;
    const bool closed = !peer.connection || peer.connection->closed();
    const bool unwanted = now - peer.wanted_at > this->options.linger;
    // `outbound` and `open` hold one reference each; any further reference
    // belongs to a task that still uses the connection.
    const bool in_use = !closed && (peer.connection.use_count() > 2 ||
                                    peer.connection->queued_bytes() > 0);
    const bool failed_probe = peer.probe && closed;
    if (failed_probe || (unwanted && !in_use)) {
      const auto connection = it->second.connection;
      it = this->outbound.erase(it);
      if (connection && !connection->closed()) {
        connection->Close();
        this->OnClosed(*connection, "no component uses the connection");
      }
    } else {
      ++it;
    }
  }
  std::erase_if(this->accepted,
                [](const auto& connection) { return connection->closed(); });
}

void PeerMesh::OnOpen(PeerConnection& connection) {
  this->open.emplace(connection.peer().instance, connection.shared_from_this());
  for (auto& [address, peer] : this->outbound) {
    if (peer.connection.get() == &connection) {
      peer.backoff = std::chrono::milliseconds(0);
    }
  }
  this->handlers.on_open(connection);
}

void PeerMesh::OnClosed(PeerConnection& connection, std::string_view reason) {
  const auto keep_alive = connection.shared_from_this();
  this->closed_bytes_sent += connection.bytes_sent();
  this->closed_bytes_received += connection.bytes_received();
  const InstanceId instance = connection.peer().instance;
  bool was_open = false;
  const auto [first, last] = this->open.equal_range(instance);
  for (auto it = first; it != last; ++it) {
    if (it->second.get() == &connection) {
      this->open.erase(it);
      was_open = true;
      break;
    }
  }
  if (was_open) {
    this->handlers.on_closed(connection, !this->open.contains(instance),
                             reason);
  }
}

std::shared_ptr<PeerConnection> PeerMesh::Find(InstanceId peer) const {
  const auto it = this->open.find(peer);
  return it == this->open.end() ? nullptr : it->second;
}

void PeerMesh::Send(InstanceId peer, std::string frame) {
  if (const auto connection = this->Find(peer)) {
    connection->SendFrame(std::move(frame));
  }
}

void PeerMesh::ForEach(
    const std::function<void(const std::shared_ptr<PeerConnection>&)>& visit)
    const {
  // `visit` may send, which cannot change `open`.
  for (auto it = this->open.begin(); it != this->open.end();
       it = this->open.upper_bound(it->first)) {
    visit(it->second);
  }
}

size_t PeerMesh::queued_bytes() const {
  size_t total = 0;
  for (const auto& [instance, connection] : this->open) {
    total += connection->queued_bytes();
  }
  return total;
}

uint64_t PeerMesh::bytes_sent() const {
  uint64_t total = this->closed_bytes_sent;
  for (const auto& [instance, connection] : this->open) {
    total += connection->bytes_sent();
  }
  return total;
}

uint64_t PeerMesh::bytes_received() const {
  uint64_t total = this->closed_bytes_received;
  for (const auto& [instance, connection] : this->open) {
    total += connection->bytes_received();
  }
  return total;
}

}  // namespace celerypost
