#ifndef SRC_PROCESS_PEER_MESH_H_
#define SRC_PROCESS_PEER_MESH_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/connection/peer_connection.h"
#include "src/process/peer_transport.h"

namespace celerypost {

struct PeerMeshOptions {
  PeerConnectionOptions connection;
  // Delay before a failed connection attempt is repeated; doubles from the
  // minimum to the maximum.
  std::chrono::milliseconds min_reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{1000};
  // How long a connection stays open after it was last wanted.
  std::chrono::milliseconds linger{5000};
};

// Called on the loop, and only for connections whose handshake has completed.
struct PeerMeshHandlers {
  std::function<void(PeerConnection&)> on_open;
  std::function<void(PeerConnection&, Frame)> on_frame;
  // `last` is true when no other connection to that instance is open. `reason`
  // is human-readable.
  std::function<void(PeerConnection&, bool last, std::string_view reason)>
      on_closed;
};

// The connections of one process to its peers. Keeps a connection open to every
// peer that a component of the process wants, and accepts connections of
// others.
class PeerMesh : public PeerTransport {
 public:
  // Fails with kUnavailable when `listen` is in use.
  static Result<std::unique_ptr<PeerMesh>> Make(Loop& loop,
                                                PeerIdentity self,
                                                PeerKey& key,
                                                const SocketAddress& listen,
                                                PeerMeshOptions options,
                                                PeerMeshHandlers handlers);
  ~PeerMesh() override;

  // PeerTransport:
  void SetNeighbours(const std::vector<PeerEndpoint>& neighbours) override;
  void Probe(const std::string& address) override;
  void Send(InstanceId peer, std::string frame) override;

  // Replaces the peers that one component wants. `purpose` identifies the
  // component.
  void SetWanted(std::string_view purpose,
                 const std::vector<PeerEndpoint>& peers);

  // Returns an open connection to `peer`, or null. Holding the result prevents
  // the mesh from closing the connection as unwanted.
  std::shared_ptr<PeerConnection> Find(InstanceId peer) const;

  // Calls `visit` for one open connection of each peer.
  void ForEach(
      const std::function<void(const std::shared_ptr<PeerConnection>&)>& visit)
      const;

  // Bytes that the peers have not taken yet.
  size_t queued_bytes() const;
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  // An address that this process connects to.
  struct OutboundPeer {
    std::shared_ptr<PeerConnection> connection;
    std::chrono::milliseconds backoff{0};
    // Earliest time of the next attempt.
    TimePoint next_attempt;
    // When the address was last wanted or probed.
    TimePoint wanted_at;
    // Set by Probe until the address is wanted; a probe is tried only once.
    bool probe = false;
  };

  PeerMesh(Loop& loop,
           PeerIdentity self,
           PeerKey& key,
           PeerMeshOptions options,
           PeerMeshHandlers handlers);

  PeerConnectionHandlers MakeHandlers();
  void Connect(const std::string& address, OutboundPeer* peer);
  void Maintain();
  void OnOpen(PeerConnection& connection);
  void OnClosed(PeerConnection& connection, std::string_view reason);

  Loop& loop;
  const PeerIdentity self;
  PeerKey& key;
  const PeerMeshOptions options;
  PeerMeshHandlers handlers;
  std::unique_ptr<PeerListener> listener;
  // Wanted addresses by purpose.
  std::map<std::string, std::vector<std::string>, std::less<>> wanted;
  // By address.
  std::map<std::string, OutboundPeer> outbound;
  std::vector<std::shared_ptr<PeerConnection>> accepted;
  std::multimap<InstanceId, std::shared_ptr<PeerConnection>> open;
  // Bytes of connections that have closed.
  uint64_t closed_bytes_sent = 0;
  uint64_t closed_bytes_received = 0;
  Timer timer;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_PEER_MESH_H_
