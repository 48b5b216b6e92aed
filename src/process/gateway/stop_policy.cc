#include "src/process/gateway/stop_policy.h"

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
      ShareOf(options.grace, options.refuse_long_after_share)) {
    return true;
  }
  return time_since_stop + max_duration <
         ShareOf(options.grace, options.exit_after_share);
}

bool ShouldExit(const StopPolicyOptions& options,
                std::chrono::milliseconds time_since_stop,
                size_t requests,
                size_t connections) {
  if (time_since_stop > ShareOf(options.grace, options.exit_after_share)) {
    return true;
  }
  // Callers with a cached directory response may connect until it expires.
  return time_since_stop > options.directory_ttl && requests == 0 &&
         (connections == 0 ||
          time_since_stop >
              ShareOf(options.grace, options.refuse_long_after_share));
}

}  // namespace celerypost
