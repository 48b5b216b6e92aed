#ifndef TESTS_STANDINS_ARTEFACT_H_
#define TESTS_STANDINS_ARTEFACT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace celerypost::standins {

struct ArtefactOptions {
  uint64_t size = 1 << 20;
  uint64_t chunk_size = 64 << 10;
  uint64_t seed = 1;
  // `shared_percent` percent of the chunks, spread evenly, have the same bytes
  // as those of an artefact whose seed is `shared_seed`.
  uint64_t shared_seed = 0;
  uint64_t shared_percent = 0;
};

// Pseudo-random weights and the documents that describe them.
class Artefact {
 public:
  explicit Artefact(const ArtefactOptions& options);

  const std::string& bytes() const { return this->content; }
  // SHA-256 of the bytes, in hex.
  const std::string& digest() const { return this->content_digest; }
  const std::vector<std::string>& chunks() const { return this->chunk_digests; }
  // The JSON index document of the chunks, and its SHA-256 in hex.
  const std::string& index() const { return this->index_text; }
  const std::string& index_digest() const { return this->index_text_digest; }

 private:
  std::string content;
  std::string content_digest;
  std::vector<std::string> chunk_digests;
  std::string index_text;
  std::string index_text_digest;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_ARTEFACT_H_
