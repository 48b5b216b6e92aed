#ifndef TESTS_STANDINS_COLD_START_MODEL_H_
#define TESTS_STANDINS_COLD_START_MODEL_H_

#include <cstdint>

#include <nlohmann/json.hpp>

namespace celerypost::standins {

// Models the cold start of a target on the target's own clock and counts the
// requests that arrive above its current concurrency bound.
//
// The bound grows exponentially from `cold` to `full` concurrent requests
// within `warm_up_ms` of the start. Callers can't detect that a target turned
// cold without a restart before its first slow answer reaches them, so arrivals
// over the bound before that are counted apart, as `over_bound_unseen`.
class ColdStartModel {
 public:
  // Applies "cold", "full" and "warm_up_ms" where `settings` has them.
  void Configure(const nlohmann::json& settings);

  void Restart(int64_t now_ms);
  void TurnColdSilently(int64_t now_ms);
  // Called when the target sends a slow answer.
  void OnSlowAnswer(int64_t now_ms);

  bool IsCold(int64_t now_ms) const;
  int64_t Bound(int64_t now_ms) const;
  // Counts an arriving request; `in_flight` includes it.
  void OnArrival(int64_t in_flight, int64_t now_ms);

  void AddFigures(nlohmann::json& figures, int64_t now_ms) const;

 private:
  int64_t cold = 2;
  int64_t full = 32;
  int64_t warm_up_ms = 4000;
  int64_t cold_since_ms = 0;
  // Earliest time at which callers can know of the cold start; -1 before the
  // first slow answer.
  int64_t visible_from_ms = 0;
  int64_t over_bound = 0;
  int64_t over_bound_unseen = 0;
  int64_t cold_arrivals = 0;
  int64_t highest_in_flight_cold = 0;
  // The first arrivals over the bound, for the logs of failed tests.
  nlohmann::json arrivals_over_bound = nlohmann::json::array();
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_COLD_START_MODEL_H_
