#ifndef SRC_REQUEST_PLACEMENT_H_
#define SRC_REQUEST_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/request/engine_model.h"

namespace celerypost {

// A target that may take a request.
struct PlacementCandidate {
  std::string target;
  EngineLoad load;
  uint32_t slots = 1;
  bool same_zone = false;
  bool same_region = false;
  // Share of its recent attempts that failed.
  double failure_share = 0;
  // Time until the target finishes what runs and loads other weights.
  std::optional<std::chrono::milliseconds> leaves_in;
};

// What is to be placed.
struct PlacementRequest {
  double prompt_tokens = 0;
  // Expected tokens of the answer.
  double answer_tokens = 0;
  // Time that is left until the first event would be late.
  std::chrono::milliseconds on_time_left{0};
  // Time that is left until the caller gives up.
  std::chrono::milliseconds deadline_left{0};
  // The first event is late wherever the request runs.
  bool late_anyway = false;
};

struct Placement {
  // Index of the candidate; nothing when the request is to be refused.
  std::optional<size_t> candidate;
  // When refused: time until there should be room.
  std::chrono::milliseconds retry_after{0};
  // Predicted time to the first event at the candidate, or at the best one when
  // refused.
  std::chrono::milliseconds predicted{0};
};

// Chooses the target of a request, or refuses it. `rates` is null for services
// without an engine. One object serves one gateway.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  virtual Placement Place(const EngineRates* rates,
                          const std::vector<PlacementCandidate>& candidates,
                          const PlacementRequest& request) = 0;
};

struct PlacementOptions {
  // Taken off the time that is left, for the ways to and from the target and
  // for work that other gateways have sent since their last report.
  std::chrono::milliseconds margin{60};
  // Added to the predicted time of targets in another zone or region: they cost
  // transfer and a longer way.
  std::chrono::milliseconds other_zone_cost{20};
  std::chrono::milliseconds other_region_cost{40};
  // A request whose first event is late anyway is placed while the prediction
  // is under this, so that it does not push others past their goal.
  std::chrono::milliseconds late_limit{450};
  // Added for a target that is to load weights before the request would end,
  // and that it would keep from loading: more than any queue that is on time.
  std::chrono::milliseconds leaving_cost{600};
  // Bounds of the time after which a refused caller is asked to return.
  std::chrono::milliseconds least_retry_after{300};
  std::chrono::milliseconds most_retry_after{1800};
};

// Smallest predicted time to the first event; refuses when no target is
// predicted to be on time.
std::unique_ptr<PlacementPolicy> MakePredictivePolicy(PlacementOptions options,
                                                      Random& random);
// Baselines: fewest requests in flight, and the better of two random targets.
// Both refuse only when every slot and as many waiting places are taken.
std::unique_ptr<PlacementPolicy> MakeLeastInFlightPolicy();
std::unique_ptr<PlacementPolicy> MakeTwoChoicesPolicy(Random& random);

}  // namespace celerypost

#endif  // SRC_REQUEST_PLACEMENT_H_
