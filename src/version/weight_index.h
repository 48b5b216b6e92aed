#ifndef SRC_VERSION_WEIGHT_INDEX_H_
#define SRC_VERSION_WEIGHT_INDEX_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "celerypost/verdict.h"
#include "src/version/digest.h"
#include "src/version/manifest.h"

namespace celerypost {

// Maximum chunk size in bytes; a chunk and its header must fit into one frame.
inline constexpr uint64_t kMaxChunkBytes = 1u << 20;
// Maximum number of chunks of one artefact; bounds the memory that an index
// document can make a process allocate.
inline constexpr uint64_t kMaxChunksPerArtefact = 1u << 20;

// The index document of one artefact. Chunk i holds bytes
// [i * chunk_size, min(size, (i + 1) * chunk_size)).
struct WeightIndex {
  uint64_t size = 0;
  uint64_t chunk_size = 0;
  std::vector<Digest> chunks;

  // Parses the index document of `artefact`. Fails with kCorrupt when the bytes
  // do not have the digest `artefact.index`, and with kInvalidArgument when a
  // field is wrong or the size differs from the artefact's.
  static Result<WeightIndex> Parse(std::string_view json,
                                   const Artefact& artefact);

  uint64_t Offset(size_t chunk) const { return chunk * this->chunk_size; }
  uint64_t Length(size_t chunk) const;

  bool operator==(const WeightIndex&) const = default;
};

}  // namespace celerypost

#endif  // SRC_VERSION_WEIGHT_INDEX_H_
