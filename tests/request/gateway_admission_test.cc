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

// Guards against gateways that all choose the target that was the least loaded
// in the last reports: at half of the capacity nearly all requests are on time,
// however many gateways share the targets.
TEST(GatewayAdmissionTest, ManyGatewaysWithOldReportsStayOnTime) {
  FleetLoadOptions options = LightLoad();
  options.targets = 34;
  options.gateways = 40;
  options.kinds[0].per_second = 200;
  options.kinds[0].latency_goal = std::chrono::milliseconds(500);
  options.report_period = std::chrono::milliseconds(200);
  const FleetLoadResult result = PlayFleetLoad(options);
  CHECK_TRUE(result.Share(LoadOutcome::kOnTime) > 0.95);
}

// Guards against predictions that leave out what a gateway cannot know: at
// twice the capacity a request that is admitted is answered on time.
TEST(GatewayAdmissionTest, AdmittedRequestsAreOnTimeUnderOverload) {
  FleetLoadOptions options = LightLoad();
  options.targets = 34;
  options.gateways = 40;
  options.kinds[0].per_second = 800;
  options.report_period = std::chrono::milliseconds(150);
  const FleetLoadResult result = PlayFleetLoad(options);
  const double on_time = result.Share(LoadOutcome::kOnTime);
  CHECK_TRUE(on_time > 4 * result.Share(LoadOutcome::kLate));
  CHECK_TRUE(on_time > 0.25);
}

}  // namespace celerypost
