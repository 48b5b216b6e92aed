#include "src/request/cold_start.h"

#include <algorithm>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

// Divisor that weights a new first-token time in the baseline.
constexpr int kBaselineSmoothing = 32;

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
  if (this->IsSlow(latency)) {
    if (this->limit >= this->options.full_limit) {
      this->BecomeCold(now);
    } else {
      this->RestartStep(now);
    }
    return;
  }
  if (this->limit < this->options.full_limit) {
    return;
  }
  if (this->baseline_count < this->options.baseline_samples) {
    ++this->baseline_count;
    this->baseline += (latency - this->baseline) / this->baseline_count;
  } else {
    this->baseline += (latency - this->baseline) / kBaselineSmoothing;
  }
}

void ColdStart::OnFinished(bool ok, TimePoint now) {
  if (this->limit >= this->options.full_limit) {
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
  return this->limit;
}

ColdState ColdStart::state() const {
  if (this->limit >= this->options.full_limit) {
    return ColdState::kWarm;
  }
  return this->limit == this->options.cold_limit ? ColdState::kCold
                                                 : ColdState::kWarming;
}

void ColdStart::BecomeCold(TimePoint now) {
  this->limit = this->options.cold_limit;
  ++this->epoch_number;
  this->RestartStep(now);
}

void ColdStart::RestartStep(TimePoint now) {
  this->step_begun = true;
  this->finished_in_step = 0;
  this->step_started = now;
}

bool ColdStart::IsSlow(Duration latency) const {
  return this->baseline_count >= this->options.baseline_samples &&
         latency > this->options.slow_floor &&
         static_cast<double>(latency.count()) >
             static_cast<double>(this->baseline.count()) *
                 this->options.slow_factor;
}

}  // namespace celerypost
