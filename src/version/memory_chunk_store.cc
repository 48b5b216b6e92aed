#include "src/version/memory_chunk_store.h"

#include <utility>

namespace celerypost {

MemoryChunkStore::MemoryChunkStore(MemoryChunkStoreOptions options)
    : options(options) {}

Result<void> MemoryChunkStore::Put(const Digest& digest, std::string content) {
  if (this->chunks.contains(digest)) {
    return {};
  }
  if (Digest::Of(content) != digest) {
    return NotRun(ErrorCode::kCorrupt,
                  "chunk " + digest.ToHex() + ": " +
                      std::to_string(content.size()) +
                      " bytes received have another SHA-256");
  }
  if (content.size() > this->options.max_bytes - this->bytes_held) {
    return NotRun(ErrorCode::kOverloaded,
                  "chunk store holds " + std::to_string(this->bytes_held) +
                      " of " + std::to_string(this->options.max_bytes) +
                      " bytes; a chunk of " + std::to_string(content.size()) +
                      " bytes does not fit");
  }
  this->bytes_held += content.size();
  this->chunks.emplace(digest, std::move(content));
  return {};
}

Result<std::string> MemoryChunkStore::Get(const Digest& digest,
                                          uint64_t offset,
                                          uint64_t length) {
  const auto found = this->chunks.find(digest);
  if (found == this->chunks.end()) {
    return NotRun(ErrorCode::kNotFound,
                  "chunk " + digest.ToHex() + " is not held");
  }
  if (offset > found->second.size()) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "offset " + std::to_string(offset) + " is not in [0, " +
                      std::to_string(found->second.size()) + "]");
  }
  return found->second.substr(offset, length);
}

bool MemoryChunkStore::Has(const Digest& digest) const {
  return this->chunks.contains(digest);
}

void MemoryChunkStore::Drop(const Digest& digest) {
  const auto found = this->chunks.find(digest);
  if (found == this->chunks.end()) {
    return;
  }
  this->bytes_held -= found->second.size();
  this->chunks.erase(found);
}

}  // namespace celerypost
