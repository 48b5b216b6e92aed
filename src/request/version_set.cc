#include "src/request/version_set.h"

#include <algorithm>

namespace celerypost {

void VersionSet::Add(VersionRange range) {
  if (range.empty()) {
    return;
  }
  std::vector<VersionRange> merged;
  for (const VersionRange& held : this->ranges) {
    // Joins adjacent ranges too. The comparisons avoid an overflow at the
    // largest version.
    const bool before = held.last < range.first && range.first - held.last > 1;
    const bool after = held.first > range.last && held.first - range.last > 1;
    if (before || after) {
      merged.push_back(held);
    } else {
      range.first = std::min(range.first, held.first);
      range.last = std::max(range.last, held.last);
    }
  }
  merged.push_back(range);
  std::sort(merged.begin(), merged.end(),
            [](const VersionRange& left, const VersionRange& right) {
              return left.first < right.first;
            });
  this->ranges = std::move(merged);
}

void VersionSet::Remove(VersionRange range) {
  if (range.empty()) {
    return;
  }
  std::vector<VersionRange> rest;
  for (const VersionRange& held : this->ranges) {
    if (held.last < range.first || held.first > range.last) {
      rest.push_back(held);
      continue;
    }
    if (held.first < range.first) {
      rest.push_back({held.first, range.first - 1});
    }
    if (held.last > range.last) {
      rest.push_back({range.last + 1, held.last});
    }
  }
  this->ranges = std::move(rest);
}

bool VersionSet::Contains(uint64_t version) const {
  return std::any_of(this->ranges.begin(), this->ranges.end(),
                     [version](const VersionRange& range) {
                       return range.first <= version && version <= range.last;
                     });
}

std::vector<VersionRange> VersionSet::Missing(VersionRange range) const {
  std::vector<VersionRange> missing;
  for (const VersionRange& held : this->ranges) {
    if (range.empty() || held.last < range.first) {
      continue;
    }
    if (held.first > range.last) {
      break;
    }
    if (held.first > range.first) {
      missing.push_back({range.first, held.first - 1});
    }
    if (held.last >= range.last) {
      return missing;
    }
    range.first = held.last + 1;
  }
  if (!range.empty()) {
    missing.push_back(range);
  }
  return missing;
}

VersionRange VersionSet::Newest() const {
  return this->ranges.empty() ? VersionRange{} : this->ranges.back();
}

}  // namespace celerypost
