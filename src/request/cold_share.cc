#include "src/request/cold_share.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "src/version/digest.h"

namespace celerypost {

namespace {

// Sort key of a gateway in the order of a target, the same in every process.
std::pair<uint64_t, std::string_view> OrderKey(const std::string& target,
                                               const std::string& ip) {
  return {RendezvousWeight(target, XXH64(ip.data(), ip.size(), 0)), ip};
}

bool SameMembers(const std::vector<GatewayMember>& a,
                 const std::vector<GatewayMember>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const GatewayMember& x, const GatewayMember& y) {
                      return x.ip == y.ip && x.region == y.region;
                    });
}

}  // namespace

ColdShares::ColdShares(ColdShareOptions options, std::string self_ip)
    : options(options), self_ip(std::move(self_ip)) {}

void ColdShares::SetGateways(std::vector<GatewayMember> members) {
  std::sort(members.begin(), members.end(),
            [](const GatewayMember& a, const GatewayMember& b) {
              return a.ip < b.ip;
            });
  if (SameMembers(members, this->members)) {
    return;
  }
  this->members = std::move(members);
  this->positions.clear();
}

ColdShares::Position ColdShares::PositionFor(const std::string& target,
                                             const RegionName& region) const {
  bool self_in_region = false;
  size_t in_region = 0;
  for (const GatewayMember& member : this->members) {
    in_region += member.region == region ? 1 : 0;
    self_in_region = self_in_region ||
                     (member.ip == this->self_ip && member.region == region);
  }
  Position position;
  position.count =
      self_in_region ? in_region : this->members.size() - in_region;
  const bool shared = in_region > 0 && in_region < this->members.size();
  if (shared) {
    position.part = self_in_region ? this->options.same_region_part
                                   : 1 - this->options.same_region_part;
  }
  const auto own_key = OrderKey(target, this->self_ip);
  for (const GatewayMember& member : this->members) {
    position.rank += (member.region == region) == self_in_region &&
                             OrderKey(target, member.ip) > own_key
                         ? 1
                         : 0;
  }
  return position;
}

size_t ColdShares::ShareOf(const std::string& target,
                           const RegionName& region,
                           double limit) {
  auto found = this->positions.find(target);
  if (found == this->positions.end()) {
    found = this->positions.emplace(target, this->PositionFor(target, region))
                .first;
  }
  const Position& position = found->second;
  const auto quota = static_cast<size_t>(std::max(0.0, limit * position.part));
  const size_t count = std::max<size_t>(1, position.count);
  // Those that come first get one of the requests that remain after an even
  // division.
  return quota / count + (position.rank < quota % count ? 1 : 0);
}

}  // namespace celerypost
