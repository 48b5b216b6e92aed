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
// Prefix of the keys of slot tables; the service's name follows.
inline constexpr std::string_view kSlotsPrefix = "celerypost/slots/";
// Prefix of the keys of the audit trail; the number that a change received
// follows.
inline constexpr std::string_view kAuditPrefix = "celerypost/audit/";
// Prefix of the keys of change records, which hold the number that a change
// received; the change id follows. The record is written in the transaction of
// the change, so a repeated id is recognised however many changes follow.
inline constexpr std::string_view kChangePrefix = "celerypost/change/";

// Maps zones to their regions.
using ZoneMap = std::map<ZoneName, RegionName>;

// Checks a manifest and returns the zones that it names. Errors name the field.
using ManifestValidator =
    std::function<Result<std::set<ZoneName>>(const nlohmann::json& manifest,
                                             const ZoneMap& known_zones)>;

enum class ChangeKind : uint8_t { kManifest = 0, kZoneOut = 1, kZoneIn = 2 };

// Returns "manifest", "zone_out" or "zone_in".
std::string_view ChangeKindName(ChangeKind kind);

// An operator's request for a change.
struct ChangeRequest {
  // Chosen by the operator, 1 to 64 of [A-Za-z0-9._-]. A change whose id is
  // repeated is applied only once.
  std::string id;
  ChangeKind kind = ChangeKind::kManifest;
  std::string who;
  std::string why;
  // Set for kZoneOut and kZoneIn.
  ZoneName zone;
  // Set for kManifest.
  nlohmann::json manifest;
  // The change is refused unless this is the current number.
  std::optional<uint64_t> expected_number;

  // Parses the body of a request to /v1/operator/changes (section 10.5). Errors
  // name the field.
  static Result<ChangeRequest> Parse(std::string_view json);
};

// A change as stored in the configuration and in the audit trail.
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

// The configuration that operators change: the states of the zones and the
// manifest (section 10.2).
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
  // Number of the change that set the manifest; 0 before the first. All
  // processes identify a roll-out by it, since zone changes that follow leave
  // it as it is.
  uint64_t manifest_number = 0;

  // Errors name the field.
  static Result<ConfigDocument> Parse(std::string_view json);
  std::string Serialize() const;

  // Returns the document that results from `request`. `known_zones` are those
  // of the member table; the zones of this document are known as well. Fails
  // with kInvalidArgument, naming the field, or with kConflict when a zone is
  // already in the requested state.
  Result<ConfigDocument> Apply(const ChangeRequest& request,
                               std::string when,
                               const ZoneMap& known_zones,
                               const ManifestValidator& validator) const;

  // Returns the regions whose processes must apply `request`: the zone's
  // region, or the regions of the zones that the old or the new manifest names.
  // Errors name the field.
  Result<std::set<RegionName>> ConcernedRegions(
      const ChangeRequest& request,
      const ZoneMap& known_zones,
      const ManifestValidator& validator) const;

  // Returns whether `zone` is in; a zone that the document does not list is in.
  bool ZoneIsIn(const ZoneName& zone) const;

  // Returns the zones of this document and of `others`; for a zone of both, the
  // region of this document.
  ZoneMap KnownZones(const ZoneMap& others) const;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CONFIG_DOCUMENT_H_
