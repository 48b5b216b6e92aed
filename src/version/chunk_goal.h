#ifndef SRC_VERSION_CHUNK_GOAL_H_
#define SRC_VERSION_CHUNK_GOAL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/version/digest.h"
#include "src/version/manifest.h"
#include "src/version/weight_index.h"

namespace celerypost {

// One object to fetch: a chunk, or an index document.
struct ChunkRef {
  Digest digest;
  // Where the origin has the chunk: bytes [offset, offset + length) of the
  // artefact. Unused for index documents, whose length is not known (0).
  Digest artefact;
  uint64_t offset = 0;
  uint64_t length = 0;
  bool index_document = false;

  bool operator==(const ChunkRef&) const = default;
};

// All objects that a set consists of: first the index
// documents in the order of the manifest, then the chunks in the order of the
// artefacts. Positions in this list are the bits of HaveChunks.bitmap.
// `all_chunks_listed` is false while index documents are missing; the list then
// ends after the index documents.
struct ChunkGoal {
  Digest set;
  std::vector<ChunkRef> chunks;
  bool all_chunks_listed = false;

  // Bytes of all chunks, without index documents.
  uint64_t ChunkBytes() const;
};

// `indices` holds one entry per artefact of `set`. Each digest is
// listed once, and chunks only when all of them are known, so that every
// process assigns the same positions.
ChunkGoal MakeChunkGoal(const WeightSet& set,
                        const std::vector<std::optional<WeightIndex>>& indices);

// Which chunks of a set a process holds, as a bitmap over the positions of its
// ChunkGoal: bit i is bit (i % 8) of byte (i / 8). Bits past the end are zero.
struct HaveAnnouncement {
  Digest set;
  std::string bitmap;
  bool complete = false;
  // Chunks that the process is fetching from the origin or from another region,
  // as a bitmap of the same form; empty from processes that do not announce
  // them.
  std::string fetching{};

  bool operator==(const HaveAnnouncement&) const = default;
};

bool TestBit(std::string_view bitmap, size_t position);
void SetBit(std::string& bitmap, size_t position);

}  // namespace celerypost

#endif  // SRC_VERSION_CHUNK_GOAL_H_
