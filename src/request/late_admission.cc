#include "src/request/late_admission.h"

#include <algorithm>

#include "src/version/checked_number.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

// Share of failed attempts from which on a target gets no late request.
constexpr double kMaxFailureShare = 0.3;

}  // namespace

milliseconds LateAdmission::PatienceOf(const Route& route) const {
  return std::max({route.latency_goal * this->options.goals,
                   route.pause_goal * this->options.pause_goals,
                   this->options.min_patience}) -
         this->options.margin;
}

bool LateAdmission::Admits(const ServiceState& state,
                           const LateRequest& request,
                           TimePoint now) const {
  if (now < state.paused_until) {
    return false;
  }
  const double share = request.returning ? this->options.begin_share_returning
                                         : this->options.begin_share_new;
  return state.waiting.empty() ||
         now - *state.waiting.begin() <= request.patience * share;
}

std::optional<Milliseconds> LateAdmission::Judge(
    const EngineRates& rates,
    const PlacementCandidate& candidate,
    const LateRequest& request) const {
  const uint32_t slots_per_late = request.returning
                                      ? this->options.slots_per_returning
                                      : this->options.slots_per_new;
  const uint32_t max_waiting = std::max(1u, rates.slots / slots_per_late);
  if (candidate.load.late_waiting >= max_waiting ||
      (!request.returning &&
       candidate.load.in_flight > this->options.max_load_new * rates.slots) ||
      candidate.failure_share > kMaxFailureShare ||
      (candidate.reload_in && *candidate.reload_in < request.patience)) {
    return std::nullopt;
  }
  EngineLoad load = candidate.load;
  load.in_flight += load.late_waiting;
  const Milliseconds predicted =
      PredictFirstEvent(rates, load, request.prompt_tokens);
  const Milliseconds end =
      predicted + AnswerTime(rates, load.in_flight, request.answer_tokens) *
                      std::max(1.0, load.slowdown);
  if (predicted > request.patience ||
      end > request.deadline_left - this->options.margin) {
    return std::nullopt;
  }
  return predicted;
}

std::optional<LatePlacement> LateAdmission::Place(
    const EngineRates& rates,
    const std::vector<PlacementCandidate>& candidates,
    const LateRequest& request,
    TimePoint now) {
  const auto state = this->services.find(request.service);
  if (candidates.empty() || (state != this->services.end() &&
                             !this->Admits(state->second, request, now))) {
    return std::nullopt;
  }
  const Duration longest_absence = LongestPreferredAbsence(candidates);
  std::optional<LatePlacement> best;
  Milliseconds best_predicted{0};
  for (size_t i = 0; i < std::min(this->options.compared, candidates.size());
       ++i) {
    const size_t index = this->random.Below(candidates.size());
    if (candidates[index].unregistered_for > longest_absence) {
      continue;
    }
    const auto predicted = this->Judge(rates, candidates[index], request);
    if (predicted && (!best || *predicted < best_predicted)) {
      const EngineLoad& load = candidates[index].load;
      best = {.candidate = index,
              .predicted = ToClampedDuration(predicted->count()),
              .room = load.in_flight + load.late_waiting <=
                      this->options.room_load * rates.slots};
      best_predicted = *predicted;
    }
  }
  return best;
}

void LateAdmission::OnSent(const ServiceName& service, TimePoint now) {
  this->services[service].waiting.insert(now);
}

void LateAdmission::OnBegan(const ServiceName& service,
                            TimePoint sent_at,
                            milliseconds patience,
                            TimePoint now) {
  ServiceState& state = this->services[service];
  if (!this->EndWait(state, sent_at, patience, now) &&
      now >= state.paused_until) {
    state.pause = milliseconds(0);
  }
}

void LateAdmission::OnEnded(const ServiceName& service,
                            TimePoint sent_at,
                            milliseconds patience,
                            TimePoint now) {
  this->EndWait(this->services[service], sent_at, patience, now);
}

bool LateAdmission::EndWait(ServiceState& state,
                            TimePoint sent_at,
                            milliseconds patience,
                            TimePoint now) const {
  const auto found = state.waiting.find(sent_at);
  if (found != state.waiting.end()) {
    state.waiting.erase(found);
  }
  if (now - sent_at <= patience * this->options.begin_share_returning) {
    return false;
  }
  if (now >= state.paused_until) {
    state.pause = std::clamp(state.pause * 2, this->options.min_pause,
                             this->options.max_pause);
    state.paused_until = now + state.pause;
  }
  return true;
}

size_t LateAdmission::waiting() const {
  size_t count = 0;
  for (const auto& [service, state] : this->services) {
    count += state.waiting.size();
  }
  return count;
}

}  // namespace celerypost
