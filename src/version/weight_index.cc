#include "src/version/weight_index.h"

#include <algorithm>
#include <string>

#include "src/version/json_fields.h"

namespace celerypost {

Result<WeightIndex> WeightIndex::Parse(std::string_view text,
                                       const Artefact& artefact) {
  if (Digest::Of(text) != artefact.index) {
    return NotRun(ErrorCode::kCorrupt,
                  "index document of artefact " + artefact.name +
                      " does not have the digest " + artefact.index.ToHex());
  }
  const std::string what = "index document of artefact " + artefact.name;
  const auto document = ParseJson(text, what);
  if (!document) {
    return tl::unexpected(document.error());
  }
  WeightIndex index;
  std::optional<Failure> error;
  JsonFields fields(*document, "", error);
  index.size = fields.Integer("size", artefact.size, artefact.size);
  index.chunk_size = fields.Integer("chunk_size", 1, kMaxChunkBytes);
  const uint64_t count = (index.size + index.chunk_size - 1) / index.chunk_size;
  if (count > kMaxChunksPerArtefact) {
    fields.Fail("chunk_size", std::to_string(index.chunk_size),
                "a size that gives at most " +
                    std::to_string(kMaxChunksPerArtefact) + " chunks");
  }
  const auto& chunks = fields.Array("chunks", count, count);
  index.chunks.reserve(chunks.size());
  for (size_t i = 0; i < chunks.size() && !error; ++i) {
    const auto* hex = chunks[i].get_ptr<const std::string*>();
    const auto digest = hex == nullptr ? std::nullopt : Digest::FromHex(*hex);
    if (!digest) {
      fields.Fail("chunks[" + std::to_string(i) + "]", ShortJson(chunks[i]),
                  "64 hexadecimal digits");
      break;
    }
    index.chunks.push_back(*digest);
  }
  if (error) {
    error->message = what + ": " + error->message;
    return tl::unexpected(*error);
  }
  return index;
}

uint64_t WeightIndex::Length(size_t chunk) const {
  const uint64_t begin = this->Offset(chunk);
  return begin >= this->size ? 0
                             : std::min(this->chunk_size, this->size - begin);
}

}  // namespace celerypost
