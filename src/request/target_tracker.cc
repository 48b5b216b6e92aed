#include "src/request/target_tracker.h"

#include <algorithm>

#include <xxhash.h>

#include "celerypost/assert.h"

namespace celerypost {

namespace {

constexpr std::chrono::seconds kRateWindow{1};

}  // namespace

TargetTracker::TargetTracker(TargetTrackerOptions options) : options(options) {}

uint64_t TargetTracker::HashOf(const std::string& target_id) {
  return XXH64(target_id.data(), target_id.size(), 0);
}

void TargetTracker::OnSent(const std::string& target,
                           double prompt_tokens,
                           TimePoint now,
                           bool late) {
  Record& record = this->records[target];
  ++record.in_flight;
  if (late) {
    ++record.late_waiting;
  } else {
    record.waiting_tokens += prompt_tokens;
  }
  while (!record.sent_at.empty() &&
         now - record.sent_at.front() >= kRateWindow) {
    record.sent_at.pop_front();
  }
  record.sent_at.push_back(now);
}

void TargetTracker::OnFirstEvent(const std::string& target,
                                 double prompt_tokens,
                                 bool late) {
  RemoveWaiting(this->records[target], prompt_tokens, late);
}

void TargetTracker::RemoveWaiting(Record& record,
                                  double prompt_tokens,
                                  bool late) {
  if (late) {
    CELERYPOST_ASSERT(record.late_waiting > 0,
                      "an attempt must be sent before it begins, and once");
    --record.late_waiting;
  } else {
    record.waiting_tokens =
        std::max(0.0, record.waiting_tokens - prompt_tokens);
  }
}

void TargetTracker::OnEnd(const std::string& target,
                          double prompt_tokens,
                          bool had_event,
                          AttemptOutcome outcome,
                          TimePoint now,
                          bool late) {
  this->OnReleased(target, prompt_tokens, had_event, late);
  this->OnOutcome(target, outcome, now);
}

void TargetTracker::OnReleased(const std::string& target,
                               double prompt_tokens,
                               bool had_event,
                               bool late) {
  Record& record = this->records[target];
  CELERYPOST_ASSERT(record.in_flight > 0,
                    "an attempt must be sent before it ends, and end once");
  --record.in_flight;
  if (!had_event) {
    RemoveWaiting(record, prompt_tokens, late);
  }
}

void TargetTracker::OnOutcome(const std::string& target,
                              AttemptOutcome outcome,
                              TimePoint now) {
  Record& record = this->records[target];
  const double weight = this->options.failure_weight;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      record.consecutive_breaks = 0;
      record.failure_share *= 1 - weight;
      break;
    case AttemptOutcome::kRefused:
      record.avoided_until =
          std::max(record.avoided_until, now + this->options.refusal_backoff);
      break;
    case AttemptOutcome::kReplaced:
      record.avoided_until =
          std::max(record.avoided_until, now + this->options.replaced_backoff);
      break;
    case AttemptOutcome::kFailed:
      record.failure_share += (1 - record.failure_share) * weight;
      break;
    case AttemptOutcome::kBroken:
      this->NoteBreak(record, now);
      break;
    case AttemptOutcome::kAbandoned:
      break;
  }
}

void TargetTracker::OnSilent(const std::string& target, TimePoint now) {
  this->NoteBreak(this->records[target], now);
}

void TargetTracker::NoteBreak(Record& record, TimePoint now) const {
  record.failure_share +=
      (1 - record.failure_share) * this->options.failure_weight;
  const auto backoff =
      std::min(this->options.initial_backoff *
                   (1 << std::min(record.consecutive_breaks, 8u)),
               this->options.max_backoff);
  ++record.consecutive_breaks;
  record.avoided_until = std::max(record.avoided_until, now + backoff);
}

void TargetTracker::OnReport(InstanceId instance,
                             const std::vector<ReportedLoad>& loads,
                             std::chrono::milliseconds period,
                             TimePoint now) {
  SetReport(this->reports[instance], loads,
            now + period * this->options.max_missed_reports);
}

void TargetTracker::OnRegionReport(const RegionName& region,
                                   const std::vector<ReportedLoad>& loads,
                                   std::chrono::milliseconds lifetime,
                                   TimePoint now) {
  SetReport(this->region_reports[region], loads, now + lifetime);
}

void TargetTracker::SetReport(Report& report,
                              const std::vector<ReportedLoad>& loads,
                              TimePoint expires_at) {
  report.expires_at = expires_at;
  report.loads.clear();
  for (const ReportedLoad& load : loads) {
    report.loads[load.target_hash] = load;
  }
}

void TargetTracker::ForgetReporter(InstanceId instance) {
  this->reports.erase(instance);
}

EngineLoad TargetTracker::LoadOf(const std::string& target,
                                 TimePoint now) const {
  EngineLoad load;
  const auto own = this->records.find(target);
  if (own != this->records.end()) {
    load.in_flight = own->second.in_flight - own->second.late_waiting;
    load.waiting_tokens = own->second.waiting_tokens;
    load.late_waiting = own->second.late_waiting;
  }
  const uint64_t hash = HashOf(target);
  const auto add = [&](const Report& report) {
    const auto found = report.loads.find(hash);
    if (now <= report.expires_at && found != report.loads.end()) {
      const uint32_t late =
          std::min(found->second.late_waiting, found->second.in_flight);
      load.in_flight += found->second.in_flight - late;
      load.waiting_tokens += found->second.waiting_tokens;
      load.late_waiting += late;
    }
  };
  for (const auto& [instance, report] : this->reports) {
    add(report);
  }
  for (const auto& [region, report] : this->region_reports) {
    add(report);
  }
  return load;
}

std::vector<ReportedLoad> TargetTracker::CombinedLoads(TimePoint now) const {
  std::unordered_map<uint64_t, ReportedLoad> sums;
  const auto add = [&sums](const ReportedLoad& load) {
    ReportedLoad& sum = sums[load.target_hash];
    sum.target_hash = load.target_hash;
    sum.in_flight += load.in_flight;
    sum.waiting_tokens += load.waiting_tokens;
    sum.late_waiting += load.late_waiting;
  };
  for (const ReportedLoad& load : this->OwnLoads()) {
    add(load);
  }
  for (const auto& [instance, report] : this->reports) {
    if (now > report.expires_at) {
      continue;
    }
    for (const auto& [hash, load] : report.loads) {
      add(load);
    }
  }
  std::vector<ReportedLoad> combined;
  combined.reserve(sums.size());
  for (const auto& [hash, sum] : sums) {
    combined.push_back(sum);
  }
  return combined;
}

std::vector<ReportedLoad> TargetTracker::OwnLoads() const {
  std::vector<ReportedLoad> loads;
  for (const auto& [target, record] : this->records) {
    if (record.in_flight > 0) {
      loads.push_back({HashOf(target), record.in_flight, record.waiting_tokens,
                       record.late_waiting});
    }
  }
  return loads;
}

size_t TargetTracker::SentInLastSecond(const std::string& target,
                                       TimePoint now) const {
  const auto found = this->records.find(target);
  if (found == this->records.end()) {
    return 0;
  }
  const auto& sent = found->second.sent_at;
  return static_cast<size_t>(sent.end() - std::upper_bound(sent.begin(),
                                                           sent.end(),
                                                           now - kRateWindow));
}

bool TargetTracker::Avoided(const std::string& target, TimePoint now) const {
  const auto found = this->records.find(target);
  return found != this->records.end() && now < found->second.avoided_until;
}

double TargetTracker::FailureShare(const std::string& target) const {
  const auto found = this->records.find(target);
  return found == this->records.end() ? 0 : found->second.failure_share;
}

void TargetTracker::Forget(const std::map<std::string, bool>& known) {
  for (auto it = this->records.begin(); it != this->records.end();) {
    const bool drop = it->second.in_flight == 0 && !known.contains(it->first);
    it = drop ? this->records.erase(it) : std::next(it);
  }
}

}  // namespace celerypost
