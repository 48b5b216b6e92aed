#include "src/process/service_directory.h"

#include <algorithm>
#include <utility>

#include "src/process/state/rendezvous.h"

namespace celerypost {

bool IsPlacedIn(const ManifestService& service, const ZoneName& zone) {
  return std::find(service.zones.begin(), service.zones.end(), zone) !=
         service.zones.end();
}

Result<Manifest> ManifestOf(const ConfigDocument& document) {
  if (document.manifest.is_null()) {
    return NotRun(ErrorCode::kNotFound, "no manifest was committed yet");
  }
  // The manifest was validated against the zones known when it was committed.
  // Zones are never removed from the configuration, so they are still known.
  std::set<ZoneName> zones;
  for (const auto& [name, zone] : document.zones) {
    zones.insert(name);
  }
  return Manifest::Parse(document.manifest.dump(), zones);
}

ServiceDirectory::ServiceDirectory(ServiceDirectoryOptions options,
                                   const GossipTask& gossip,
                                   Random& random)
    : options(std::move(options)), gossip(gossip), random(random) {}

void ServiceDirectory::OnDocument(const VersionedDocument& document) {
  if (document.key == kConfigKey) {
    this->ReadManifest();
    return;
  }
  if (document.key.starts_with(kSlotsPrefix)) {
    ServiceView* view =
        this->Find(ServiceName(document.key.substr(kSlotsPrefix.size())));
    if (view != nullptr) {
      this->ReadSlots(*view);
    }
  }
}

void ServiceDirectory::ReadManifest() {
  const auto manifest = ManifestOf(this->gossip.config().Current());
  if (!manifest) {
    return;
  }
  std::erase_if(this->views, [&manifest](const auto& item) {
    return manifest->Find(item.first) == nullptr;
  });
  for (const ManifestService& service : manifest->services) {
    ServiceView& view = this->views[service.name];
    view.service = service;
    if (!view.router) {
      RouterOptions router_options;
      router_options.zone = this->options.zone;
      router_options.region = this->options.region;
      view.router = std::make_unique<Router>(router_options, this->random);
    }
    this->ReadSlots(view);
    this->RefreshTargets(view);
  }
}

void ServiceDirectory::ReadSlots(ServiceView& view) {
  const auto* document = this->gossip.config().Find(std::string(kSlotsPrefix) +
                                                    view.service.name.value());
  if (document == nullptr) {
    return;
  }
  if (auto table = SlotTable::Parse(document->bytes)) {
    if (view.slots && view.slots->version < table->version) {
      view.previous_slots = view.slots;
    }
    view.slots = *table;
  }
}

void ServiceDirectory::OnMembersChanged() {
  for (auto& [name, view] : this->views) {
    this->RefreshTargets(view);
  }
}

void ServiceDirectory::RefreshTargets(ServiceView& view) {
  const ConfigDocument& config = this->gossip.config().Current();
  std::map<ZoneName, std::vector<InstanceId>> by_zone;
  for (const Member* member :
       this->gossip.membership().Live(Role::kAgent, view.service.name)) {
    const bool serves =
        view.service.kind == ServiceKind::kPlain || !member->serving.empty();
    if (serves && config.ZoneIsIn(member->zone) &&
        IsPlacedIn(view.service, member->zone)) {
      by_zone[member->zone].push_back(member->instance);
    }
  }
  std::set<InstanceId> targets;
  for (auto& [zone, members] : by_zone) {
    for (const InstanceId instance :
         RendezvousSelect(std::to_string(this->options.self.value),
                          std::move(members), this->options.targets_per_zone)) {
      const Member* member = this->gossip.membership().Find(instance);
      TargetState state;
      state.instance = member->instance;
      state.zone = member->zone;
      state.region = member->region;
      state.limit =
          member->warm ? view.service.limits.full : view.service.limits.cold;
      state.cold = !member->warm;
      view.router->UpdateTarget(state);
      targets.insert(member->instance);
    }
  }
  for (const InstanceId instance : view.targets) {
    if (!targets.contains(instance)) {
      view.router->RemoveTarget(instance);
    }
  }
  view.targets = std::move(targets);
}

ServiceView* ServiceDirectory::Find(const ServiceName& service) {
  const auto it = this->views.find(service);
  return it == this->views.end() ? nullptr : &it->second;
}

std::vector<PeerEndpoint> ServiceDirectory::WantedTargets() const {
  std::set<InstanceId> instances;
  for (const auto& [name, view] : this->views) {
    instances.insert(view.targets.begin(), view.targets.end());
    if (view.slots) {
      for (const SlotOwner& slot : view.slots->slots) {
        instances.insert(slot.owner);
      }
    }
  }
  std::vector<PeerEndpoint> wanted;
  for (const InstanceId instance : instances) {
    const Member* member = this->gossip.membership().Find(instance);
    if (member != nullptr && member->state != MemberState::kDead) {
      wanted.push_back({instance, member->address});
    }
  }
  return wanted;
}

}  // namespace celerypost
