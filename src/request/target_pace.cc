#include "src/request/target_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerypost {

namespace {

// Evidence that a target has its usual pace, in reliable measurements. A single
// peer weighs less, so that its word alone changes nothing.
constexpr double kPriorWeight = 1;
// Largest weight of a gateway's own measurements, in peers.
constexpr double kMaxOwnWeight = 3;

double Ratio(TimePoint::duration part, Milliseconds whole) {
  return Milliseconds(part) / whole;
}

// Returns the smallest value up to which half of the weight lies. `entries` are
// values and weights.
double LowerMedian(std::vector<std::pair<double, double>> entries) {
  std::sort(entries.begin(), entries.end());
  double total = 0;
  for (const auto& [value, weight] : entries) {
    total += weight;
  }
  double below = 0;
  for (const auto& [value, weight] : entries) {
    below += weight;
    if (below * 2 >= total) {
      return value;
    }
  }
  return 1;
}

}  // namespace

Milliseconds UsualEventGap(const EngineRates& rates, double running) {
  const double passes = std::max(
      1.0, rates.mean_answer_tokens / std::max(1u, rates.steps_per_pass));
  return SlotTime(rates, running) / passes;
}

double TargetPace::Bounded(double pace) const {
  return std::clamp(pace, this->options.min_pace, this->options.max_pace);
}

double TargetPace::Decay(TimePoint at, TimePoint now) const {
  return now <= at ? 1 : std::exp(-Ratio(now - at, this->options.smoothing));
}

double TargetPace::OwnPace(const Measurement& measurement, double decay) const {
  return this->Bounded(std::exp(measurement.sum * decay /
                                (measurement.weight * decay + kPriorWeight)));
}

void TargetPace::OnReport(const std::string& address,
                          std::optional<double> pace,
                          TimePoint now) {
  if (pace && std::isfinite(*pace)) {
    this->reports[address] = {this->Bounded(*pace), now, std::nullopt};
  } else {
    this->reports.erase(address);
  }
}

void TargetPace::OnMeasured(TargetStartHash start,
                            double ratio,
                            double weight,
                            TimePoint now) {
  if (!std::isfinite(ratio)) {
    return;
  }
  Measurement& measurement = this->own[start];
  const double decay = this->Decay(measurement.at, now);
  measurement.sum = measurement.sum * decay +
                    weight * std::log(this->Bounded(std::max(0.0, ratio)));
  measurement.weight = measurement.weight * decay + weight;
  measurement.at = now;
}

void TargetPace::OnShared(InstanceId peer,
                          const std::vector<SharedPace>& paces,
                          TimePoint now) {
  if (paces.empty()) {
    this->shared.erase(peer);
    return;
  }
  auto& known = this->shared[peer];
  known.clear();
  for (const SharedPace& shared : paces) {
    if (known.size() >= this->options.max_shared) {
      break;
    }
    if (std::isfinite(shared.pace)) {
      known[shared.target_start] = {
          this->Bounded(shared.pace),
          now - std::max(shared.age, std::chrono::milliseconds(0))};
    }
  }
}

double TargetPace::MeasuredPace(TargetStartHash start, TimePoint now) const {
  std::vector<std::pair<double, double>> entries = {{1, kPriorWeight}};
  const auto own = this->own.find(start);
  if (own != this->own.end() && now - own->second.at < this->options.lifetime) {
    const double decay = this->Decay(own->second.at, now);
    entries.emplace_back(this->OwnPace(own->second, decay),
                         std::min(own->second.weight * decay, kMaxOwnWeight));
  }
  for (const auto& [peer, paces] : this->shared) {
    const auto found = paces.find(start);
    if (found == paces.end()) {
      continue;
    }
    const double age = Ratio(now - found->second.at, this->options.lifetime);
    if (age < 1) {
      entries.emplace_back(found->second.pace, 1 - age);
    }
  }
  const double pace = LowerMedian(std::move(entries));
  return pace > 1 + this->options.notable ? pace : 1;
}

double TargetPace::PaceOf(const std::string& address,
                          TargetStartHash start,
                          TimePoint now) {
  const auto found = this->reports.find(address);
  if (found == this->reports.end()) {
    return this->MeasuredPace(start, now);
  }
  Report& report = found->second;
  if (now - report.at >= this->options.report_lifetime ||
      report.start.value_or(start) != start) {
    this->reports.erase(found);
    return this->MeasuredPace(start, now);
  }
  report.start = start;
  const auto overdue = now - report.at - this->options.report_period;
  if (overdue <= TimePoint::duration(0)) {
    return report.pace;
  }
  const double share = Ratio(
      overdue, this->options.report_lifetime - this->options.report_period);
  return report.pace + share * (this->MeasuredPace(start, now) - report.pace);
}

std::vector<SharedPace> TargetPace::Share(TimePoint now) const {
  std::vector<SharedPace> paces;
  for (const auto& [start, measurement] : this->own) {
    const double pace =
        this->OwnPace(measurement, this->Decay(measurement.at, now));
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - measurement.at);
    if (age < this->options.lifetime &&
        std::abs(pace - 1) > this->options.notable) {
      paces.push_back({start, pace, age});
    }
  }
  // With too many, those that change decisions most.
  std::sort(paces.begin(), paces.end(), [](const auto& one, const auto& other) {
    return one.pace > other.pace;
  });
  if (paces.size() > this->options.max_shared) {
    paces.resize(this->options.max_shared);
  }
  return paces;
}

void TargetPace::Forget(TimePoint now) {
  std::erase_if(this->reports, [&](const auto& entry) {
    return now - entry.second.at >= this->options.report_lifetime;
  });
  std::erase_if(this->own, [&](const auto& entry) {
    return now - entry.second.at >= this->options.lifetime;
  });
  for (auto& [peer, paces] : this->shared) {
    std::erase_if(paces, [&](const auto& entry) {
      return now - entry.second.at >= this->options.lifetime;
    });
  }
  std::erase_if(this->shared,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace celerypost
