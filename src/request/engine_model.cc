#include "src/request/engine_model.h"

#include <algorithm>

namespace celerypost {

namespace {

// Returns the mean time in milliseconds that a pass spends on reading prompts
// when `running` slots are always taken and requests have mean sizes.
double PromptReadingMsPerPass(const EngineRates& rates, double running) {
  const double steps = std::max(1.0, rates.mean_answer_tokens);
  const double passes = steps / std::max(1u, rates.steps_per_pass);
  // Each running request ends after `passes` passes, and the prompt of the
  // request that replaces it is read.
  return running / passes * rates.mean_prompt_tokens /
         std::max(0.001, rates.prompt_tokens_per_ms);
}

}  // namespace

Milliseconds PassTime(const EngineRates& rates, double running) {
  const double context =
      (rates.mean_prompt_tokens + rates.mean_answer_tokens / 2) / 1000;
  const Milliseconds step =
      rates.step + running * (rates.step_per_request +
                              context * rates.step_per_thousand_tokens);
  return step * std::max(1u, rates.steps_per_pass);
}

Milliseconds SlotTime(const EngineRates& rates, double running) {
  const double passes = std::max(
      1.0, rates.mean_answer_tokens / std::max(1u, rates.steps_per_pass));
  return passes * (PassTime(rates, running) +
                   Milliseconds(PromptReadingMsPerPass(rates, running)));
}

Milliseconds AnswerTime(const EngineRates& rates,
                        double running,
                        double answer_tokens) {
  const double at_once = std::min<double>(running, rates.slots);
  return SlotTime(rates, at_once) *
         (answer_tokens / std::max(1.0, rates.mean_answer_tokens));
}

Milliseconds ReadingTime(const EngineRates& rates, double tokens) {
  return Milliseconds(tokens / std::max(0.001, rates.prompt_tokens_per_ms));
}

Milliseconds PredictFirstEvent(const EngineRates& rates,
                               const EngineLoad& load,
                               double prompt_tokens) {
  const double running = std::min<double>(load.in_flight, rates.slots);
  const Milliseconds pass = PassTime(rates, running);
  // The current pass ends first, after half a pass on average; then all waiting
  // prompts are read before the first pass that includes this request.
  Milliseconds time = load.in_flight > 0 ? pass / 2 : Milliseconds(0);
  time += ReadingTime(rates, load.waiting_tokens + prompt_tokens);
  time += pass;
  if (load.in_flight >= rates.slots) {
    const double requests_ahead = load.in_flight - rates.slots + 1;
    time += SlotTime(rates, running) / rates.slots * requests_ahead;
  }
  return time * std::max(1.0, load.slowdown);
}

}  // namespace celerypost
