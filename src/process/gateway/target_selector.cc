#include "src/process/gateway/target_selector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Retry-After when nothing can serve the request: about the time in which a
// registration or new weights arrive.
constexpr milliseconds kNoTargetRetry{1000};

}  // namespace

TargetSelector::TargetSelector(const ClusterView& view,
                               const TargetTracker& book,
                               PlacementPolicy& policy,
                               TargetSelectorOptions options)
    : view(view), book(book), policy(policy), options(std::move(options)) {}

void TargetSelector::OnStagerReport(const std::string& target_address,
                                    StagerReport report) {
  this->stager_reports[target_address] = report;
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
  const int64_t due = weights->NamedBy(now - this->options.version_bound +
                                       this->options.version_margin);
  return due > 0 ? std::optional(due) : std::nullopt;
}

const StagerReport* TargetSelector::FreshReport(
    const TargetRegistration& target,
    TimePoint now) const {
  const auto found = this->stager_reports.find(target.address.ToString());
  return found != this->stager_reports.end() &&
                 now - found->second.at <= this->options.report_lifetime
             ? &found->second
             : nullptr;
}

int64_t TargetSelector::ServedVersion(const TargetRegistration& target,
                                      const ServiceConfig& service,
                                      TimePoint now) const {
  if (const StagerReport* const report = this->FreshReport(target, now)) {
    return report->loading ? 0 : report->serving_version;
  }
  for (const HeldModel& model : target.models) {
    const bool whole =
        !model.end_layer ||
        (model.first_layer == 0 && *model.end_layer >= service.engine->layers);
    if (model.name == service.engine->model && whole) {
      return model.version;
    }
  }
  return 0;
}

std::string_view TargetSelector::Exclusion(const KnownTarget& target,
                                           const SelectionRequest& request,
                                           const ServiceConfig& service,
                                           std::optional<int64_t> version_floor,
                                           TimePoint now) const {
  const TargetRegistration& entry = target.entry;
  if (entry.draining || (target.usable_until && now >= *target.usable_until)) {
    return "leaving";
  }
  if (this->view.ZoneIsOut(entry.zone)) {
    return "zone out";
  }
  if (!this->RegionAllowed(this->RegionOf(entry.zone), request)) {
    return "region not allowed";
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
  }
  if (service.cold_rate > 0) {
    // Any target may be cold without notice, so the bound always holds; each
    // gateway takes its part of it.
    const double bound = service.cold_rate * this->options.cold_factor +
                         this->options.cold_slack - 1;
    const auto part = static_cast<size_t>(std::max(
        1.0, bound / static_cast<double>(std::max<size_t>(1, this->gateways))));
    if (this->book.SentInLastSecond(entry.id, now) >= part) {
      return "cold bound";
    }
  }
  return {};
}

Selection TargetSelector::Select(const SelectionRequest& request,
                                 TimePoint now) {
  Selection selection;
  const auto& config = this->view.config();
  const auto service = config->services.find(request.service);
  if (service == config->services.end()) {
    selection.reason = "service unknown";
    selection.retry_after = kNoTargetRetry;
    return selection;
  }
  const EngineRates* const rates =
      service->second.engine ? &*service->second.engine : nullptr;
  const auto floor = rates != nullptr ? this->VersionFloor(service->second, now)
                                      : std::nullopt;
  std::vector<PlacementCandidate> candidates;
  std::vector<const KnownTarget*> entries;
  selection.reason = "no target registered";
  for (const auto& [id, target] : this->view.targets()) {
    if (target.entry.service != request.service) {
      continue;
    }
    const auto exclusion =
        this->Exclusion(target, request, service->second, floor, now);
    if (!exclusion.empty()) {
      selection.reason = exclusion;
      continue;
    }
    PlacementCandidate candidate;
    candidate.target = id;
    candidate.load = this->book.LoadOf(id, now);
    candidate.slots = target.entry.slots;
    candidate.same_zone = target.entry.zone == this->options.zone;
    candidate.same_region =
        this->RegionOf(target.entry.zone) == this->options.region;
    candidate.failure_share = this->book.FailureShare(id);
    const StagerReport* const report = this->FreshReport(target.entry, now);
    if (report != nullptr && report->loads_at) {
      candidate.reload_in =
          std::chrono::duration_cast<milliseconds>(*report->loads_at - now);
    }
    candidates.push_back(std::move(candidate));
    entries.push_back(&target);
  }
  selection.candidates = candidates.size();
  if (candidates.empty()) {
    selection.retry_after = kNoTargetRetry;
    return selection;
  }
  const Placement placement =
      this->policy.Place(rates, candidates, request.work);
  selection.predicted = placement.predicted;
  if (!placement.candidate) {
    selection.reason = "no target would be on time";
    selection.retry_after = placement.retry_after;
    return selection;
  }
  const KnownTarget& chosen = *entries[*placement.candidate];
  selection.target = chosen.entry;
  selection.load = candidates[*placement.candidate].load;
  selection.entry_age =
      std::chrono::duration_cast<milliseconds>(now - chosen.read_at);
  selection.version = floor;
  const KnownWeights* const weights =
      rates != nullptr ? this->view.Weights(rates->model) : nullptr;
  if (weights != nullptr) {
    const auto superseded = weights->FirstNamedAbove(
        this->ServedVersion(chosen.entry, service->second, now));
    if (superseded) {
      selection.must_begin_by = *superseded + this->options.version_bound -
                                this->options.begin_margin;
    }
  }
  selection.reason = {};
  return selection;
}

}  // namespace celerypost
