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
  // Shares of `grace`. After the first, connections without a request do not
  // keep the process from exiting; after the second, requests that have not
  // completed are ended; after the third, the process exits in any case. The
  // time between the last two is for sending the final answers, the rest for a
  // signal that is handled late.
  double wait_for_idle_share = 0.35;
  double end_requests_after_share = 0.93;
  double exit_after_share = 0.96;
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

// Returns the time from SIGTERM until a gateway ends the requests that have not
// completed.
std::chrono::milliseconds EndRequestsAfter(const StopPolicyOptions& options);

// Returns whether a request or an attempt that begins `time_since_stop` after
// SIGTERM and takes up to `max_duration` completes before requests are ended.
bool CompletesInTime(const StopPolicyOptions& options,
                     std::chrono::milliseconds time_since_stop,
                     std::chrono::milliseconds max_duration);

// Returns what a stopping gateway should do `time_since_stop` after SIGTERM.
StopStep NextStopStep(const StopPolicyOptions& options,
                      std::chrono::milliseconds time_since_stop,
                      const StopWork& work);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_STOP_POLICY_H_
