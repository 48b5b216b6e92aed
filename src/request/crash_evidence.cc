#include "src/request/crash_evidence.h"

#include <algorithm>
#include <cstdlib>
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

// Times before a crash over which the share of broken requests is taken.
constexpr std::chrono::seconds kShortTime{1};
constexpr std::chrono::seconds kLongTime{10};

}  // namespace

PartHash HashPart(const std::string& model, const std::string& part) {
  return XXH64(part.data(), part.size(), XXH64(model.data(), model.size(), 0));
}

TargetStartHash HashTargetStart(const TargetRegistration& target) {
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
                             TargetStartHash target_start,
                             TimePoint now) {
  ++this->OutcomesAt(now).broken[target_start];
  for (const PartHash part : parts) {
    this->Accuse(part, target_start, now, /*own=*/true);
  }
}

void CrashEvidence::OnAnswerBegan(TargetStartHash target_start,
                                  TimePoint sent_at) {
  if (!this->recent.contains(target_start)) {
    return;
  }
  for (auto it = this->suspects.begin(); it != this->suspects.end();) {
    auto& crashes = it->second.crashes;
    const auto found = crashes.find(target_start);
    if (found != crashes.end() && found->second.at < sent_at) {
      crashes.erase(found);
    }
    it = crashes.empty() ? this->suspects.erase(it) : std::next(it);
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
  return this->Accuse(accusation.part, accusation.target_start, at,
                      /*own=*/false);
}

bool CrashEvidence::Accuse(PartHash part,
                           TargetStartHash target_start,
                           TimePoint at,
                           bool own) {
  if (this->recent_count < this->options.max_recent &&
      this->recent[target_start].try_emplace(part, at).second) {
    ++this->recent_count;
  }
  if (this->LastSurvival(part) >= at) {
    return false;
  }
  if (!this->suspects.contains(part) &&
      this->suspects.size() >= this->options.max_suspects) {
    // The part with the fewest crashes proves least, an old one less than a new
    // one.
    this->suspects.erase(std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [](const auto& a, const auto& b) {
          return std::pair(a.second.crashes.size(), a.second.last_crash) <
                 std::pair(b.second.crashes.size(), b.second.last_crash);
        }));
  }
  Suspect& suspect = this->suspects[part];
  suspect.last_crash = std::max(suspect.last_crash, at);
  auto& crashes = suspect.crashes;
  if (crashes.size() >= this->options.max_crashes_per_part &&
      !crashes.contains(target_start)) {
    return false;
  }
  const auto [found, added] = crashes.try_emplace(target_start);
  if (added) {
    found->second.survived_before = this->total_survived;
    found->second.at = at;
  } else if (at > found->second.at + this->options.max_news_delay) {
    // The same process broke another request.
    found->second.at = at;
  } else {
    // A copy that took longer looks newer.
    found->second.at = std::min(found->second.at, at);
  }
  found->second.own = found->second.own || own;
  return added;
}

bool CrashEvidence::AddSurvival(PartHash part, TimePoint at) {
  const auto [known, added] = this->survivals.try_emplace(part, Survival{at});
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

void CrashEvidence::Explain(
    const std::unordered_map<TargetStartHash, TimePoint>& crashes) {
  for (const auto& [target_start, at] : crashes) {
    this->explained_crashes.insert_or_assign(target_start, at);
  }
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
    const Suspect& suspect) const {
  std::vector<Accusation> accusations;
  for (const auto& [target_start, accusation] : suspect.crashes) {
    if (!this->explained_crashes.contains(target_start)) {
      accusations.push_back(accusation);
      accusations.back().target_start = target_start;
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
  // The longer time has enough requests, the shorter one tells a short outage.
  return std::max(this->BrokenShareSince(kShortTime, time, accusations),
                  this->BrokenShareSince(kLongTime, time, accusations));
}

double CrashEvidence::BrokenShareSince(
    std::chrono::seconds before,
    TimePoint time,
    const std::vector<Accusation>& accusations) const {
  const int64_t second = SecondOf(time);
  const int64_t begin = second - before.count();
  double survived = kPriorCount;
  double broken = kPriorCount;
  for (auto it = this->outcomes.lower_bound(begin);
       it != this->outcomes.end() && it->first <= second + 1; ++it) {
    survived += it->second.survived;
    for (const auto& [target_start, count] : it->second.broken) {
      const bool accuses = std::any_of(
          accusations.begin(), accusations.end(),
          [&, accused = target_start](const Accusation& accusation) {
            return accusation.target_start == accused &&
                   std::abs(SecondOf(accusation.at) - it->first) <= 1;
          });
      broken += accuses ? 0 : count;
    }
  }
  return broken / (survived + broken);
}

std::chrono::milliseconds CrashEvidence::NewPartDelay() const {
  const size_t groups = std::max<size_t>(
      1, this->gateways / this->options.gateways_per_new_part_delay);
  return std::min(this->options.new_part_delay * static_cast<int64_t>(groups),
                  this->options.known_part_delay);
}

size_t CrashEvidence::CountOthers(PartHash part) const {
  size_t others = this->recent_count;
  for (const auto& [target_start, crash] : this->suspects.at(part).crashes) {
    const auto found = this->recent.find(target_start);
    if (found == this->recent.end()) {
      continue;
    }
    others -= std::count_if(found->second.begin(), found->second.end(),
                            [&, at = crash.at](const auto& accusation) {
                              return std::chrono::abs(accusation.second - at) <=
                                     this->options.same_event;
                            });
  }
  return others;
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
      now - first < (this->IsNew(part, now) ? this->NewPartDelay()
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
         chance <= this->options.max_chance &&
         chance * static_cast<double>(1 + this->CountOthers(part)) <=
             this->options.max_chance;
}

void CrashEvidence::DropExpired(TimePoint now) {
  if (now >= this->next_cleaning) {
    this->next_cleaning = now + kShortTime;
    this->recent_count = 0;
    for (auto it = this->recent.begin(); it != this->recent.end();) {
      std::erase_if(it->second, [&](const auto& accusation) {
        return now - accusation.second > kLongTime;
      });
      this->recent_count += it->second.size();
      it = it->second.empty() ? this->recent.erase(it) : std::next(it);
    }
    std::erase_if(this->explained_crashes, [&](const auto& entry) {
      return now - entry.second > this->options.lifetime;
    });
  }
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
  const auto explain = [&](const Suspect& suspect) {
    for (const auto& [target_start, accusation] : suspect.crashes) {
      this->explained_crashes.insert_or_assign(target_start, accusation.at);
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
      if (suspect.crashes.size() < this->options.min_events) {
        continue;
      }
      const auto accusations = this->Unexplained(suspect);
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
    // Of parts that always came together, one may still be acquitted.
    if (best.size() > 1 &&
        std::any_of(best.begin(), best.end(), [&](PartHash part) {
          return now - this->Unexplained(this->suspects[part]).front().at <
                 this->options.known_part_delay;
        })) {
      return responsible;
    }
    for (const PartHash part : best) {
      responsible.push_back(part);
      explain(this->suspects[part]);
    }
  }
}

}  // namespace celerypost
