#ifndef TESTS_STANDINS_WEIGHT_MEMORY_H_
#define TESTS_STANDINS_WEIGHT_MEMORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// The digest of a set as the manifest defines it: SHA-256 of its version and
// its artefacts' names, kinds and digests, each followed by a newline.
std::string SetDigest(const std::string& version, const Json& artefacts);

// The memory of an engine's VM: chunks, and sets assembled from them.
class WeightMemory {
 public:
  struct WeightSet {
    std::string version;
    // Artefact name to its bytes.
    std::map<std::string, std::string> bytes;
    // The set digest computed from the bytes in memory, so that missing, mixed
    // or corrupt bytes change it.
    std::string held_digest;
  };

  // Whether chunks and sets are checked against their digests.
  bool verify = true;

  // Returns an empty string, or why the chunk is refused.
  std::string PutChunk(const std::string& digest, std::string bytes);
  const std::string* FindChunk(const std::string& digest) const;
  void DropChunk(const std::string& digest) { this->chunks.erase(digest); }

  // Assembles a set from chunks (the body of `POST /admin/load`); returns an
  // empty string, or why the set is refused.
  std::string Load(const Json& order);
  const WeightSet* FindSet(const std::string& digest) const;
  void Unload(const std::string& digest) { this->sets.erase(digest); }
  Json Loaded() const;
  void Clear();

  uint64_t BytesHeld() const;

 private:
  std::map<std::string, std::string> chunks;
  std::map<std::string, WeightSet> sets;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_WEIGHT_MEMORY_H_
