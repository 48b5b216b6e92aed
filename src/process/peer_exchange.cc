#include "src/process/peer_exchange.h"

#include <arpa/inet.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "src/connection/bounded_thrift.h"

namespace celerypost {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// The largest datagram that is received, in bytes.
constexpr size_t kMaxDatagramBytes = 16384;

std::string Encode(const wire::Beat& beat) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  beat.write(&protocol);
  return buffer->getBufferAsString();
}

bool Decode(std::string_view bytes, wire::Beat& beat) {
  return ReadBoundedThrift(bytes, beat).has_value() && beat.instance != 0;
}

}  // namespace

PeerExchange::PeerExchange(Loop& loop, Log& log, PeerExchangeOptions options)
    : loop(loop), log(log), options(std::move(options)) {}

PeerExchange::~PeerExchange() {
  if (this->socket != nullptr) {
    this->socket->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(this->socket),
             [](uv_handle_t* handle) {
               delete reinterpret_cast<uv_udp_t*>(handle);
             });
  }
}

Result<void> PeerExchange::Listen() {
  this->socket = new uv_udp_t;
  uv_udp_init(this->loop.uv(), this->socket);
  this->socket->data = this;
  sockaddr_in address{};
  uv_ip4_addr(this->options.ip.c_str(), this->options.port, &address);
  int status =
      uv_udp_bind(this->socket, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status = uv_udp_recv_start(
        this->socket,
        [](uv_handle_t*, size_t, uv_buf_t* buffer) {
          static thread_local char shared[kMaxDatagramBytes];
          *buffer = uv_buf_init(shared, sizeof(shared));
        },
        [](uv_udp_t* socket, ssize_t count, const uv_buf_t* buffer,
           const sockaddr* from, unsigned) {
          auto* self = static_cast<PeerExchange*>(socket->data);
          if (self == nullptr || count <= 0 || from == nullptr) {
            return;
          }
          char ip[INET_ADDRSTRLEN] = {};
          uv_ip4_name(reinterpret_cast<const sockaddr_in*>(from), ip,
                      sizeof(ip));
          self->OnDatagram(buffer->base, static_cast<size_t>(count), ip);
        });
  }
  if (status != 0) {
    return NotRun(ErrorCode::kUnavailable,
                  "cannot receive beats on port " +
                      std::to_string(this->options.port) + ": " +
                      uv_strerror(status));
  }
  return {};
}

void PeerExchange::AddAddress(const std::string& ip) {
  if (ip == this->options.ip || ip.empty()) {
    return;
  }
  Peer& peer = this->known[ip];
  peer.ip = ip;
  peer.added = this->loop.Now();
}

void PeerExchange::OnDatagram(const char* bytes,
                              size_t length,
                              const std::string& ip) {
  wire::Beat beat;
  if (!Decode({bytes, length}, beat)) {
    if (this->malformed_datagrams++ == 0) {
      this->log.Warn("beat_unreadable",
                     "received a datagram that is not a valid beat",
                     {{"from", ip}, {"bytes", length}});
    }
    return;
  }
  Peer& peer = this->known[ip];
  const bool near = beat.region == this->options.region.value();
  if (near && (peer.beat.instance == 0 || !this->Live(peer))) {
    this->log.Info("peer_heard",
                   "received a beat of a new or silent peer of the region",
                   {{"ip", ip}, {"role", beat.role}, {"zone", beat.zone}});
  }
  peer.ip = ip;
  peer.heard = this->loop.Now();
  peer.beat = std::move(beat);
  const std::vector<std::string> addresses = peer.beat.known;
  if (this->on_beat) {
    this->on_beat(peer);
  }
  for (const std::string& address : addresses) {
    if (!this->known.contains(address)) {
      this->AddAddress(address);
    }
  }
}

void PeerExchange::RemoveSilentPeers() {
  const TimePoint now = this->loop.Now();
  std::erase_if(this->known, [&](const auto& item) {
    const Peer& peer = item.second;
    return now - peer.heard > this->options.removal_delay &&
           now - peer.added > this->options.removal_delay;
  });
}

void PeerExchange::Send(const wire::Beat& beat,
                        const std::function<bool(const BeatPeer&)>& wanted) {
  this->RemoveSilentPeers();
  const std::string bytes = Encode(beat);
  for (const auto& [ip, peer] : this->known) {
    if (wanted({peer.beat.instance != 0, this->Near(peer),
                static_cast<NodeRole>(peer.beat.role)})) {
      this->SendBytes(bytes, ip);
    }
  }
}

size_t PeerExchange::SendTo(const wire::Beat& beat,
                            const std::vector<std::string>& ips) {
  const std::string bytes = Encode(beat);
  for (const std::string& ip : ips) {
    this->SendBytes(bytes, ip);
  }
  return bytes.size();
}

void PeerExchange::SendBytes(const std::string& bytes, const std::string& ip) {
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()),
                                static_cast<unsigned>(bytes.size()));
  sockaddr_in address{};
  uv_ip4_addr(ip.c_str(), this->options.port, &address);
  // Failures are ignored: the next beat follows soon.
  const int sent = uv_udp_try_send(this->socket, &buffer, 1,
                                   reinterpret_cast<const sockaddr*>(&address));
  this->total_bytes_sent += sent > 0 ? static_cast<uint64_t>(sent) : 0;
}

bool PeerExchange::Live(const Peer& peer) const {
  return peer.beat.instance != 0 &&
         this->loop.Now() - peer.heard <=
             (this->Near(peer) ? this->options.near_silence_limit
                               : this->options.far_silence_limit);
}

bool PeerExchange::Near(const Peer& peer) const {
  return peer.beat.instance == 0 ||
         peer.beat.region == this->options.region.value();
}

size_t PeerExchange::CountNear(NodeRole role) const {
  return static_cast<size_t>(std::count_if(
      this->known.begin(), this->known.end(), [&](const auto& item) {
        const Peer& peer = item.second;
        return peer.beat.role == static_cast<int32_t>(role) &&
               this->Near(peer) && this->Live(peer);
      }));
}

std::vector<std::string> PeerExchange::SampleNearAddresses(
    size_t max_count,
    Random& random) const {
  std::vector<std::string> sample;
  size_t seen = 0;
  for (const auto& [ip, peer] : this->known) {
    if (!this->Near(peer) || !this->Live(peer)) {
      continue;
    }
    // Reservoir sampling.
    ++seen;
    if (sample.size() < max_count) {
      sample.push_back(ip);
    } else if (const uint64_t slot = random.Below(seen); slot < max_count) {
      sample[slot] = ip;
    }
  }
  return sample;
}

}  // namespace celerypost
