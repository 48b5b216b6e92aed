#ifndef SRC_PROCESS_ORIGIN_CLIENT_H_
#define SRC_PROCESS_ORIGIN_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include "src/connection/http_client.h"
#include "src/process/chunk_transport.h"
#include "src/version/digest.h"

namespace celerypost {

struct OriginClientOptions {
  // Longest time without data from the origin.
  std::chrono::milliseconds io_timeout{15000};
};

// HTTP client of the origin, which stores the artefacts and index documents of
// all weight sets (section 10.7). Implements the functions of ChunkTransport
// that use the origin.
class OriginClient {
 public:
  OriginClient(Loop& loop, SocketAddress origin, OriginClientOptions options);
  ~OriginClient();

  // GET /artefacts/<digest> with a Range header. Succeeds only with exactly
  // `length` bytes; a shorter answer is a kCorrupt failure.
  std::unique_ptr<Transfer> RequestRange(const Digest& artefact,
                                         uint64_t offset,
                                         uint64_t length,
                                         TransferCallback done);
  // GET /objects/<digest>.
  std::unique_ptr<Transfer> RequestIndex(const Digest& index,
                                         TransferCallback done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_ORIGIN_CLIENT_H_
