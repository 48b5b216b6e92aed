#include "src/process/ctl_manifest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

#include "celerypost/assert.h"
#include "celerypost/types.h"
#include "src/version/bounded_json.h"
#include "src/version/digest.h"
#include "src/version/manifest.h"
#include "src/version/weight_index.h"

namespace celerypost {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::ordered_json;

// Incremental SHA-256.
class StreamDigest {
 public:
  StreamDigest() : context(EVP_MD_CTX_new(), &EVP_MD_CTX_free) {
    CELERYPOST_ASSERT(
        EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr) == 1,
        "every byte of a weight set is verified");
  }

  void Add(std::string_view bytes) {
    EVP_DigestUpdate(this->context.get(), bytes.data(), bytes.size());
  }

  Digest Finish() {
    Digest digest;
    EVP_DigestFinal_ex(this->context.get(), digest.bytes.data(), nullptr);
    return digest;
  }

 private:
  std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context;
};

tl::unexpected<Failure> Invalid(std::string message) {
  return NotRun(ErrorCode::kInvalidArgument, std::move(message));
}

// Returns the string member `name` of `object`, or nullopt if it is absent,
// empty or not a string.
std::optional<std::string> Text(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string() ||
      it->get_ref<const std::string&>().empty()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

// Replaces "file" by "digest", "size" and "index" in the artefacts of one
// description.
class ManifestBuilder {
 public:
  ManifestBuilder(fs::path directory, uint64_t chunk_bytes)
      : directory(std::move(directory)), chunk_bytes(chunk_bytes) {}

  Result<void> FillService(Json& service, const std::string& field) {
    if (!service.is_object() || !Text(service, "name")) {
      return Invalid(field + ".name: must be a non-empty string");
    }
    if (!service.contains("set")) {
      return {};
    }
    Json& set = service["set"];
    if (!set.is_object() || !Text(set, "version")) {
      return Invalid(field + ".set.version: must be a non-empty string");
    }
    const auto list = set.find("artefacts");
    if (list == set.end() || !list->is_array() || list->empty()) {
      return Invalid(field + ".set.artefacts: must be a non-empty list");
    }
    for (size_t i = 0; i < list->size(); ++i) {
      auto filled = this->FillArtefact(
          (*list)[i], field + ".set.artefacts[" + std::to_string(i) + "]");
      if (!filled) {
        return filled;
      }
    }
    return {};
  }

  std::vector<ArtefactDigests> artefacts;

 private:
  Result<void> FillArtefact(Json& artefact, const std::string& field) {
    if (!artefact.is_object() || !Text(artefact, "name")) {
      return Invalid(field + ".name: must be a non-empty string");
    }
    const auto kind = Text(artefact, "kind");
    if (kind != "model" && kind != "adapter") {
      return Invalid(field + ".kind: must be model or adapter");
    }
    const auto file = Text(artefact, "file");
    if (!file) {
      return Invalid(field + ".file: must be the path of the artefact's file");
    }
    const auto digests = this->Digest(this->directory / *file);
    if (!digests) {
      return Invalid(field + ".file: " + digests.error().message);
    }
    artefact.erase("file");
    artefact["digest"] = (*digests)->digest;
    artefact["size"] = (*digests)->size;
    artefact["index"] = (*digests)->index;
    return {};
  }

  // Reads each file once. The pointer is valid until the next call.
  Result<const ArtefactDigests*> Digest(const fs::path& file) {
    const auto known =
        std::find_if(this->artefacts.begin(), this->artefacts.end(),
                     [&file](const ArtefactDigests& artefact) {
                       return artefact.file == file;
                     });
    if (known != this->artefacts.end()) {
      return &*known;
    }
    auto digests = DigestArtefact(file, this->chunk_bytes);
    if (!digests) {
      return tl::unexpected<Failure>(std::move(digests.error()));
    }
    this->artefacts.push_back(std::move(*digests));
    return &this->artefacts.back();
  }

  fs::path directory;
  uint64_t chunk_bytes;
};

// Returns the zones that the services name. The commit checks whether they
// exist.
std::set<ZoneName> ZonesOf(const Json& services) {
  std::set<ZoneName> zones;
  for (const Json& service : services) {
    const auto list = service.find("zones");
    if (list == service.end()) {
      continue;
    }
    for (const Json& zone : *list) {
      if (zone.is_string()) {
        zones.insert(ZoneName(zone.get<std::string>()));
      }
    }
  }
  return zones;
}

Result<void> WriteFile(const fs::path& path, std::string_view bytes) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  out.close();
  if (!out) {
    return NotRun(ErrorCode::kUnavailable, "cannot write " + path.string());
  }
  return {};
}

tl::unexpected<Failure> CannotCreate(const fs::path& path,
                                     const std::error_code& error) {
  return NotRun(ErrorCode::kUnavailable,
                "cannot create " + path.string() + ": " + error.message());
}

}  // namespace

Result<ArtefactDigests> DigestArtefact(const fs::path& file,
                                       uint64_t chunk_bytes) {
  std::error_code error;
  if (!fs::is_regular_file(file, error)) {
    return Invalid("cannot read '" + file.string() + "': not a regular file");
  }
  std::ifstream in(file, std::ios::binary);
  ArtefactDigests result;
  result.file = file;
  StreamDigest whole;
  Json chunks = Json::array();
  std::string chunk(chunk_bytes, '\0');
  while (in) {
    in.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    const std::string_view bytes(chunk.data(),
                                 static_cast<size_t>(in.gcount()));
    if (bytes.empty()) {
      break;
    }
    whole.Add(bytes);
    chunks.push_back(Digest::Of(bytes).ToHex());
    result.size += bytes.size();
  }
  if (in.bad() || !in.eof()) {
    return Invalid("cannot read '" + file.string() + "'");
  }
  if (chunks.size() > kMaxChunksPerArtefact) {
    return Invalid("'" + file.string() + "' has more than " +
                   std::to_string(kMaxChunksPerArtefact) +
                   " chunks; raise --chunk_kb");
  }
  if (result.size == 0) {
    return Invalid("'" + file.string() + "' is empty");
  }
  result.digest = whole.Finish().ToHex();
  result.chunks = chunks.size();
  const Json document = {{"size", result.size},
                         {"chunk_size", chunk_bytes},
                         {"chunks", std::move(chunks)}};
  result.index_document = document.dump();
  result.index = Digest::Of(result.index_document).ToHex();
  return result;
}

Result<ManifestFiles> BuildManifest(std::string_view description,
                                    const fs::path& directory,
                                    std::string_view name,
                                    uint64_t chunk_bytes) {
  Json manifest = ParseBoundedJson<Json>(description);
  if (!manifest.is_object()) {
    return Invalid("the description is not a JSON object");
  }
  if (!manifest.contains("format")) {
    manifest["format"] = 1;
  }
  if (manifest["format"] != 1) {
    return Invalid("format: must be 1");
  }
  if (!name.empty()) {
    manifest["name"] = name;
  }
  if (!Text(manifest, "name")) {
    return Invalid("name: must be a non-empty string (--manifest_name)");
  }
  const auto services = manifest.find("services");
  if (services == manifest.end() || !services->is_array()) {
    return Invalid("services: must be a list");
  }
  ManifestBuilder builder(directory, chunk_bytes);
  for (size_t i = 0; i < services->size(); ++i) {
    const auto filled = builder.FillService(
        (*services)[i], "services[" + std::to_string(i) + "]");
    if (!filled) {
      return tl::unexpected<Failure>(filled.error());
    }
  }
  const auto checked = Manifest::Parse(
      manifest.dump(-1, ' ', false, Json::error_handler_t::replace),
      ZonesOf(*services));
  if (!checked) {
    return tl::unexpected<Failure>(checked.error());
  }
  return ManifestFiles{std::move(manifest), std::move(builder.artefacts)};
}

Result<void> WriteManifest(const ManifestFiles& files, const fs::path& output) {
  std::error_code error;
  for (const char* const directory : {"objects", "artefacts"}) {
    fs::create_directories(output / directory, error);
    if (error) {
      return CannotCreate(output / directory, error);
    }
  }
  for (const ArtefactDigests& artefact : files.artefacts) {
    const auto written =
        WriteFile(output / "objects" / artefact.index, artefact.index_document);
    if (!written) {
      return written;
    }
    const fs::path link = output / "artefacts" / artefact.digest;
    fs::remove(link, error);
    fs::create_symlink(fs::absolute(artefact.file, error), link, error);
    if (error) {
      return CannotCreate(link, error);
    }
  }
  return WriteFile(output / "manifest.json", files.manifest.dump(2) + "\n");
}

}  // namespace celerypost
