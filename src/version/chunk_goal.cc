#include "src/version/chunk_goal.h"

#include <algorithm>
#include <unordered_set>

namespace celerypost {

uint64_t ChunkGoal::ChunkBytes() const {
  uint64_t bytes = 0;
  for (const ChunkRef& chunk : this->chunks) {
    bytes += chunk.length;
  }
  return bytes;
}

ChunkGoal MakeChunkGoal(
    const WeightSet& set,
    const std::vector<std::optional<WeightIndex>>& indices) {
  ChunkGoal goal;
  goal.set = set.SetDigest();
  goal.all_chunks_listed =
      indices.size() == set.artefacts.size() &&
      std::all_of(indices.begin(), indices.end(),
                  [](const auto& index) { return index.has_value(); });
  std::unordered_set<Digest> seen;
  const auto add_once = [&goal, &seen](const ChunkRef& chunk) {
    if (seen.insert(chunk.digest).second) {
      goal.chunks.push_back(chunk);
    }
  };
  for (const Artefact& artefact : set.artefacts) {
    add_once({.digest = artefact.index,
              .artefact = artefact.digest,
              .index_document = true});
  }
  for (size_t i = 0; goal.all_chunks_listed && i < indices.size(); ++i) {
    const WeightIndex& index = *indices[i];
    for (size_t chunk = 0; chunk < index.chunks.size(); ++chunk) {
      add_once({.digest = index.chunks[chunk],
                .artefact = set.artefacts[i].digest,
                .offset = index.Offset(chunk),
                .length = index.Length(chunk)});
    }
  }
  return goal;
}

bool TestBit(std::string_view bitmap, size_t position) {
  return position / 8 < bitmap.size() &&
         ((static_cast<uint8_t>(bitmap[position / 8]) >> (position % 8)) & 1);
}

void SetBit(std::string& bitmap, size_t position) {
  if (position / 8 >= bitmap.size()) {
    bitmap.resize(position / 8 + 1, '\0');
  }
  bitmap[position / 8] = static_cast<char>(
      static_cast<uint8_t>(bitmap[position / 8]) | (1u << (position % 8)));
}

}  // namespace celerypost
