#include "src/process/gateway/stop_policy.h"

#include <algorithm>

namespace celerypost {

namespace {

std::chrono::milliseconds ShareOf(std::chrono::milliseconds whole,
                                  double share) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(whole.count()) * share));
}

}  // namespace

bool AcceptsRequest(const StopPolicyOptions& options,
                    std::chrono::milliseconds time_since_stop,
                    std::chrono::milliseconds max_duration) {
  if (time_since_stop <=
      std::min(options.max_accept_long,
               ShareOf(options.grace, options.refuse_long_after_share))) {
    return true;
  }
  return time_since_stop + max_duration <
         ShareOf(options.grace, options.end_requests_after_share);
}

StopStep NextStopStep(const StopPolicyOptions& options,
                      std::chrono::milliseconds time_since_stop,
                      const StopWork& work) {
  if (time_since_stop > ShareOf(options.grace, options.exit_after_share)) {
    return StopStep::kExit;
  }
  const bool ends_requests =
      time_since_stop >
      ShareOf(options.grace, options.end_requests_after_share);
  if (work.busy > 0) {
    return ends_requests ? StopStep::kEndRequests : StopStep::kContinue;
  }
  // Callers with a cached directory response may connect until it expires.
  const bool may_be_called =
      time_since_stop <= options.directory_ttl ||
      (work.idle > 0 &&
       time_since_stop <=
           ShareOf(options.grace, options.refuse_long_after_share));
  return may_be_called && !ends_requests ? StopStep::kContinue
                                         : StopStep::kExit;
}

}  // namespace celerypost
