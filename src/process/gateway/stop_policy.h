#ifndef SRC_PROCESS_GATEWAY_STOP_POLICY_H_
#define SRC_PROCESS_GATEWAY_STOP_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace celerypost {

struct StopPolicyOptions {
  // Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{8000};
  // Longest time for which callers cache a directory response.
  std::chrono::milliseconds directory_ttl{5000};
  // Shares of `grace`. After the first, requests that might not complete in
  // time are refused; after the second, requests that have not completed are
  // ended; after the third, the process exits in any case. The time between the
  // last two is for sending the final answers, the rest for a signal that is
  // handled late.
  double refuse_long_after_share = 0.35;
  double end_requests_after_share = 0.93;
  double exit_after_share = 0.96;
  // Upper bound of the first, however long the grace is. The platform accepts
  // that a request is cut only if it was sent up to 3 s after the signal.
  std::chrono::milliseconds max_accept_long{2500};
};

// What a stopping gateway still has to do.
struct StopWork {
  // Connections with a request that is partly read or not answered, with an
  // answer that is not sent, or whose caller has not closed them after it.
  size_t busy = 0;
  // Other open connections of callers.
  size_t idle = 0;
};

enum class StopStep : uint8_t {
  kContinue,
  // Ends the requests that have not completed, each with an answer if none has
  // started.
  kEndRequests,
  kExit,
};

// Returns whether a stopping gateway accepts a request that arrives
// `time_since_stop` after SIGTERM and may take up to `max_duration`.
bool AcceptsRequest(const StopPolicyOptions& options,
                    std::chrono::milliseconds time_since_stop,
                    std::chrono::milliseconds max_duration);

// Returns what a stopping gateway should do `time_since_stop` after SIGTERM.
StopStep NextStopStep(const StopPolicyOptions& options,
                      std::chrono::milliseconds time_since_stop,
                      const StopWork& work);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_STOP_POLICY_H_
