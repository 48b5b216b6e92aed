#include "src/request/attempt_timeout.h"

#include <algorithm>

namespace celerypost {

using std::chrono::milliseconds;

namespace {

milliseconds Scale(milliseconds time, double factor) {
  return std::chrono::duration_cast<milliseconds>(time * factor);
}

}  // namespace

milliseconds AttemptTimeoutFor(const AttemptTimeoutOptions& options,
                               const Route& route,
                               bool had_event) {
  if (route.kind != RouteKind::kStream) {
    return Scale(route.latency_goal, options.answer_factor);
  }
  const milliseconds timeout =
      had_event ? Scale(route.pause_goal, options.event_factor)
                : Scale(route.latency_goal, options.first_event_factor);
  return std::max(timeout, options.min_stream_timeout);
}

}  // namespace celerypost
