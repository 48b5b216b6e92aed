#include "src/process/state/config_document.h"

#include <string>

#include "src/process/state/config_state.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

Result<std::set<ZoneName>> Accept(const nlohmann::json& manifest,
                                  const ZoneMap&) {
  if (!manifest.contains("zone")) {
    return NotRun(ErrorCode::kInvalidArgument, "field \"zone\" is missing");
  }
  return std::set<ZoneName>{ZoneName(manifest["zone"].get<std::string>())};
}

ChangeRequest ZoneRequest(ChangeKind kind, const std::string& zone) {
  ChangeRequest request;
  request.id = "c1";
  request.kind = kind;
  request.who = "asha";
  request.why = "power work";
  request.zone = ZoneName(zone);
  return request;
}

const ZoneMap kZones = {{ZoneName("dar-a"), RegionName("dar")},
                        {ZoneName("mwanza-a"), RegionName("mwanza")}};

TEST_GROUP(ConfigDocumentTest){};

// Guards against a document that differs after it was serialised and parsed.
TEST(ConfigDocumentTest, SurvivesSerialisation) {
  ConfigDocument first;
  const auto next = first.Apply(ZoneRequest(ChangeKind::kZoneOut, "dar-a"),
                                "2026-12-04T06:00:00Z", kZones, Accept);
  CHECK_TRUE(next.has_value());
  const auto parsed = ConfigDocument::Parse(next->Serialize());
  CHECK_TRUE(parsed.has_value());
  LONGS_EQUAL(1, parsed->number);
  CHECK(parsed->change == next->change);
  CHECK(parsed->zones == next->zones);
  CHECK_FALSE(parsed->ZoneIsIn(ZoneName("dar-a")));
  CHECK_TRUE(parsed->ZoneIsIn(ZoneName("mwanza-a")));
}

// Guards against error messages that do not name the wrong field.
TEST(ConfigDocumentTest, ErrorsNameTheField) {
  const std::pair<const char*, const char*> cases[] = {
      {"[]", "JSON object"},
      {R"({"number":0})", "\"number\""},
      {R"({"number":1,"change":1})", "\"change\""},
      {R"({"number":1,"change":{"id":"a","kind":"x"}})", "\"change.kind\""},
      {R"({"number":1,"change":{"id":"a","kind":"zone_in"},
           "zones":{"z":{"region":"r","state":"off"}}})",
       "\"zones.z.state\""}};
  for (const auto& [json, field] : cases) {
    const auto parsed = ConfigDocument::Parse(json);
    CHECK_FALSE(parsed.has_value());
    CHECK(parsed.error().message.find(field) != std::string::npos);
  }
  const auto request = ChangeRequest::Parse(
      R"({"id":"a","kind":"zone_out","who":"asha","why":""})");
  CHECK(request.error().message.find("\"why\"") != std::string::npos);
}

// Guards against accepting a mistyped zone name, which would leave the intended
// zone in.
TEST(ConfigDocumentTest, RefusesUnknownZoneAndManifest) {
  const ConfigDocument document;
  const auto zone = document.Apply(ZoneRequest(ChangeKind::kZoneOut, "dar-b"),
                                   "", kZones, Accept);
  CHECK(zone.error().message.find("dar-b") != std::string::npos);
  ChangeRequest manifest = ZoneRequest(ChangeKind::kManifest, "");
  manifest.manifest = nlohmann::json::object();
  CHECK_FALSE(document.Apply(manifest, "", kZones, Accept).has_value());
}

// Guards against accepting a change without the confirmation of a region that
// it concerns: one of the old or of the new manifest.
TEST(ConfigDocumentTest, ConcernsOldAndNewRegions) {
  ConfigDocument document;
  document.manifest = {{"zone", "dar-a"}};
  ChangeRequest request = ZoneRequest(ChangeKind::kManifest, "");
  request.manifest = {{"zone", "mwanza-a"}};
  const auto regions = document.ConcernedRegions(request, kZones, Accept);
  LONGS_EQUAL(2, regions->size());
}

TEST_GROUP(ConfigStateTest){};

// Guards against an older document replacing a newer one (P9).
TEST(ConfigStateTest, NeverTakesAnOlderDocument) {
  ConfigState state;
  ConfigDocument document;
  document.change.id = "a";
  const auto offer = [&](uint64_t number) {
    document.number = number;
    return state.Offer(VersionedDocument{std::string(kConfigKey), number,
                                         document.Serialize()});
  };
  CHECK_TRUE(offer(5));
  CHECK_FALSE(offer(4));
  CHECK_FALSE(offer(5));
  LONGS_EQUAL(5, state.number());
  LONGS_EQUAL(1, state.older_offers());
}

// Guards against storing a document under a number that differs from the one in
// its bytes.
TEST(ConfigStateTest, RefusesBytesOfAnotherNumber) {
  ConfigState state;
  const std::string table = R"({"version":3,"slots":[]})";
  CHECK_FALSE(state.Offer(VersionedDocument{"celerypost/slots/a", 9, table}));
  CHECK_FALSE(state.Offer(VersionedDocument{"other", 3, table}));
  CHECK_TRUE(state.Offer(VersionedDocument{"celerypost/slots/a", 3, table}));
  LONGS_EQUAL(2, state.bad_offers());
}

}  // namespace
}  // namespace celerypost
