#include "src/request/placement.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

#include "src/version/checked_number.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

milliseconds ToMs(Milliseconds time) {
  return milliseconds(static_cast<int64_t>(time.count()));
}

// Added to the predicted time of a target of which all recent attempts failed;
// scaled by the share that failed.
constexpr double kFailureCostMs = 1500;
// Factor by which an answer may exceed the length that its caller estimates.
// One answer in ten is longer still.
constexpr double kAnswerLengthFactor = 1.4;

// Returns the slowdown that a quarter of the candidates does not exceed, at
// least 1. Requests are judged by the slowdown relative to it: when most
// targets are slow, refusing what they would begin late would refuse most of
// the load, and a late answer is better for its caller than none.
double CommonSlowdown(const std::vector<PlacementCandidate>& candidates) {
  std::vector<double> slowdowns;
  slowdowns.reserve(candidates.size());
  for (const PlacementCandidate& candidate : candidates) {
    slowdowns.push_back(std::max(1.0, candidate.load.slowdown));
  }
  if (slowdowns.empty()) {
    return 1;
  }
  const auto quarter =
      slowdowns.begin() + static_cast<ptrdiff_t>((slowdowns.size() - 1) / 4);
  std::nth_element(slowdowns.begin(), quarter, slowdowns.end());
  return *quarter;
}

bool HasFreeSlot(const PlacementCandidate& candidate) {
  return candidate.load.in_flight < candidate.slots;
}

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
  double PenaltyMs(const PlacementCandidate& candidate) const {
    double cost = 0;
    if (!candidate.same_region) {
      cost = static_cast<double>(this->options.other_region_cost.count());
    } else if (!candidate.same_zone) {
      cost = static_cast<double>(this->options.other_zone_cost.count());
    }
    return cost + candidate.failure_share * kFailureCostMs;
  }

  // What a request is compared with, in milliseconds.
  struct Bounds {
    // Predicted time to the first event at an idle target.
    double idle = 0;
    double limit = 0;
    double deadline_left = 0;
  };

  Bounds BoundsOf(const EngineRates& rates,
                  const PlacementRequest& request) const {
    const Milliseconds idle =
        PredictFirstEvent(rates, EngineLoad(), request.prompt_tokens);
    const milliseconds on_time =
        std::min(request.on_time_left, request.deadline_left) -
        this->options.margin;
    const bool late = request.late_anyway || idle > on_time;
    return {
        .idle = idle.count(),
        .limit = static_cast<double>(
            (late ? std::min(this->options.late_limit, request.deadline_left)
                  : on_time)
                .count()),
        .deadline_left = static_cast<double>(request.deadline_left.count())};
  }

  // Returns by how much a candidate with this predicted time is too busy; 0 or
  // less if the request may be placed there.
  static double ExcessMs(const EngineRates& rates,
                         const PlacementRequest& request,
                         const Bounds& bounds,
                         double slowdown,
                         double predicted) {
    if (bounds.idle > bounds.limit) {
      return std::max(predicted - bounds.idle - bounds.limit,
                      predicted - bounds.deadline_left);
    }
    const SizeLean& lean = request.size_lean;
    const double factor = std::max(1.0, slowdown);
    const double missing_tokens =
        std::max(0.0, lean.reference_tokens - request.prompt_tokens);
    const double added =
        lean.weight * ReadingTime(rates, missing_tokens).count() * factor +
        static_cast<double>(request.allowance.count());
    const double room_of_idle =
        std::max(0.0, bounds.limit - bounds.idle * factor);
    return predicted + std::min(added, room_of_idle) - bounds.limit;
  }

  // Returns the indexes of the candidates in a random order, so that gateways
  // with the same data do not all choose the same one of equal candidates.
  std::vector<size_t> DrawOrder(size_t count) {
    std::vector<size_t> order(count);
    std::iota(order.begin(), order.end(), 0);
    for (size_t i = count; i > 1; --i) {
      std::swap(order[i - 1], order[this->random.Below(i)]);
    }
    return order;
  }

  // Returns the groups of candidates to compare: each group is compared only if
  // no candidate of the one before it will do.
  std::vector<std::vector<size_t>> DrawGroups(
      const std::vector<PlacementCandidate>& candidates,
      size_t compared) {
    constexpr size_t kRegionGroups = 2;
    const Duration longest_absence = LongestPreferredAbsence(candidates);
    const size_t max_size = compared == 0 ? candidates.size() : compared;
    std::vector<std::vector<size_t>> groups(2 * kRegionGroups);
    for (const size_t index : this->DrawOrder(candidates.size())) {
      const PlacementCandidate& candidate = candidates[index];
      const size_t first_group =
          candidate.unregistered_for <= longest_absence ? 0 : kRegionGroups;
      const bool is_far = compared > 0 && !candidate.same_region;
      std::vector<size_t>& group = groups[first_group + (is_far ? 1 : 0)];
      if (group.size() < max_size) {
        group.push_back(index);
      }
    }
    return groups;
  }

  Placement PlaceOnEngine(const EngineRates& rates,
                          const std::vector<PlacementCandidate>& candidates,
                          const PlacementRequest& request) {
    const Bounds bounds = this->BoundsOf(rates, request);
    const double common = CommonSlowdown(candidates);
    Placement placement;
    double best_cost = std::numeric_limits<double>::max();
    double soonest = std::numeric_limits<double>::max();
    double excess = std::numeric_limits<double>::max();
    for (const std::vector<size_t>& group :
         this->DrawGroups(candidates, request.compared)) {
      for (const size_t index : group) {
        const PlacementCandidate& candidate = candidates[index];
        const double slowdown = std::max(1.0, candidate.load.slowdown);
        EngineLoad load = candidate.load;
        load.slowdown = std::max(1.0, slowdown / common);
        const double predicted =
            PredictFirstEvent(rates, load, request.prompt_tokens).count();
        soonest = std::min(soonest, predicted);
        placement.room_tokens =
            std::max(placement.room_tokens.value_or(
                         std::numeric_limits<double>::lowest()),
                     request.prompt_tokens + (bounds.limit - predicted) *
                                                 rates.prompt_tokens_per_ms /
                                                 load.slowdown);
        const double over =
            ExcessMs(rates, request, bounds, load.slowdown, predicted);
        excess = std::min(excess, over);
        if (over > 0) {
          continue;
        }
        double cost = predicted + this->PenaltyMs(candidate);
        const double first_event =
            PredictFirstEvent(rates, candidate.load, request.prompt_tokens)
                .count();
        const double answer =
            slowdown *
            AnswerTime(rates, candidate.load.in_flight, request.answer_tokens)
                .count();
        if (candidate.reload_in &&
            first_event + kAnswerLengthFactor * answer >
                static_cast<double>(candidate.reload_in->count())) {
          cost += static_cast<double>(this->options.reload_cost.count());
        }
        if (slowdown > 1 && first_event + answer > bounds.deadline_left) {
          cost += static_cast<double>(this->options.deadline_cost.count());
        }
        if (cost < best_cost) {
          best_cost = cost;
          placement.candidate = index;
          placement.predicted = ToClampedDuration(first_event);
        }
      }
      if (placement.candidate) {
        break;
      }
    }
    if (!placement.candidate) {
      placement.predicted =
          ToClampedDuration(candidates.empty() ? 0 : std::min(soonest, 1e6));
      placement.retry_after =
          this->RetryAfter(ToClampedDuration(std::min(excess, 1e6)));
    }
    return placement;
  }

  // Returns the indexes of the candidates that are compared without an engine.
  static std::vector<size_t> ChoicesWithoutEngine(
      const std::vector<PlacementCandidate>& candidates) {
    const Duration longest_absence = LongestPreferredAbsence(candidates);
    std::vector<size_t> preferred;
    bool has_room = false;
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].unregistered_for <= longest_absence) {
        preferred.push_back(i);
        has_room = has_room || HasFreeSlot(candidates[i]);
      }
    }
    if (!has_room) {
      preferred.resize(candidates.size());
      std::iota(preferred.begin(), preferred.end(), 0);
    }
    return preferred;
  }

  Placement PlacePlain(const std::vector<PlacementCandidate>& candidates) {
    Placement placement;
    double best = std::numeric_limits<double>::max();
    const std::vector<size_t> choices = ChoicesWithoutEngine(candidates);
    const size_t start = this->random.Below(choices.size());
    for (size_t i = 0; i < choices.size(); ++i) {
      const size_t index = choices[(start + i) % choices.size()];
      const PlacementCandidate& candidate = candidates[index];
      // Estimated time that a request occupies a slot.
      constexpr double kSlotTimeMs = 20;
      const double cost = static_cast<double>(candidate.load.in_flight) /
                              std::max(1u, candidate.slots) * kSlotTimeMs +
                          this->PenaltyMs(candidate);
      if (cost < best) {
        best = cost;
        placement.candidate = index;
      }
    }
    if (!placement.candidate) {
      placement.retry_after = this->options.min_retry_after;
    }
    return placement;
  }

  // Adds random jitter, so that callers that were refused together do not retry
  // together.
  milliseconds RetryAfter(milliseconds until_room) {
    const auto base = std::clamp(until_room, this->options.min_retry_after,
                                 this->options.max_retry_after);
    const auto spread = static_cast<uint64_t>(base.count());
    return std::min(base + milliseconds(this->random.Below(spread)),
                    this->options.max_retry_after);
  }

  PlacementOptions options;
  Random& random;
};

// Requests in flight up to which the baselines use a target, as a multiple of
// its slots.
constexpr uint32_t kBaselineLoadFactor = 2;

bool HasRoom(const PlacementCandidate& candidate) {
  return candidate.load.in_flight < candidate.slots * kBaselineLoadFactor;
}

Placement Refuse() {
  Placement placement;
  placement.retry_after = milliseconds(500);
  return placement;
}

Placement PlaceIfRoom(const EngineRates* rates,
                      const std::vector<PlacementCandidate>& candidates,
                      size_t index,
                      const PlacementRequest& request) {
  if (!HasRoom(candidates[index])) {
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
    return PlaceIfRoom(rates, candidates, best, request);
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
    return PlaceIfRoom(rates, candidates, better, request);
  }

 private:
  Random& random;
};

}  // namespace

Duration LongestPreferredAbsence(
    const std::vector<PlacementCandidate>& candidates) {
  if (candidates.empty()) {
    return Duration(0);
  }
  std::vector<Duration> absences;
  absences.reserve(candidates.size());
  for (const PlacementCandidate& candidate : candidates) {
    absences.push_back(candidate.unregistered_for);
  }
  const auto last_preferred =
      absences.begin() + static_cast<ptrdiff_t>((absences.size() - 1) / 2);
  std::nth_element(absences.begin(), last_preferred, absences.end());
  return *last_preferred;
}

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
