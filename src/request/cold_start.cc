#include "src/request/cold_start.h"

#include <algorithm>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

// Divisor that weights a new first-token time in the baseline.
constexpr int kBaselineSmoothing = 32;
// Divisors of the difference by which the recent first-token time falls and
// rises with a new one.
constexpr int kRecentFall = 2;
constexpr int kRecentRise = 8;

uint32_t CountDoublings(uint32_t cold_limit, uint32_t full_limit) {
  uint32_t steps = 0;
  for (uint64_t limit = cold_limit; limit < full_limit; limit *= 2) {
    ++steps;
  }
  return steps;
}

}  // namespace

ColdStart::ColdStart(ColdStartOptions options)
    : options(options), limit(options.cold_limit) {
  CELERYPOST_ASSERT(
      options.cold_limit >= 1 && options.cold_limit <= options.full_limit,
      "P2: a cold target never receives more load than it can handle");
  this->step_time =
      Duration(options.warm_up) /
      std::max(1u, CountDoublings(options.cold_limit, options.full_limit));
}

void ColdStart::OnTargetStarted(InstanceId id, TimePoint now) {
  if (id != this->start_id) {
    this->start_id = id;
    this->BecomeCold(now);
  }
}

void ColdStart::OnSentinelClosed(TimePoint now) {
  this->BecomeCold(now);
}

void ColdStart::OnSwitchCompleted(TimePoint now) {
  this->BecomeCold(now);
}

void ColdStart::OnFirstToken(Duration latency, TimePoint now) {
  if (this->suspected_at && now - latency < *this->suspected_at) {
    // Dispatched before the suspicion, so it tells nothing new.
    return;
  }
  if (!this->IsSlow(latency)) {
    this->suspected_at.reset();
    this->AddSample(latency);
    return;
  }
  const bool warm = this->limit >= this->options.full_limit;
  if (this->suspected_at || (warm && this->IsEstablished())) {
    this->BecomeCold(now);
    return;
  }
  this->RestartStep(now);
  if (this->limit > this->options.cold_limit) {
    this->suspected_at = now;
  }
}

void ColdStart::AddSample(Duration latency) {
  // Falls fast, because the first tokens of a target that warms up become
  // faster.
  if (this->recent == Duration::zero()) {
    this->recent = latency;
  } else {
    const Duration difference = latency - this->recent;
    this->recent += difference /
                    (difference < Duration::zero() ? kRecentFall : kRecentRise);
  }
  if (this->limit < this->options.full_limit) {
    return;
  }
  if (!this->IsEstablished()) {
    ++this->baseline_count;
    this->baseline += (latency - this->baseline) / this->baseline_count;
  } else {
    this->baseline += (latency - this->baseline) / kBaselineSmoothing;
  }
}

void ColdStart::OnFinished(bool ok, TimePoint now) {
  if (this->suspected_at || this->limit >= this->options.full_limit) {
    return;
  }
  if (!this->step_begun || !ok) {
    this->RestartStep(now);
  }
  if (!ok) {
    return;
  }
  ++this->finished_in_step;
  if (this->finished_in_step >= this->limit &&
      now - this->step_started >= this->step_time) {
    this->limit = static_cast<uint32_t>(std::min<uint64_t>(
        uint64_t{this->limit} * 2, this->options.full_limit));
    this->RestartStep(now);
  }
}

uint32_t ColdStart::Limit(TimePoint) const {
  return this->suspected_at ? this->options.cold_limit : this->limit;
}

ColdState ColdStart::state() const {
  if (this->suspected_at) {
    return ColdState::kCold;
  }
  if (this->limit >= this->options.full_limit) {
    return ColdState::kWarm;
  }
  return this->limit == this->options.cold_limit ? ColdState::kCold
                                                 : ColdState::kWarming;
}

void ColdStart::BecomeCold(TimePoint now) {
  this->limit = this->options.cold_limit;
  this->recent = Duration::zero();
  this->suspected_at.reset();
  ++this->epoch_number;
  this->RestartStep(now);
}

void ColdStart::RestartStep(TimePoint now) {
  this->step_begun = true;
  this->finished_in_step = 0;
  this->step_started = now;
}

bool ColdStart::IsSlow(Duration latency) const {
  const Duration usual = this->IsEstablished() ? this->baseline : this->recent;
  return usual > Duration::zero() && latency > this->options.slow_floor &&
         static_cast<double>(latency.count()) >
             static_cast<double>(usual.count()) * this->options.slow_factor;
}

}  // namespace celerypost
