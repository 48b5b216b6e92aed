#include "src/request/gateway_admission.h"

namespace celerypost {

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
