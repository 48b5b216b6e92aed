#ifndef SRC_PROCESS_GATEWAY_TARGET_SELECTOR_H_
#define SRC_PROCESS_GATEWAY_TARGET_SELECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/process/node_settings.h"
#include "src/process/state/cluster_view.h"
#include "src/request/cold_share.h"
#include "src/request/gateway_admission.h"
#include "src/request/placement.h"
#include "src/request/target_notices.h"
#include "src/request/target_pace.h"
#include "src/request/target_tracker.h"

namespace celerypost {

// The state of a target in the latest beat of its stager, which runs on the
// same VM.
struct StagerReport {
  // Version of the complete weights that the target has loaded, 0 for none.
  int64_t serving_version = 0;
  bool loading = false;
  // When the stager orders the target to load the new weights that it has
  // staged.
  std::optional<TimePoint> loads_at;
  TimePoint received_at{};
  // The target has told its stager that it leaves.
  bool leaving = false;
  // The pace that the target reports to its stager.
  std::optional<double> pace{};
};

struct SelectionRequest {
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;
  ServiceName service;
  PlacementRequest placement;
  // As in AdmissionRequest.
  std::optional<std::chrono::milliseconds> caller_time_left;
  bool late = false;
  // IDs of the targets that this request has already been sent to.
  std::set<std::string> tried;
};

struct Selection {
  // Empty when the request must be refused.
  std::optional<TargetRegistration> target;
  // The weights version that the target serves, when older ones must not answer
  // the request any more. A target with any other version refuses the request.
  std::optional<int64_t> required_version;
  // Set when the target's weights are superseded: a request that has not
  // started to run by then must be moved to another target.
  std::optional<TimePoint> must_begin_by;
  // As in AdmissionDecision.
  std::optional<int> urgency;
  // For the log: the load that the choice was based on, the time since the
  // target's registration was read, PlacementCandidate::unregistered_for, the
  // number of eligible targets, and the predicted time to the first event.
  EngineLoad load;
  std::chrono::milliseconds entry_age{0};
  std::chrono::milliseconds unregistered_for{0};
  size_t candidates = 0;
  std::chrono::milliseconds predicted{0};
  SizeLean size_lean;
  std::chrono::milliseconds allowance{0};
  // As in AdmissionDecision.
  bool late = false;
  std::chrono::milliseconds age{0};
  double unseen_requests = 0;
  std::optional<RankRuling> rank;
  // When refused: why, and when a target should be available.
  std::string_view reason;
  std::chrono::milliseconds retry_after{0};
};

struct TargetSelectorOptions {
  // As GatewayOptions::late_admission.
  bool late_admission = false;
  // With fewer gateways in the region, reports are taken to miss nothing: few
  // requests of others reach the targets that a report shows as idle. With two
  // or three, comparing few targets lost up to 0.06 of the worth of a day.
  size_t many_gateways = 6;
  std::string self_ip;
  ZoneName zone;
  RegionName region;
  std::map<ZoneName, RegionName> regions_of_zones;
  // Longest time from the naming of new weights to the last request on older
  // ones.
  std::chrono::milliseconds version_bound{8000};
  // Requests go only to new weights from this long before the bound on. A
  // gateway learns of a new version later than the operator's change was
  // acknowledged, and requests take time to start running.
  std::chrono::milliseconds version_margin{1000};
  // A request that is queued at a target is moved this long before the bound.
  std::chrono::milliseconds begin_margin{500};
  // A target gets no requests from this long before its order to load, nor
  // after it until the stager reports the target's state or `reload_overdue`
  // has passed: the target refuses what arrives while it loads.
  std::chrono::milliseconds reload_lead{20};
  std::chrono::milliseconds reload_overdue{300};
  // A stager's report takes precedence over the target's registration for this
  // long: three beats of 1 s and a margin. One that held weights back, or told
  // that they were being loaded, holds until the next.
  std::chrono::milliseconds report_lifetime{3500};
  // When all targets decline, callers are told to come back when the first one
  // takes requests again or later by up to this share of the time, or this
  // time if it is longer.
  double return_spread = 0.25;
  std::chrono::milliseconds min_return_spread{200};
  // A cold target's limit in requests per second is its rate times this factor
  // plus the slack.
  double cold_factor = 1.5;
  double cold_slack = 5;
};

// Chooses the target of one attempt among the eligible ones: registered, not
// draining or leaving by its own word, in an allowed region and a zone that
// operators have not taken out, with complete weights of a valid version, and
// under this gateway's share of the rate limit of cold targets.
class TargetSelector {
 public:
  TargetSelector(const ClusterView& view,
                 const TargetTracker& book,
                 const TargetNotices& notices,
                 TargetPace& paces,
                 GatewayAdmission& admission,
                 Random& random,
                 TargetSelectorOptions options);

  // Chooses a target for the next attempt, or gives the reason for a refusal.
  Selection Select(const SelectionRequest& request, TimePoint now);
  // Returns the time by which a request that waits at `target` must have
  // started to run, since its weights are superseded; nothing when they are
  // not, or when it is unknown which weights the target has.
  std::optional<TimePoint> MustBeginBy(const TargetRegistration& target,
                                       TimePoint now) const;
  // Replaces what is known from the stager of the target at `target_address`,
  // "ip:port".
  void OnStagerReport(const std::string& target_address, StagerReport report);
  // Replaces the gateways that may send to the same targets, this one included.
  void SetGateways(std::vector<GatewayMember> gateways);
  // Sets the time between two load reports of a gateway.
  void SetReportPeriod(std::chrono::milliseconds period) {
    this->report_period = period;
  }

 private:
  // Returns why `target` may not get the request; empty when it may.
  std::string_view ExclusionReason(const KnownTarget& target,
                                   const SelectionRequest& request,
                                   const ServiceConfig& service,
                                   std::optional<int64_t> version_floor,
                                   TimePoint now);
  // Returns when callers should come back if a target takes requests again at
  // `until`.
  std::chrono::milliseconds RetryAfter(TimePoint until, TimePoint now);
  // Lowest weights version that may be used; nothing when any may.
  std::optional<int64_t> VersionFloor(const ServiceConfig& service,
                                      TimePoint now) const;
  // The report of the stager of `target`; null when there is none that is
  // younger than `report_lifetime`.
  const StagerReport* FreshReport(const TargetRegistration& target,
                                  TimePoint now) const;
  // Whether the stager of `target` is about to order it to load, or has just
  // done so.
  bool ReloadsNow(const TargetRegistration& target, TimePoint now) const;
  // Version of the complete weights that `target` serves, 0 for none.
  int64_t ServedVersion(const TargetRegistration& target,
                        const ServiceConfig& service,
                        TimePoint now) const;
  bool RegionAllowed(const RegionName& region,
                     const SelectionRequest& request) const;
  RegionName RegionOf(const ZoneName& zone) const;
  // Returns AdmissionRequest::reports_complete.
  bool ReportsComplete() const {
    return this->near_gateways < this->options.many_gateways;
  }
  // Returns AdmissionRequest::unseen_requests if callers spread over the
  // gateways: the others send as many requests to these targets as this one.
  double UnseenRequests(const std::vector<PlacementCandidate>& candidates,
                        TimePoint now) const;
  // Returns AdmissionRequest::ranks_differ by the configuration in force.
  bool RanksDiffer(const ServiceName& service);

  const ClusterView& view;
  const TargetTracker& book;
  const TargetNotices& notices;
  TargetPace& paces;
  GatewayAdmission& admission;
  Random& random;
  TargetSelectorOptions options;
  // By target address, as "ip:port".
  std::map<std::string, StagerReport> stager_reports;
  ColdShares cold_shares;
  // The configuration that `ranks_differ` was found out of.
  std::shared_ptr<const GatewayConfig> ranks_config;
  std::map<ServiceName, bool> ranks_differ;
  size_t gateways = 1;
  // Of these, those of the own region.
  size_t near_gateways = 1;
  std::chrono::milliseconds report_period{0};
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_TARGET_SELECTOR_H_
