#include "src/request/returning_callers.h"

#include <algorithm>
#include <vector>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

std::string KeyOf(const ServiceName& service, std::string_view route) {
  return service.value() + '\n' + std::string(route);
}

}  // namespace

milliseconds ReturningCallers::OnArrival(const ServiceName& service,
                                         std::string_view route,
                                         milliseconds time_left,
                                         TimePoint now) {
  std::string key = KeyOf(service, route);
  if (!this->records.contains(key) &&
      this->records.size() >= this->options.max_routes) {
    this->DropOldest();
  }
  Record& record = this->records[std::move(key)];
  record.seen_at = now;
  record.recent.push_back(time_left);
  if (record.recent.size() > this->options.window) {
    record.recent.pop_front();
  }
  this->Review(record);
  const milliseconds age = record.initial - time_left;
  return record.agreed && age > this->options.tolerance ? age : milliseconds(0);
}

void ReturningCallers::Review(Record& record) const {
  const auto count = static_cast<double>(record.recent.size());
  record.initial =
      *std::max_element(record.recent.begin(), record.recent.end());
  size_t initial = 0;
  size_t short_times = 0;
  for (const milliseconds left : record.recent) {
    initial += record.initial - left <= this->options.tolerance ? 1 : 0;
    short_times += left < record.initial * this->options.min_time_share ? 1 : 0;
  }
  record.returned = record.recent.size() - initial;
  record.agreed =
      record.recent.size() >= this->options.min_requests &&
      static_cast<double>(initial) >= this->options.min_initial_share * count &&
      static_cast<double>(short_times) <=
          this->options.max_short_share * count &&
      !this->HasSecondInitialTime(record);
}

bool ReturningCallers::HasSecondInitialTime(const Record& record) const {
  std::vector<milliseconds> sorted;
  for (const milliseconds left : record.recent) {
    if (record.initial - left > this->options.tolerance) {
      sorted.push_back(left);
    }
  }
  std::sort(sorted.begin(), sorted.end());
  const auto limit =
      static_cast<size_t>(this->options.max_equal_share *
                          static_cast<double>(record.recent.size()));
  // Requests on their way for a different time differ by a few milliseconds.
  constexpr milliseconds kEqual{10};
  for (size_t i = 0; i + limit < sorted.size(); ++i) {
    if (sorted[i + limit] - sorted[i] <= kEqual) {
      return true;
    }
  }
  return false;
}

bool ReturningCallers::CallersReturn(const ServiceName& service,
                                     std::string_view route) const {
  const auto found = this->records.find(KeyOf(service, route));
  return found != this->records.end() && found->second.agreed &&
         found->second.returned > 0;
}

void ReturningCallers::DropOldest() {
  this->records.erase(
      std::min_element(this->records.begin(), this->records.end(),
                       [](const auto& first, const auto& second) {
                         return first.second.seen_at < second.second.seen_at;
                       }));
}

}  // namespace celerypost
