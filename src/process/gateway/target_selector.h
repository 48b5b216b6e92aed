#ifndef SRC_PROCESS_GATEWAY_TARGET_SELECTOR_H_
#define SRC_PROCESS_GATEWAY_TARGET_SELECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "celerypost/types.h"
#include "src/process/node_settings.h"
#include "src/process/state/cluster_view.h"
#include "src/request/placement.h"
#include "src/request/target_tracker.h"

namespace celerypost {

// What the stager beside a target last said about it.
struct StagerReport {
  int64_t serving_version = 0;
  bool loading = false;
  // When the target is to be ordered to load.
  std::optional<TimePoint> loads_at;
  TimePoint at{};
};

struct SelectionRequest {
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;
  ServiceName service;
  PlacementRequest work;
  // Targets that this request has been sent to.
  std::set<std::string> tried;
};

struct Selection {
  // Nothing when the request is to be refused.
  std::optional<TargetRegistration> target;
  // Weights version that the target must have.
  std::optional<int64_t> version;
  // The target's weights are superseded: a request that has not begun by then
  // must leave it.
  std::optional<TimePoint> must_begin_by;
  // For the log: the load the choice was based on, the age of the target's
  // registration, and how many targets were considered.
  EngineLoad load;
  std::chrono::milliseconds entry_age{0};
  size_t candidates = 0;
  std::chrono::milliseconds predicted{0};
  // When refused: why, and when there should be room.
  std::string_view reason;
  std::chrono::milliseconds retry_after{0};
};

struct TargetSelectorOptions {
  ZoneName zone;
  RegionName region;
  std::map<ZoneName, RegionName> regions_of_zones;
  std::chrono::milliseconds version_bound{8000};
  // Requests move to new weights this long before the bound, since the naming
  // was learned later than it was acknowledged and requests take time to begin.
  std::chrono::milliseconds version_margin{1000};
  // A request that waits at a target leaves it this long before the bound.
  std::chrono::milliseconds begin_margin{500};
  // A stager's report replaces the registration for this long: three beats.
  std::chrono::milliseconds report_lifetime{3500};
  double cold_factor = 1.5;
  double cold_slack = 5;
};

// Chooses the target of one attempt among those that may get it: registered,
// not leaving, in an allowed region and a zone that is in, with whole weights
// of a valid version, and under this gateway's part of the cold bound.
class TargetSelector {
 public:
  TargetSelector(const ClusterView& view,
                 const TargetTracker& book,
                 PlacementPolicy& policy,
                 TargetSelectorOptions options);

  Selection Select(const SelectionRequest& request, TimePoint now);
  void OnStagerReport(const std::string& target_address, StagerReport report);
  // Gateways that may be sending, this one included.
  void SetGateways(size_t count) { this->gateways = count; }

 private:
  // Why a target may not get the request; empty when it may.
  std::string_view Exclusion(const KnownTarget& target,
                             const SelectionRequest& request,
                             const ServiceConfig& service,
                             std::optional<int64_t> version_floor,
                             TimePoint now) const;
  std::optional<int64_t> VersionFloor(const ServiceConfig& service,
                                      TimePoint now) const;
  // What the stager beside `target` said lately; null when it is silent.
  const StagerReport* FreshReport(const TargetRegistration& target,
                                  TimePoint now) const;
  int64_t ServedVersion(const TargetRegistration& target,
                        const ServiceConfig& service,
                        TimePoint now) const;
  bool RegionAllowed(const RegionName& region,
                     const SelectionRequest& request) const;
  RegionName RegionOf(const ZoneName& zone) const;

  const ClusterView& view;
  const TargetTracker& book;
  PlacementPolicy& policy;
  TargetSelectorOptions options;
  std::map<std::string, StagerReport> stager_reports;
  size_t gateways = 1;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_TARGET_SELECTOR_H_
