#include "src/request/target_notices.h"

#include <algorithm>
#include <utility>

namespace celerypost {

TargetNotices::TargetNotices(TargetNoticesOptions options) : options(options) {}

bool TargetNotices::OnLeaving(TargetStartHash start, TimePoint now) {
  return this->leaving.emplace(start, now).second;
}

bool TargetNotices::Leaves(TargetStartHash start) const {
  return this->leaving.contains(start);
}

bool TargetNotices::OnDeclines(TargetStartHash start,
                               std::chrono::milliseconds time,
                               TimePoint now) {
  TimePoint& until = this->declining[start];
  const bool news = until <= now;
  until = std::max(until, now + std::min(time, this->options.max_decline));
  return news && until > now;
}

std::optional<TimePoint> TargetNotices::DeclinesUntil(TargetStartHash start,
                                                      TimePoint now) const {
  const auto found = this->declining.find(start);
  return found != this->declining.end() && now < found->second
             ? std::optional(found->second)
             : std::nullopt;
}

std::vector<TargetStartHash> TargetNotices::RecentlyLeaving(
    TimePoint now) const {
  std::vector<std::pair<TimePoint, TargetStartHash>> recent;
  for (const auto& [start, learned_at] : this->leaving) {
    if (now - learned_at < this->options.share_time) {
      recent.emplace_back(learned_at, start);
    }
  }
  std::sort(recent.rbegin(), recent.rend());
  std::vector<TargetStartHash> starts;
  for (const auto& [learned_at, start] : recent) {
    if (starts.size() == this->options.max_shared) {
      break;
    }
    starts.push_back(start);
  }
  return starts;
}

void TargetNotices::Forget(TimePoint now) {
  std::erase_if(this->leaving, [&](const auto& item) {
    return now - item.second >= this->options.leaving_lifetime;
  });
  std::erase_if(this->declining,
                [&](const auto& item) { return now >= item.second; });
}

}  // namespace celerypost
