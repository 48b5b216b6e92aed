#include "src/process/state/region_directory.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(RegionDirectoryTest) {
  RegionDirectory directory{milliseconds(3000)};
  TimePoint now{std::chrono::seconds(1000)};

  static RegionSummary Summary(const char* region, int64_t revision) {
    RegionSummary summary;
    summary.region = RegionName(region);
    summary.documents.position.revision = revision;
    return summary;
  }
};

// Guards against a directory that names gateways of a region that has not been
// heard for seconds.
TEST(RegionDirectoryTest, SummariesExpire) {
  this->directory.OnSummary(Summary("south", 1), true, this->now);
  CHECK_EQUAL(1u, this->directory.Fresh(this->now + milliseconds(3000)).size());
  CHECK_EQUAL(0u, this->directory.Fresh(this->now + milliseconds(3001)).size());
}

// Guards against gateways that forward the same summaries to each other for
// ever, and against regions of which only one gateway learns.
TEST(RegionDirectoryTest, ForwardsOnlyWhatCameFromAnotherRegionAndOnce) {
  this->directory.OnSummary(Summary("south", 1), true, this->now);
  this->directory.OnSummary(Summary("west", 2), false, this->now);
  const auto forwards = this->directory.TakeForwards();
  CHECK_EQUAL(1u, forwards.size());
  STRCMP_EQUAL("south", forwards.front().region.value().c_str());
  CHECK_EQUAL(0u, this->directory.TakeForwards().size());
}

// Guards against a region of which other regions hear nothing since its one
// sender has died, and against as many senders as gateways.
TEST(RegionDirectoryTest, TwoGatewaysOfARegionSendSummaries) {
  std::vector<InstanceId> all;
  for (uint64_t i = 1; i <= 185; ++i) {
    all.push_back(InstanceId{i * 7919});
  }
  int senders = 0;
  for (const InstanceId self : all) {
    senders += SendsSummaries({}, self, all) ? 1 : 0;
  }
  CHECK_EQUAL(2, senders);
  CHECK_TRUE(SendsSummaries({}, InstanceId{5}, {}));
}

// Guards against summaries that take a growing share of the links between
// regions as regions grow: one of 430 targets is sent less often than one of
// five, so that each sender stays below the same rate.
TEST(RegionDirectoryTest, LargeSummariesAreSentLessOften) {
  const SummaryOptions options;
  CHECK_TRUE(SummaryPeriod(options, 300) == options.min_period);
  for (const size_t bytes : {size_t{300}, size_t{2600}, size_t{16000}}) {
    const auto period = SummaryPeriod(options, bytes);
    CHECK_TRUE(bytes * 1000 <=
               options.bytes_per_second * static_cast<size_t>(period.count()) +
                   options.bytes_per_second);
  }
}

}  // namespace
}  // namespace celerypost
