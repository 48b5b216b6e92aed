#include "src/process/state/entry_list.h"

#include <algorithm>

#include "src/request/request_id.h"

namespace celerypost {

EntryList::EntryList(EntryListOptions options,
                     const Membership& membership,
                     const ConfigState& config)
    : options(options), membership(membership), config(config) {}

EntryAnswer EntryList::ForCaller(const ServiceName& service,
                                 const ZoneName& zone,
                                 std::chrono::milliseconds issued_at) {
  EntryAnswer answer;
  answer.max_age = this->options.max_age;
  const std::string key = std::string(kSlotsPrefix) + service.value();
  if (const uint64_t version = this->config.NumberOf(key); version > 0) {
    answer.request_id_prefix = RequestId::Prefix(version, issued_at);
  }
  const ZoneMap zones =
      this->config.Current().KnownZones(this->membership.Zones());
  const auto own_zone = zones.find(zone);
  std::vector<std::string> groups[3];
  for (const Member* entry :
       this->membership.Live(Role::kEntry, ServiceName())) {
    if (!this->config.Current().ZoneIsIn(entry->zone) ||
        entry->http_address.empty()) {
      continue;
    }
    size_t distance = 2;
    if (entry->zone == zone) {
      distance = 0;
    } else if (own_zone != zones.end() && own_zone->second == entry->region) {
      distance = 1;
    }
    groups[distance].push_back(entry->http_address);
  }
  const uint64_t rotation = this->answer_count++;
  for (std::vector<std::string>& group : groups) {
    if (!group.empty()) {
      std::rotate(
          group.begin(),
          group.begin() + static_cast<std::ptrdiff_t>(rotation % group.size()),
          group.end());
    }
    for (std::string& address : group) {
      if (answer.addresses.size() < this->options.addresses) {
        answer.addresses.push_back(std::move(address));
      }
    }
  }
  return answer;
}

}  // namespace celerypost
