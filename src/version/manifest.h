#ifndef SRC_VERSION_MANIFEST_H_
#define SRC_VERSION_MANIFEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/version/digest.h"

namespace celerypost {

enum class ServiceKind : uint8_t { kEngine = 0, kPlain = 1 };
enum class ArtefactKind : uint8_t { kModel = 0, kAdapter = 1 };

// "model" or "adapter", as in the manifest and in load orders.
std::string_view ArtefactKindName(ArtefactKind kind);

// One model or adapter.
struct Artefact {
  std::string name;
  ArtefactKind kind = ArtefactKind::kModel;
  // Digest of all its bytes.
  Digest digest;
  // In bytes.
  uint64_t size = 0;
  // Digest of its index document.
  Digest index;

  bool operator==(const Artefact&) const = default;
};

// A model and its adapters, switched as one unit.
struct WeightSet {
  std::string version;
  std::vector<Artefact> artefacts;

  // SHA-256 of the version and the artefacts' names, kinds and digests, each
  // followed by a newline.
  Digest SetDigest() const;
  // Bytes of all artefacts.
  uint64_t TotalBytes() const;

  bool operator==(const WeightSet&) const = default;
};

struct ServiceLimits {
  // Maximum number of concurrent requests: of a target that is still cold, and
  // of a warm one.
  uint32_t cold = 1;
  uint32_t full = 1;
  std::chrono::milliseconds warm_up{0};
  // Peers that must be warm and serving while a target switches.
  uint32_t min_serving = 0;

  bool operator==(const ServiceLimits&) const = default;
};

struct ManifestService {
  ServiceName name;
  ServiceKind kind = ServiceKind::kPlain;
  std::vector<ZoneName> zones;
  ServiceLimits limits;
  // Present for engines only.
  std::optional<WeightSet> set;

  bool operator==(const ManifestService&) const = default;
};

// States which services, models, adapters and versions are live, and where.
struct Manifest {
  std::string name;
  std::vector<ManifestService> services;

  // Parses a manifest document. Fails with kInvalidArgument and a message that
  // names the field, its value and the accepted range. `known_zones` are the
  // zones of the configuration and of the member table.
  static Result<Manifest> Parse(std::string_view json,
                                const std::set<ZoneName>& known_zones);

  // Returns the service of that name, or null.
  const ManifestService* Find(const ServiceName& service) const;

  // The document that Parse accepts.
  std::string ToJson() const;

  bool operator==(const Manifest&) const = default;
};

}  // namespace celerypost

#endif  // SRC_VERSION_MANIFEST_H_
