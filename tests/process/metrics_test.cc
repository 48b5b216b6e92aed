#include "src/process/metrics.h"

#include <chrono>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

TEST_GROUP(MetricsTest) {
  Metrics metrics;
};

// Guards against an exposition that scrapers reject.
TEST(MetricsTest, ExposesAllTypes) {
  this->metrics.AddCounter("requests_total", "requests", {{"zone", "dar-a"}})
      .Add(3);
  this->metrics.AddGauge("limit", "bound").Set(2.5);
  this->metrics.AddHistogram("wait_seconds", "wait", {{"service", "s"}},
                             {milliseconds(1), milliseconds(500)});
  STRCMP_EQUAL(
      "# HELP limit bound\n# TYPE limit gauge\nlimit 2.5\n"
      "# HELP requests_total requests\n# TYPE requests_total counter\n"
      "requests_total{zone=\"dar-a\"} 3\n"
      "# HELP wait_seconds wait\n# TYPE wait_seconds histogram\n"
      "wait_seconds_bucket{service=\"s\",le=\"0.001\"} 0\n"
      "wait_seconds_bucket{service=\"s\",le=\"0.5\"} 0\n"
      "wait_seconds_bucket{service=\"s\",le=\"+Inf\"} 0\n"
      "wait_seconds_sum{service=\"s\"} 0\n"
      "wait_seconds_count{service=\"s\"} 0\n",
      this->metrics.Expose().c_str());
}

// Guards against a series that is counted twice under the same labels.
TEST(MetricsTest, ReturnsTheSameSeriesForTheSameLabels) {
  Counter& first = this->metrics.AddCounter("a", "", {{"l", "1"}});
  Counter& other = this->metrics.AddCounter("a", "", {{"l", "2"}});
  CHECK(&first == &this->metrics.AddCounter("a", "", {{"l", "1"}}));
  CHECK(&first != &other);
}

// Guards against label values and help texts that forge lines.
TEST(MetricsTest, EscapesLabelsAndHelp) {
  this->metrics.AddCounter("a", "x\ny\\", {{"l", "\"} 1\nb 2\\"}});
  STRCMP_EQUAL(
      "# HELP a x\\ny\\\\\n# TYPE a counter\n"
      "a{l=\"\\\"} 1\\nb 2\\\\\"} 0\n",
      this->metrics.Expose().c_str());
}

// Guards against observations that are counted in an adjacent bucket.
TEST(MetricsTest, CountsBucketsUpToTheirBound) {
  Histogram& histogram = this->metrics.AddHistogram(
      "h_seconds", "", {}, {milliseconds(1), milliseconds(2)});
  histogram.Observe(nanoseconds(-5));
  histogram.Observe(milliseconds(1));
  histogram.Observe(milliseconds(1) + nanoseconds(1));
  histogram.Observe(milliseconds(2));
  histogram.Observe(milliseconds(2) + nanoseconds(1));
  LONGS_EQUAL(2, histogram.BucketCount(0));
  LONGS_EQUAL(2, histogram.BucketCount(1));
  LONGS_EQUAL(1, histogram.BucketCount(2));
  LONGS_EQUAL(5, histogram.count());
  CHECK(histogram.sum() == milliseconds(6) + nanoseconds(2));
  const std::string text = this->metrics.Expose();
  STRCMP_CONTAINS("h_seconds_bucket{le=\"0.002\"} 4\n", text.c_str());
  STRCMP_CONTAINS("h_seconds_bucket{le=\"+Inf\"} 5\n", text.c_str());
  STRCMP_CONTAINS("h_seconds_count 5\n", text.c_str());
}

// Guards against numbers that overflow their buffer or use scientific notation
// without need.
TEST(MetricsTest, FormatsNumbersOfAllSizes) {
  Gauge& gauge = this->metrics.AddGauge("g", "");
  for (const auto& [value, text] :
       std::vector<std::pair<double, const char*>>{{0.0001, "\ng 0.0001\n"},
                                                   {1e300, "\ng 1e+300\n"},
                                                   {-1e-300, "\ng -1e-300\n"},
                                                   {1e8 / 3, "\ng 33333333."},
                                                   {1e-9 / 3, "\ng 3.3333"},
                                                   {2e-9 / 3, "\ng 6.66666"},
                                                   {-5e-9 / 3, "\ng -0.00000"},
                                                   {123456789, "g 123456789\n"},
                                                   {0, "\ng 0\n"}}) {
    gauge.Set(value);
    STRCMP_CONTAINS(text, this->metrics.Expose().c_str());
  }
}

// Guards against default bounds out of order, which would lose observations.
TEST(MetricsTest, DefaultBoundsAscend) {
  const auto bounds = DefaultLatencyBounds();
  for (size_t i = 1; i < bounds.size(); ++i) {
    CHECK(bounds[i - 1] < bounds[i]);
  }
}

}  // namespace
}  // namespace celerypost
