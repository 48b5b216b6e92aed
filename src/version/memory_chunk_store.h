#ifndef SRC_VERSION_MEMORY_CHUNK_STORE_H_
#define SRC_VERSION_MEMORY_CHUNK_STORE_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "src/version/chunk_store.h"

namespace celerypost {

struct MemoryChunkStoreOptions {
  // Maximum number of bytes of all chunks held.
  uint64_t max_bytes = 64u << 20;
};

// A ChunkStore in the memory of the process.
class MemoryChunkStore : public ChunkStore {
 public:
  explicit MemoryChunkStore(MemoryChunkStoreOptions options);

  Result<void> Put(const Digest& digest, std::string content) override;
  Result<std::string> Get(const Digest& digest,
                          uint64_t offset,
                          uint64_t length) override;
  bool Has(const Digest& digest) const override;
  void Drop(const Digest& digest) override;
  uint64_t BytesHeld() const override { return this->bytes_held; }

 private:
  MemoryChunkStoreOptions options;
  std::unordered_map<Digest, std::string> chunks;
  uint64_t bytes_held = 0;
};

}  // namespace celerypost

#endif  // SRC_VERSION_MEMORY_CHUNK_STORE_H_
