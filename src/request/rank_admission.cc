#include "src/request/rank_admission.h"

#include <algorithm>
#include <set>
#include <utility>

#include <xxhash.h>

namespace celerypost {

namespace {

// A hold that can't rise noticeably any more.
constexpr double kFullHold = 0.999;

// Returns the least urgent priority of the workspaces. Requests without a
// workspace rank with it.
int OpenPriority(const GatewayConfig& config) {
  int priority = config.workspaces.empty() ? 0 : config.workspaces[0].priority;
  for (const Workspace& workspace : config.workspaces) {
    priority = std::max(priority, workspace.priority);
  }
  return priority;
}

// Returns the ranks that requests of each service may have.
std::map<ServiceName, std::set<Rank>> RanksOfServices(
    const GatewayConfig& config) {
  std::set<int> workspace_priorities;
  for (const Workspace& workspace : config.workspaces) {
    workspace_priorities.insert(workspace.priority);
  }
  const int open_priority = OpenPriority(config);
  std::map<ServiceName, std::set<Rank>> ranks;
  for (const auto& [host, routes] : config.routes) {
    for (const Route& route : routes) {
      for (const RouteBackend& backend : route.backends) {
        std::set<Rank>& found = ranks[backend.service];
        if (route.open || workspace_priorities.empty()) {
          found.insert({open_priority, route.priority});
          continue;
        }
        for (const int priority : workspace_priorities) {
          found.insert({priority, route.priority});
        }
      }
    }
  }
  return ranks;
}

double ShareOf(double part, double all) {
  return all > 0 ? part / all : 1;
}

}  // namespace

void RankAdmission::Counts::Add(const Counts& other) {
  this->asked += other.asked;
  this->placed += other.placed;
  this->begun += other.begun;
  this->on_time += other.on_time;
  this->held += other.held;
}

RankAdmission::RankAdmission(RankAdmissionOptions options, Random& random)
    : options(options), random(random) {}

uint64_t RankAdmission::HashOf(const ServiceName& service) {
  return XXH64(service.value().data(), service.value().size(), 0);
}

void RankAdmission::SetConfig(const GatewayConfig& config) {
  std::map<ServiceName, Service> kept = std::move(this->services);
  this->services.clear();
  for (const auto& [name, ranks] : RanksOfServices(config)) {
    if (ranks.size() < 2) {
      continue;
    }
    Service& service = this->services[name];
    service.hash = HashOf(name);
    service.open_priority = OpenPriority(config);
    const size_t levels = std::min(ranks.size(), kRankLevels);
    size_t number = 0;
    for (const Rank& rank : ranks) {
      const size_t level = number++ * levels / ranks.size();
      if (level == service.levels.size()) {
        service.levels.emplace_back().first = rank;
      }
      service.level_of_rank[rank] = level;
    }
    const auto before = kept.find(name);
    if (before == kept.end()) {
      continue;
    }
    for (Level& level : service.levels) {
      const auto same = std::find_if(
          before->second.levels.begin(), before->second.levels.end(),
          [&](const Level& other) { return other.first == level.first; });
      if (same != before->second.levels.end()) {
        level = *same;
      }
    }
    // The highest rank is never held back.
    service.levels.front().hold = 0;
  }
}

std::optional<size_t> RankAdmission::LevelOf(const Service& service,
                                             const Route& route,
                                             const Workspace* workspace) {
  const Rank rank{
      workspace == nullptr ? service.open_priority : workspace->priority,
      route.priority};
  const auto found = service.level_of_rank.find(rank);
  return found == service.level_of_rank.end() ? std::nullopt
                                              : std::optional(found->second);
}

std::optional<RankRuling> RankAdmission::RuleOn(const ServiceName& service,
                                                const Route& route,
                                                const Workspace* workspace,
                                                bool first_send,
                                                TimePoint now) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  const auto index = LevelOf(found->second, route, workspace);
  if (!index) {
    return std::nullopt;
  }
  this->Control(now);
  RankRuling ruling;
  ruling.level = static_cast<int>(*index);
  const Level& level = found->second.levels[*index];
  if (first_send && level.hold > 0 && this->random.Unit() >= level.exempt) {
    ruling.hold = level.hold;
  }
  return ruling;
}

int64_t RankAdmission::SlotNumber(TimePoint now) {
  return now.time_since_epoch() / kSlotLength;
}

RankAdmission::Counts& RankAdmission::SlotAt(Level& level, TimePoint now) {
  const int64_t number = SlotNumber(now);
  Slot& slot = level.slots[static_cast<size_t>(number) % kSlots];
  if (slot.number != number) {
    slot = {number, {}};
  }
  return slot.counts;
}

RankAdmission::Counts RankAdmission::WindowOf(const Level& level,
                                              TimePoint now) {
  const int64_t newest = SlotNumber(now);
  Counts sum;
  for (const Slot& slot : level.slots) {
    if (slot.number <= newest &&
        slot.number > newest - static_cast<int64_t>(kSlots)) {
      sum.Add(slot.counts);
    }
  }
  return sum;
}

void RankAdmission::OnDecision(const ServiceName& service,
                               const RankRuling& ruling,
                               bool placed,
                               TimePoint now) {
  const auto found = this->services.find(service);
  if (found == this->services.end() ||
      static_cast<size_t>(ruling.level) >= found->second.levels.size()) {
    return;
  }
  Level& level = found->second.levels[static_cast<size_t>(ruling.level)];
  Counts& counts = SlotAt(level, now);
  counts.asked += 1;
  counts.placed += placed ? 1 : 0;
  counts.held += level.hold;
}

void RankAdmission::OnFirstEvent(const ServiceName& service,
                                 const Route& route,
                                 const Workspace* workspace,
                                 bool on_time,
                                 TimePoint now) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return;
  }
  const auto index = LevelOf(found->second, route, workspace);
  if (index) {
    Counts& counts = SlotAt(found->second.levels[*index], now);
    counts.begun += 1;
    counts.on_time += on_time ? 1 : 0;
  }
}

void RankAdmission::OnReport(InstanceId instance,
                             std::vector<RankCounts> counts,
                             TimePoint expires_at) {
  this->reports[instance] = {expires_at, std::move(counts)};
}

void RankAdmission::OnRegionReport(const RegionName& region,
                                   std::vector<RankCounts> counts,
                                   TimePoint expires_at) {
  this->region_reports[region] = {expires_at, std::move(counts)};
}

RankCounts RankAdmission::ToReport(const Service& service,
                                   const Level& level,
                                   const Counts& counts) {
  return {service.hash, level.first,    counts.asked, counts.placed,
          counts.begun, counts.on_time, counts.held};
}

std::vector<RankCounts> RankAdmission::Bounded(
    std::vector<RankCounts> counts) const {
  if (counts.size() > this->options.max_reported) {
    std::sort(counts.begin(), counts.end(),
              [](const RankCounts& first, const RankCounts& second) {
                return first.asked > second.asked;
              });
    counts.resize(this->options.max_reported);
  }
  return counts;
}

std::vector<RankCounts> RankAdmission::OwnCounts(TimePoint now) const {
  std::vector<RankCounts> counts;
  for (const auto& [name, service] : this->services) {
    for (const Level& level : service.levels) {
      const Counts window = WindowOf(level, now);
      if (window.asked > 0 || window.begun > 0) {
        counts.push_back(ToReport(service, level, window));
      }
    }
  }
  return this->Bounded(std::move(counts));
}

std::vector<RankCounts> RankAdmission::RegionCounts(TimePoint now) const {
  std::map<std::pair<uint64_t, Rank>, Counts> sums;
  const auto add = [&](const std::vector<RankCounts>& counts) {
    for (const RankCounts& entry : counts) {
      sums[{entry.service_hash, entry.rank}].Add(
          {entry.asked, entry.placed, entry.begun, entry.on_time, entry.held});
    }
  };
  add(this->OwnCounts(now));
  for (const auto& [instance, report] : this->reports) {
    if (now <= report.expires_at) {
      add(report.counts);
    }
  }
  std::vector<RankCounts> counts;
  for (const auto& [key, sum] : sums) {
    counts.push_back({key.first, key.second, sum.asked, sum.placed, sum.begun,
                      sum.on_time, sum.held});
  }
  return this->Bounded(std::move(counts));
}

std::vector<RankAdmission::LevelTotals> RankAdmission::TotalsOf(
    const Service& service,
    TimePoint now) const {
  std::vector<LevelTotals> totals(service.levels.size());
  const auto add = [&](const Report& report) {
    for (const RankCounts& entry : report.counts) {
      const auto level = service.level_of_rank.find(entry.rank);
      if (now <= report.expires_at && entry.service_hash == service.hash &&
          level != service.level_of_rank.end()) {
        totals[level->second].peers.Add({entry.asked, entry.placed, entry.begun,
                                         entry.on_time, entry.held});
      }
    }
  };
  for (const auto& [instance, report] : this->reports) {
    add(report);
  }
  for (const auto& [region, report] : this->region_reports) {
    add(report);
  }
  for (size_t i = 0; i < totals.size(); ++i) {
    totals[i].all = WindowOf(service.levels[i], now);
    totals[i].all.Add(totals[i].peers);
  }
  return totals;
}

double RankAdmission::ShortageOf(const Counts& totals) const {
  if (totals.asked < this->options.min_requests) {
    return -1;
  }
  const double placed = ShareOf(totals.placed, totals.asked);
  const double on_time = totals.begun < this->options.min_requests
                             ? 1
                             : ShareOf(totals.on_time, totals.begun);
  const double missing = std::max(this->options.short_placed - placed,
                                  this->options.short_on_time - on_time);
  if (missing > 0) {
    return missing;
  }
  return placed > this->options.ample_placed &&
                 on_time > this->options.ample_on_time
             ? -1
             : 0;
}

void RankAdmission::ControlService(Service& service,
                                   bool alone,
                                   TimePoint now) const {
  const std::vector<LevelTotals> totals = this->TotalsOf(service, now);
  Counts sum;
  for (const LevelTotals& level : totals) {
    sum.Add(level.all);
  }
  const double placed_of_all = ShareOf(sum.placed, sum.asked);
  // Shortage of the ranks above each level; ranks with few requests lack
  // nothing.
  std::vector<double> above(totals.size(), -1);
  // The smallest share placed of the ranks above each level that are short.
  std::vector<double> least_placed(totals.size(), 1);
  for (size_t i = 1; i < totals.size(); ++i) {
    // Ranks without requests lack nothing.
    const Counts& higher = totals[i - 1].all;
    const double shortage = this->ShortageOf(higher);
    above[i] = std::max(above[i - 1], shortage);
    least_placed[i] = shortage > 0
                          ? std::min(least_placed[i - 1],
                                     ShareOf(higher.placed, higher.asked))
                          : least_placed[i - 1];
  }
  // Whether all ranks below are held back as far as possible.
  bool lower_are_full = true;
  for (size_t i = totals.size(); i-- > 1;) {
    Level& level = service.levels[i];
    const Counts& own = totals[i].all;
    const bool full = level.hold >= kFullHold || own.asked == 0;
    // By how much the rank is placed more often than a short one above it.
    const double lead = ShareOf(own.placed, own.asked) - least_placed[i];
    const bool leads = lead > this->options.max_lead;
    if (above[i] > 0 && (lower_are_full || leads)) {
      level.hold +=
          std::min(this->options.max_rise,
                   this->options.min_rise +
                       std::max(above[i], lead) * this->options.rise_per_share);
    } else if (above[i] < 0) {
      level.hold -= alone ? this->options.fall_alone : this->options.fall;
    }
    const Counts& peers = totals[i].peers;
    if (peers.asked >= this->options.min_requests) {
      const double mean = peers.held / peers.asked;
      level.hold += this->options.peer_pull * (mean - level.hold);
      level.hold = std::max(level.hold, mean - this->options.peer_hold_margin);
    }
    level.hold = std::clamp(level.hold, 0.0, 1.0);
    const bool below_floor =
        own.asked >= this->options.min_requests &&
        own.placed / own.asked < this->options.least_share * placed_of_all;
    level.exempt = std::min(
        1.0, placed_of_all * this->options.floor * (below_floor ? 2 : 1));
    lower_are_full = lower_are_full && full;
  }
}

void RankAdmission::Control(TimePoint now) {
  if (this->controlled_at &&
      now - *this->controlled_at < this->options.control_period) {
    return;
  }
  this->controlled_at = now;
  if (!this->options.holds) {
    return;
  }
  const auto expired = [&](const auto& entry) {
    return now > entry.second.expires_at;
  };
  std::erase_if(this->reports, expired);
  std::erase_if(this->region_reports, expired);
  const bool alone = this->reports.empty() && this->region_reports.empty();
  for (auto& [name, service] : this->services) {
    this->ControlService(service, alone, now);
  }
}

std::array<double, kRankLevels> RankAdmission::LargestHolds() const {
  std::array<double, kRankLevels> holds{};
  for (const auto& [name, service] : this->services) {
    for (size_t i = 0; i < service.levels.size(); ++i) {
      holds[i] = std::max(holds[i], service.levels[i].hold);
    }
  }
  return holds;
}

}  // namespace celerypost
