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
  // Pause before a failed connection is tried again; doubles up to the maximum.
  std::chrono::milliseconds min_reconnect{100};
  std::chrono::milliseconds max_reconnect{1000};
  // How long a connection that nobody wants any more stays open.
  std::chrono::milliseconds linger{5000};
};

// Called on the loop. A connection is reported from its handshake to its end.
struct PeerMeshHandlers {
  std::function<void(PeerConnection&)> on_open;
  std::function<void(PeerConnection&, Frame)> on_frame;
  // `last` is true when no other connection to that instance is open.
  std::function<void(PeerConnection&, bool last)> on_closed;
};

// The connections of one process to others. Keeps those open that any part of
// the process wants, and accepts those that others open.
class PeerMesh : public PeerTransport {
 public:
  // Fails with kUnavailable when `listen` is taken.
  static Result<std::unique_ptr<PeerMesh>> Make(Loop& loop,
                                                PeerIdentity self,
                                                PeerKey& key,
                                                const SocketAddress& listen,
                                                PeerMeshOptions options,
                                                PeerMeshHandlers handlers);
  ~PeerMesh() override;

  // PeerTransport, used by gossip.
  void SetNeighbours(const std::vector<PeerTarget>& neighbours) override;
  void Probe(const std::string& address) override;
  void Send(InstanceId peer, std::string frame) override;

  // Replaces the peers that one part of the process wants. `purpose` tells the
  // parts apart.
  void SetWanted(std::string_view purpose,
                 const std::vector<PeerTarget>& targets);

  // Returns an open connection to `peer`, or null. Holding it keeps it open
  // while the peer lives.
  std::shared_ptr<PeerConnection> Find(InstanceId peer) const;

  // Calls `visit` for one open connection of each peer.
  void ForEach(
      const std::function<void(const std::shared_ptr<PeerConnection>&)>& visit)
      const;

  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  struct Dial {
    std::shared_ptr<PeerConnection> connection;
    std::chrono::milliseconds backoff{0};
    TimePoint next_try;
    // Last time that the address was wanted or probed.
    TimePoint wanted_at;
    bool probe = false;
  };

  PeerMesh(Loop& loop,
           PeerIdentity self,
           PeerKey& key,
           PeerMeshOptions options,
           PeerMeshHandlers handlers);

  PeerConnectionHandlers MakeHandlers();
  void Connect(const std::string& address, Dial* dial);
  void Maintain();
  void OnOpen(PeerConnection& connection);
  void OnClosed(PeerConnection& connection);

  Loop& loop;
  const PeerIdentity self;
  PeerKey& key;
  const PeerMeshOptions options;
  PeerMeshHandlers handlers;
  std::unique_ptr<PeerListener> listener;
  // Wanted addresses by purpose.
  std::map<std::string, std::vector<std::string>, std::less<>> wanted;
  std::map<std::string, Dial> dials;
  std::vector<std::shared_ptr<PeerConnection>> accepted;
  std::multimap<InstanceId, std::shared_ptr<PeerConnection>> open;
  uint64_t closed_bytes_sent = 0;
  uint64_t closed_bytes_received = 0;
  Timer timer;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_PEER_MESH_H_
