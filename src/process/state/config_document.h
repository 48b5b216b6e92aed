#ifndef SRC_PROCESS_STATE_CONFIG_DOCUMENT_H_
#define SRC_PROCESS_STATE_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "celerypost/types.h"
#include "celerypost/verdict.h"

namespace celerypost {

// Key of the configuration document in the key-value service and in gossip.
inline constexpr std::string_view kConfigKey = "celerypost/config";
// The slot table of a service has this prefix and the service's name.
inline constexpr std::string_view kSlotsPrefix = "celerypost/slots/";
// The change that made a number has this prefix and that number.
inline constexpr std::string_view kAuditPrefix = "celerypost/audit/";
// The number that a change id received has this prefix and the change id. It
// is written in the transaction of the change, so a repeated id is recognised
// however many changes came after it.
inline constexpr std::string_view kChangePrefix = "celerypost/change/";

// Zones and their regions.
using ZoneMap = std::map<ZoneName, RegionName>;

// Checks a manifest and returns the zones that it names. Errors name the field.
using ManifestValidator =
    std::function<Result<std::set<ZoneName>>(const nlohmann::json& manifest,
                                             const ZoneMap& known_zones)>;

enum class ChangeKind : uint8_t { kManifest = 0, kZoneOut = 1, kZoneIn = 2 };

// Returns "manifest", "zone_out" or "zone_in".
std::string_view ChangeKindName(ChangeKind kind);

// What an operator asks for.
struct ChangeRequest {
  // Chosen by the operator, 1 to 64 of [A-Za-z0-9._-]; a repeated id is never
  // applied twice.
  std::string id;
  ChangeKind kind = ChangeKind::kManifest;
  std::string who;
  std::string why;
  // kZoneOut and kZoneIn.
  ZoneName zone;
  // kManifest.
  nlohmann::json manifest;
  // The change is refused unless this is the current number.
  std::optional<uint64_t> expected_number;

  // Parses the body of section 10.5. Errors name the field.
  static Result<ChangeRequest> Parse(std::string_view json);
};

// A change as it stands in the configuration and in the audit trail.
struct Change {
  std::string id;
  ChangeKind kind = ChangeKind::kManifest;
  std::string who;
  // RFC 3339, UTC.
  std::string when;
  std::string why;
  // Zone changes: "<zone>:in" or "<zone>:out". Manifests: the name, or "".
  std::string from;
  std::string to;

  bool operator==(const Change&) const = default;
};

nlohmann::json ChangeToJson(const Change& change);

// The operators' configuration (section 10.2).
struct ConfigDocument {
  struct Zone {
    RegionName region;
    bool in = true;

    bool operator==(const Zone&) const = default;
  };

  uint64_t number = 0;
  Change change;
  std::map<ZoneName, Zone> zones;
  // Checked by a ManifestValidator when it is committed; null before the first.
  nlohmann::json manifest;
  // Number of the change that brought the manifest; 0 before the first. All
  // processes identify a roll-out by it, whichever zone changes follow.
  uint64_t manifest_number = 0;

  // Errors name the field.
  static Result<ConfigDocument> Parse(std::string_view json);
  std::string Serialize() const;

  // Returns the document that follows this one. `known_zones` are those of the
  // member table; zones of this document are known as well. Fails with
  // kInvalidArgument, naming the field, and kConflict when a zone is already in
  // the state asked for.
  Result<ConfigDocument> Apply(const ChangeRequest& request,
                               std::string when,
                               const ZoneMap& known_zones,
                               const ManifestValidator& validator) const;

  // Regions whose processes must follow `request`: the zone's region, or the
  // regions of the zones that the old or the new manifest names.
  Result<std::set<RegionName>> ConcernedRegions(
      const ChangeRequest& request,
      const ZoneMap& known_zones,
      const ManifestValidator& validator) const;

  // A zone that the document does not name is in.
  bool ZoneIsIn(const ZoneName& zone) const;

  // Zones of the document and `others`; the document's regions win.
  ZoneMap KnownZones(const ZoneMap& others) const;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CONFIG_DOCUMENT_H_
