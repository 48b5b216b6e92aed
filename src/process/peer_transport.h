#ifndef SRC_PROCESS_PEER_TRANSPORT_H_
#define SRC_PROCESS_PEER_TRANSPORT_H_

#include <string>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// A process to keep a connection to.
struct PeerEndpoint {
  InstanceId instance;
  // IP:port.
  std::string address;
};

// Connections between celerypost processes, as GossipTask uses them. An
// implementation connects, authenticates both sides by an exchange of Hello
// messages, and reconnects with a delay while a peer is wanted. It calls
// GossipTask::OnPeerConnected once per authenticated connection in either
// direction, OnFrame for frames of the kinds HEARTBEAT, PULL_DOCUMENT and
// DOCUMENT, and OnPeerDisconnected when the last connection to an instance has
// closed.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Replaces the set of neighbours to keep connections to. Connections opened
  // by the other side stay open until that side closes them.
  virtual void SetNeighbours(const std::vector<PeerEndpoint>& neighbours) = 0;

  // Tries once to connect to an address whose instance is unknown: a seed, or
  // an address of the platform's membership list. Keeps the connection for
  // about 5 s, so that member tables can be exchanged. Does nothing while a
  // connection to that address is open or being opened.
  virtual void Probe(const std::string& address) = 0;

  // Sends one frame encoded by EncodeFrame. Drops it when no connection to
  // `peer` is open.
  virtual void Send(InstanceId peer, std::string frame) = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_PEER_TRANSPORT_H_
