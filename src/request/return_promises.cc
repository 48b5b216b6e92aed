#include "src/request/return_promises.h"

#include <algorithm>
#include <cmath>

namespace celerypost {

using std::chrono::milliseconds;

ReturnPromises::Record& ReturnPromises::RecordOf(const ServiceName& service) {
  Record& record = this->records[service];
  if (record.share == 0) {
    record.share = this->options.initial_share;
  }
  return record;
}

void ReturnPromises::OnNewCaller(const ServiceName& service, TimePoint now) {
  Record& record = this->RecordOf(service);
  const std::chrono::duration<double> window = this->options.rate_window;
  const std::chrono::duration<double> passed = now - record.counted_at;
  record.new_callers =
      record.new_callers * std::exp(-passed / window) + 1 / window.count();
  record.counted_at = now;
}

TimePoint::duration ReturnPromises::DistanceOf(const Record& record) const {
  // Longer than any caller waits.
  constexpr double kMaxSeconds = 60;
  const double rate = record.share * record.new_callers;
  return std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(1 / std::max(rate, 1 / kMaxSeconds)));
}

TimePoint ReturnPromises::FirstFree(const Record& record,
                                    TimePoint from,
                                    TimePoint::duration distance) {
  TimePoint free = from;
  for (const TimePoint taken : record.promised) {
    if (taken + distance <= free) {
      continue;
    }
    if (taken >= free + distance) {
      break;
    }
    free = taken + distance;
  }
  return free;
}

milliseconds ReturnPromises::Promise(const ServiceName& service,
                                     milliseconds until_room,
                                     milliseconds time_left,
                                     TimePoint now) {
  Record& record = this->RecordOf(service);
  // Promises longer ago than any distance don't matter.
  const auto distance = this->DistanceOf(record);
  record.promised.erase(record.promised.begin(),
                        record.promised.lower_bound(now - distance));
  const TimePoint free = FirstFree(record, now + until_room, distance);
  const auto latest = now + std::chrono::duration_cast<milliseconds>(
                                time_left * this->options.max_wait_share);
  if (free > latest || record.promised.size() >= this->options.max_promises) {
    return this->NoReturn(time_left);
  }
  // Gateways that refuse callers at the same moment would otherwise promise the
  // same one.
  const auto spread = std::chrono::duration_cast<milliseconds>(
      std::min<TimePoint::duration>(distance, latest - free));
  const TimePoint promised =
      free +
      milliseconds(this->random.Below(static_cast<uint64_t>(spread.count())));
  record.promised.insert(promised);
  return std::chrono::duration_cast<milliseconds>(promised - now);
}

milliseconds ReturnPromises::NoReturn(milliseconds time_left) const {
  return std::chrono::duration_cast<milliseconds>(
             time_left * this->options.max_wait_share) +
         this->options.no_return_margin;
}

void ReturnPromises::OnReturn(const ServiceName& service, bool found_room) {
  Record& record = this->RecordOf(service);
  record.share =
      std::clamp(record.share * (found_room ? 1 + this->options.raise
                                            : 1 - this->options.lower),
                 this->options.min_share, this->options.max_share);
}

double ReturnPromises::LargestShare() const {
  double largest = 0;
  for (const auto& [service, record] : this->records) {
    largest = std::max(largest, record.share);
  }
  return largest;
}

size_t ReturnPromises::promises(const ServiceName& service) const {
  const auto found = this->records.find(service);
  return found == this->records.end() ? 0 : found->second.promised.size();
}

}  // namespace celerypost
