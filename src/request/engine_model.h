#ifndef SRC_REQUEST_ENGINE_MODEL_H_
#define SRC_REQUEST_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>

#include "src/request/gateway_config.h"

namespace celerypost {

// Work in progress at one model target, as known to a gateway.
struct EngineLoad {
  // Requests that were sent to the target and have not finished, without those
  // in `late_waiting`.
  uint32_t in_flight = 0;
  // Sum of the prompt tokens of those that have not produced an event.
  double waiting_tokens = 0;
  // Late requests (LateAdmission) without an event. The target starts any other
  // request before them.
  uint32_t late_waiting = 0;
  // Factor by which the target is slower than its rates say; values below 1
  // count as 1.
  double slowdown = 1;
};

using Milliseconds = std::chrono::duration<double, std::milli>;

// Returns the duration of a pass of EngineRates::steps_per_pass token steps
// with `running` requests, without the time to read prompts.
Milliseconds PassTime(const EngineRates& rates, double running);

// Returns the time to read prompts of `tokens` in total.
Milliseconds ReadingTime(const EngineRates& rates, double tokens);

// Returns the predicted time to the first event of a request with
// `prompt_tokens` that is sent to a target with `load`.
Milliseconds PredictFirstEvent(const EngineRates& rates,
                               const EngineLoad& load,
                               double prompt_tokens);

// Returns the time from the first event to the end of an answer of
// `answer_tokens`.
Milliseconds AnswerTime(const EngineRates& rates,
                        double running,
                        double answer_tokens);

// Returns the mean time that a request occupies one of the target's slots.
Milliseconds SlotTime(const EngineRates& rates, double running);

}  // namespace celerypost

#endif  // SRC_REQUEST_ENGINE_MODEL_H_
