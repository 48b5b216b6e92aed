#include "src/version/fetch_roles.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

namespace celerypost {

FetchRoles AssignFetchRoles(const FetchRoleOptions& options,
                            const Digest& key,
                            const std::vector<FetchMember>& members) {
  std::vector<std::pair<uint64_t, const FetchMember*>> order;
  order.reserve(members.size());
  for (const FetchMember& member : members) {
    order.emplace_back(RendezvousWeight(key, member.instance.value), &member);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first
               ? a.first > b.first
               : a.second->instance.value < b.second->instance.value;
  });
  FetchRoles roles;
  std::unordered_map<std::string, uint32_t> importers_in;
  for (const auto& [weight, member] : order) {
    if (roles.origin_fetchers.size() < options.origin_fetchers) {
      roles.origin_fetchers.insert(member->instance);
    }
    if (importers_in[member->region.value()]++ < options.importers) {
      roles.importers.insert(member->instance);
    }
  }
  return roles;
}

}  // namespace celerypost
