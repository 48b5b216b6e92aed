#include "src/request/routing_strategy.h"

#include <algorithm>

namespace celerypost {
namespace {

// Random draws that may hit excluded targets before all targets of the group
// are tried in order.
constexpr int kMaxRandomDraws = 4;
// Weight of one sample in the moving mean of the utilisation.
constexpr double kMeanWeight = 1.0 / 64;

constexpr std::array<Distance, kDistanceCount> kNearestFirst = {
    Distance::kZone, Distance::kRegion, Distance::kRemote};

bool IsExcluded(const RouteRequest& request,
                const Target& target,
                TimePoint now) {
  return (now < target.avoided_until && !request.allow_avoided) ||
         std::find(request.exclude.begin(), request.exclude.end(),
                   target.instance) != request.exclude.end();
}

std::optional<uint32_t> DrawTarget(const TargetTable& targets,
                                   std::span<const uint32_t> group,
                                   const RouteRequest& request,
                                   TimePoint now,
                                   Random& random) {
  for (int draw = 0; draw < kMaxRandomDraws; ++draw) {
    const uint32_t index = group[random.Below(group.size())];
    if (!IsExcluded(request, targets.at(index), now)) {
      return index;
    }
  }
  for (const uint32_t index : group) {
    if (!IsExcluded(request, targets.at(index), now)) {
      return index;
    }
  }
  return std::nullopt;
}

uint32_t ReportedLoad(const Target& target) {
  return target.own_in_flight + target.others_in_flight;
}

class AffinityStrategy final : public RoutingStrategy {
 public:
  explicit AffinityStrategy(AffinityOptions options)
      : options(options),
        distance_costs({0.0, options.zone_cost, options.region_cost}) {}

  std::optional<uint32_t> Choose(const TargetTable& targets,
                                 const RouteRequest& request,
                                 TimePoint now,
                                 Random& random) override {
    Best best;
    const double cold_cost = random.Unit() < this->options.warming_share
                                 ? -this->options.cold_cost
                                 : this->options.cold_cost;
    for (const Distance distance : kNearestFirst) {
      const std::span<const uint32_t> group = targets.Group(distance);
      if (group.empty()) {
        continue;
      }
      if (best.index && best.cost <= this->options.spill_cost) {
        break;
      }
      const double extra = this->distance_costs[static_cast<size_t>(distance)];
      for (int choice = 0; choice < 2; ++choice) {
        const auto index = DrawTarget(targets, group, request, now, random);
        if (!index) {
          break;
        }
        const double utilisation = this->Utilisation(targets.at(*index), now);
        this->mean += (utilisation - this->mean) * kMeanWeight;
        best.Offer(*index, utilisation + extra +
                               (targets.at(*index).cold ? cold_cost : 0.0));
      }
      if (request.prefix_hash != 0) {
        this->OfferPrefixTargets(targets, request, distance, now, cold_cost,
                                 &best);
      }
    }
    return best.index;
  }

 private:
  struct Best {
    std::optional<uint32_t> index;
    double cost = 0;

    void Offer(uint32_t candidate, double candidate_cost) {
      if (!this->index || candidate_cost < this->cost) {
        this->index = candidate;
        this->cost = candidate_cost;
      }
    }
  };

  // Offers the first target of the prefix or, when that is excluded or too
  // loaded, the second, so that a popular prefix is spread over two targets
  // that cache it.
  void OfferPrefixTargets(const TargetTable& targets,
                          const RouteRequest& request,
                          Distance distance,
                          TimePoint now,
                          double cold_cost,
                          Best* best) const {
    const double extra = this->distance_costs[static_cast<size_t>(distance)];
    for (const uint64_t hash : {request.prefix_hash, ~request.prefix_hash}) {
      const uint32_t index = targets.AffinityTarget(distance, hash);
      const Target& target = targets.at(index);
      const double utilisation = this->Utilisation(target, now);
      const double bound = std::max(this->options.affinity_bound * this->mean,
                                    this->options.affinity_free_utilisation);
      if (utilisation <= bound && !IsExcluded(request, target, now)) {
        best->Offer(index, utilisation + extra - this->options.affinity_gain +
                               (target.cold ? cold_cost : 0.0));
        return;
      }
    }
  }

  // Returns the load as a share of the limit. The weight of a load report falls
  // with its age, and the mean takes its place, so that a target that was idle
  // at its last report does not attract the requests of all entries.
  double Utilisation(const Target& target, TimePoint now) const {
    const double age = std::chrono::duration<double>(
                           std::max(now - target.reported_at, Duration(0))) /
                       this->options.report_half_life;
    const double report_weight = 1.0 / (1.0 + age);
    const double limit = target.limit;
    const double own = target.own_in_flight / limit;
    const double others = target.others_in_flight / limit;
    return own + others * report_weight +
           std::max(0.0, this->mean - own) * (1.0 - report_weight);
  }

  const AffinityOptions options;
  const std::array<double, kDistanceCount> distance_costs;
  // Moving mean of the utilisation of the randomly drawn targets.
  double mean = 0;
};

// Calls `choose` for the groups from near to far until it returns a target.
template <typename Choice>
std::optional<uint32_t> ChooseFromNearest(const TargetTable& targets,
                                          Choice choose) {
  for (const Distance distance : kNearestFirst) {
    const std::span<const uint32_t> group = targets.Group(distance);
    if (group.empty()) {
      continue;
    }
    if (const std::optional<uint32_t> index = choose(group)) {
      return index;
    }
  }
  return std::nullopt;
}

class RoundRobinStrategy final : public RoutingStrategy {
 public:
  std::optional<uint32_t> Choose(const TargetTable& targets,
                                 const RouteRequest& request,
                                 TimePoint now,
                                 Random&) override {
    return ChooseFromNearest(
        targets,
        [&](std::span<const uint32_t> group) -> std::optional<uint32_t> {
          for (size_t tried = 0; tried < group.size(); ++tried) {
            const uint32_t index = group[this->next++ % group.size()];
            if (!IsExcluded(request, targets.at(index), now)) {
              return index;
            }
          }
          return std::nullopt;
        });
  }

 private:
  size_t next = 0;
};

class LeastInFlightStrategy final : public RoutingStrategy {
 public:
  std::optional<uint32_t> Choose(const TargetTable& targets,
                                 const RouteRequest& request,
                                 TimePoint now,
                                 Random& random) override {
    return ChooseFromNearest(
        targets,
        [&](std::span<const uint32_t> group) -> std::optional<uint32_t> {
          std::optional<uint32_t> best;
          // Starts at a random target to spread requests over equal targets.
          const size_t start = random.Below(group.size());
          for (size_t offset = 0; offset < group.size(); ++offset) {
            const uint32_t index = group[(start + offset) % group.size()];
            const Target& target = targets.at(index);
            if (IsExcluded(request, target, now)) {
              continue;
            }
            if (!best ||
                target.own_in_flight < targets.at(*best).own_in_flight) {
              best = index;
            }
          }
          return best;
        });
  }
};

class TwoChoicesStrategy final : public RoutingStrategy {
 public:
  std::optional<uint32_t> Choose(const TargetTable& targets,
                                 const RouteRequest& request,
                                 TimePoint now,
                                 Random& random) override {
    return ChooseFromNearest(
        targets,
        [&](std::span<const uint32_t> group) -> std::optional<uint32_t> {
          const auto first = DrawTarget(targets, group, request, now, random);
          const auto second = DrawTarget(targets, group, request, now, random);
          if (!first || !second) {
            return first;
          }
          return ReportedLoad(targets.at(*second)) <
                         ReportedLoad(targets.at(*first))
                     ? second
                     : first;
        });
  }
};

}  // namespace

std::unique_ptr<RoutingStrategy> MakeAffinityStrategy(AffinityOptions options) {
  return std::make_unique<AffinityStrategy>(options);
}

std::unique_ptr<RoutingStrategy> MakeRoundRobinStrategy() {
  return std::make_unique<RoundRobinStrategy>();
}

std::unique_ptr<RoutingStrategy> MakeLeastInFlightStrategy() {
  return std::make_unique<LeastInFlightStrategy>();
}

std::unique_ptr<RoutingStrategy> MakeTwoChoicesStrategy() {
  return std::make_unique<TwoChoicesStrategy>();
}

}  // namespace celerypost
