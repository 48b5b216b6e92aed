#ifndef SRC_REQUEST_ATTEMPT_TIMEOUT_H_
#define SRC_REQUEST_ATTEMPT_TIMEOUT_H_

#include <chrono>

#include "src/request/gateway_config.h"

namespace celerypost {

// How long an attempt of a repeatable request waits for its target before the
// request is moved to another one, as multiples of what the route aims at. A
// target that is late but sound must not lose its request, since the next one
// starts over.
struct AttemptTimeoutOptions {
  // Until the first event of a stream, as a multiple of the latency goal, and
  // until the next one, as a multiple of the pause goal; neither is shorter
  // than `min_stream_timeout`. Callers disconnect after four times the one or
  // eight times the other.
  double first_event_factor = 2;
  double event_factor = 2.5;
  std::chrono::milliseconds min_stream_timeout{1000};
  // Until the complete answer of a request without a stream, as a multiple of
  // the latency goal.
  double answer_factor = 3;
};

// Returns the time for `route`. `had_event`: the attempt has produced an event.
std::chrono::milliseconds AttemptTimeoutFor(
    const AttemptTimeoutOptions& options,
    const Route& route,
    bool had_event);

}  // namespace celerypost

#endif  // SRC_REQUEST_ATTEMPT_TIMEOUT_H_
