#include "src/version/task/chunk_exchange.h"

#include <utility>

namespace celerypost {

namespace {

wire::HaveChunks ToWire(const HaveAnnouncement& have) {
  wire::HaveChunks message;
  message.set_digest = have.set.ToHex();
  message.bitmap = have.bitmap;
  message.complete = have.complete;
  return message;
}

}  // namespace

class ChunkExchange::PeerTransfer : public Transfer {
 public:
  PeerTransfer(std::shared_ptr<std::unordered_map<int64_t, Pending>> pending,
               int64_t request)
      : pending(std::move(pending)), request(request) {}
  ~PeerTransfer() override { this->pending->erase(this->request); }
  PeerTransfer(const PeerTransfer&) = delete;
  PeerTransfer& operator=(const PeerTransfer&) = delete;

 private:
  std::shared_ptr<std::unordered_map<int64_t, Pending>> pending;
  int64_t request;
};

ChunkExchange::ChunkExchange(Loop& loop,
                             const PeerIdentity& self,
                             PeerMesh& mesh,
                             OriginClient* origin,
                             ChunkExchangeHandlers handlers)
    : loop(loop),
      self(self),
      mesh(mesh),
      origin(origin),
      handlers(std::move(handlers)),
      pending(std::make_shared<std::unordered_map<int64_t, Pending>>()) {}

ChunkExchange::~ChunkExchange() = default;

std::unique_ptr<Transfer> ChunkExchange::RequestFromPeer(
    InstanceId peer,
    const Digest& digest,
    TransferCallback done) {
  const int64_t request = this->next_request++;
  this->pending->emplace(request, Pending{peer, digest, std::move(done)});
  const auto connection = this->mesh.Find(peer);
  if (connection) {
    wire::PullChunk message;
    message.digest = digest.ToHex();
    connection->Send(wire::Kind::PULL_CHUNK, request, 1, message);
  } else {
    this->loop.Post([this, request, alive = std::weak_ptr(this->pending)] {
      if (alive.lock()) {
        this->Fail(request, ErrorCode::kUnavailable, "not connected");
      }
    });
  }
  return std::make_unique<PeerTransfer>(this->pending, request);
}

std::unique_ptr<Transfer> ChunkExchange::FailLater(TransferCallback done,
                                                   std::string message) {
  const int64_t request = this->next_request++;
  this->pending->emplace(request, Pending{{}, {}, std::move(done)});
  this->loop.Post([this, request, message = std::move(message),
                   alive = std::weak_ptr(this->pending)] {
    if (alive.lock()) {
      this->Fail(request, ErrorCode::kUnavailable, message);
    }
  });
  return std::make_unique<PeerTransfer>(this->pending, request);
}

std::unique_ptr<Transfer> ChunkExchange::RequestRange(const Digest& artefact,
                                                      uint64_t offset,
                                                      uint64_t length,
                                                      TransferCallback done) {
  if (this->origin == nullptr) {
    return this->FailLater(std::move(done), "no origin is configured");
  }
  return this->origin->RequestRange(artefact, offset, length, std::move(done));
}

std::unique_ptr<Transfer> ChunkExchange::RequestIndex(const Digest& index,
                                                      TransferCallback done) {
  if (this->origin == nullptr) {
    return this->FailLater(std::move(done), "no origin is configured");
  }
  return this->origin->RequestIndex(index, std::move(done));
}

bool ChunkExchange::IsChunkPeer(const PeerConnection& connection) const {
  return connection.peer().role == Role::kAgent &&
         connection.peer().service == this->self.service;
}

void ChunkExchange::Announce(const HaveAnnouncement& have) {
  this->latest_announcement = have;
  const std::string frame =
      EncodeFrame(wire::Kind::HAVE_CHUNKS, 0, 1, ToWire(have));
  this->mesh.ForEach([&](const std::shared_ptr<PeerConnection>& connection) {
    if (this->IsChunkPeer(*connection)) {
      connection->SendFrame(frame);
    }
  });
}

void ChunkExchange::OnConnected(PeerConnection& connection) {
  if (this->latest_announcement && this->IsChunkPeer(connection)) {
    connection.Send(wire::Kind::HAVE_CHUNKS, 0, 1,
                    ToWire(*this->latest_announcement));
  }
}

void ChunkExchange::OnDisconnected(InstanceId peer) {
  std::vector<int64_t> lost_requests;
  for (const auto& [request, transfer] : *this->pending) {
    if (transfer.peer == peer) {
      lost_requests.push_back(request);
    }
  }
  for (const int64_t request : lost_requests) {
    this->Fail(request, ErrorCode::kUnavailable, "the connection was lost");
  }
}

void ChunkExchange::Fail(int64_t request, ErrorCode code, std::string message) {
  const auto it = this->pending->find(request);
  if (it == this->pending->end()) {
    return;
  }
  const TransferCallback done = std::move(it->second.done);
  this->pending->erase(it);
  TransferFailure failure;
  failure.code = code;
  failure.message = std::move(message);
  done(tl::unexpected<TransferFailure>(std::move(failure)));
}

void ChunkExchange::OnFrame(const std::shared_ptr<PeerConnection>& from,
                            const Frame& frame) {
  switch (frame.header.kind) {
    case wire::Kind::PULL_CHUNK:
      this->OnPull(from, frame);
      return;
    case wire::Kind::CHUNK:
      this->OnChunk(frame);
      return;
    case wire::Kind::HAVE_CHUNKS:
      if (const auto have = DecodeMessage<wire::HaveChunks>(frame)) {
        const auto set = Digest::FromHex(have->set_digest);
        if (set) {
          this->handlers.on_have(
              from->peer().instance,
              HaveAnnouncement{*set, have->bitmap, have->complete});
        }
      }
      return;
    default:
      return;
  }
}

void ChunkExchange::OnPull(const std::shared_ptr<PeerConnection>& from,
                           const Frame& frame) {
  const auto pull = DecodeMessage<wire::PullChunk>(frame);
  const auto digest =
      pull ? Digest::FromHex(pull->digest) : std::optional<Digest>();
  const int64_t request = frame.header.request;
  const auto reply = [weak = std::weak_ptr(from), request](
                         std::string hex, TransferResult result) {
    const auto connection = weak.lock();
    if (!connection) {
      return;
    }
    wire::Chunk chunk;
    chunk.digest = std::move(hex);
    chunk.found = result.has_value();
    chunk.busy = !result && result.error().code == ErrorCode::kOverloaded;
    if (result) {
      chunk.bytes = std::move(*result);
    }
    connection->Send(wire::Kind::CHUNK, request, 1, chunk);
  };
  if (!digest) {
    reply("", tl::unexpected<TransferFailure>(
                  TransferFailure{ErrorCode::kNotFound, "bad digest", {}}));
    return;
  }
  const bool crosses_regions = from->peer().region != this->self.region;
  this->handlers.serve(*digest, crosses_regions,
                       [reply, hex = pull->digest](TransferResult result) {
                         reply(hex, std::move(result));
                       });
}

void ChunkExchange::OnChunk(const Frame& frame) {
  auto chunk = DecodeMessage<wire::Chunk>(frame);
  const int64_t request = frame.header.request;
  const auto it = this->pending->find(request);
  if (it == this->pending->end()) {
    return;
  }
  if (!chunk || chunk->digest != it->second.digest.ToHex()) {
    this->Fail(request, ErrorCode::kNotFound, "the answer names another chunk");
    return;
  }
  if (!chunk->found) {
    this->Fail(request,
               chunk->busy ? ErrorCode::kOverloaded : ErrorCode::kNotFound,
               chunk->busy ? "the peer is busy" : "the peer has no such chunk");
    return;
  }
  const TransferCallback done = std::move(it->second.done);
  this->pending->erase(it);
  done(std::move(chunk->bytes));
}

}  // namespace celerypost
