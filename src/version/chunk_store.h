#ifndef SRC_VERSION_CHUNK_STORE_H_
#define SRC_VERSION_CHUNK_STORE_H_

#include <cstdint>
#include <string>

#include "celerypost/verdict.h"
#include "src/version/digest.h"

namespace celerypost {

// Holds verified chunks by digest.
class ChunkStore {
 public:
  virtual ~ChunkStore() = default;

  // Stores `content` if its SHA-256 is `digest`. Fails with kCorrupt when it is
  // not, and with kOverloaded when the store has no room; the caller must then
  // drop other chunks first. Storing a chunk twice succeeds.
  virtual Result<void> Put(const Digest& digest, std::string content) = 0;

  // Returns `length` bytes from `offset`, fewer at the end of the chunk. Fails
  // with kNotFound, and with kInvalidArgument for an offset past the end.
  virtual Result<std::string> Get(const Digest& digest,
                                  uint64_t offset,
                                  uint64_t length) = 0;
  virtual bool Has(const Digest& digest) const = 0;
  virtual void Drop(const Digest& digest) = 0;
  virtual uint64_t BytesHeld() const = 0;
};

}  // namespace celerypost

#endif  // SRC_VERSION_CHUNK_STORE_H_
