#include "platform/node_file.h"

#include "CppUTest/TestHarness.h"

namespace celerypost::platform {
namespace {

constexpr char kGatewayFile[] =
    "node_name=n1\nip=10.1.0.40\nzone=z-a\nregion=r\nzones.z-a=r\nzones.z-b=q\n"
    "listen.front=10.1.0.40:8005\nlisten.ready=10.1.0.40:8002\n"
    "listen.directory=10.1.0.40:8009\ninternal_ports=7700,7715\n"
    "seed_nodes=10.1.0.40:8000,10.2.0.37:8000\nheartbeat_ms=1500\n"
    "bounds.drain_ms=2500\nbounds.grace_s=8\nbounds.budget_ratio=0.25\n"
    "limits.memory_mb=260\nplatform.address=10.200.1.7:8007\n"
    "something.new=1\n";

TEST_GROUP(NodeFileTest){};

// Guards against settings that are dropped or converted to a wrong unit.
TEST(NodeFileTest, ReadsAGatewaysFile) {
  const auto node = ParseNodeFile(kGatewayFile);
  CHECK_TRUE(node.has_value());
  STRCMP_EQUAL("10.1.0.40:8005", node->caller_address->ToString().c_str());
  CHECK_EQUAL(7700, node->first_internal_port);
  CHECK_EQUAL(2u, node->seed_ips.size());
  STRCMP_EQUAL("10.2.0.37", node->seed_ips[1].c_str());
  CHECK_EQUAL(2500, node->drain_bound.count());
  CHECK_EQUAL(1500, node->target_heartbeat.count());
  CHECK_EQUAL(8000, node->stop_grace.count());
  CHECK_EQUAL(260000000u, node->memory_limit);
  DOUBLES_EQUAL(0.25, node->retry_share, 1e-9);
  STRCMP_EQUAL("q", node->regions_of_zones.at(ZoneName("z-b")).value().c_str());
  CHECK_FALSE(node->target_address.has_value());
}

// Guards against starting with missing or malformed settings. The error message
// must name the key.
TEST(NodeFileTest, NamesTheKeyThatIsMissingOrMalformed) {
  const auto missing = ParseNodeFile("node_name=n1\nip=10.0.0.1\nzone=z\n");
  CHECK_FALSE(missing.has_value());
  CHECK_TRUE(missing.error().message.find("region") != std::string::npos);
  const auto malformed =
      ParseNodeFile(std::string(kGatewayFile) + "bounds.drain_ms=soon\n");
  CHECK_FALSE(malformed.has_value());
  CHECK_TRUE(malformed.error().message.find("bounds.drain_ms") !=
             std::string::npos);
  const auto no_service =
      ParseNodeFile(std::string(kGatewayFile) + "app=10.1.0.40:8001\n");
  CHECK_FALSE(no_service.has_value());
  CHECK_TRUE(no_service.error().message.find("service") != std::string::npos);
}

// Guards against a process that starts with a setting that a cast has changed.
TEST(NodeFileTest, RejectsNumbersOutOfRange) {
  for (const char* const line :
       {"internal_ports=7700,70000", "internal_ports=-7700,7715",
        "internal_ports=7700,7715x", "internal_ports=65536,65540",
        "listen.front=10.1.0.40:0", "platform.address=10.1.0.40:70000",
        "bounds.drain_ms=1e300", "bounds.grace_s=inf", "bounds.grace_s=nan",
        "bounds.budget_ratio=nan", "bounds.cold_over=inf"}) {
    const auto node = ParseNodeFile(std::string(kGatewayFile) + line + "\n");
    CHECK_FALSE_TEXT(node.has_value(), line);
  }
}

}  // namespace
}  // namespace celerypost::platform
