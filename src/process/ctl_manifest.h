#ifndef SRC_PROCESS_CTL_MANIFEST_H_
#define SRC_PROCESS_CTL_MANIFEST_H_

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "celerypost/verdict.h"

namespace celerypost {

// Size and digests of one artefact file, as a manifest contains them (section
// 10.3 of the design page).
struct ArtefactDigests {
  std::filesystem::path file;
  uint64_t size = 0;
  // SHA-256 of the whole file, in lower-case hex.
  std::string digest;
  // SHA-256 of `index_document`, in lower-case hex.
  std::string index;
  // JSON object with "size", "chunk_size" and "chunks" (one digest per chunk).
  std::string index_document;
  uint64_t chunks = 0;
};

// Reads a file once and computes its digests. Fails with kInvalidArgument when
// the file cannot be read or is empty.
Result<ArtefactDigests> DigestArtefact(const std::filesystem::path& file,
                                       uint64_t chunk_bytes);

struct ManifestFiles {
  nlohmann::ordered_json manifest;
  // Each distinct file once.
  std::vector<ArtefactDigests> artefacts;
};

// Builds a manifest from a description: a manifest in which each artefact has
// "file" (a path, relative to `directory`) instead of "digest", "size" and
// "index". `name` replaces the name in the description unless it is empty.
// Fails with kInvalidArgument and names the invalid field.
Result<ManifestFiles> BuildManifest(std::string_view description,
                                    const std::filesystem::path& directory,
                                    std::string_view name,
                                    uint64_t chunk_bytes);

// Writes `output`/manifest.json, `output`/objects/<digest> for each index
// document, and a symbolic link `output`/artefacts/<digest> to each file, so
// that an origin can serve the directory as it is. The manifest is written
// last. Fails with kUnavailable and names the path.
Result<void> WriteManifest(const ManifestFiles& files,
                           const std::filesystem::path& output);

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_MANIFEST_H_
