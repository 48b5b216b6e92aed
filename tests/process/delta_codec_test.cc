#include "src/process/delta_codec.h"

#include <zlib.h>

#include <string>

#include "tests/support/peak_memory.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(DeltaCodecTest){
    // A configuration with 1,160 routes.
    static DocumentDelta BigConfig(){
        std::string value = R"({"version":28,"routes":[)";
for (int route = 0; route < 1160; ++route) {
  value += R"({"name":"r-)" + std::to_string(route * 7919) + R"(","host":"h)" +
           std::to_string(route % 9) + R"(.example","prefix":"/p)" +
           std::to_string(route * 104729) +
           R"(/","kind":"stream","timeout_ms":6000,)"
           R"("target_latency_ms":400,"priority":1,"service":"textmodel",)"
           R"("max_attempts":2,"public":false,"can_resume":true},)";
}
DocumentDelta delta;
delta.partial = true;
delta.revision = 71;
delta.items.push_back({"op/config", value, 70});
delta.items.push_back({"servers/i-1", "", 71});
return delta;
}  // namespace
};  // namespace celerypost

TEST(DeltaCodecTest, ReturnsWhatWasEncoded) {
  DocumentDelta delta = BigConfig();
  delta.items.push_back({"binary", std::string("\0\xff\n", 3), 3});
  delta.items.push_back({"op/evacuate/north", "{}", 90, 3});
  delta.era = 4;
  delta.answers =
      ReportedAnswers{4, milliseconds(1500), milliseconds(30), true};
  delta.current_ago = milliseconds(40);
  delta.namings.push_back({"m", 3, milliseconds(70)});
  const auto decoded = DecodeDelta(EncodeDelta(delta));
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded->partial);
  CHECK_EQUAL(71, decoded->revision);
  CHECK_EQUAL(4, decoded->era);
  CHECK_TRUE(decoded->answers == delta.answers);
  CHECK_TRUE(decoded->current_ago == delta.current_ago);
  CHECK_EQUAL(1u, decoded->namings.size());
  CHECK_EQUAL(3, decoded->namings.front().version);
  CHECK_TRUE(decoded->namings.front().named_ago ==
             std::chrono::milliseconds(70));
  CHECK_EQUAL(delta.items.size(), decoded->items.size());
  for (size_t i = 0; i < delta.items.size(); ++i) {
    STRCMP_EQUAL(delta.items[i].key.c_str(), decoded->items[i].key.c_str());
    CHECK_TRUE(delta.items[i].value == decoded->items[i].value);
    CHECK_TRUE(delta.items[i].position() == decoded->items[i].position());
  }
}

// Guards against a large configuration that fills the links: on
// lindqvist-binderi-grown, scale-1, 16 gateways of a region pulled one of 1,160
// routes from the gateway that had it. Within half of the 1.2 s after which
// they read the key-value service instead, its link of 40 Mbit/s must carry a
// copy for each.
TEST(DeltaCodecTest, ARegionFetchesALargeConfigurationInTime) {
  constexpr double kLinkBytesASecond = 40e6 / 8;
  constexpr double kGateways = 30;
  const auto bytes = static_cast<double>(EncodeDelta(BigConfig()).size());
  CHECK_TRUE(bytes * kGateways / kLinkBytesASecond <= 0.6);
}

// Guards against a crash or a huge allocation by bytes that are no delta.
TEST(DeltaCodecTest, RejectsMalformedBytes) {
  const std::string good = EncodeDelta(BigConfig());
  CHECK_FALSE(DecodeDelta("").has_value());
  CHECK_FALSE(DecodeDelta("\xff\xff\xff\xff rest").has_value());
  CHECK_FALSE(DecodeDelta(good.substr(0, good.size() / 2)).has_value());
  std::string wrong_size = good;
  wrong_size[0] = static_cast<char>(wrong_size[0] - 1);
  CHECK_FALSE(DecodeDelta(wrong_size).has_value());
}

// Guards against a short body that claims a long document or a long list, for
// which memory is taken first.
TEST(DeltaCodecTest, AClaimedSizeTakesNoMemory) {
  constexpr size_t kMaxGrowth = 4u << 20;
  const PeakMemory peak;
  CHECK_FALSE(DecodeDelta(std::string("\0\0\0\4 no bytes", 13)).has_value());
  CHECK_COMPARE(peak.Growth(), <, kMaxGrowth);
}

// Guards against elements of one byte, each of which takes hundreds in memory.
TEST(DeltaCodecTest, AListOfEmptyItemsTakesNoMemory) {
  constexpr size_t kPlainBytes = 4u << 20;
  // A list of items, 4 Mi - 64 of them, and as many empty structs.
  std::string plain("\x39\xFC\xC0\xFF\xFF\x01", 6);
  plain.resize(kPlainBytes);
  std::string bytes("\0\0\x40\0", 4);
  uLongf length = compressBound(plain.size());
  bytes.resize(bytes.size() + length);
  CHECK_EQUAL(
      Z_OK,
      compress(reinterpret_cast<Bytef*>(bytes.data() + 4), &length,
               reinterpret_cast<const Bytef*>(plain.data()), plain.size()));
  bytes.resize(4 + length);
  const PeakMemory peak;
  CHECK_FALSE(DecodeDelta(bytes).has_value());
  CHECK_COMPARE(peak.Growth(), <, 2 * kPlainBytes);
}

}  // namespace
}  // namespace celerypost
