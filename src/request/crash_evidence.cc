#include "src/request/crash_evidence.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace celerypost {

namespace {

int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

// Added to the counts of surviving and broken requests, so that a time with few
// requests proves little.
constexpr double kPriorCount = 1;

}  // namespace

PartHash HashPart(const ServiceName& service, const std::string& part) {
  return XXH64(part.data(), part.size(),
               XXH64(service.value().data(), service.value().size(), 0));
}

IncarnationHash HashIncarnation(const TargetRegistration& target) {
  return XXH64(target.id.data(), target.id.size(),
               static_cast<uint64_t>(target.started_at.count()));
}

CrashEvidence::CrashEvidence(CrashEvidenceOptions options) : options(options) {}

CrashEvidence::Outcomes& CrashEvidence::OutcomesAt(TimePoint now) {
  const int64_t second = SecondOf(now);
  const auto oldest = second - std::chrono::duration_cast<std::chrono::seconds>(
                                   this->options.lifetime)
                                   .count();
  while (!this->outcomes.empty() && this->outcomes.begin()->first < oldest) {
    this->outcomes.erase(this->outcomes.begin());
  }
  return this->outcomes[second];
}

void CrashEvidence::OnBroken(const std::vector<PartHash>& parts,
                             IncarnationHash incarnation,
                             TimePoint now) {
  ++this->OutcomesAt(now).broken;
  for (const PartHash part : parts) {
    this->Accuse(part, incarnation, now, /*own=*/true);
  }
}

void CrashEvidence::OnSurvived(const std::vector<PartHash>& parts,
                               TimePoint now) {
  ++this->OutcomesAt(now).survived;
  ++this->total_survived;
  this->first_survival = std::min(this->first_survival, now);
  for (const PartHash part : parts) {
    this->AddSurvival(part, now);
    this->survivals[part].own_at = now;
  }
}

bool CrashEvidence::AddAccusation(const CrashAccusation& accusation,
                                  TimePoint at) {
  return this->Accuse(accusation.part, accusation.incarnation, at,
                      /*own=*/false);
}

bool CrashEvidence::Accuse(PartHash part,
                           IncarnationHash incarnation,
                           TimePoint at,
                           bool own) {
  if (this->LastSurvival(part) >= at) {
    return false;
  }
  if (!this->suspects.contains(part) &&
      this->suspects.size() >= this->options.max_suspects) {
    // The part with the fewest crashes proves least.
    this->suspects.erase(std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [](const auto& a, const auto& b) {
          return a.second.crashes.size() < b.second.crashes.size();
        }));
  }
  auto& crashes = this->suspects[part].crashes;
  if (crashes.size() >= this->options.max_crashes_per_part &&
      !crashes.contains(incarnation)) {
    return false;
  }
  const auto [found, added] = crashes.try_emplace(incarnation);
  if (added) {
    found->second.survived_before = this->total_survived;
  }
  found->second.own = found->second.own || own;
  return added;
}

bool CrashEvidence::AddSurvival(PartHash part, TimePoint at) {
  const auto [known, added] = this->survivals.try_emplace(part, Survival{at});
    found->second.at = at;
  } else if (at > found->second.at + this->options.max_news_delay) {
    // The same process broke another request.
    found->second.at = at;
  } else {
    // A copy that took longer looks newer.
    found->second.at = std::min(found->second.at, at);
  if (!added) {
    if (known->second.at >= at) {
      return false;
    }
    known->second.at = at;
  } else if (this->survivals.size() > this->options.max_known_parts) {
    std::vector<TimePoint> times;
    for (const auto& [other, survival] : this->survivals) {
      times.push_back(survival.at);
    }
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(this->survivals, [&](const auto& entry) {
      return entry.second.at < *middle && entry.first != part;
    });
  }
  const auto suspect = this->suspects.find(part);
  if (suspect != this->suspects.end()) {
    std::erase_if(suspect->second.crashes,
                  [at](const auto& crash) { return crash.second.at <= at; });
    if (suspect->second.crashes.empty()) {
      this->suspects.erase(suspect);
    }
  }
  return true;
}

size_t CrashEvidence::Crashes(PartHash part) const {
  const auto found = this->suspects.find(part);
  return found == this->suspects.end() ? 0 : found->second.crashes.size();
}

TimePoint CrashEvidence::LastSurvival(PartHash part) const {
  const auto found = this->survivals.find(part);
  return found == this->survivals.end() ? TimePoint{} : found->second.at;
}

TimePoint CrashEvidence::LastOwnSurvival(PartHash part) const {
  const auto found = this->survivals.find(part);
  return found == this->survivals.end() ? TimePoint{} : found->second.own_at;
}

bool CrashEvidence::IsNew(PartHash part, TimePoint now) const {
  return !this->survivals.contains(part) &&
         this->first_survival != TimePoint::max() &&
         now - this->first_survival >= this->options.min_history;
}

std::vector<CrashEvidence::Accusation> CrashEvidence::Unexplained(
    const Suspect& suspect,
    const std::set<IncarnationHash>& explained) {
  std::vector<Accusation> accusations;
  for (const auto& [incarnation, accusation] : suspect.crashes) {
    if (!explained.contains(incarnation)) {
      accusations.push_back(accusation);
    }
  }
  std::sort(
      accusations.begin(), accusations.end(),
      [](const Accusation& a, const Accusation& b) { return a.at < b.at; });
  return accusations;
}

double CrashEvidence::BrokenShare(
    TimePoint time,
    const std::vector<Accusation>& accusations) const {
  const int64_t second = SecondOf(time);
  double survived = kPriorCount;
  double broken = kPriorCount;
  for (auto it = this->outcomes.lower_bound(second - 1);
       it != this->outcomes.end() && it->first <= second + 1; ++it) {
    survived += it->second.survived;
    broken += it->second.broken;
  }
  for (const Accusation& accusation : accusations) {
    const int64_t accused = SecondOf(accusation.at);
    if (accusation.own && accused >= second - 1 && accused <= second + 1) {
      broken -= 1;
    }
  }
  broken = std::max(broken, kPriorCount);
  return broken / (survived + broken);
}

bool CrashEvidence::Suffices(PartHash part,
                             const std::vector<Accusation>& accusations,
                             TimePoint now) const {
  if (accusations.size() < this->options.min_events) {
    return false;
  }
  const TimePoint first = accusations.front().at;
  const uint64_t survived_before =
      std::min_element(accusations.begin(), accusations.end(),
                       [](const Accusation& a, const Accusation& b) {
                         return a.survived_before < b.survived_before;
                       })
          ->survived_before;
  if (this->total_survived - survived_before <
          this->options.min_other_survivals ||
      now - first < (this->IsNew(part, now) ? this->options.new_part_delay
                                            : this->options.known_part_delay)) {
    return false;
  }
  size_t events = 0;
  double chance = 1;
  TimePoint event_began{};
  for (const Accusation& accusation : accusations) {
    if (events == 0 || accusation.at - event_began > this->options.same_event) {
      ++events;
      event_began = accusation.at;
      chance *= this->BrokenShare(accusation.at, accusations);
    }
  }
  return events >= this->options.min_events &&
         chance <= this->options.max_chance;
}

void CrashEvidence::DropExpired(TimePoint now) {
  for (auto it = this->suspects.begin(); it != this->suspects.end();) {
    std::erase_if(it->second.crashes, [&](const auto& crash) {
      return now - crash.second.at > this->options.lifetime;
    });
    it = it->second.crashes.empty() ? this->suspects.erase(it) : std::next(it);
  }
}

std::vector<PartHash> CrashEvidence::Judge(
    const std::set<PartHash>& quarantined,
    TimePoint now) {
  this->DropExpired(now);
  std::set<IncarnationHash> explained;
  const auto explain = [&](const Suspect& suspect) {
    for (const auto& [incarnation, accusation] : suspect.crashes) {
      explained.insert(incarnation);
    }
  };
  for (const PartHash part : quarantined) {
    const auto found = this->suspects.find(part);
    if (found != this->suspects.end()) {
      explain(found->second);
    }
  }
  std::vector<PartHash> responsible;
  for (;;) {
    // Of parts with equally many crashes, one that is new goes first: requests
    // with the other one have survived.
    std::vector<PartHash> best;
    std::pair<size_t, bool> best_rank{0, false};
    for (const auto& [part, suspect] : this->suspects) {
      const auto accusations = Unexplained(suspect, explained);
      const std::pair<size_t, bool> rank{accusations.size(),
                                         this->IsNew(part, now)};
      if (rank < best_rank || quarantined.contains(part) ||
          !this->Suffices(part, accusations, now)) {
        continue;
      }
      if (rank > best_rank) {
        best.clear();
        best_rank = rank;
      }
      best.push_back(part);
    }
    if (best.empty()) {
      return responsible;
    }
    for (const PartHash part : best) {
      responsible.push_back(part);
      explain(this->suspects[part]);
    }
  }
}

}  // namespace celerypost
    // Of parts that always came together, one may still be acquitted.
    if (best.size() > 1 &&
        std::any_of(best.begin(), best.end(), [&](PartHash part) {
          return now - this->Unexplained(this->suspects[part]).front().at <
                 this->options.known_part_delay;
        })) {
      return responsible;
    }
