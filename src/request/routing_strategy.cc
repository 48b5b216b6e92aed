#include "src/request/routing_strategy.h"

#include <algorithm>

namespace celerypost {
namespace {

// Random draws that may hit excluded targets before all are looked at.
constexpr int kDraws = 4;
// Weight of one random sample in the mean utilisation.
constexpr double kMeanShare = 1.0 / 64;

constexpr std::array<Distance, kDistances> kByDistance = {
    Distance::kZone, Distance::kRegion, Distance::kRemote};

bool IsExcluded(const RouteRequest& request, InstanceId instance) {
  return std::find(request.exclude.begin(), request.exclude.end(), instance) !=
         request.exclude.end();
}

std::optional<uint32_t> Draw(const TargetTable& targets,
                             std::span<const uint32_t> group,
                             const RouteRequest& request,
                             Random& random) {
  for (int draw = 0; draw < kDraws; ++draw) {
    const uint32_t index = group[random.Below(group.size())];
    if (!IsExcluded(request, targets.at(index).instance)) {
      return index;
    }
  }
  for (const uint32_t index : group) {
    if (!IsExcluded(request, targets.at(index).instance)) {
      return index;
    }
  }
  return std::nullopt;
}

uint32_t ReportedLoad(const Target& target) {
  return target.own_in_flight + target.others;
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
    for (const Distance distance : kByDistance) {
      const std::span<const uint32_t> group = targets.Group(distance);
      if (group.empty()) {
        continue;
      }
      if (best.index && best.cost <= this->options.spill_cost) {
        break;
      }
      const double extra = this->distance_costs[static_cast<size_t>(distance)];
      for (int choice = 0; choice < 2; ++choice) {
        const auto index = Draw(targets, group, request, random);
        if (!index) {
          break;
        }
        const double utilisation = this->Utilisation(targets.at(*index), now);
        this->mean += (utilisation - this->mean) * kMeanShare;
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

  // Offers the first target of the prefix or, when that is too loaded, the
  // second, so that a popular prefix spreads over two targets that keep it.
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
      if (utilisation <= bound && !IsExcluded(request, target.instance)) {
        best->Offer(index, utilisation + extra - this->options.affinity_gain +
                               (target.cold ? cold_cost : 0.0));
        return;
      }
    }
  }

  // Load as a share of the limit. An old report decays towards the mean: a
  // target that looked idle long ago must not attract all entries.
  double Utilisation(const Target& target, TimePoint now) const {
    const double age = std::chrono::duration<double>(
                           std::max(now - target.reported_at, Duration(0))) /
                       this->options.report_half_life;
    const double trust = 1.0 / (1.0 + age);
    const double limit = target.limit;
    const double own = target.own_in_flight / limit;
    const double others = target.others / limit;
    return own + others * trust +
           std::max(0.0, this->mean - own) * (1.0 - trust);
  }

  const AffinityOptions options;
  const std::array<double, kDistances> distance_costs;
  // Mean utilisation, sampled by the random choices.
  double mean = 0;
};

// Calls `choose` with the nearest group that has a target left.
template <typename Choice>
std::optional<uint32_t> FromNearest(const TargetTable& targets, Choice choose) {
  for (const Distance distance : kByDistance) {
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
                                 TimePoint,
                                 Random&) override {
    return FromNearest(
        targets,
        [&](std::span<const uint32_t> group) -> std::optional<uint32_t> {
          for (size_t tried = 0; tried < group.size(); ++tried) {
            const uint32_t index = group[this->next++ % group.size()];
            if (!IsExcluded(request, targets.at(index).instance)) {
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
                                 TimePoint,
                                 Random& random) override {
    return FromNearest(
        targets,
        [&](std::span<const uint32_t> group) -> std::optional<uint32_t> {
          std::optional<uint32_t> best;
          // A random start spreads ties.
          const size_t start = random.Below(group.size());
          for (size_t offset = 0; offset < group.size(); ++offset) {
            const uint32_t index = group[(start + offset) % group.size()];
            const Target& target = targets.at(index);
            if (IsExcluded(request, target.instance)) {
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
                                 TimePoint,
                                 Random& random) override {
    return FromNearest(
        targets,
        [&](std::span<const uint32_t> group) -> std::optional<uint32_t> {
          const auto first = Draw(targets, group, request, random);
          const auto second = Draw(targets, group, request, random);
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
