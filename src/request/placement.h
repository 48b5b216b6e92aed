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

// A target that a request may be sent to.
struct PlacementCandidate {
  std::string target;
  EngineLoad load;
  uint32_t slots = 1;
  bool same_zone = false;
  bool same_region = false;
  // Share of its recent attempts that failed.
  double failure_share = 0;
  // Time since this gateway learned that the target's registration is gone; 0
  // while it is registered. Such a target has left, or its registration lapsed
  // in an outage and the target is about to register again.
  Duration unregistered_for{0};
  // Time until the target finishes its running requests and loads other
  // weights; absent when it is not about to.
  std::optional<std::chrono::milliseconds> reload_in;
};

// How much the placement of short prompts leaves to long ones (SizeBalance).
struct SizeLean {
  // From 0, for not at all, to 1, for prompts up to the reference size being
  // refused alike.
  double weight = 0;
  // Size of a long prompt of the kind, in tokens.
  double reference_tokens = 0;
};

// Returns the longest PlacementCandidate::unregistered_for of the targets that
// are used before the others: the half of the candidates that were registered
// last, and those that are missing for as long as one of these. If only
// registered targets were used, the first ones that register again after an
// outage would get the load of all.
Duration LongestPreferredAbsence(
    const std::vector<PlacementCandidate>& candidates);

// The request to place.
struct PlacementRequest {
  double prompt_tokens = 0;
  // Expected number of tokens of the answer.
  double answer_tokens = 0;
  // Time left until the first event would be late.
  std::chrono::milliseconds on_time_left{0};
  // Time left until the caller gives up.
  std::chrono::milliseconds deadline_left{0};
  // The first event is late already, or the request was sent to a target
  // before. PlacementOptions::late_limit then replaces `on_time_left`.
  bool late_anyway = false;
  SizeLean size_lean;
  // Added to the predicted time to the first event when it is compared with a
  // limit (PredictionErrors).
  std::chrono::milliseconds allowance{0};
  // Number of candidates of this region, drawn at random, that are compared,
  // and of other regions if none of these will do; 0 for all. Gateways that
  // know of each other's requests with a delay choose the same targets if they
  // compare all, also if only few of all would do. Loads of other regions are
  // known later still.
  size_t compared = 0;
};

struct Placement {
  // Index of the chosen candidate; absent when the request must be refused.
  std::optional<size_t> candidate;
  // When refused: time after which the caller should retry.
  std::chrono::milliseconds retry_after{0};
  // Predicted time to the first event at the chosen candidate or, when refused,
  // the shortest one over all candidates.
  std::chrono::milliseconds predicted{0};
  // Longest prompt, in tokens, that a candidate would begin to answer within
  // the limit of this request. Negative if none would of any length; absent
  // without an engine.
  std::optional<double> room_tokens;
};

// Chooses the target of a request, or refuses it. `rates` is null for services
// without an engine. Each gateway has its own object.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  virtual Placement Place(const EngineRates* rates,
                          const std::vector<PlacementCandidate>& candidates,
                          const PlacementRequest& request) = 0;
};

struct PlacementOptions {
  // Subtracted from the time left, to allow for the network round trip to the
  // target and for requests that other gateways have sent to it since their
  // last report.
  std::chrono::milliseconds margin{60};
  // Added to the predicted time of targets in another zone or region, for the
  // cost of the transfer and the higher network latency.
  std::chrono::milliseconds other_zone_cost{20};
  std::chrono::milliseconds other_region_cost{40};
  // A request with PlacementRequest::late_anyway, or that even an idle target
  // would begin to answer late, is placed only if its predicted time to the
  // first event is at most this, so that it does not make other requests late.
  // If it takes longer than this to read, only the wait before it counts.
  std::chrono::milliseconds late_limit{450};
  // Added for a target that is about to load other weights and that the request
  // would delay, since it would still be running then. Larger than the
  // predicted time of any request that is on time.
  std::chrono::milliseconds reload_cost{600};
  // Added for a slow target at which the answer would end after the caller's
  // deadline, as for a reload.
  std::chrono::milliseconds deadline_cost{600};
  // Bounds of Placement::retry_after.
  std::chrono::milliseconds min_retry_after{300};
  std::chrono::milliseconds max_retry_after{1800};
};

// Chooses the target with the lowest sum of the predicted time to the first
// event and the costs of its location, its failures and a reload. Refuses when
// no target is predicted to be on time (late_anyway: within `late_limit`). For
// this, a prompt below the reference size of PlacementRequest::size_lean counts
// as longer by the weight's share of the difference, but is never refused by an
// idle target for it.
// Without an engine, the load per slot stands for the predicted time and
// nothing is refused while there is a candidate.
// Targets above LongestPreferredAbsence are only used when no other one is
// predicted to be on time or, without an engine, has a free slot.
std::unique_ptr<PlacementPolicy> MakePredictivePolicy(PlacementOptions options,
                                                      Random& random);
// Baselines: the target with the fewest requests in flight, and the less loaded
// of two random targets. Both refuse when the chosen target has at least twice
// as many requests in flight as slots.
std::unique_ptr<PlacementPolicy> MakeLeastInFlightPolicy();
std::unique_ptr<PlacementPolicy> MakeTwoChoicesPolicy(Random& random);

}  // namespace celerypost

#endif  // SRC_REQUEST_PLACEMENT_H_
