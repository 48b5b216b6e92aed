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
  if (!request.first_send || request.placement.prompt_tokens <= 0) {
    decision.placement =
        this->policy.Place(rates, candidates, request.placement);
    return decision;
  }
  PlacementRequest balanced = request.placement;
  balanced.compared = CandidatesToCompare(request.unseen_requests);
  balanced.allowance = decision.allowance =
      this->errors.AllowanceOf(request.service);
  balanced.size_lean = decision.size_lean =
      this->sizes.LeanOf(request.service, request.route->name);
  decision.placement = this->policy.Place(rates, candidates, balanced);
  if (decision.placement.room_tokens) {
    this->sizes.OnDecision(request.service, request.route->name,
                           balanced.prompt_tokens,
                           *decision.placement.room_tokens, now);
  }
  return decision;
}

}  // namespace celerypost
