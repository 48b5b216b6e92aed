#include "src/process/state/freshness.h"

#include <algorithm>
#include <utility>

namespace celerypost {
namespace {

constexpr size_t kMaxWitnesses = 5;

}  // namespace

Freshness::Freshness(FreshnessOptions options) : options(std::move(options)) {}

bool Freshness::OnStamp(const Stamp& stamp, Duration age, TimePoint now) {
  if (stamp.witness == this->options.self || age < Duration::zero()) {
    return false;
  }
  auto [entry, inserted] = this->evidence.try_emplace(stamp.witness);
  if (!inserted && entry->second.stamp.sequence >= stamp.sequence) {
    return false;
  }
  entry->second = Evidence{stamp, now - age};
  this->NoteStoreEvidence(entry->second);
  this->highest_number = std::max(this->highest_number, stamp.config_number);
  return true;
}

void Freshness::SetNumber(uint64_t number) {
  this->own_number = std::max(this->own_number, number);
  for (const auto& [witness, item] : this->evidence) {
    this->NoteStoreEvidence(item);
  }
  this->highest_number = std::max(this->highest_number, number);
}

void Freshness::SetWitnesses(const RegionName& region,
                             std::vector<InstanceId> proposed,
                             const std::set<InstanceId>& silent,
                             TimePoint now) {
  std::vector<InstanceId>& current = this->witnesses[region];
  std::sort(proposed.begin(), proposed.end());
  if (proposed == current) {
    return;
  }
  const bool drops_no_silent_witness =
      std::all_of(current.begin(), current.end(), [&](InstanceId member) {
        return std::binary_search(proposed.begin(), proposed.end(), member) ||
               !silent.contains(member);
      });
  if (drops_no_silent_witness || this->options.disable_isolation ||
      this->CountHeard(current, now) * 2 > current.size()) {
    current = std::move(proposed);
  }
}

void Freshness::SetListedEntries(size_t count) {
  this->listed_entries = count;
}

bool Freshness::MayGiveNewWork(TimePoint now) {
  const bool fresh =
      this->HoldsStoreEvidence(now) || this->HearsHalfOfWitnesses(now);
  this->is_admitted = this->is_admitted || fresh;
  return fresh || (this->options.disable_isolation && this->own_number > 0);
}

bool Freshness::IsWitness() const {
  const auto& set = this->Witnesses(this->options.region);
  return std::find(set.begin(), set.end(), this->options.self) != set.end();
}

std::optional<AgedStamp> Freshness::IssueStamp(bool store_reachable,
                                               Duration age,
                                               TimePoint now) {
  const Stamp stamp{this->options.self, this->options.region,
                    this->next_sequence, this->own_number, store_reachable};
  if (!store_reachable) {
    // Without an answer of the key-value service the stamp states what this
    // process holds now. It counts for less than the evidence of an earlier
    // read, which stays in known_newest_at.
    age = Duration::zero();
    if (!this->is_admitted && !this->MayGiveNewWork(now)) {
      return std::nullopt;
    }
  }
  if (!this->IsWitness()) {
    return std::nullopt;
  }
  ++this->next_sequence;
  this->evidence[this->options.self] = Evidence{stamp, now - age};
  this->NoteStoreEvidence(this->evidence[this->options.self]);
  this->is_admitted = this->is_admitted || store_reachable;
  return AgedStamp{stamp, age};
}

bool Freshness::Confirmed(uint64_t number, const RegionName& region) const {
  const auto& set = this->Witnesses(region);
  const auto confirming =
      std::count_if(set.begin(), set.end(), [&](InstanceId witness) {
        const auto found = this->evidence.find(witness);
        return found != this->evidence.end() &&
               found->second.stamp.config_number >= number;
      });
  return static_cast<size_t>(confirming) * 2 > set.size();
}

bool Freshness::Reachable(const RegionName& region, TimePoint now) const {
  const auto& set = this->Witnesses(region);
  return this->CountHeard(set, now) * 2 > set.size();
}

std::vector<AgedStamp> Freshness::Stamps(TimePoint now) const {
  std::vector<AgedStamp> stamps;
  for (const auto& [witness, item] : this->evidence) {
    if (this->IsFresh(item, now)) {
      stamps.push_back(AgedStamp{item.stamp, now - item.stated_at});
    }
  }
  std::sort(
      stamps.begin(), stamps.end(),
      [](const AgedStamp& a, const AgedStamp& b) { return a.age < b.age; });
  return stamps;
}

uint64_t Freshness::NumberOf(InstanceId witness) const {
  const auto found = this->evidence.find(witness);
  return found == this->evidence.end() ? 0 : found->second.stamp.config_number;
}

const std::vector<InstanceId>& Freshness::Witnesses(
    const RegionName& region) const {
  static const std::vector<InstanceId> none;
  const auto found = this->witnesses.find(region);
  return found == this->witnesses.end() ? none : found->second;
}

bool Freshness::IsFresh(const Evidence& item, TimePoint now) const {
  return now - item.stated_at <= this->options.max_age;
}

size_t Freshness::CountHeard(const std::vector<InstanceId>& set,
                             TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(set.begin(), set.end(), [&](InstanceId witness) {
        if (witness == this->options.self) {
          return this->is_admitted;
        }
        const auto found = this->evidence.find(witness);
        return found != this->evidence.end() &&
               this->IsFresh(found->second, now);
      }));
}

void Freshness::NoteStoreEvidence(const Evidence& item) {
  if (item.stamp.store_reachable &&
      item.stamp.config_number <= this->own_number) {
    this->known_newest_at = std::max(
        this->known_newest_at.value_or(item.stated_at), item.stated_at);
  }
}

bool Freshness::HoldsStoreEvidence(TimePoint now) const {
  return this->known_newest_at &&
         now - *this->known_newest_at <= this->options.max_age;
}

bool Freshness::HearsHalfOfWitnesses(TimePoint now) const {
  const auto& set = this->Witnesses(this->options.region);
  if (this->own_number == 0 || this->highest_number > this->own_number ||
      set.empty()) {
    return false;
  }
  size_t needed = set.size();
  if (!this->is_admitted) {
    if (!this->listed_entries) {
      return false;
    }
    needed = std::max(needed, std::min(*this->listed_entries, kMaxWitnesses));
  }
  return this->CountHeard(set, now) * 2 >= needed;
}

}  // namespace celerypost
