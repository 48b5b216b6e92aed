#ifndef SRC_PROCESS_METRICS_H_
#define SRC_PROCESS_METRICS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace celerypost {

// A value that only increases. Written by one thread (the loop's), readable
// from any: with a single writer, a load and a store replace an atomic
// read-modify-write, which keeps it cheap enough for every request.
class Counter {
 public:
  void Add(uint64_t amount = 1) {
    this->count.store(this->count.load(std::memory_order_relaxed) + amount,
                      std::memory_order_relaxed);
  }
  uint64_t value() const { return this->count.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> count{0};
};

// A value that can increase and decrease. Written by one thread.
class Gauge {
 public:
  void Set(double value) {
    this->current.store(value, std::memory_order_relaxed);
  }
  void Add(double amount) { this->Set(this->value() + amount); }
  double value() const { return this->current.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> current{0};
};

// Counts durations in buckets with fixed upper bounds. Written by one thread.
class Histogram {
 public:
  // `upper_bounds` must be sorted in ascending order. The last bucket, which
  // has no upper bound, is added to them.
  explicit Histogram(std::vector<std::chrono::nanoseconds> upper_bounds);

  // A duration equal to a bound belongs to that bound's bucket.
  void Observe(std::chrono::nanoseconds duration);

  const std::vector<std::chrono::nanoseconds>& upper_bounds() const {
    return this->bounds;
  }
  // Number of observations in bucket `index` alone, not cumulative.
  uint64_t BucketCount(size_t index) const;
  uint64_t count() const;
  std::chrono::nanoseconds sum() const;

 private:
  std::vector<std::chrono::nanoseconds> bounds;
  // A deque, because counters can't be moved.
  std::deque<Counter> buckets;
  Counter total_nanoseconds;
};

// Label names and values of a series, for example {{"service", "order-api"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Returns bounds from 100 us to 60 s, for requests and calls.
std::vector<std::chrono::nanoseconds> DefaultLatencyBounds();

// Registry of all metric series of a process. References stay valid as long as
// the registry; look them up once, not per request. A name has only one type.
class Metrics {
 public:
  Metrics() = default;
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Each returns the existing series if name and labels are already registered.
  Counter& AddCounter(std::string_view name,
                      std::string_view help,
                      const MetricLabels& labels = {});
  Gauge& AddGauge(std::string_view name,
                  std::string_view help,
                  const MetricLabels& labels = {});
  // Durations are exposed in seconds, so `name` must end in "_seconds".
  Histogram& AddHistogram(std::string_view name,
                          std::string_view help,
                          const MetricLabels& labels = {},
                          std::vector<std::chrono::nanoseconds> upper_bounds =
                              DefaultLatencyBounds());

  // Returns all series in the text exposition format, version 0.0.4, sorted by
  // name and labels.
  std::string Expose() const;

 private:
  enum class Type : uint8_t { kCounter, kGauge, kHistogram };
  struct Family {
    Type type = Type::kCounter;
    std::string help;
    // Keyed by the rendered labels.
    std::map<std::string, Counter> counters;
    std::map<std::string, Gauge> gauges;
    std::map<std::string, Histogram> histograms;
  };

  Family& FindFamily(std::string_view name, std::string_view help, Type type);

  std::map<std::string, Family, std::less<>> families;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_METRICS_H_
