#include "src/process/state/config_document.h"

#include <algorithm>
#include <utility>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxIdLength = 64;
constexpr size_t kMaxTextLength = 1024;

tl::unexpected<Failure> Invalid(std::string message) {
  return NotRun(ErrorCode::kInvalidArgument, std::move(message));
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

// Returns the text of `field` in `object`, or an empty text when an optional
// field is missing. `name` is the full name of the field in errors.
Result<std::string> TextField(const Json& object,
                              const char* field,
                              const std::string& name,
                              bool required) {
  const auto found = object.find(field);
  if (found == object.end()) {
    if (required) {
      return Invalid("field \"" + name + "\" is missing");
    }
    return std::string();
  }
  if (!found->is_string()) {
    return Invalid("field \"" + name + "\" must be a string");
  }
  auto text = found->get<std::string>();
  if (text.size() > kMaxTextLength) {
    return Invalid("field \"" + name + "\" has " + std::to_string(text.size()) +
                   " bytes, allowed are " + std::to_string(kMaxTextLength));
  }
  return text;
}

Result<std::string> IdField(const Json& object,
                            const char* field,
                            const std::string& name) {
  auto id = TextField(object, field, name, true);
  if (id && (id->empty() || id->size() > kMaxIdLength ||
             !std::all_of(id->begin(), id->end(), IsIdCharacter))) {
    return Invalid("field \"" + name + "\" is \"" + *id +
                   "\", allowed are 1 to 64 of A-Z a-z 0-9 . _ -");
  }
  return id;
}

Result<ChangeKind> KindField(const Json& object, const std::string& name) {
  const auto text = TextField(object, "kind", name, true);
  if (!text) {
    return tl::unexpected(text.error());
  }
  for (const ChangeKind kind :
       {ChangeKind::kManifest, ChangeKind::kZoneOut, ChangeKind::kZoneIn}) {
    if (*text == ChangeKindName(kind)) {
      return kind;
    }
  }
  return Invalid("field \"" + name + "\" is \"" + *text +
                 "\", allowed are manifest, zone_out, zone_in");
}

Result<Json> ParseObject(std::string_view json, const char* what) {
  Json value = ParseBoundedJson(json);
  if (value.is_discarded()) {
    return Invalid(std::string(what) +
                   " is not valid JSON, or nests too deeply");
  }
  if (!value.is_object()) {
    return Invalid(std::string(what) + " must be a JSON object");
  }
  return value;
}

Result<Change> ParseChange(const Json& object) {
  Change change;
  auto id = IdField(object, "id", "change.id");
  if (!id) {
    return tl::unexpected(id.error());
  }
  change.id = std::move(*id);
  const auto kind = KindField(object, "change.kind");
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  change.kind = *kind;
  const std::pair<const char*, std::string*> fields[] = {{"who", &change.who},
                                                         {"when", &change.when},
                                                         {"why", &change.why},
                                                         {"from", &change.from},
                                                         {"to", &change.to}};
  for (const auto& [field, target] : fields) {
    auto text = TextField(object, field, std::string("change.") + field, false);
    if (!text) {
      return tl::unexpected(text.error());
    }
    *target = std::move(*text);
  }
  return change;
}

Result<ConfigDocument::Zone> ParseZone(const std::string& zone,
                                       const Json& object) {
  const std::string name = "zones." + zone;
  if (!object.is_object()) {
    return Invalid("field \"" + name + "\" must be an object");
  }
  const auto region = TextField(object, "region", name + ".region", true);
  if (!region) {
    return tl::unexpected(region.error());
  }
  const auto state = TextField(object, "state", name + ".state", true);
  if (!state) {
    return tl::unexpected(state.error());
  }
  if (*state != "in" && *state != "out") {
    return Invalid("field \"" + name + ".state\" is \"" + *state +
                   "\", allowed are in, out");
  }
  return ConfigDocument::Zone{RegionName(*region), *state == "in"};
}

std::string ManifestName(const Json& manifest) {
  if (manifest.is_object()) {
    const auto name = manifest.find("name");
    if (name != manifest.end() && name->is_string()) {
      return name->get<std::string>();
    }
  }
  return "";
}

}  // namespace

std::string_view ChangeKindName(ChangeKind kind) {
  static constexpr std::string_view kNames[] = {"manifest", "zone_out",
                                                "zone_in"};
  const auto index = static_cast<size_t>(kind);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

Result<ChangeRequest> ChangeRequest::Parse(std::string_view json) {
  const auto object = ParseObject(json, "body");
  if (!object) {
    return tl::unexpected(object.error());
  }
  ChangeRequest request;
  auto id = IdField(*object, "id", "id");
  if (!id) {
    return tl::unexpected(id.error());
  }
  request.id = std::move(*id);
  const auto kind = KindField(*object, "kind");
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  request.kind = *kind;
  for (const auto& [field, target] :
       {std::pair{"who", &request.who}, std::pair{"why", &request.why}}) {
    auto text = TextField(*object, field, field, true);
    if (!text) {
      return tl::unexpected(text.error());
    }
    if (text->empty()) {
      return Invalid(std::string("field \"") + field + "\" is empty");
    }
    *target = std::move(*text);
  }
  if (request.kind == ChangeKind::kManifest) {
    const auto manifest = object->find("manifest");
    if (manifest == object->end() || !manifest->is_object()) {
      return Invalid("field \"manifest\" must be an object");
    }
    request.manifest = *manifest;
  } else {
    const auto zone = IdField(*object, "zone", "zone");
    if (!zone) {
      return tl::unexpected(zone.error());
    }
    request.zone = ZoneName(*zone);
  }
  const auto expected = object->find("expected_number");
  if (expected != object->end()) {
    if (!expected->is_number_unsigned()) {
      return Invalid("field \"expected_number\" must be a whole number");
    }
    request.expected_number = expected->get<uint64_t>();
  }
  return request;
}

Json ChangeToJson(const Change& change) {
  return Json{{"id", change.id},   {"kind", ChangeKindName(change.kind)},
              {"who", change.who}, {"when", change.when},
              {"why", change.why}, {"from", change.from},
              {"to", change.to}};
}

Result<ConfigDocument> ConfigDocument::Parse(std::string_view json) {
  const auto object = ParseObject(json, "configuration");
  if (!object) {
    return tl::unexpected(object.error());
  }
  ConfigDocument document;
  const auto number = object->find("number");
  if (number == object->end() || !number->is_number_unsigned() ||
      number->get<uint64_t>() == 0) {
    return Invalid("field \"number\" must be a whole number above 0");
  }
  document.number = number->get<uint64_t>();
  const auto change = object->find("change");
  if (change == object->end() || !change->is_object()) {
    return Invalid("field \"change\" must be an object");
  }
  auto parsed_change = ParseChange(*change);
  if (!parsed_change) {
    return tl::unexpected(parsed_change.error());
  }
  document.change = std::move(*parsed_change);
  const auto zones = object->find("zones");
  if (zones == object->end() || !zones->is_object()) {
    return Invalid("field \"zones\" must be an object");
  }
  for (const auto& [name, value] : zones->items()) {
    auto zone = ParseZone(name, value);
    if (!zone) {
      return tl::unexpected(zone.error());
    }
    document.zones.emplace(ZoneName(name), std::move(*zone));
  }
  const auto manifest = object->find("manifest");
  if (manifest != object->end()) {
    if (!manifest->is_object() && !manifest->is_null()) {
      return Invalid("field \"manifest\" must be an object or null");
    }
    document.manifest = *manifest;
  }
  const auto manifest_number = object->find("manifest_number");
  if (manifest_number != object->end()) {
    if (!manifest_number->is_number_unsigned() ||
        manifest_number->get<uint64_t>() > document.number) {
      return Invalid(
          "field \"manifest_number\" must be a whole number up to \"number\"");
    }
    document.manifest_number = manifest_number->get<uint64_t>();
  }
  return document;
}

std::string ConfigDocument::Serialize() const {
  Json zones_json = Json::object();
  for (const auto& [name, zone] : this->zones) {
    zones_json[name.value()] = Json{{"region", zone.region.value()},
                                    {"state", zone.in ? "in" : "out"}};
  }
  return Json{{"number", this->number},
              {"change", ChangeToJson(this->change)},
              {"zones", std::move(zones_json)},
              {"manifest", this->manifest},
              {"manifest_number", this->manifest_number}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigDocument> ConfigDocument::Apply(
    const ChangeRequest& request,
    std::string when,
    const ZoneMap& known_zones,
    const ManifestValidator& validator) const {
  const ZoneMap known = this->KnownZones(known_zones);
  ConfigDocument next = *this;
  next.number = this->number + 1;
  next.change = Change{request.id,  request.kind, request.who, std::move(when),
                       request.why, "",           ""};
  for (const auto& [zone, region] : known) {
    next.zones.try_emplace(zone, Zone{region, true});
  }
  if (request.kind == ChangeKind::kManifest) {
    const auto named = validator(request.manifest, known);
    if (!named) {
      return tl::unexpected(named.error());
    }
    next.change.from = ManifestName(this->manifest);
    next.change.to = ManifestName(request.manifest);
    next.manifest = request.manifest;
    next.manifest_number = next.number;
    return next;
  }
  const auto zone = next.zones.find(request.zone);
  if (zone == next.zones.end()) {
    return Invalid("field \"zone\" is \"" + request.zone.value() +
                   "\", which is not a known zone");
  }
  const bool in = request.kind == ChangeKind::kZoneIn;
  if (zone->second.in == in) {
    return NotRun(ErrorCode::kConflict,
                  "field \"zone\": " + request.zone.value() + " is already " +
                      (in ? "in" : "out"));
  }
  zone->second.in = in;
  next.change.from = request.zone.value() + (in ? ":out" : ":in");
  next.change.to = request.zone.value() + (in ? ":in" : ":out");
  return next;
}

Result<std::set<RegionName>> ConfigDocument::ConcernedRegions(
    const ChangeRequest& request,
    const ZoneMap& known_zones,
    const ManifestValidator& validator) const {
  const ZoneMap known = this->KnownZones(known_zones);
  std::set<ZoneName> named;
  if (request.kind == ChangeKind::kManifest) {
    for (const Json* document : {&this->manifest, &request.manifest}) {
      if (document->is_null()) {
        continue;
      }
      auto zones_named = validator(*document, known);
      if (!zones_named && document == &request.manifest) {
        return tl::unexpected(zones_named.error());
      }
      // It is not known which zones an old manifest names that the validator no
      // longer accepts, so it concerns all of them.
      if (!zones_named) {
        for (const auto& [zone, region] : known) {
          named.insert(zone);
        }
        continue;
      }
      named.merge(*zones_named);
    }
  } else {
    named.insert(request.zone);
  }
  std::set<RegionName> regions;
  for (const ZoneName& zone : named) {
    const auto found = known.find(zone);
    if (found == known.end()) {
      return Invalid("field \"zone\" is \"" + zone.value() +
                     "\", which is not a known zone");
    }
    regions.insert(found->second);
  }
  return regions;
}

bool ConfigDocument::ZoneIsIn(const ZoneName& zone) const {
  const auto found = this->zones.find(zone);
  return found == this->zones.end() || found->second.in;
}

ZoneMap ConfigDocument::KnownZones(const ZoneMap& others) const {
  ZoneMap known = others;
  for (const auto& [name, zone] : this->zones) {
    known[name] = zone.region;
  }
  return known;
}

}  // namespace celerypost
