#include "src/process/metrics.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

std::string FormatNumber(double value) {
  std::array<char, 32> buffer;
  // Bounds below a millisecond would otherwise appear as 1e-04.
  const double magnitude = std::abs(value);
  const auto format = magnitude >= 1e-9 && magnitude < 1e9
                          ? std::chars_format::fixed
                          : std::chars_format::general;
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                                 value, format);
  return {buffer.data(), end.ptr};
}

double ToSeconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

// Escapes backslashes and newlines, and quotes inside label values.
std::string Escape(std::string_view text, bool quotes) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (c == '"' && quotes) {
      escaped += "\\\"";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

// Returns `a="x",b="y"`.
std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) {
      text += ",";
    }
    text += name + "=\"" + Escape(value, true) + "\"";
  }
  return text;
}

void AppendSample(std::string& out,
                  const std::string& name,
                  const std::string& labels,
                  const std::string& value) {
  out += name;
  if (!labels.empty()) {
    out += "{" + labels + "}";
  }
  out += " " + value + "\n";
}

void AppendHistogram(std::string& out,
                     const std::string& name,
                     const std::string& labels,
                     const Histogram& histogram) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const auto& bounds = histogram.upper_bounds();
  uint64_t cumulative = 0;
  for (size_t i = 0; i < bounds.size(); ++i) {
    cumulative += histogram.BucketCount(i);
    AppendSample(out, name + "_bucket",
                 prefix + "le=\"" + FormatNumber(ToSeconds(bounds[i])) + "\"",
                 std::to_string(cumulative));
  }
  cumulative += histogram.BucketCount(bounds.size());
  AppendSample(out, name + "_bucket", prefix + "le=\"+Inf\"",
               std::to_string(cumulative));
  AppendSample(out, name + "_sum", labels,
               FormatNumber(ToSeconds(histogram.sum())));
  AppendSample(out, name + "_count", labels, std::to_string(cumulative));
}

}  // namespace

Histogram::Histogram(std::vector<std::chrono::nanoseconds> upper_bounds)
    : bounds(std::move(upper_bounds)), buckets(this->bounds.size() + 1) {
  CELERYPOST_ASSERT(std::is_sorted(this->bounds.begin(), this->bounds.end()),
                    "histogram bounds ascend");
}

void Histogram::Observe(std::chrono::nanoseconds duration) {
  const auto bound =
      std::lower_bound(this->bounds.begin(), this->bounds.end(), duration);
  this->buckets[static_cast<size_t>(bound - this->bounds.begin())].Add();
  this->total_nanoseconds.Add(
      static_cast<uint64_t>(std::max<int64_t>(duration.count(), 0)));
}

uint64_t Histogram::BucketCount(size_t index) const {
  return this->buckets[index].value();
}

uint64_t Histogram::count() const {
  uint64_t sum = 0;
  for (const Counter& bucket : this->buckets) {
    sum += bucket.value();
  }
  return sum;
}

std::chrono::nanoseconds Histogram::sum() const {
  return std::chrono::nanoseconds(this->total_nanoseconds.value());
}

std::vector<std::chrono::nanoseconds> DefaultLatencyBounds() {
  using std::chrono::microseconds;
  return {
      microseconds(100),      microseconds(200),      microseconds(500),
      microseconds(1000),     microseconds(2000),     microseconds(5000),
      microseconds(10000),    microseconds(20000),    microseconds(50000),
      microseconds(100000),   microseconds(200000),   microseconds(500000),
      microseconds(1000000),  microseconds(2000000),  microseconds(5000000),
      microseconds(10000000), microseconds(30000000), microseconds(60000000)};
}

Metrics::Family& Metrics::FindFamily(std::string_view name,
                                     std::string_view help,
                                     Type type) {
  auto it = this->families.find(name);
  if (it == this->families.end()) {
    it = this->families.emplace(std::string(name), Family{}).first;
    it->second.type = type;
    it->second.help = help;
  }
  CELERYPOST_ASSERT(it->second.type == type,
                    "a metric name is registered with one type");
  return it->second;
}

Counter& Metrics::AddCounter(std::string_view name,
                             std::string_view help,
                             const MetricLabels& labels) {
  return this->FindFamily(name, help, Type::kCounter)
      .counters[RenderLabels(labels)];
}

Gauge& Metrics::AddGauge(std::string_view name,
                         std::string_view help,
                         const MetricLabels& labels) {
  return this->FindFamily(name, help, Type::kGauge)
      .gauges[RenderLabels(labels)];
}

Histogram& Metrics::AddHistogram(
    std::string_view name,
    std::string_view help,
    const MetricLabels& labels,
    std::vector<std::chrono::nanoseconds> upper_bounds) {
  return this->FindFamily(name, help, Type::kHistogram)
      .histograms.try_emplace(RenderLabels(labels), std::move(upper_bounds))
      .first->second;
}

std::string Metrics::Expose() const {
  static constexpr std::string_view kTypes[] = {"counter", "gauge",
                                                "histogram"};
  std::string out;
  for (const auto& [name, family] : this->families) {
    out += "# HELP " + name + " " + Escape(family.help, false) + "\n";
    out += "# TYPE " + name + " ";
    out += kTypes[static_cast<size_t>(family.type)];
    out += "\n";
    for (const auto& [labels, counter] : family.counters) {
      AppendSample(out, name, labels, std::to_string(counter.value()));
    }
    for (const auto& [labels, gauge] : family.gauges) {
      AppendSample(out, name, labels, FormatNumber(gauge.value()));
    }
    for (const auto& [labels, histogram] : family.histograms) {
      AppendHistogram(out, name, labels, histogram);
    }
  }
  return out;
}

}  // namespace celerypost
