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
  // Greatest number of targets that one entry uses per service and zone.
  size_t targets_per_zone = 24;
};

// An entry's state of one service.
struct ServiceView {
  ManifestService service;
  std::unique_ptr<Router> router;
  // Absent until the first table is written, and for engines.
  std::optional<SlotTable> slots;
  // The previous table; its owners may still hold records of requests whose ids
  // were issued under it.
  std::optional<SlotTable> previous_slots;
  // Targets that `router` holds.
  std::set<InstanceId> targets;
};

// The services of the configuration in force, with a router for each. Targets
// are live agents in zones that are in. Agents of engines must also serve a
// verified weight set.
class ServiceDirectory {
 public:
  ServiceDirectory(ServiceDirectoryOptions options,
                   const GossipTask& gossip,
                   Random& random);

  // Must be called for each newly accepted document.
  void OnDocument(const VersionedDocument& document);
  // Must be called when the member table has changed.
  void OnMembersChanged();

  // Returns null when the manifest does not contain `service`.
  ServiceView* Find(const ServiceName& service);
  const std::map<ServiceName, ServiceView>& services() const {
    return this->views;
  }

  // Returns the agents that this entry needs connections to: the targets of all
  // routers and the owners of slots.
  std::vector<PeerEndpoint> WantedTargets() const;

 private:
  void ReadManifest();
  void ReadSlots(ServiceView& view);
  void RefreshTargets(ServiceView& view);

  const ServiceDirectoryOptions options;
  const GossipTask& gossip;
  Random& random;
  std::map<ServiceName, ServiceView> views;
};

// Returns whether the manifest places `service` in `zone`, so that agents there
// may get new work.
bool IsPlacedIn(const ManifestService& service, const ZoneName& zone);

// Parses the manifest of `document`. Fails with kNotFound when it has none.
Result<Manifest> ManifestOf(const ConfigDocument& document);

}  // namespace celerypost

#endif  // SRC_PROCESS_SERVICE_DIRECTORY_H_
