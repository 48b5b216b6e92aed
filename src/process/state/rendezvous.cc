#include "src/process/state/rendezvous.h"

#include <algorithm>
#include <utility>

namespace celerypost {

std::vector<InstanceId> RendezvousSelect(std::string_view key,
                                         std::vector<InstanceId> candidates,
                                         size_t count) {
  std::vector<std::pair<uint64_t, InstanceId>> weighted;
  weighted.reserve(candidates.size());
  for (const InstanceId candidate : candidates) {
    weighted.emplace_back(RendezvousWeight(key, candidate), candidate);
  }
  const size_t kept = std::min(count, weighted.size());
  std::partial_sort(
      weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
      weighted.end(), [](const auto& a, const auto& b) { return b < a; });
  candidates.resize(kept);
  for (size_t i = 0; i < kept; ++i) {
    candidates[i] = weighted[i].second;
  }
  return candidates;
}

}  // namespace celerypost
