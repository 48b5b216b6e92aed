#include "src/request/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace celerypost {

using std::chrono::milliseconds;

milliseconds PartQuarantine::Period(uint32_t round) const {
  milliseconds period = this->options.first_period;
  for (uint32_t i = 1; i < round && period < this->options.max_period; ++i) {
    period *= 2;
  }
  return std::min(period, this->options.max_period);
}

void PartQuarantine::UpdateActive(PartHash part, const State& state) {
  if (state.lifted) {
    this->active.erase(part);
  } else {
    this->active.insert(part);
  }
}

void PartQuarantine::Begin(State& state, uint32_t round, TimePoint now) {
  state = {round, /*lifted=*/false, now, now + this->Period(round), now};
}

void PartQuarantine::Add(PartHash part, TimePoint now) {
  State& state = this->states[part];
  if (state.round == 0 || state.lifted) {
    this->Begin(state, state.round + 1, now);
    this->UpdateActive(part, state);
  }
}

bool PartQuarantine::Merge(const QuarantineRecord& record, TimePoint now) {
  if (record.round == 0) {
    return false;
  }
  State& state = this->states[record.part];
  if (std::pair(record.round, record.lifted) <=
      std::pair(state.round, state.lifted)) {
    return false;
  }
  const TimePoint probe_at =
      now + std::clamp(record.left, milliseconds(0), this->options.max_period);
  state = {record.round, record.lifted, probe_at - this->Period(record.round),
           probe_at, now};
  this->UpdateActive(record.part, state);
  return true;
}

PartQuarantine::Admission PartQuarantine::Admit(
    const std::vector<PartHash>& parts,
    const std::map<PartHash, bool>& may_probe,
    TimePoint now) {
  std::vector<State*> due;
  for (const PartHash part : parts) {
    if (!this->active.contains(part)) {
      continue;
    }
    State& state = this->states[part];
    state.used_at = now;
    const auto permission = may_probe.find(part);
    if (now < state.probe_at || permission == may_probe.end() ||
        !permission->second) {
      return Admission::kQuarantined;
    }
    due.push_back(&state);
  }
  for (State* const state : due) {
    this->Begin(*state, state->round + 1, now);
  }
  return due.empty() ? Admission::kFree : Admission::kProbe;
}

bool PartQuarantine::Contains(const std::vector<PartHash>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](PartHash part) {
    return this->active.contains(part);
  });
}

milliseconds PartQuarantine::TimeLeft(const std::vector<PartHash>& parts,
                                      TimePoint now) const {
  milliseconds left{0};
  for (const PartHash part : parts) {
    const auto found = this->states.find(part);
    if (found != this->states.end() && !found->second.lifted) {
      left = std::max(left, std::chrono::duration_cast<milliseconds>(
                                found->second.probe_at - now));
    }
  }
  return left;
}

bool PartQuarantine::OnSurvived(PartHash part, TimePoint at, TimePoint now) {
  if (!this->active.contains(part)) {
    return false;
  }
  State& state = this->states[part];
  if (at <= state.began_at) {
    return false;
  }
  state.lifted = true;
  state.used_at = now;
  this->UpdateActive(part, state);
  return true;
}

QuarantineRecord PartQuarantine::ToRecord(PartHash part,
                                          const State& state,
                                          TimePoint now) const {
  return {part, state.round, state.lifted,
          std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                        state.probe_at - now))};
}

std::vector<QuarantineRecord> PartQuarantine::Records(TimePoint now) const {
  std::vector<QuarantineRecord> records;
  records.reserve(this->states.size());
  for (const auto& [part, state] : this->states) {
    records.push_back(this->ToRecord(part, state, now));
  }
  return records;
}

std::optional<QuarantineRecord> PartQuarantine::RecordOf(PartHash part,
                                                         TimePoint now) const {
  const auto found = this->states.find(part);
  return found == this->states.end()
             ? std::nullopt
             : std::optional(this->ToRecord(part, found->second, now));
}

void PartQuarantine::DropExpired(TimePoint now) {
  const auto drop = [this](std::map<PartHash, State>::iterator it) {
    this->active.erase(it->first);
    return this->states.erase(it);
  };
  for (auto it = this->states.begin(); it != this->states.end();) {
    it = now - it->second.used_at > this->options.lifetime ? drop(it)
                                                           : std::next(it);
  }
  while (this->states.size() > this->options.max_parts) {
    drop(std::min_element(this->states.begin(), this->states.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.used_at < b.second.used_at;
                          }));
  }
}

}  // namespace celerypost
