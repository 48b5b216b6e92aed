#ifndef SRC_VERSION_TASK_CHUNK_EXCHANGE_H_
#define SRC_VERSION_TASK_CHUNK_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/connection/loop.h"
#include "src/process/chunk_transport.h"
#include "src/process/origin_client.h"
#include "src/process/peer_mesh.h"

namespace celerypost {

// Calls from the exchange to the process's WeightTask: to send a chunk that a
// peer requests, and to take in a peer's announcement.
struct ChunkExchangeHandlers {
  std::function<
      void(const Digest& digest, bool crosses_regions, TransferCallback done)>
      serve;
  std::function<void(InstanceId peer, const HaveAnnouncement& have)> on_have;
};

// Transfers chunks between agents over the peer mesh, and from the origin.
class ChunkExchange : public ChunkTransport {
 public:
  // `origin` may be null: requests to it then fail with kUnavailable.
  ChunkExchange(Loop& loop,
                const PeerIdentity& self,
                PeerMesh& mesh,
                OriginClient* origin,
                ChunkExchangeHandlers handlers);
  ~ChunkExchange() override;

  std::unique_ptr<Transfer> RequestFromPeer(InstanceId peer,
                                            const Digest& digest,
                                            TransferCallback done) override;
  std::unique_ptr<Transfer> RequestRange(const Digest& artefact,
                                         uint64_t offset,
                                         uint64_t length,
                                         TransferCallback done) override;
  std::unique_ptr<Transfer> RequestIndex(const Digest& index,
                                         TransferCallback done) override;
  void Announce(const HaveAnnouncement& have) override;

  // Handles PULL_CHUNK, CHUNK and HAVE_CHUNKS frames; ignores others.
  void OnFrame(const std::shared_ptr<PeerConnection>& from, const Frame& frame);
  // Called when a connection to a peer has opened or closed.
  void OnConnected(PeerConnection& connection);
  void OnDisconnected(InstanceId peer);

 private:
  struct Pending {
    InstanceId peer;
    Digest digest;
    TransferCallback done;
  };
  class PeerTransfer;

  void OnPull(const std::shared_ptr<PeerConnection>& from, const Frame& frame);
  void OnChunk(const Frame& frame);
  void Fail(int64_t request, ErrorCode code, std::string message);
  std::unique_ptr<Transfer> FailLater(TransferCallback done,
                                      std::string message);
  bool IsChunkPeer(const PeerConnection& connection) const;

  Loop& loop;
  const PeerIdentity self;
  PeerMesh& mesh;
  OriginClient* origin;
  ChunkExchangeHandlers handlers;
  int64_t next_request = 1;
  // Requests without a response, by request number. Shared with transfers,
  // which may outlive this object.
  std::shared_ptr<std::unordered_map<int64_t, Pending>> pending;
  std::optional<HaveAnnouncement> latest_announcement;
};

}  // namespace celerypost

#endif  // SRC_VERSION_TASK_CHUNK_EXCHANGE_H_
