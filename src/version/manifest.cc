#include "src/version/manifest.h"

#include <utility>

#include "src/version/json_fields.h"

namespace celerypost {
namespace {

using nlohmann::json;

constexpr uint64_t kMaxServices = 1000;
constexpr uint64_t kMaxArtefacts = 64;
constexpr uint64_t kMaxArtefactBytes = 1ull << 44;
constexpr uint64_t kMaxRequests = 1'000'000;
constexpr uint64_t kMaxWarmUpMs = 3'600'000;

// Records an error when a name occurs twice in a list.
void CheckUnique(std::set<std::string>& names,
                 const std::string& name,
                 JsonFields& fields) {
  if (!names.insert(name).second) {
    fields.Fail("name", "\"" + name + "\" a second time",
                "a name that is unique in its list");
  }
}

std::string ElementPath(const JsonFields& fields,
                        std::string_view name,
                        size_t position) {
  return fields.Path(name) + "[" + std::to_string(position) + "]";
}

WeightSet ParseSet(const json& object,
                   std::string path,
                   std::optional<Failure>& error) {
  WeightSet set;
  JsonFields fields(object, std::move(path), error);
  set.version = fields.Identifier("version");
  const json& artefacts = fields.Array("artefacts", 1, kMaxArtefacts);
  std::set<std::string> names;
  size_t models = 0;
  for (size_t i = 0; i < artefacts.size(); ++i) {
    JsonFields entry(artefacts[i], ElementPath(fields, "artefacts", i), error);
    Artefact artefact;
    artefact.name = entry.Identifier("name");
    artefact.kind =
        static_cast<ArtefactKind>(entry.Choice("kind", {"model", "adapter"}));
    artefact.digest = entry.Sha256("digest");
    artefact.size = entry.Integer("size", 1, kMaxArtefactBytes);
    artefact.index = entry.Sha256("index");
    CheckUnique(names, artefact.name, entry);
    models += artefact.kind == ArtefactKind::kModel ? 1 : 0;
    set.artefacts.push_back(std::move(artefact));
  }
  if (models != 1) {
    fields.Fail("artefacts", std::to_string(models) + " models",
                "exactly 1 artefact of kind model");
  }
  return set;
}

ServiceLimits ParseLimits(const json& object,
                          std::string path,
                          std::optional<Failure>& error) {
  ServiceLimits limits;
  JsonFields fields(object, std::move(path), error);
  limits.cold = static_cast<uint32_t>(fields.Integer("cold", 1, kMaxRequests));
  limits.full =
      static_cast<uint32_t>(fields.Integer("full", limits.cold, kMaxRequests));
  limits.warm_up =
      std::chrono::milliseconds(fields.Integer("warm_up_ms", 0, kMaxWarmUpMs));
  limits.min_serving =
      static_cast<uint32_t>(fields.Integer("min_serving", 0, kMaxRequests));
  return limits;
}

std::vector<ZoneName> ParseZones(JsonFields& fields,
                                 const std::set<ZoneName>& known_zones) {
  std::vector<ZoneName> zones;
  std::set<ZoneName> seen;
  std::string known;
  for (const ZoneName& zone : known_zones) {
    known += (known.empty() ? "" : ", ") + zone.value();
  }
  const std::string accepted = "known zones, each once (" + known + ")";
  for (const json& element : fields.Array("zones", 1, 1000)) {
    const auto* text = element.get_ptr<const json::string_t*>();
    ZoneName zone(text == nullptr ? "" : *text);
    if (!known_zones.contains(zone) || !seen.insert(zone).second) {
      fields.Fail("zones", "a list with " + ShortJson(element), accepted);
      break;
    }
    zones.push_back(std::move(zone));
  }
  return zones;
}

}  // namespace

std::string_view ArtefactKindName(ArtefactKind kind) {
  return kind == ArtefactKind::kModel ? "model" : "adapter";
}

Digest WeightSet::SetDigest() const {
  std::string text = this->version + "\n";
  for (const Artefact& artefact : this->artefacts) {
    text += artefact.name + "\n";
    text += std::string(ArtefactKindName(artefact.kind)) + "\n";
    text += artefact.digest.ToHex() + "\n";
  }
  return Digest::Of(text);
}

uint64_t WeightSet::TotalBytes() const {
  uint64_t bytes = 0;
  for (const Artefact& artefact : this->artefacts) {
    bytes += artefact.size;
  }
  return bytes;
}

Result<Manifest> Manifest::Parse(std::string_view text,
                                 const std::set<ZoneName>& known_zones) {
  const auto document = ParseJson(text, "manifest");
  if (!document) {
    return tl::unexpected(document.error());
  }
  Manifest manifest;
  std::optional<Failure> error;
  JsonFields fields(*document, "", error);
  fields.Integer("format", 1, 1);
  manifest.name = fields.Identifier("name");
  const json& services = fields.Array("services", 1, kMaxServices);
  std::set<std::string> names;
  for (size_t i = 0; i < services.size() && !error; ++i) {
    JsonFields entry(services[i], ElementPath(fields, "services", i), error);
    ManifestService service;
    service.name = ServiceName(entry.Identifier("name"));
    CheckUnique(names, service.name.value(), entry);
    service.kind =
        static_cast<ServiceKind>(entry.Choice("kind", {"engine", "plain"}));
    service.zones = ParseZones(entry, known_zones);
    service.limits =
        ParseLimits(entry.Object("limits"), entry.Path("limits"), error);
    if (service.kind == ServiceKind::kEngine) {
      service.set = ParseSet(entry.Object("set"), entry.Path("set"), error);
    } else if (entry.Has("set")) {
      entry.Fail("set", "present", "no set for a service of kind plain");
    }
    manifest.services.push_back(std::move(service));
  }
  if (error) {
    return tl::unexpected(*error);
  }
  return manifest;
}

const ManifestService* Manifest::Find(const ServiceName& service) const {
  for (const ManifestService& candidate : this->services) {
    if (candidate.name == service) {
      return &candidate;
    }
  }
  return nullptr;
}

std::string Manifest::ToJson() const {
  json document = {
      {"format", 1}, {"name", this->name}, {"services", json::array()}};
  for (const ManifestService& service : this->services) {
    json entry = {
        {"name", service.name.value()},
        {"kind", service.kind == ServiceKind::kEngine ? "engine" : "plain"},
        {"zones", json::array()},
        {"limits",
         {{"cold", service.limits.cold},
          {"full", service.limits.full},
          {"warm_up_ms", service.limits.warm_up.count()},
          {"min_serving", service.limits.min_serving}}}};
    for (const ZoneName& zone : service.zones) {
      entry["zones"].push_back(zone.value());
    }
    if (service.set) {
      json artefacts = json::array();
      for (const Artefact& artefact : service.set->artefacts) {
        artefacts.push_back({{"name", artefact.name},
                             {"kind", ArtefactKindName(artefact.kind)},
                             {"digest", artefact.digest.ToHex()},
                             {"size", artefact.size},
                             {"index", artefact.index.ToHex()}});
      }
      entry["set"] = {{"version", service.set->version},
                      {"artefacts", std::move(artefacts)}};
    }
    document["services"].push_back(std::move(entry));
  }
  return document.dump();
}

}  // namespace celerypost
