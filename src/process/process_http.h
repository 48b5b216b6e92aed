#ifndef SRC_PROCESS_PROCESS_HTTP_H_
#define SRC_PROCESS_PROCESS_HTTP_H_

#include <functional>
#include <string>

#include "src/connection/http_server.h"
#include "src/process/metrics.h"

namespace celerypost {

struct Health {
  bool ready = false;
  // Why the process is not ready, for example "isolated".
  std::string reason;
  // Number of the current configuration; 0 for none.
  uint64_t config_number = 0;
};

// Returns a handler for GET and HEAD of
//   /metrics: `metrics` in the text exposition format;
//   /healthz: 200 {"status": "ready"} or 503 {"status": "not_ready",
//   "reason"}, with "config_number".
// Other methods get 405. Other paths go to `next`, or get 404 if it is empty.
// `metrics` must outlive the handler.
HttpHandler MakeProcessHandler(const Metrics& metrics,
                               std::function<Health()> health,
                               HttpHandler next);

}  // namespace celerypost

#endif  // SRC_PROCESS_PROCESS_HTTP_H_
