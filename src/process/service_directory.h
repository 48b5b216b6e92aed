#ifndef SRC_PROCESS_SERVICE_DIRECTORY_H_
#define SRC_PROCESS_SERVICE_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/process/gossip_task.h"
#include "src/process/peer_transport.h"
#include "src/request/router.h"
#include "src/request/slot_table.h"
#include "src/version/manifest.h"

namespace celerypost {

struct ServiceDirectoryOptions {
  InstanceId self;
  ZoneName zone;
  RegionName region;
  // Targets that one entry uses per service and zone.
  size_t targets_per_zone = 24;
};

// What an entry knows of one service.
struct ServiceView {
  ManifestService service;
  std::unique_ptr<Router> router;
  // Absent until the first table is written; plain services only.
  std::optional<SlotTable> slots;
  // The table before; its owners may still hold ids of earlier versions.
  std::optional<SlotTable> former_slots;
  // Targets that the router holds.
  std::set<InstanceId> targets;
};

// The services of the configuration in force, with a router for each. Targets
// are live agents in zones that are in, and, of engines, those that serve a
// verified weight set.
class ServiceDirectory {
 public:
  ServiceDirectory(ServiceDirectoryOptions options,
                   const GossipTask& gossip,
                   Random& random);

  // To be called when a document was taken.
  void OnDocument(const VersionedDocument& document);
  // To be called when the member table changed.
  void OnMembersChanged();

  // Returns null for a service that the manifest does not name.
  ServiceView* Find(const ServiceName& service);
  const std::map<ServiceName, ServiceView>& services() const {
    return this->views;
  }

  // Agents that this entry should be connected to.
  std::vector<PeerTarget> WantedTargets() const;

 private:
  void ReadManifest();
  void ReadSlots(ServiceView& view);
  void RefreshTargets(ServiceView& view);

  const ServiceDirectoryOptions options;
  const GossipTask& gossip;
  Random& random;
  std::map<ServiceName, ServiceView> views;
};

// Returns whether agents in `zone` may get new work of `service`.
bool IsPlacedIn(const ManifestService& service, const ZoneName& zone);

// Parses the manifest of `document`. Fails with kNotFound when there is none.
Result<Manifest> ManifestOf(const ConfigDocument& document);

}  // namespace celerypost

#endif  // SRC_PROCESS_SERVICE_DIRECTORY_H_
