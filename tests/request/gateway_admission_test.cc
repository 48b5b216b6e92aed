#include "src/request/gateway_admission.h"

#include "tests/request/fleet_load.h"
#include "tests/request/model_load.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

FleetLoadOptions LightLoad() {
  FleetLoadOptions options;
  options.rates = ModelRates();
  options.targets = 8;
  options.gateways = 4;
  options.kinds = {{.name = "plain", .per_second = 20}};
  options.duration = std::chrono::milliseconds(5000);
  return options;
}

}  // namespace

TEST_GROUP(GatewayAdmissionTest){};

// Guards against a load test whose targets or reports fail by themselves: a
// fleet at a tenth of its capacity is on time.
TEST(GatewayAdmissionTest, ServesALightLoadOnTime) {
  const FleetLoadResult result = PlayFleetLoad(LightLoad());
  CHECK_TRUE(result.requests.size() > 50);
  CHECK_TRUE(result.Share(LoadOutcome::kOnTime) > 0.95);
}

// Guards against a load test that hides overload: at several times the
// capacity, requests are refused.
TEST(GatewayAdmissionTest, RefusesUnderOverload) {
  FleetLoadOptions options = LightLoad();
  options.kinds[0].per_second = 400;
  const FleetLoadResult result = PlayFleetLoad(options);
  CHECK_TRUE(result.Share(LoadOutcome::kRefused) > 0.4);
}

}  // namespace celerypost
