#include "src/process/gateway/stop_policy.h"

namespace celerypost {

namespace {

std::chrono::milliseconds Part(std::chrono::milliseconds whole, double share) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(whole.count()) * share));
}

}  // namespace

bool TakesRequest(const StopPolicyOptions& options,
                  std::chrono::milliseconds age,
                  std::chrono::milliseconds longest) {
  if (age <= Part(options.grace, options.refuse_long_after)) {
    return true;
  }
  return age + longest < Part(options.grace, options.exit_after);
}

bool MayExit(const StopPolicyOptions& options,
             std::chrono::milliseconds age,
             size_t requests,
             size_t connections) {
  if (age > Part(options.grace, options.exit_after)) {
    return true;
  }
  // Callers that still hold an old directory answer may connect until it ends.
  return age > options.directory_ttl && requests == 0 &&
         (connections == 0 ||
          age > Part(options.grace, options.refuse_long_after));
}

}  // namespace celerypost
