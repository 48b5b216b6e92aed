#include "src/request/router.h"

#include <algorithm>
#include <utility>

namespace celerypost {

Router::Router(RouterOptions options, Random& random)
    : Router(options, random, MakeAffinityStrategy(options.affinity)) {}

Router::Router(RouterOptions options,
               Random& random,
               std::unique_ptr<RoutingStrategy> strategy)
    : stopped_backoff(options.stopped_backoff),
      random(random),
      strategy(std::move(strategy)),
      targets(std::move(options.zone), std::move(options.region)) {}

void Router::UpdateTarget(const TargetState& state) {
  this->targets.Update(state);
}

void Router::RemoveTarget(InstanceId instance) {
  this->targets.Remove(instance);
}

Result<InstanceId> Router::Pick(const RouteRequest& request, TimePoint now) {
  auto index =
      this->strategy->Choose(this->targets, request, now, this->random);
  if (!index) {
    RouteRequest any = request;
    any.allow_avoided = true;
    index = this->strategy->Choose(this->targets, any, now, this->random);
  }
  if (!index) {
    return NotRun(ErrorCode::kUnavailable, "no target accepts work");
  }
  return this->targets.at(*index).instance;
}

bool Router::HasTarget(std::span<const InstanceId> exclude,
                       TimePoint now) const {
  for (size_t distance = 0; distance < kDistanceCount; ++distance) {
    for (const uint32_t index :
         this->targets.Group(static_cast<Distance>(distance))) {
      const Target& target = this->targets.at(index);
      if (now >= target.avoided_until &&
          std::find(exclude.begin(), exclude.end(), target.instance) ==
              exclude.end()) {
        return true;
      }
    }
  }
  return false;
}

void Router::OnSent(InstanceId instance) {
  if (const auto index = this->targets.Find(instance)) {
    ++this->targets.at(*index).own_in_flight;
  }
}

void Router::OnFinished(InstanceId instance,
                        const LoadReport& report,
                        TimePoint now) {
  this->OnFailed(instance);
  this->OnLoadReport(instance, report, now);
}

void Router::OnFailed(InstanceId instance) {
  const auto index = this->targets.Find(instance);
  // A target that was removed and added again does not count the requests that
  // were sent before its removal.
  if (index && this->targets.at(*index).own_in_flight > 0) {
    --this->targets.at(*index).own_in_flight;
  }
}

void Router::OnStopped(InstanceId instance, TimePoint now) {
  if (const auto index = this->targets.Find(instance)) {
    this->targets.at(*index).avoided_until = now + this->stopped_backoff;
  }
}

void Router::OnLoadReport(InstanceId instance,
                          const LoadReport& report,
                          TimePoint now) {
  const auto index = this->targets.Find(instance);
  if (!index) {
    return;
  }
  Target& target = this->targets.at(*index);
  const uint32_t total = report.in_flight + report.queued;
  target.others_in_flight = total - std::min(total, target.own_in_flight);
  target.limit = std::max(1u, report.limit);
  target.cold = report.cold;
  target.reported_at = now;
}

size_t Router::InFlight(InstanceId instance) const {
  const auto index = this->targets.Find(instance);
  return index ? this->targets.at(*index).own_in_flight : 0;
}

}  // namespace celerypost
