#ifndef SRC_PROCESS_GATEWAY_STOP_POLICY_H_
#define SRC_PROCESS_GATEWAY_STOP_POLICY_H_

#include <chrono>

namespace celerypost {

struct StopPolicyOptions {
  // Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{8000};
  // Longest time for which callers cache a directory response.
  std::chrono::milliseconds directory_ttl{5000};
  // Shares of `grace`. After the first, requests that might not complete before
  // the exit are refused; after the second, the process exits in any case.
  double refuse_long_after_share = 0.35;
  double exit_after_share = 0.93;
};

// Returns whether a stopping gateway accepts a request that arrives
// `time_since_stop` after SIGTERM and may take up to `max_duration`.
bool AcceptsRequest(const StopPolicyOptions& options,
                    std::chrono::milliseconds time_since_stop,
                    std::chrono::milliseconds max_duration);

// Returns whether a stopping gateway should exit `time_since_stop` after
// SIGTERM with this many requests in progress and caller connections open.
bool ShouldExit(const StopPolicyOptions& options,
                std::chrono::milliseconds time_since_stop,
                size_t requests,
                size_t connections);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_STOP_POLICY_H_
