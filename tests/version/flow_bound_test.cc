#include "src/version/flow_bound.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

FlowLinks OneRegion(uint32_t replicas) {
  FlowLinks links;
  links.origin_out = 40;
  links.regions = {{replicas, 20, 20}};
  links.between = {{0}};
  return links;
}

TEST_GROUP(FlowBoundTest){};

// Guards against a bound above the time of the fastest possible distribution,
// which would hide a slow one.
TEST(FlowBoundTest, TakesTheTightestCut) {
  // The VM's link.
  DOUBLES_EQUAL(5, FlowBound(OneRegion(310), 100).count(), 1e-9);
  // The origin's link.
  FlowLinks links = OneRegion(2);
  links.origin_out = 10;
  DOUBLES_EQUAL(10, FlowBound(links, 100).count(), 1e-9);
  // All copies over all uploads: 3 * 100 over 10 + 3 * 5.
  links.regions[0] = {3, 20, 5};
  DOUBLES_EQUAL(12, FlowBound(links, 100).count(), 1e-9);
}

// Guards against a bound that ignores the links between regions, and against
// one that ignores that a region may receive the bytes by way of another one.
TEST(FlowBoundTest, CountsPathsOverOtherRegions) {
  FlowLinks links = OneRegion(4);
  links.regions.resize(3, {4, 20, 20});
  links.between = {{0, 5, 5}, {0, 0, 5}, {0, 5, 0}};
  // Directly and over the other remote region.
  DOUBLES_EQUAL(10, FlowBound(links, 100).count(), 1e-9);
  links.between[0][1] = 0;
  DOUBLES_EQUAL(20, FlowBound(links, 100).count(), 1e-9);
  links.between[2][1] = 0;
  CHECK(FlowBound(links, 100) == std::chrono::duration<double>::max());
}

}  // namespace
}  // namespace celerypost
