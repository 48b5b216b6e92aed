#include "tests/standins/cold_start_model.h"

#include <algorithm>
#include <cmath>

namespace celerypost::standins {

namespace {

// Time in which a slow answer reaches the callers. Requests that they sent
// before do not count as sent with knowledge of the cold start.
constexpr int64_t kAnswerTravelMs = 20;
constexpr size_t kMaxArrivalsKept = 40;

}  // namespace

void ColdStartModel::Configure(const nlohmann::json& settings) {
  this->cold = settings.value("cold", this->cold);
  this->full = settings.value("full", this->full);
  this->warm_up_ms = settings.value("warm_up_ms", this->warm_up_ms);
}

void ColdStartModel::Restart(int64_t now_ms) {
  this->cold_since_ms = now_ms;
  this->visible_from_ms = now_ms;
}

void ColdStartModel::TurnColdSilently(int64_t now_ms) {
  this->cold_since_ms = now_ms;
  this->visible_from_ms = -1;
}

void ColdStartModel::OnSlowAnswer(int64_t now_ms) {
  if (this->visible_from_ms < 0) {
    // The warm-up starts when callers can begin to limit their load.
    this->cold_since_ms = now_ms;
    this->visible_from_ms = now_ms + kAnswerTravelMs;
  }
}

bool ColdStartModel::IsCold(int64_t now_ms) const {
  return this->visible_from_ms < 0 ||
         now_ms < this->cold_since_ms + this->warm_up_ms;
}

int64_t ColdStartModel::Bound(int64_t now_ms) const {
  if (this->visible_from_ms < 0) {
    return this->cold;
  }
  if (!this->IsCold(now_ms)) {
    return this->full;
  }
  const double share = static_cast<double>(now_ms - this->cold_since_ms) /
                       static_cast<double>(this->warm_up_ms);
  const double growth =
      static_cast<double>(this->full) / static_cast<double>(this->cold);
  return static_cast<int64_t>(
      std::floor(static_cast<double>(this->cold) * std::pow(growth, share)));
}

void ColdStartModel::OnArrival(int64_t in_flight, int64_t now_ms) {
  if (this->IsCold(now_ms)) {
    ++this->cold_arrivals;
    this->highest_in_flight_cold =
        std::max(this->highest_in_flight_cold, in_flight);
  }
  if (in_flight > this->Bound(now_ms)) {
    const bool visible =
        this->visible_from_ms >= 0 && now_ms >= this->visible_from_ms;
    ++(visible ? this->over_bound : this->over_bound_unseen);
    if (this->arrivals_over_bound.size() < kMaxArrivalsKept) {
      this->arrivals_over_bound.push_back(
          {{"at_ms", now_ms},
           {"in_flight", in_flight},
           {"bound", this->Bound(now_ms)},
           {"cold_since_ms", this->cold_since_ms},
           {"visible_from_ms", this->visible_from_ms}});
    }
  }
}

void ColdStartModel::AddFigures(nlohmann::json& figures, int64_t now_ms) const {
  figures["over_bound"] = this->over_bound;
  figures["over_bound_unseen"] = this->over_bound_unseen;
  figures["cold_arrivals"] = this->cold_arrivals;
  figures["highest_in_flight_cold"] = this->highest_in_flight_cold;
  figures["arrivals_over_bound"] = this->arrivals_over_bound;
  figures["cold"] = this->IsCold(now_ms) ? 1 : 0;
}

}  // namespace celerypost::standins
