#ifndef SRC_PROCESS_CHUNK_TRANSPORT_H_
#define SRC_PROCESS_CHUNK_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/version/chunk_goal.h"
#include "src/version/digest.h"

namespace celerypost {

// Why a transfer failed: kNotFound, kOverloaded (refused, try later), kCorrupt
// (of the wrong length) or kUnavailable.
struct TransferFailure {
  ErrorCode code = ErrorCode::kUnavailable;
  std::string message;
  // How long the source asks to wait before the next request.
  std::optional<std::chrono::milliseconds> retry_after;
};

// The bytes of a chunk, a range or an index document, or why there are none.
using TransferResult = tl::expected<std::string, TransferFailure>;
using TransferCallback = std::function<void(TransferResult)>;

// A transfer in progress. Destroying it cancels the transfer; its callback does
// not run afterwards. The callback may destroy it.
class Transfer {
 public:
  virtual ~Transfer() = default;
};

// Transfers chunks and index documents to one agent. Callbacks run on the
// loop's thread, never before the function that takes them has returned.
class ChunkTransport {
 public:
  virtual ~ChunkTransport() = default;

  // Asks another agent for a chunk or an index document by a PullChunk message.
  virtual std::unique_ptr<Transfer> RequestFromPeer(InstanceId peer,
                                                    const Digest& digest,
                                                    TransferCallback done) = 0;
  // Asks the origin for bytes [offset, offset + length) of an artefact.
  virtual std::unique_ptr<Transfer> RequestRange(const Digest& artefact,
                                                 uint64_t offset,
                                                 uint64_t length,
                                                 TransferCallback done) = 0;
  // Asks the origin for an index document.
  virtual std::unique_ptr<Transfer> RequestIndex(const Digest& index,
                                                 TransferCallback done) = 0;
  // Sends the agents of the service a HaveChunks message with the chunks that
  // this agent holds. A peer that connects later must be sent the latest
  // announcement as well.
  virtual void Announce(const HaveAnnouncement& have) = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_CHUNK_TRANSPORT_H_
