#ifndef SRC_REQUEST_ENGINE_MODEL_H_
#define SRC_REQUEST_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>

#include "src/request/gateway_config.h"

namespace celerypost {

// Work at one model target, as far as a gateway knows it.
struct EngineLoad {
  // Requests that the target has been sent and has not finished.
  uint32_t in_flight = 0;
  // Prompt tokens of those that have not produced an event.
  double waiting_tokens = 0;
  // Over 1 when the target works more slowly than its rates say.
  double pace = 1;
};

using Milliseconds = std::chrono::duration<double, std::milli>;

// Time that a pass of token steps takes with `running` requests, without any
// reading of prompts.
Milliseconds PassTime(const EngineRates& rates, double running);

// Time from sending a request of `prompt_tokens` to its first event, if it is
// added to `load`.
Milliseconds PredictFirstEvent(const EngineRates& rates,
                               const EngineLoad& load,
                               double prompt_tokens);

// Time from the first event to the end of an answer of `answer_tokens`.
Milliseconds AnswerTime(const EngineRates& rates,
                        double running,
                        double answer_tokens);

// Mean time that a request holds one of the target's slots.
Milliseconds SlotTime(const EngineRates& rates, double running);

}  // namespace celerypost

#endif  // SRC_REQUEST_ENGINE_MODEL_H_
