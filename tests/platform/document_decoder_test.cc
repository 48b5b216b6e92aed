#include "platform/document_decoder.h"

#include <initializer_list>
#include <string>
#include <utility>

#include "CppUTest/TestHarness.h"

namespace celerypost::platform {
namespace {

TEST_GROUP(PlatformDocumentDecoderTest) {
  PlatformDocumentDecoder decoder;
};

// Guards against routes, API keys or engine rates that are decoded wrongly, or
// converted to a wrong unit.
TEST(PlatformDocumentDecoderTest, ReadsAConfiguration) {
  const auto document = this->decoder.Decode("op/config", R"({"version":7,
    "routes":[{"name":"a","host":"h","prefix":"/x/","kind":"stream",
      "timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"llm",
      "max_attempts":2,"public":false,"can_resume":true,"gap_aim_ms":300},
     {"name":"b","host":"h","prefix":"/x/y/","kind":"new-kind",
      "backends":[{"service":"p","weight":90},{"service":"q","weight":10}]}],
    "services":[{"name":"llm","health_path":"/health","cold_per_s":26.0,
      "engine":{"slots":16,"step_ms":8.5,"per_seq_ms":0.1,"read_per_s":19100.0,
       "stride":5,"layers":16,"chunks":96,"models":[{"name":"m","pace":1.0}],
       "usual":{"prompt":977,"answer":94}}},
     {"name":"w","origin":"172.20.0.3:8006","link_mbps":4.38}],
    "limits":{"max_body_bytes":100,"idle_timeout_ms":9000},
    "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":2}]})");
  CHECK_TRUE(document.has_value());
  const auto& config =
      *std::get<std::shared_ptr<const GatewayConfig>>(*document);
  CHECK_EQUAL(7, config.version);
  const Route* const shorter = config.FindRoute("h", "/x/1?q=/x/y/");
  STRCMP_EQUAL("a", shorter->name.c_str());
  CHECK_TRUE(shorter->repeatable());
  const Route* const longer = config.FindRoute("h", "/x/y/z");
  STRCMP_EQUAL("b", longer->name.c_str());
  CHECK_EQUAL(2u, longer->backends.size());
  // A route of an unknown kind must not be repeatable.
  CHECK_FALSE(longer->repeatable());
  CHECK_TRUE(config.FindRoute("h", "/z/") == nullptr);
  CHECK_TRUE(config.FindRoute("other", "/x/") == nullptr);
  STRCMP_EQUAL("t1", config.FindWorkspace("k2")->name.value().c_str());
  CHECK_TRUE(config.FindWorkspace("k3") == nullptr);
  const EngineRates& engine = *config.services.at(ServiceName("llm")).engine;
  DOUBLES_EQUAL(19.1, engine.prompt_tokens_per_ms, 1e-9);
  STRCMP_EQUAL("m", engine.model.c_str());
  STRCMP_EQUAL("172.20.0.3:8006",
               config.services.at(ServiceName("w")).weight_origin->c_str());
  DOUBLES_EQUAL(547500, config.services.at(ServiceName("w")).origin_link_rate,
                1e-6);
  DOUBLES_EQUAL(0, config.services.at(ServiceName("llm")).origin_link_rate, 0);
  CHECK_EQUAL(9000, config.limits.idle_timeout.count());
}

// Guards against sending requests to a target that holds no weights: an empty
// list of layers means none, and a missing list means the whole model.
TEST(PlatformDocumentDecoderTest, ReadsWhichWeightsATargetHolds) {
  const char* const head =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
          "slots":16,"state":"ready","cold_remaining_ms":0,"sequence":4,)";
  const auto read = [&](const std::string& rest) {
    return std::get<TargetRegistration>(
        *this->decoder.Decode("servers/i-1", head + rest));
  };
  const auto whole = read(R"("models":[{"name":"m","version":2}]})");
  CHECK_FALSE(whole.models[0].end_layer.has_value());
  const auto part = read(R"("models":[{"name":"m","version":2}],
                            "layers":{"from":0,"target":8,"version":2}})");
  CHECK_EQUAL(8u, *part.models[0].end_layer);
  const auto none = read(R"("models":[{"name":"m","version":2}],"layers":[]})");
  CHECK_EQUAL(0u, *none.models[0].end_layer);
}

// Guards against sending all routes and API keys to stagers, which have narrow
// links, and against dropping the services, which stagers need for the origin
// and the engine's layers.
TEST(PlatformDocumentDecoderTest, ReducesAConfigurationForStagers) {
  const PlatformDocumentDecoder decoder;
  const std::string reduced = decoder.ReduceForStagers(
      "op/config", R"({"version":3,"routes":[{"host":"h","prefix":"/a/"}],)"
                   R"("tenants":[{"name":"t","api_keys":["k"]}],)"
                   R"("services":[{"name":"o","origin":"10.0.0.1:80",)"
                   R"("link_mbps":8}]})");
  const auto decoded = decoder.Decode("op/config", reduced);
  CHECK_TRUE(decoded.has_value());
  const auto& config = std::get<std::shared_ptr<const GatewayConfig>>(*decoded);
  CHECK_EQUAL(3, config->version);
  CHECK_TRUE(config->routes.empty());
  CHECK_TRUE(config->workspaces.empty());
  CHECK_TRUE(config->services.at(ServiceName("o")).weight_origin.has_value());
  DOUBLES_EQUAL(1e6, config->services.at(ServiceName("o")).origin_link_rate, 0);
  STRCMP_EQUAL("{}", decoder.ReduceForStagers("op/version/m", "{}").c_str());
}

// Guards against loads of new weights that break off requests which must not be
// sent again. Stagers must know of such routes although they get no routes.
TEST(PlatformDocumentDecoderTest, TellsWhichServicesMayBeInterrupted) {
  const std::string text =
      R"({"version":3,"services":[{"name":"a"},{"name":"b"},{"name":"c"}],)"
      R"("routes":[{"name":"1","host":"h","prefix":"/a/","kind":"stream",)"
      R"("can_resume":true,"service":"a","timeout_ms":1},)"
      R"({"name":"2","host":"h","prefix":"/b/","kind":"stream",)"
      R"("can_resume":false,"service":"b","timeout_ms":1},)"
      R"({"name":"3","host":"h","prefix":"/c/","kind":"non_idempotent",)"
      R"("service":"c","timeout_ms":1}]})";
  for (const std::string& document :
       {text, this->decoder.ReduceForStagers("op/config", text)}) {
    const auto decoded = this->decoder.Decode("op/config", document);
    CHECK_TRUE(decoded.has_value());
    const auto& services =
        std::get<std::shared_ptr<const GatewayConfig>>(*decoded)->services;
    CHECK_TRUE(services.at(ServiceName("a")).interruptible);
    CHECK_FALSE(services.at(ServiceName("b")).interruptible);
    CHECK_FALSE(services.at(ServiceName("c")).interruptible);
  }
}

// Guards against malformed entries, which other programs may write: wrong
// types, missing fields, unknown states and invalid JSON must fail to decode,
// and must not crash the process.
TEST(PlatformDocumentDecoderTest, RejectsEntriesThatCannotBeRead) {
  for (const char* const value :
       {"", "\xff\xfe", "[]", "7", "{}", R"({"service":7})",
        R"({"service":"s","address":"nowhere","zone":"z","slots":1,
            "state":"ready","sequence":1})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"x",
            "state":"ready","sequence":1})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,
            "state":"resting","sequence":1})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,
            "state":"ready","sequence":1.5})"}) {
    CHECK_FALSE(this->decoder.Decode("servers/i-1", value).has_value());
  }
}

// Guards against a process that ends with an exhausted stack because a document
// nests as deeply as its size allows.
TEST(PlatformDocumentDecoderTest, RejectsDocumentsThatNestTooDeeply) {
  for (const size_t depth : {size_t{500'000}, size_t{30'000}, size_t{65}}) {
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    const std::string extra_field =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,)"
        R"("state":"ready","sequence":1,"model":"m","version":2,"new":)" +
        nested + "}";
    for (const char* const key : {"servers/i-1", "op/config", "op/version/m",
                                  "op/new", "celerypost/nodes/10.0.0.1"}) {
      for (const std::string& value : {nested, extra_field}) {
        const auto document = this->decoder.Decode(key, value);
        CHECK_FALSE(document.has_value());
        CHECK_TRUE(document.error().message.size() < 300);
        CHECK_EQUAL(value, this->decoder.ReduceForStagers(key, value));
      }
    }
  }
}

std::string Entry(const std::string& field, const std::string& value) {
  std::string text =
      R"({"service":"s","zone":"z","version":"v","state":"ready")";
  const std::pair<const char*, const char*> fields[] = {
      {"address", R"("10.0.0.9:80")"},
      {"slots", "16"},
      {"cold_remaining_ms", "0.5"},
      {"sequence", "4"},
      {"born", "1790000000000"},
      {"models", "[]"},
      {"layers", "[]"}};
  for (const auto& [name, usual] : fields) {
    text += std::string(",\"") + name + "\":" + (field == name ? value : usual);
  }
  return text + "}";
}

// Guards against a target that is used by a number that makes no sense, and
// against casts whose result differs by processor.
TEST(PlatformDocumentDecoderTest, RejectsEntriesWithNumbersOutOfRange) {
  CHECK_TRUE(this->decoder.Decode("servers/i-1", Entry("", "")).has_value());
  CHECK_TRUE(
      this->decoder.Decode("servers/i-1", Entry("slots", "16.0")).has_value());
  for (const auto& [field, value] :
       std::initializer_list<std::pair<const char*, const char*>>{
           {"address", R"("10.0.0.9:0")"},
           {"address", R"("10.0.0.9:70000")"},
           {"address", R"("10.0.0.9:-1")"},
           {"slots", "1e18"},
           {"slots", "1e300"},
           {"slots", "-1"},
           {"slots", "18446744073709551617"},
           {"cold_remaining_ms", "1e300"},
           {"cold_remaining_ms", "-5e18"},
           {"sequence", "1e300"},
           {"sequence", "-1"},
           {"sequence", "9223372036854775808"},
           {"born", "1e300"},
           {"born", "95617584000000"},
           {"born", "-1"},
           {"born", "1790000000000.5"},
           {"models", R"([{"name":"m","version":1e300}])"},
           {"models", R"([{"name":"m","version":-1}])"},
           {"layers", R"({"from":1e300,"target":8,"version":2})"},
           {"layers", R"({"from":-1,"target":8,"version":2})"},
           {"layers", R"({"from":0,"target":1e10,"version":2})"},
           {"layers", R"({"from":0,"target":8,"version":1e300})"}}) {
    const auto document =
        this->decoder.Decode("servers/i-1", Entry(field, value));
    CHECK_FALSE_TEXT(document.has_value(), value);
    CHECK_TRUE(document.error().message.size() < 300);
  }
}

// Guards against timeouts and limits that overflow where they are added up.
TEST(PlatformDocumentDecoderTest, RejectsConfigurationsWithNumbersOutOfRange) {
  for (const char* const text :
       {R"({"version":1e300})", R"({"version":-1})",
        R"({"version":1,"limits":{"max_body_bytes":-1}})",
        R"({"version":1,"limits":{"max_header_bytes":1e300}})",
        R"({"version":1,"limits":{"idle_timeout_ms":1e300}})",
        R"({"version":1,"limits":{"header_timeout_ms":-1}})",
        R"({"version":1,"tenants":[{"name":"t","priority":1e300}]})",
        R"({"version":1,"services":[{"name":"s","max_conns":1e300}]})",
        R"({"version":1,"services":[{"name":"s","cold_per_s":-1}]})",
        R"({"version":1,"services":[{"name":"s","engine":{"slots":1e300}}]})",
        R"({"version":1,"services":[{"name":"s",
            "engine":{"slots":1,"layers":-1}}]})",
        R"({"version":1,"services":[{"name":"s",
            "engine":{"slots":1,"step_ms":1e300}}]})"}) {
    CHECK_FALSE_TEXT(this->decoder.Decode("op/config", text).has_value(), text);
  }
  for (const char* const field :
       {R"("timeout_ms":1e300)", R"("timeout_ms":-1)",
        R"("target_latency_ms":1e300)", R"("gap_aim_ms":-1)",
        R"("priority":1e300)", R"("max_attempts":1e300)",
        R"("backends":[{"service":"s","weight":-1}])"}) {
    const std::string text =
        R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"stream",)"
        R"("service":"s",)" +
        std::string(field) + "}]}";
    CHECK_FALSE_TEXT(this->decoder.Decode("op/config", text).has_value(),
                     field);
  }
  CHECK_FALSE(
      this->decoder.Decode("op/version/m", R"({"model":"m","version":1e300})")
          .has_value());
}

// Guards against a division by zero where the time of a prompt is predicted.
TEST(PlatformDocumentDecoderTest, ReadsNoRateOfZero) {
  const auto document =
      this->decoder.Decode("op/config", R"({"version":1,"services":[{"name":"s",
                       "engine":{"slots":1,"read_per_s":0}}]})");
  const auto& config =
      *std::get<std::shared_ptr<const GatewayConfig>>(*document);
  CHECK_TRUE(config.services.at(ServiceName("s")).engine->prompt_tokens_per_ms >
             0);
}

// Guards against a zone that is not taken out because the value of its document
// is empty or unexpected, and against unused documents that fail to decode.
TEST(PlatformDocumentDecoderTest, ReadsZonesOutAndNamedWeights) {
  const auto zone = this->decoder.Decode("op/evacuate/north", "{}");
  STRCMP_EQUAL("north", std::get<ZoneOut>(*zone).zone.value().c_str());
  const auto weights =
      this->decoder.Decode("op/version/m", R"({"model":"m","version":2})");
  CHECK_EQUAL(2, std::get<NamedWeights>(*weights).version);
  CHECK_TRUE(std::holds_alternative<UnusedDocument>(
      *this->decoder.Decode("celerypost/nodes/10.0.0.1", "{}")));
}

}  // namespace
}  // namespace celerypost::platform
