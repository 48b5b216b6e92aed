#ifndef SRC_PROCESS_PEER_TRANSPORT_H_
#define SRC_PROCESS_PEER_TRANSPORT_H_

#include <string>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// A process to keep a connection to.
struct PeerTarget {
  InstanceId instance;
  // IP:port.
  std::string address;
};

// Connections between celerypost processes, as GossipTask uses them. The
// implementation connects, exchanges Hello with proofs, reconnects with a
// delay while a target is wanted, and reports to GossipTask: OnPeerConnected
// once per open and checked connection, in either direction; OnFrame for
// frames of the kinds HEARTBEAT, PULL_DOCUMENT and DOCUMENT; OnPeerDisconnected
// when the last connection to that instance closed.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Replaces the set of neighbours to keep connections to. Connections that
  // the other side opened stay until it closes them.
  virtual void SetNeighbours(const std::vector<PeerTarget>& neighbours) = 0;

  // Tries once to connect to an address whose instance is unknown: a seed, or
  // an address of the platform's list. Keeps the connection for about 5 s, so
  // that member tables can be exchanged. Does nothing while a connection to
  // that address is open or being opened.
  virtual void Probe(const std::string& address) = 0;

  // Sends one whole frame (EncodeFrame). Dropped when no connection to `peer`
  // is open.
  virtual void Send(InstanceId peer, std::string frame) = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_PEER_TRANSPORT_H_
