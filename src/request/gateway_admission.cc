#include "src/request/gateway_admission.h"

#include <algorithm>
#include <cmath>

namespace celerypost {

namespace {

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

}  // namespace

AdmissionDecision GatewayAdmission::Decide(
    const EngineRates* rates,
    const std::vector<PlacementCandidate>& candidates,
    const AdmissionRequest& request,
    TimePoint now) {
  AdmissionDecision decision;
  LateResponses* const late = rates != nullptr ? this->late_responses : nullptr;
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
  if (!request.first_send || request.placement.prompt_tokens <= 0) {
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
  balanced.allowance = decision.allowance =
      this->errors.AllowanceOf(request.service);
  balanced.size_lean = decision.size_lean =
      this->sizes.LeanOf(request.service, request.route->name);
  decision.placement = this->policy.Place(rates, candidates, balanced);
  // What a returning request finds says nothing of new ones.
  if (decision.placement.room_tokens && caller.age.count() == 0) {
    this->sizes.OnDecision(request.service, request.route->name,
                           balanced.prompt_tokens,
                           *decision.placement.room_tokens, now);
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
