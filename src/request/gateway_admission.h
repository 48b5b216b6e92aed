#ifndef SRC_REQUEST_GATEWAY_ADMISSION_H_
#define SRC_REQUEST_GATEWAY_ADMISSION_H_

#include <chrono>
#include <optional>
#include <vector>

#include "celerypost/types.h"
#include "src/request/gateway_config.h"
#include "src/request/late_responses.h"
#include "src/request/placement.h"
#include "src/request/prediction_error.h"
#include "src/request/rank_admission.h"
#include "src/request/size_balance.h"

namespace celerypost {

// The request of one decision. The pointers are valid during the call only.
struct AdmissionRequest {
  // LateResponses may be used.
  bool allows_late = true;
  ServiceName service;
  const Route* route = nullptr;
  // Null for routes without API keys.
  const Workspace* workspace = nullptr;
  PlacementRequest placement;
  // Time that the caller says it has left, which may be longer than
  // PlacementRequest::deadline_left; absent if it does not say.
  std::optional<std::chrono::milliseconds> caller_time_left;
  // Expected number of requests that other gateways have sent to a target since
  // their last reports.
  double unseen_requests = 0;
  // The reports of the other gateways miss so few requests that predictions
  // need no allowance.
  bool reports_complete = false;
  // The request has not been sent to a target. Later placements repair what a
  // target has failed to do, so they do not count as demand.
  bool first_send = true;
  // Its last placement was a late one (AdmissionDecision::late).
  bool late = false;
  // The configuration gives requests to the service different priorities.
  bool ranks_differ = false;
};

struct AdmissionDecision {
  Placement placement;
  // Position in the target's queue, from 0 for first to 9; absent for the
  // target's default.
  std::optional<int> urgency;
  // For the log: PlacementRequest::size_lean and ::allowance.
  SizeLean size_lean;
  std::chrono::milliseconds allowance{0};
  // Absent where all requests of the service have one rank.
  std::optional<RankRuling> rank;
  // Placed by LateAdmission, or refused after it had placed it before.
  bool late = false;
  // Time since the caller first attempted the request, at any gateway.
  std::chrono::milliseconds age{0};
};

// Decides whether a gateway sends a request to one of the eligible targets or
// refuses it: joins the placement policy with the rules that decide who is
// served first when there is too little room. Each gateway has its own object.
// Performs no I/O.
class GatewayAdmission {
 public:
  // Without `late_responses`, requests that cannot be on time are refused.
  GatewayAdmission(PlacementPolicy& policy,
                   SizeBalance& sizes,
                   const PredictionErrors& errors,
                   RankAdmission& ranks,
                   LateResponses* late_responses = nullptr)
      : policy(policy),
        sizes(sizes),
        errors(errors),
        ranks(ranks),
        late_responses(late_responses) {}

  // `rates` is null for services without an engine.
  AdmissionDecision Decide(const EngineRates* rates,
                           const std::vector<PlacementCandidate>& candidates,
                           const AdmissionRequest& request,
                           TimePoint now);

 private:
  PlacementPolicy& policy;
  SizeBalance& sizes;
  const PredictionErrors& errors;
  RankAdmission& ranks;
  // Null if no request is placed that cannot be on time.
  LateResponses* late_responses;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_GATEWAY_ADMISSION_H_
