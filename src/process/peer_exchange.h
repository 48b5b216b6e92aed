#ifndef SRC_PROCESS_PEER_EXCHANGE_H_
#define SRC_PROCESS_PEER_EXCHANGE_H_

#include <uv.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "messages_types.h"
#include "src/connection/loop.h"
#include "src/connection/socket_address.h"
#include "src/process/log.h"
#include "src/process/state/beat_schedule.h"

namespace celerypost {

struct PeerExchangeOptions {
  // This VM's address, and the UDP port for beats, which is the same on every
  // VM.
  std::string ip;
  uint16_t port = 0;
  RegionName region;
  // A peer of this region counts as dead when no beat of it has arrived for
  // this long. The limit spans several beats, since datagrams may be lost.
  std::chrono::milliseconds near_silence_limit{1500};
  // The limit for peers of other regions, which send beats only to a few
  // processes of this one and less often.
  std::chrono::milliseconds far_silence_limit{4000};
  // A peer is removed, and is sent no more beats, when for this long it has
  // sent none and its address has not been added again.
  std::chrono::milliseconds removal_delay{20000};
};

// A process that sent a beat, or whose address was learnt from a beat of
// another process or by AddAddress.
struct Peer {
  std::string ip;
  // The newest beat; its instance is 0 before the first one.
  wire::Beat beat;
  // Arrival time of the newest beat.
  TimePoint heard{};
  // When the address was last passed to AddAddress.
  TimePoint added{};
};

// Exchanges beats with the other processes. A beat is a heartbeat sent as one
// UDP datagram.
class PeerExchange {
 public:
  PeerExchange(Loop& loop, Log& log, PeerExchangeOptions options);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  // Binds the port and starts to receive. Fails with kUnavailable.
  Result<void> Listen();
  void OnBeat(std::function<void(const Peer&)> callback) {
    this->on_beat = std::move(callback);
  }
  // Adds an address to which beats are sent although none has come from it yet.
  void AddAddress(const std::string& ip);
  // Sends `beat` to every known peer for which `wanted` returns true.
  void Send(const wire::Beat& beat,
            const std::function<bool(const BeatPeer&)>& wanted);
  // Sends `beat` to the processes on the VMs `ips`, known peers or not. Returns
  // the size of the datagram in bytes.
  size_t SendTo(const wire::Beat& beat, const std::vector<std::string>& ips);
  // Whether a beat of `peer` has arrived within the silence limit.
  bool Live(const Peer& peer) const;
  // Whether `peer` is in this process's region. True while its region is
  // unknown.
  bool Near(const Peer& peer) const;
  // Returns the number of live peers with `role` in this process's region.
  size_t CountNear(NodeRole role) const;
  const std::map<std::string, Peer>& peers() const { return this->known; }
  // Returns the IP addresses of live peers of this region: at most `max_count`,
  // which are drawn at random.
  std::vector<std::string> SampleNearAddresses(size_t max_count,
                                               Random& random) const;
  uint64_t bytes_sent() const { return this->total_bytes_sent; }

 private:
  void OnDatagram(const char* bytes, size_t length, const std::string& ip);
  void RemoveSilentPeers();
  void SendBytes(const std::string& bytes, const std::string& ip);

  Loop& loop;
  Log& log;
  PeerExchangeOptions options;
  // Deleted by its close callback.
  uv_udp_t* socket = nullptr;
  // By IP address.
  std::map<std::string, Peer> known;
  std::function<void(const Peer&)> on_beat;
  uint64_t malformed_datagrams = 0;
  uint64_t total_bytes_sent = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_PEER_EXCHANGE_H_
