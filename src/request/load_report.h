#ifndef SRC_REQUEST_LOAD_REPORT_H_
#define SRC_REQUEST_LOAD_REPORT_H_

#include <cstdint>

namespace celerypost {

// What an agent reports to entries about its target with each response.
struct LoadReport {
  // Requests of all entries that run at the target, and that wait at the agent.
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  // Current concurrency limit.
  uint32_t limit = 1;
  bool cold = false;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_LOAD_REPORT_H_
