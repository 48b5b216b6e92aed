#ifndef TESTS_STANDINS_COLD_CLOCK_H_
#define TESTS_STANDINS_COLD_CLOCK_H_

#include <cstdint>

#include <nlohmann/json.hpp>

namespace celerypost::standins {

// Cold start of a target by the target's own clock, and the count of requests
// that arrived over the load it could handle.
//
// The bound grows exponentially from `cold` to `full` requests at once within
// `warm_up_ms` of the start. A target that turns cold without a restart gives
// no sign of it before its first slow answer, so arrivals are counted only
// after that answer.
class ColdClock {
 public:
  // Applies "cold", "full" and "warm_up_ms" where `settings` has them.
  void Configure(const nlohmann::json& settings);

  void Restart(int64_t now_ms);
  void TurnColdWithoutSign(int64_t now_ms);
  // A slow answer left this target.
  void OnSlowAnswer(int64_t now_ms);

  bool IsCold(int64_t now_ms) const;
  int64_t Bound(int64_t now_ms) const;
  // Counts an arrival that makes `in_flight` requests run at once.
  void OnArrival(int64_t in_flight, int64_t now_ms);

  void AddFigures(nlohmann::json& figures, int64_t now_ms) const;

 private:
  int64_t cold = 2;
  int64_t full = 32;
  int64_t warm_up_ms = 4000;
  int64_t cold_since_ms = 0;
  // Earliest time at which callers can know of the cold start; -1: not yet.
  int64_t visible_from_ms = 0;
  int64_t over_bound = 0;
  int64_t over_bound_unseen = 0;
  int64_t cold_arrivals = 0;
  int64_t highest_in_flight_cold = 0;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_COLD_CLOCK_H_
