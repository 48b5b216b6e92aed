#include "src/request/gateway_admission.h"

#include <algorithm>
#include <cmath>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Returns PlacementRequest::compared. Loads that are known exactly are compared
// all. The more requests each report misses, the fewer loads are compared: with
// two, a target is not chosen by many gateways at once, while full ones are
// still avoided.
size_t CandidatesToCompare(double unseen_requests) {
  constexpr double kNegligible = 0.25;
  constexpr double kLeast = 2;
  if (unseen_requests < kNegligible) {
    return 0;
  }
  return static_cast<size_t>(std::max(kLeast, std::round(2 / unseen_requests)));
}

// Returns the allowance that a hold adds: at a hold of 1 only an idle target is
// predicted to be on time.
milliseconds HeldRoom(const RankRuling& ruling,
                      const PlacementRequest& request) {
  return std::chrono::duration_cast<milliseconds>(
      ruling.hold * std::max(milliseconds(0), request.on_time_left));
}

}  // namespace

AdmissionDecision GatewayAdmission::Decide(
    const EngineRates* rates,
    const std::vector<PlacementCandidate>& candidates,
    const AdmissionRequest& request,
    TimePoint now) {
  AdmissionDecision decision;
  // Requests that are sent again or have no known size are placed as they are.
  const bool weighed =
      request.first_send && request.placement.prompt_tokens > 0;
  if (rates != nullptr) {
    decision.rank = this->ranks.RuleOn(request.service, *request.route,
                                       request.workspace, weighed, now);
  }
  if (decision.rank) {
    decision.urgency = decision.rank->level;
  }
  LateResponses* const late =
      rates != nullptr && request.allows_late ? this->late_responses : nullptr;
  const std::chrono::milliseconds time_left =
      request.caller_time_left.value_or(request.placement.deadline_left);
  if (request.late && late != nullptr) {
    decision.late = true;
    decision.urgency = kLateUrgency;
    decision.placement =
        late->PlaceAgain(*rates, candidates, request.service, *request.route,
                         request.placement, time_left, now);
    return decision;
  }
  if (!weighed) {
    decision.placement =
        this->policy.Place(rates, candidates, request.placement);
    return decision;
  }
  PlacementRequest balanced = request.placement;
  LateCaller caller;
  if (late != nullptr) {
    caller = late->OnArrival(request.service, *request.route, time_left,
                             request.ranks_differ, now);
    balanced.on_time_left -= caller.age;
    decision.age = caller.age;
  }
  balanced.compared = CandidatesToCompare(request.unseen_requests);
  if (!request.reports_complete) {
    balanced.allowance = decision.allowance =
        this->errors.AllowanceOf(request.service);
  }
  const milliseconds held = decision.rank
                                ? HeldRoom(*decision.rank, request.placement)
                                : milliseconds(0);
  balanced.allowance += held;
  const int level = decision.rank ? decision.rank->level : 0;
  balanced.size_lean = decision.size_lean =
      this->sizes.LeanOf(request.service, request.route->name, level);
  decision.placement = this->policy.Place(rates, candidates, balanced);
  // What a returning request finds says nothing of new ones.
  if (decision.placement.room_tokens && caller.age.count() == 0) {
    const double held_tokens =
        static_cast<double>(held.count()) * rates->prompt_tokens_per_ms;
    this->sizes.OnDecision(
        request.service, request.route->name, balanced.prompt_tokens,
        *decision.placement.room_tokens - held_tokens, now, level);
  }
  if (decision.rank) {
    this->ranks.OnDecision(request.service, *decision.rank,
                           decision.placement.candidate.has_value(), now);
  }
  if (late != nullptr &&
      late->Review(*rates, candidates, request.service, *request.route,
                   balanced, caller, decision.placement, now)) {
    decision.late = true;
    decision.urgency = kLateUrgency;
  }
  return decision;
}

}  // namespace celerypost
