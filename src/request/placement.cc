#include "src/request/placement.h"

#include <algorithm>
#include <limits>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

milliseconds ToMs(Milliseconds time) {
  return milliseconds(static_cast<int64_t>(time.count()));
}

// A failing target is as bad as one that is this much slower when all of its
// attempts fail.
constexpr double kFailureCostMs = 1500;
// Answers may be this much longer than callers estimate; one in ten is longer
// still.
constexpr double kLengthDoubt = 1.7;

class PredictivePolicy : public PlacementPolicy {
 public:
  PredictivePolicy(PlacementOptions options, Random& random)
      : options(options), random(random) {}

  Placement Place(const EngineRates* rates,
                  const std::vector<PlacementCandidate>& candidates,
                  const PlacementRequest& request) override {
    return rates == nullptr ? this->PlacePlain(candidates)
                            : this->PlaceOnEngine(*rates, candidates, request);
  }

 private:
  double WayCost(const PlacementCandidate& candidate) const {
    double cost = 0;
    if (!candidate.same_region) {
      cost = static_cast<double>(this->options.other_region_cost.count());
    } else if (!candidate.same_zone) {
      cost = static_cast<double>(this->options.other_zone_cost.count());
    }
    return cost + candidate.failure_share * kFailureCostMs;
  }

  Placement PlaceOnEngine(const EngineRates& rates,
                          const std::vector<PlacementCandidate>& candidates,
                          const PlacementRequest& request) {
    const double limit = static_cast<double>(
        (request.late_anyway
             ? std::min(this->options.late_limit, request.deadline_left)
             : std::min(request.on_time_left, request.deadline_left) -
                   this->options.margin)
            .count());
    Placement placement;
    double best_cost = std::numeric_limits<double>::max();
    double soonest = std::numeric_limits<double>::max();
    // Starts at a random candidate, so that gateways with equal views spread.
    const size_t start = this->random.Below(candidates.size());
    for (size_t i = 0; i < candidates.size(); ++i) {
      const size_t index = (start + i) % candidates.size();
      const PlacementCandidate& candidate = candidates[index];
      const double predicted =
          PredictFirstEvent(rates, candidate.load, request.prompt_tokens)
              .count();
      soonest = std::min(soonest, predicted);
      if (predicted > limit) {
        continue;
      }
      double cost = predicted + this->WayCost(candidate);
      if (candidate.leaves_in &&
          predicted + kLengthDoubt * AnswerTime(rates, candidate.load.in_flight,
                                                request.answer_tokens)
                                         .count() >
              static_cast<double>(candidate.leaves_in->count())) {
        cost += static_cast<double>(this->options.leaving_cost.count());
      }
      if (cost < best_cost) {
        best_cost = cost;
        placement.candidate = index;
        placement.predicted = milliseconds(static_cast<int64_t>(predicted));
      }
    }
    if (!placement.candidate) {
      placement.predicted = milliseconds(static_cast<int64_t>(
          candidates.empty() ? 0 : std::min(soonest, 1e6)));
      placement.retry_after = this->RetryAfter(milliseconds(
          static_cast<int64_t>(std::max(0.0, std::min(soonest, 1e6) - limit))));
    }
    return placement;
  }

  Placement PlacePlain(const std::vector<PlacementCandidate>& candidates) {
    Placement placement;
    double best = std::numeric_limits<double>::max();
    const size_t start = this->random.Below(candidates.size());
    for (size_t i = 0; i < candidates.size(); ++i) {
      const size_t index = (start + i) % candidates.size();
      const PlacementCandidate& candidate = candidates[index];
      // Each waiting request costs about one turn of a slot.
      constexpr double kTurnMs = 20;
      const double cost = static_cast<double>(candidate.load.in_flight) /
                              std::max(1u, candidate.slots) * kTurnMs +
                          this->WayCost(candidate);
      if (cost < best) {
        best = cost;
        placement.candidate = index;
      }
    }
    if (!placement.candidate) {
      placement.retry_after = this->options.least_retry_after;
    }
    return placement;
  }

  // Callers that were refused together must not return together.
  milliseconds RetryAfter(milliseconds until_room) {
    const auto base = std::clamp(until_room, this->options.least_retry_after,
                                 this->options.most_retry_after);
    const auto spread = static_cast<uint64_t>(base.count());
    return std::min(base + milliseconds(this->random.Below(spread)),
                    this->options.most_retry_after);
  }

  PlacementOptions options;
  Random& random;
};

// Waiting places that the baselines use at a target, as a multiple of its
// slots.
constexpr uint32_t kBaselineDepth = 2;

bool HasPlace(const PlacementCandidate& candidate) {
  return candidate.load.in_flight < candidate.slots * kBaselineDepth;
}

Placement Refuse() {
  Placement placement;
  placement.retry_after = milliseconds(500);
  return placement;
}

Placement TakeIfFree(const EngineRates* rates,
                     const std::vector<PlacementCandidate>& candidates,
                     size_t index,
                     const PlacementRequest& request) {
  if (!HasPlace(candidates[index])) {
    return Refuse();
  }
  Placement placement;
  placement.candidate = index;
  if (rates != nullptr) {
    placement.predicted = ToMs(PredictFirstEvent(*rates, candidates[index].load,
                                                 request.prompt_tokens));
  }
  return placement;
}

class LeastInFlightPolicy : public PlacementPolicy {
 public:
  Placement Place(const EngineRates* rates,
                  const std::vector<PlacementCandidate>& candidates,
                  const PlacementRequest& request) override {
    if (candidates.empty()) {
      return Refuse();
    }
    size_t best = 0;
    for (size_t i = 1; i < candidates.size(); ++i) {
      if (candidates[i].load.in_flight < candidates[best].load.in_flight) {
        best = i;
      }
    }
    return TakeIfFree(rates, candidates, best, request);
  }
};

class TwoChoicesPolicy : public PlacementPolicy {
 public:
  explicit TwoChoicesPolicy(Random& random) : random(random) {}

  Placement Place(const EngineRates* rates,
                  const std::vector<PlacementCandidate>& candidates,
                  const PlacementRequest& request) override {
    if (candidates.empty()) {
      return Refuse();
    }
    const size_t first = this->random.Below(candidates.size());
    const size_t second = this->random.Below(candidates.size());
    const size_t better =
        candidates[second].load.in_flight < candidates[first].load.in_flight
            ? second
            : first;
    return TakeIfFree(rates, candidates, better, request);
  }

 private:
  Random& random;
};

}  // namespace

std::unique_ptr<PlacementPolicy> MakePredictivePolicy(PlacementOptions options,
                                                      Random& random) {
  return std::make_unique<PredictivePolicy>(options, random);
}

std::unique_ptr<PlacementPolicy> MakeLeastInFlightPolicy() {
  return std::make_unique<LeastInFlightPolicy>();
}

std::unique_ptr<PlacementPolicy> MakeTwoChoicesPolicy(Random& random) {
  return std::make_unique<TwoChoicesPolicy>(random);
}

}  // namespace celerypost
