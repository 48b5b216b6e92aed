#include "tests/standins/artefact.h"

#include <algorithm>
#include <cstring>
#include <random>

#include <nlohmann/json.hpp>

#include "tests/standins/encoding.h"

namespace celerypost::standins {

namespace {

std::string ChunkBytes(uint64_t seed, uint64_t number, uint64_t size) {
  std::mt19937_64 random(seed * 1000003 + number);
  std::string bytes(size, '\0');
  for (uint64_t offset = 0; offset < size; offset += sizeof(uint64_t)) {
    const uint64_t word = random();
    std::memcpy(bytes.data() + offset, &word,
                std::min<uint64_t>(sizeof(word), size - offset));
  }
  return bytes;
}

}  // namespace

Artefact::Artefact(const ArtefactOptions& options) {
  for (uint64_t offset = 0, number = 0; offset < options.size;
       offset += options.chunk_size, ++number) {
    const bool shared = (number + 1) * options.shared_percent / 100 >
                        number * options.shared_percent / 100;
    const std::string chunk =
        ChunkBytes(shared ? options.shared_seed : options.seed, number,
                   std::min(options.chunk_size, options.size - offset));
    this->chunk_digests.push_back(Sha256Hex(chunk));
    this->content += chunk;
  }
  this->content_digest = Sha256Hex(this->content);
  this->index_text = nlohmann::json{{"size", options.size},
                                    {"chunk_size", options.chunk_size},
                                    {"chunks", this->chunk_digests}}
                         .dump();
  this->index_text_digest = Sha256Hex(this->index_text);
}

}  // namespace celerypost::standins
