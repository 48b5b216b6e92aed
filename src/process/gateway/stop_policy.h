#ifndef SRC_PROCESS_GATEWAY_STOP_POLICY_H_
#define SRC_PROCESS_GATEWAY_STOP_POLICY_H_

#include <chrono>

namespace celerypost {

struct StopPolicyOptions {
  // From SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{8000};
  // Longest time for which callers keep a directory answer.
  std::chrono::milliseconds directory_ttl{5000};
  // Parts of the grace: until long requests are refused, since one that is
  // taken later may not be finished, and until the process exits.
  double refuse_long_after = 0.35;
  double exit_after = 0.93;
};

// Whether a stopping gateway takes a request `age` after SIGTERM. `longest` is
// the longest time that the request may take.
bool TakesRequest(const StopPolicyOptions& options,
                  std::chrono::milliseconds age,
                  std::chrono::milliseconds longest);

// Whether a stopping gateway exits now.
bool MayExit(const StopPolicyOptions& options,
             std::chrono::milliseconds age,
             size_t requests,
             size_t connections);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_STOP_POLICY_H_
