#include "src/process/gateway/target_selector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Retry-After when no target can serve the request: about the time until a
// target registers or has loaded new weights.
constexpr milliseconds kNoTargetRetryAfter{1000};

constexpr std::string_view kLeaving = "leaving";
constexpr std::string_view kSaidItLeaves = "leaving by its own word";
constexpr std::string_view kZoneOut = "zone out";
constexpr std::string_view kRegionNotAllowed = "region not allowed";
constexpr std::string_view kDeclines = "declines requests";

// Whether a target that is excluded for this reason will hardly take the caller
// when it comes back.
bool IsLasting(std::string_view reason) {
  return reason == kLeaving || reason == kSaidItLeaves || reason == kZoneOut ||
         reason == kRegionNotAllowed;
}

// Whether requests to `service` can have different priorities.
bool HasDifferentRanks(const GatewayConfig& config,
                       const ServiceName& service) {
  for (const Workspace& workspace : config.workspaces) {
    if (workspace.priority != config.workspaces.front().priority) {
      return true;
    }
  }
  std::set<int> priorities;
  for (const auto& [host, routes] : config.routes) {
    for (const Route& route : routes) {
      for (const RouteBackend& backend : route.backends) {
        if (backend.service == service) {
          priorities.insert(route.priority);
        }
      }
    }
  }
  return priorities.size() > 1;
}

}  // namespace

TargetSelector::TargetSelector(const ClusterView& view,
                               const TargetTracker& book,
                               const TargetNotices& notices,
                               TargetPace& paces,
                               GatewayAdmission& admission,
                               Random& random,
                               TargetSelectorOptions options)
    : view(view),
      book(book),
      notices(notices),
      paces(paces),
      admission(admission),
      random(random),
      options(std::move(options)),
      cold_shares({}, this->options.self_ip) {
  this->cold_shares.SetGateways(
      {{this->options.self_ip, this->options.region}});
}

void TargetSelector::OnStagerReport(const std::string& target_address,
                                    StagerReport report) {
  this->paces.OnReport(target_address, report.pace, report.received_at);
  this->stager_reports[target_address] = report;
}

void TargetSelector::SetGateways(std::vector<GatewayMember> gateways) {
  this->gateways = std::max<size_t>(1, gateways.size());
  this->near_gateways = static_cast<size_t>(std::count_if(
      gateways.begin(), gateways.end(), [this](const GatewayMember& member) {
        return member.region == this->options.region;
      }));
  this->cold_shares.SetGateways(std::move(gateways));
}

double TargetSelector::UnseenRequests(
    const std::vector<PlacementCandidate>& candidates,
    TimePoint now) const {
  if (this->ReportsComplete()) {
    return 0;
  }
  size_t sent = 0;
  for (const PlacementCandidate& candidate : candidates) {
    sent += this->book.SentInLastSecond(candidate.target, now);
  }
  const double per_target_and_second =
      static_cast<double>(sent * (this->gateways - 1)) /
      static_cast<double>(std::max<size_t>(1, candidates.size()));
  return per_target_and_second *
         std::chrono::duration<double>(this->report_period).count();
}

bool TargetSelector::RanksDiffer(const ServiceName& service) {
  if (this->ranks_config != this->view.config()) {
    this->ranks_config = this->view.config();
    this->ranks_differ.clear();
  }
  const auto [found, is_new] = this->ranks_differ.try_emplace(service, false);
  if (is_new) {
    found->second = HasDifferentRanks(*this->ranks_config, service);
  }
  return found->second;
}

RegionName TargetSelector::RegionOf(const ZoneName& zone) const {
  const auto found = this->options.regions_of_zones.find(zone);
  return found == this->options.regions_of_zones.end() ? RegionName()
                                                       : found->second;
}

bool TargetSelector::RegionAllowed(const RegionName& region,
                                   const SelectionRequest& request) const {
  const auto allows = [&](const std::vector<RegionName>& regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  return allows(request.route->allowed_regions) &&
         (request.workspace == nullptr ||
          allows(request.workspace->allowed_regions));
}

std::optional<int64_t> TargetSelector::VersionFloor(
    const ServiceConfig& service,
    TimePoint now) const {
  const KnownWeights* const weights = this->view.Weights(service.engine->model);
  if (weights == nullptr) {
    return std::nullopt;
  }
  const int64_t due_version = weights->NewestNamedAt(
      now - this->options.version_bound + this->options.version_margin);
  return due_version > 0 ? std::optional(due_version) : std::nullopt;
}

const StagerReport* TargetSelector::FreshReport(
    const TargetRegistration& target,
    TimePoint now) const {
  const auto found = this->stager_reports.find(target.address.ToString());
  return found != this->stager_reports.end() &&
                 now - found->second.received_at <=
                     this->options.report_lifetime
             ? &found->second
             : nullptr;
}

bool TargetSelector::ReloadsNow(const TargetRegistration& target,
                                TimePoint now) const {
  const StagerReport* const report = this->FreshReport(target, now);
  return report != nullptr && report->loads_at &&
         now >= *report->loads_at - this->options.reload_lead &&
         now <= *report->loads_at + this->options.reload_overdue;
}

int64_t TargetSelector::ServedVersion(const TargetRegistration& target,
                                      const ServiceConfig& service,
                                      TimePoint now) const {
  if (const StagerReport* const report = this->FreshReport(target, now)) {
    return report->loading ? 0 : report->serving_version;
  }
  // Whether weights that were held back or being loaded are sound is known to
  // the stager alone.
  const auto last = this->stager_reports.find(target.address.ToString());
  if (last != this->stager_reports.end() &&
      (last->second.loading || last->second.serving_version == 0)) {
    return 0;
  }
  for (const HeldModel& model : target.models) {
    const bool complete =
        !model.end_layer ||
        (model.first_layer == 0 && *model.end_layer >= service.engine->layers);
    if (model.name == service.engine->model && complete) {
      return model.version;
    }
  }
  return 0;
}

std::string_view TargetSelector::ExclusionReason(
    const KnownTarget& target,
    const SelectionRequest& request,
    const ServiceConfig& service,
    std::optional<int64_t> version_floor,
    TimePoint now) {
  const TargetRegistration& entry = target.entry;
  const TargetStartHash start = HashTargetStart(entry);
  if (entry.draining || (target.usable_until && now >= *target.usable_until)) {
    return kLeaving;
  }
  const StagerReport* const report = this->FreshReport(entry, now);
  if (this->notices.Leaves(start) || (report != nullptr && report->leaving)) {
    return kSaidItLeaves;
  }
  if (this->view.ZoneIsOut(entry.zone)) {
    return kZoneOut;
  }
  if (!this->RegionAllowed(this->RegionOf(entry.zone), request)) {
    return kRegionNotAllowed;
  }
  if (this->notices.DeclinesUntil(start, now)) {
    return kDeclines;
  }
  if (request.tried.contains(entry.id)) {
    return "tried";
  }
  if (this->book.Avoided(entry.id, now)) {
    return "avoided";
  }
  if (service.engine && service.engine->layers > 0) {
    const int64_t served = this->ServedVersion(entry, service, now);
    if (served == 0) {
      return "without weights";
    }
    if (version_floor && served < *version_floor) {
      return "old weights";
    }
    if (this->ReloadsNow(entry, now)) {
      return "loading weights";
    }
  }
  if (service.cold_rate > 0) {
    // A target may become cold without notice, so the rate limit of cold
    // targets always applies, divided among the gateways.
    const double fleet_limit = service.cold_rate * this->options.cold_factor +
                               this->options.cold_slack - 1;
    if (this->book.SentInLastSecond(entry.id, now) >=
        this->cold_shares.ShareOf(entry.id, this->RegionOf(entry.zone),
                                  fleet_limit)) {
      return "cold bound";
    }
  }
  return {};
}

milliseconds TargetSelector::RetryAfter(TimePoint until, TimePoint now) {
  const auto left = std::chrono::ceil<milliseconds>(until - now);
  const auto spread = std::max(this->options.min_return_spread,
                               std::chrono::duration_cast<milliseconds>(
                                   left * this->options.return_spread));
  return left + milliseconds(this->random.Below(
                    static_cast<uint64_t>(spread.count()) + 1));
}

std::optional<TimePoint> TargetSelector::MustBeginBy(
    const TargetRegistration& target,
    TimePoint now) const {
  const auto& services = this->view.config()->services;
  const auto service = services.find(target.service);
  if (service == services.end() || !service->second.engine) {
    return std::nullopt;
  }
  const KnownWeights* const weights =
      this->view.Weights(service->second.engine->model);
  const int64_t served = this->ServedVersion(target, service->second, now);
  if (weights == nullptr || served == 0) {
    return std::nullopt;
  }
  auto superseded_at = weights->FirstNamedAbove(served);
  if (superseded_at) {
    *superseded_at += this->options.version_bound - this->options.begin_margin;
  }
  return superseded_at;
}

Selection TargetSelector::Select(const SelectionRequest& request,
                                 TimePoint now) {
  Selection selection;
  const auto& config = this->view.config();
  const auto service = config->services.find(request.service);
  if (service == config->services.end()) {
    selection.reason = "service unknown";
    selection.retry_after = kNoTargetRetryAfter;
    return selection;
  }
  const EngineRates* const rates =
      service->second.engine ? &*service->second.engine : nullptr;
  const auto version_floor = rates != nullptr
                                 ? this->VersionFloor(service->second, now)
                                 : std::nullopt;
  std::vector<PlacementCandidate> candidates;
  std::vector<const KnownTarget*> candidate_targets;
  selection.reason = "no target registered";
  std::optional<TimePoint> first_return;
  bool all_decline = true;
  for (const auto& [id, target] : this->view.targets()) {
    if (target.entry.service != request.service) {
      continue;
    }
    const auto exclusion_reason = this->ExclusionReason(
        target, request, service->second, version_floor, now);
    if (!exclusion_reason.empty()) {
      selection.reason = exclusion_reason;
      if (exclusion_reason == kDeclines) {
        const auto until =
            this->notices.DeclinesUntil(HashTargetStart(target.entry), now);
        first_return = std::min(first_return.value_or(*until), *until);
      } else {
        all_decline = all_decline && IsLasting(exclusion_reason);
      }
      continue;
    }
    PlacementCandidate candidate;
    candidate.target = id;
    candidate.load = this->book.LoadOf(id, now);
    candidate.load.slowdown = this->paces.PaceOf(
        target.entry.address.ToString(), HashTargetStart(target.entry), now);
    candidate.slots = target.entry.slots;
    candidate.same_zone = target.entry.zone == this->options.zone;
    candidate.same_region =
        this->RegionOf(target.entry.zone) == this->options.region;
    candidate.failure_share = this->book.FailureShare(id);
    if (target.removed_at) {
      candidate.unregistered_for = now - *target.removed_at;
    }
    const StagerReport* const report = this->FreshReport(target.entry, now);
    if (report != nullptr && report->loads_at) {
      candidate.reload_in =
          std::chrono::duration_cast<milliseconds>(*report->loads_at - now);
    }
    candidates.push_back(std::move(candidate));
    candidate_targets.push_back(&target);
  }
  selection.candidates = candidates.size();
  if (candidates.empty()) {
    selection.retry_after = kNoTargetRetryAfter;
    if (first_return) {
      const milliseconds return_in = this->RetryAfter(*first_return, now);
      selection.reason = kDeclines;
      selection.retry_after =
          all_decline ? return_in : std::min(return_in, kNoTargetRetryAfter);
    }
    return selection;
  }
  AdmissionRequest admission_request;
  admission_request.service = request.service;
  admission_request.route = request.route;
  admission_request.workspace = request.workspace;
  admission_request.placement = request.placement;
  admission_request.first_send = request.tried.empty();
  admission_request.caller_time_left = request.caller_time_left;
  admission_request.late = request.late;
  admission_request.ranks_differ = this->RanksDiffer(request.service);
  admission_request.reports_complete = this->ReportsComplete();
  admission_request.allows_late =
      admission_request.ranks_differ || this->options.late_admission;
  admission_request.unseen_requests = selection.unseen_requests =
      this->UnseenRequests(candidates, now);
  const AdmissionDecision decision =
      this->admission.Decide(rates, candidates, admission_request, now);
  const Placement& placement = decision.placement;
  selection.urgency = decision.urgency;
  selection.size_lean = decision.size_lean;
  selection.allowance = decision.allowance;
  selection.rank = decision.rank;
  selection.late = decision.late;
  selection.age = decision.age;
  selection.predicted = placement.predicted;
  if (!placement.candidate) {
    selection.reason = "no target would be on time";
    selection.retry_after = placement.retry_after;
    return selection;
  }
  const KnownTarget& chosen = *candidate_targets[*placement.candidate];
  selection.target = chosen.entry;
  selection.load = candidates[*placement.candidate].load;
  selection.entry_age =
      std::chrono::duration_cast<milliseconds>(now - chosen.read_at);
  selection.unregistered_for = std::chrono::duration_cast<milliseconds>(
      candidates[*placement.candidate].unregistered_for);
  if (version_floor) {
    selection.required_version =
        this->ServedVersion(chosen.entry, service->second, now);
  }
  selection.must_begin_by = this->MustBeginBy(chosen.entry, now);
  selection.reason = {};
  return selection;
}

}  // namespace celerypost
