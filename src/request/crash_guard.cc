#include "src/request/crash_guard.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "src/version/digest.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Bounds the queues when no news is taken, in items per kind.
constexpr size_t kMaxPending = 1024;

size_t Index(NewsScope scope) {
  return static_cast<size_t>(scope);
}

template <typename Queue>
void Trim(Queue& queue) {
  while (queue.size() > kMaxPending) {
    queue.pop_front();
  }
}

milliseconds AgeOf(TimePoint at, TimePoint now) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(now - at));
}

}  // namespace

CrashGuardOptions WholeRequestGuardOptions() {
  CrashGuardOptions options;
  options.evidence.known_part_delay = milliseconds(1500);
  options.evidence.min_other_survivals = 2;
  options.evidence.max_chance = 0.003;
  options.evidence.max_suspects = 2048;
  options.evidence.max_crashes_per_part = 64;
  options.evidence.max_known_parts = 1024;
  options.first_crash_news_delay = milliseconds(300);
  options.keeps_survivals_of_suspects_only = true;
  return options;
}

CrashGuard::CrashGuard(CrashGuardOptions options,
                       std::string self,
                       OnChange on_change)
    : options(options),
      self(std::move(self)),
      on_change(std::move(on_change)),
      gateways({this->self}),
      evidence(options.evidence),
      quarantine(options.quarantine) {}

CrashGuard::Copies CrashGuard::CopiesFor(const NewsScope* from) const {
  Copies copies;
  for (const NewsScope scope : {NewsScope::kRegion, NewsScope::kOtherRegions}) {
    if (from == nullptr || *from != scope) {
      copies.left[Index(scope)] = this->options.copies;
    }
  }
  return copies;
}

bool CrashGuard::MayProbe(PartHash part, TimePoint now) const {
  const auto since = this->prober_since.find(part);
  return since != this->prober_since.end() &&
         now - since->second >= this->options.probe_handover &&
         this->IsProber(part);
}

void CrashGuard::UpdateProber(TimePoint now) {
  std::erase_if(this->prober_since, [this](const auto& entry) {
    return !this->quarantine.parts().contains(entry.first);
  });
  for (const PartHash part : this->quarantine.parts()) {
    if (this->IsProber(part)) {
      this->prober_since.try_emplace(part, now);
    } else {
      this->prober_since.erase(part);
    }
  }
}

milliseconds CrashGuard::NextQuarantineNews(TimePoint now) const {
  const size_t groups = std::max<size_t>(
      1, this->gateways.size() /
             this->options.gateways_per_quarantine_news_period);
  const milliseconds longest =
      this->options.quarantine_news_period * static_cast<int64_t>(groups);
  // Gateways that started together send at different times.
  const milliseconds half = longest / 2;
  return half + milliseconds(XXH64(this->self.data(), this->self.size(),
                                   now.time_since_epoch().count()) %
                             (half.count() + 1));
}

bool CrashGuard::IsProber(PartHash part) const {
  const std::string key = std::to_string(part);
  const auto weight = [&](const std::string& gateway) {
    return std::pair(
        RendezvousWeight(key, XXH64(gateway.data(), gateway.size(), 0)),
        std::string_view(gateway));
  };
  return std::all_of(this->gateways.begin(), this->gateways.end(),
                     [&](const std::string& gateway) {
                       return weight(gateway) <= weight(this->self);
                     });
}

bool CrashGuard::MaySend(const std::vector<PartHash>& parts, TimePoint now) {
  if (!this->quarantine.Contains(parts)) {
    return true;
  }
  std::map<PartHash, bool> may_probe;
  for (const PartHash part : parts) {
    may_probe[part] = this->MayProbe(part, now);
  }
  switch (this->quarantine.Admit(parts, may_probe, now)) {
    case PartQuarantine::Admission::kFree:
      return true;
    case PartQuarantine::Admission::kQuarantined:
      return false;
    case PartQuarantine::Admission::kProbe:
      break;
  }
  for (const PartHash part : parts) {
    if (this->quarantine.Contains({part})) {
      this->AnnounceQuarantine(part, nullptr, now);
    }
  }
  return true;
}

bool CrashGuard::MayRepeat(const std::vector<PartHash>& parts,
                           TimePoint now) const {
  return std::none_of(parts.begin(), parts.end(), [&](PartHash part) {
    return this->quarantine.parts().contains(part) ||
           (this->evidence.Crashes(part) >
                this->options.max_crashes_to_repeat &&
            now - this->evidence.LastSurvival(part) >
                this->options.evidence.known_part_delay);
  });
}

void CrashGuard::OnSurvived(const std::vector<PartHash>& parts, TimePoint now) {
  std::vector<PartHash> acquitted;
  std::vector<PartHash> suspects;
  for (const PartHash part : parts) {
    const bool accused = this->evidence.Crashes(part) > 0;
    if (accused) {
      acquitted.push_back(part);
    }
    if (accused || this->quarantine.parts().contains(part) ||
        this->evidence.LastSurvival(part) != TimePoint{}) {
      suspects.push_back(part);
    }
  }
  this->evidence.OnSurvived(
      this->options.keeps_survivals_of_suspects_only ? suspects : parts, now);
  for (const PartHash part : acquitted) {
    this->AnnounceOwnSurvival(part, now);
  }
  for (const PartHash part : parts) {
    this->LiftIfSurvived(part, now);
  }
}

void CrashGuard::LiftIfSurvived(PartHash part, TimePoint now) {
  if (this->quarantine.OnSurvived(part, this->evidence.LastSurvival(part),
                                  now)) {
    this->AnnounceQuarantine(part, nullptr, now);
  }
}

void CrashGuard::OnBroken(const std::vector<PartHash>& parts,
                          TargetStartHash target_start,
                          TimePoint now) {
  this->evidence.OnBroken(parts, target_start, now);
  for (const PartHash part : parts) {
    milliseconds delay{0};
    if (this->evidence.LastSurvival(part) != TimePoint{}) {
      delay = this->options.known_part_news_delay;
    } else if (this->evidence.Crashes(part) == 1) {
      delay = this->options.first_crash_news_delay;
    }
    this->accusations.push_back(
        {{{part, target_start}, now}, now + delay, this->CopiesFor(nullptr)});
  }
  Trim(this->accusations);
}

void CrashGuard::Judge(TimePoint now) {
  this->quarantine.DropExpired(now);
  std::erase_if(this->reported, [this](PartHash part) {
    return !this->quarantine.parts().contains(part);
  });
  this->UpdateProber(now);
  if (this->evidence.empty()) {
    return;
  }
  for (const PartHash part :
       this->evidence.Judge(this->quarantine.parts(), now)) {
    this->quarantine.Add(part, now);
    this->AnnounceQuarantine(part, nullptr, now);
  }
}

void CrashGuard::AnnounceOwnSurvival(PartHash part, TimePoint now) {
  const TimePoint at = this->evidence.LastOwnSurvival(part);
  if (at != TimePoint{}) {
    this->AnnounceSurvival({part, at, /*relayed=*/false}, nullptr, now);
  }
}

void CrashGuard::RelaySurvival(PartHash part,
                               TimePoint at,
                               NewsScope from,
                               TimePoint now) {
  this->AnnounceSurvival({part, at, /*relayed=*/true}, &from, now);
}

void CrashGuard::AnnounceSurvival(const TimedSurvival& survival,
                                  const NewsScope* from,
                                  TimePoint now) {
  const auto [last, added] = this->last_survival_news.try_emplace(
      std::pair(survival.part, survival.relayed), now);
  if (!added && now - last->second < this->options.survival_news_period) {
    return;
  }
  last->second = now;
  if (this->last_survival_news.size() > kMaxPending) {
    std::erase_if(this->last_survival_news, [&](const auto& entry) {
      return now - entry.second >= this->options.survival_news_period;
    });
  }
  this->survivals.push_back({survival, now, this->CopiesFor(from)});
  Trim(this->survivals);
}

void CrashGuard::AnnounceQuarantine(PartHash part,
                                    const NewsScope* from,
                                    TimePoint now) {
  this->changed_quarantines.push_back({part, now, this->CopiesFor(from)});
  Trim(this->changed_quarantines);
  const auto record = this->quarantine.RecordOf(part, now);
  if (!record) {
    return;
  }
  if (record->lifted) {
    this->evidence.Forget(part);
  }
  const bool changed = record->lifted ? this->reported.erase(part) > 0
                                      : this->reported.insert(part).second;
  if (changed) {
    this->on_change(*record, this->evidence.Crashes(part));
  }
}

void CrashGuard::OnNews(const CrashNews& news, NewsScope scope, TimePoint now) {
  for (const CrashNews::Survival& survival : news.survivals) {
    const TimePoint at = now - survival.age;
    if (this->evidence.AddSurvival(survival.part, at)) {
      // Of the own region, the gateways that send to other regions pass it on.
      if (!survival.relayed || scope == NewsScope::kOtherRegions) {
        this->RelaySurvival(survival.part, at, scope, now);
      }
      this->LiftIfSurvived(survival.part, now);
    }
  }
  for (const CrashNews::Accusation& item : news.accusations) {
    const PartHash part = item.accusation.part;
    const TimePoint at = now - item.age;
    if (this->evidence.AddAccusation(item.accusation, at)) {
      this->accusations.push_back(
          {{item.accusation, at}, now, this->CopiesFor(&scope)});
    }
    // Also when the requests survived before the crash: the part is then not a
    // new one.
    this->AnnounceOwnSurvival(part, now);
  }
  Trim(this->accusations);
  for (const QuarantineRecord& record : news.quarantines) {
    if (this->quarantine.Merge(record, now)) {
      this->AnnounceQuarantine(record.part, &scope, now);
      this->LiftIfSurvived(record.part, now);
    }
  }
}

CrashNews CrashGuard::TakeNews(NewsScope scope, TimePoint now) {
  CrashNews news;
  const size_t index = Index(scope);
  // Passes the items that are due to `use` and drops those that have been sent
  // often enough.
  const auto take = [&](auto& queue, auto use) {
    size_t count = 0;
    for (auto& pending : queue) {
      if (pending.copies.left[index] > 0 && now >= pending.not_before &&
          count < this->options.max_items) {
        --pending.copies.left[index];
        count += use(pending.item) ? 1 : 0;
      }
    }
    std::erase_if(queue, [&](const auto& pending) {
      return (pending.copies.left[0] == 0 && pending.copies.left[1] == 0) ||
             now - pending.not_before > this->options.news_lifetime;
    });
  };
  take(this->accusations, [&](const TimedAccusation& item) {
    if (this->evidence.LastSurvival(item.accusation.part) >= item.at) {
      return false;
    }
    news.accusations.push_back({item.accusation, AgeOf(item.at, now)});
    return true;
  });
  take(this->survivals, [&](const TimedSurvival& item) {
    const TimePoint at =
        item.relayed
            ? item.at
            : std::max(item.at, this->evidence.LastOwnSurvival(item.part));
    news.survivals.push_back({item.part, AgeOf(at, now), item.relayed});
    return true;
  });
  if (scope == NewsScope::kOtherRegions || now >= this->next_quarantine_news) {
    news.quarantines = this->quarantine.Records(now);
    if (scope == NewsScope::kRegion) {
      this->next_quarantine_news = now + this->NextQuarantineNews(now);
    }
    take(this->changed_quarantines, [](PartHash) { return true; });
  } else {
    take(this->changed_quarantines, [&](PartHash part) {
      if (const auto record = this->quarantine.RecordOf(part, now)) {
        news.quarantines.push_back(*record);
      }
      return true;
    });
  }
  return news;
}

}  // namespace celerypost
