#include "src/process/gateway/stop_policy.h"

namespace celerypost {

namespace {

std::chrono::milliseconds ShareOf(std::chrono::milliseconds whole,
                                  double share) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(whole.count()) * share));
}

}  // namespace

std::chrono::milliseconds EndRequestsAfter(const StopPolicyOptions& options) {
  return ShareOf(options.grace, options.end_requests_after_share);
}

bool CompletesInTime(const StopPolicyOptions& options,
                     std::chrono::milliseconds time_since_stop,
                     std::chrono::milliseconds max_duration) {
  return time_since_stop + max_duration < EndRequestsAfter(options);
}

StopStep NextStopStep(const StopPolicyOptions& options,
                      std::chrono::milliseconds time_since_stop,
                      const StopWork& work) {
  if (time_since_stop > ShareOf(options.grace, options.exit_after_share)) {
    return StopStep::kExit;
  }
  const bool ends_requests = time_since_stop > EndRequestsAfter(options);
  if (work.busy > 0) {
    return ends_requests ? StopStep::kEndRequests : StopStep::kContinue;
  }
  // Callers with a cached directory response may connect until it expires.
  const bool may_be_called =
      time_since_stop <= options.directory_ttl ||
      (work.idle > 0 &&
       time_since_stop <= ShareOf(options.grace, options.wait_for_idle_share));
  return may_be_called && !ends_requests ? StopStep::kContinue
                                         : StopStep::kExit;
}

}  // namespace celerypost
