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
}

}  // namespace celerypost
