#ifndef SRC_REQUEST_GATEWAY_ADMISSION_H_
#define SRC_REQUEST_GATEWAY_ADMISSION_H_

#include <optional>
#include <vector>

#include "celerypost/types.h"
#include "src/request/gateway_config.h"
#include "src/request/placement.h"
#include "src/request/size_balance.h"

namespace celerypost {

// The request of one decision. The pointers are valid during the call only.
struct AdmissionRequest {
  ServiceName service;
  const Route* route = nullptr;
  // Null for routes without API keys.
  const Workspace* workspace = nullptr;
  PlacementRequest placement;
  // The request has not been sent to a target. Later placements repair what a
  // target has failed to do, so they do not count as demand.
  bool first_send = true;
};

struct AdmissionDecision {
  Placement placement;
  // Position in the target's queue, from 0 for first to 9; absent for the
  // target's default.
  std::optional<int> urgency;
  // For the log.
  SizeLean size_lean;
};

// Decides whether a gateway sends a request to one of the eligible targets or
// refuses it: joins the placement policy with the rules that decide who is
// served first when there is too little room. Each gateway has its own object.
// Performs no I/O.
class GatewayAdmission {
 public:
  GatewayAdmission(PlacementPolicy& policy, SizeBalance& sizes)
      : policy(policy), sizes(sizes) {}

  // `rates` is null for services without an engine.
  AdmissionDecision Decide(const EngineRates* rates,
                           const std::vector<PlacementCandidate>& candidates,
                           const AdmissionRequest& request,
                           TimePoint now);

 private:
  PlacementPolicy& policy;
  SizeBalance& sizes;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_GATEWAY_ADMISSION_H_
