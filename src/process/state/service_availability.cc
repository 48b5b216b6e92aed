#include "src/process/state/service_availability.h"

#include <algorithm>
#include <tuple>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Largest age in a report.
constexpr milliseconds kMaxAge{1000000};

}  // namespace

ServiceAvailability::ServiceAvailability(ServiceAvailabilityOptions options)
    : options(options) {}

void ServiceAvailability::NoteAnswer(int64_t era,
                                     TimePoint earliest,
                                     TimePoint latest) {
  if (!this->periods.empty()) {
    Period& newest = this->periods.back();
    if (newest.era == era && newest.begin <= latest &&
        earliest - newest.end <= this->options.max_pause) {
      newest.end = std::max(newest.end, earliest);
      return;
    }
  }
  this->Insert({era, latest, earliest, /*after_outage=*/false});
}

void ServiceAvailability::NoteFailure(TimePoint time) {
  this->failed_at = std::max(this->failed_at.value_or(time), time);
}

void ServiceAvailability::ApplyReport(const ReportedAnswers& report,
                                      TimePoint now) {
  const milliseconds since =
      std::clamp(report.since_ago, milliseconds(0), kMaxAge);
  const milliseconds until =
      std::clamp(report.until_ago, milliseconds(0), kMaxAge);
  this->Insert({report.era, now - since, now - until, report.after_outage});
}

bool ServiceAvailability::Join(Period& period, const Period& next) const {
  if (next.era != period.era ||
      next.begin - period.end > this->options.max_pause) {
    return false;
  }
  // Processes notice the end of one outage at slightly different times, and
  // those that have started since don't know of it.
  period.after_outage = period.after_outage ||
                        (next.after_outage &&
                         next.begin - period.begin <= this->options.max_pause);
  period.end = std::max(period.end, next.end);
  return true;
}

void ServiceAvailability::Insert(const Period& period) {
  if (!this->periods.empty() && this->periods.back().begin <= period.begin &&
      this->Join(this->periods.back(), period)) {
    return;
  }
  const auto at = std::upper_bound(
      this->periods.begin(), this->periods.end(), period,
      [](const Period& a, const Period& b) {
        return std::tie(a.era, a.begin) < std::tie(b.era, b.begin);
      });
  this->periods.insert(at, period);
  std::vector<Period> joined;
  for (const Period& next : this->periods) {
    if (joined.empty()) {
      joined.push_back(next);
      continue;
    }
    Period& last = joined.back();
    if (this->Join(last, next)) {
      continue;
    }
    const bool failed_between = this->failed_at &&
                                *this->failed_at > last.end &&
                                *this->failed_at < next.begin;
    const bool is_outage =
        next.after_outage || next.era != last.era || failed_between;
    joined.push_back(next);
    joined.back().after_outage = is_outage;
  }
  const TimePoint oldest = joined.back().end - this->options.memory;
  std::erase_if(joined,
                [oldest](const Period& kept) { return kept.end < oldest; });
  if (joined.size() > this->options.max_periods) {
    joined.erase(joined.begin(), joined.end() - static_cast<std::ptrdiff_t>(
                                                    this->options.max_periods));
  }
  this->periods = std::move(joined);
}

std::optional<ServiceOutage> ServiceAvailability::last_outage() const {
  for (size_t i = this->periods.size(); i-- > 0;) {
    if (this->periods[i].after_outage) {
      return ServiceOutage{
          i == 0 ? std::nullopt : std::optional(this->periods[i - 1].end),
          this->periods[i].begin};
    }
  }
  return std::nullopt;
}

bool ServiceAvailability::AnsweredAt(TimePoint time) const {
  return std::any_of(this->periods.begin(), this->periods.end(),
                     [time](const Period& period) {
                       return period.begin <= time && time <= period.end;
                     });
}

std::optional<ReportedAnswers> ServiceAvailability::Report(
    TimePoint now) const {
  if (this->periods.empty()) {
    return std::nullopt;
  }
  const Period& newest = this->periods.back();
  // Rounded so that the reported period is not longer than the known one.
  return ReportedAnswers{
      newest.era, std::chrono::floor<milliseconds>(now - newest.begin),
      std::chrono::ceil<milliseconds>(now - newest.end), newest.after_outage};
}

}  // namespace celerypost
