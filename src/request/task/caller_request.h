#ifndef SRC_REQUEST_TASK_CALLER_REQUEST_H_
#define SRC_REQUEST_TASK_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/connection/http.h"
#include "src/request/request_id.h"
#include "src/version/manifest.h"

namespace celerypost {

// A caller's HTTP request with its Celerypost-* headers parsed and checked
// (design 10.4).
struct CallerRequest {
  ServiceName service;
  std::string method;
  // Path and query at the target.
  std::string path;
  std::string content_type;
  std::string body;
  WorkspaceName workspace;
  Priority priority = Priority::kNormal;
  std::chrono::milliseconds deadline{0};
  // `Celerypost-Idempotent`; when absent, IsIdempotent decides by the service's
  // kind and the method.
  std::optional<bool> idempotent;
  std::optional<RequestId> id;
  // `Celerypost-Attempt`; 0 when absent.
  uint32_t attempt = 0;
  // XXH3 hash of the first 256 bytes of the body; 0 for an empty body.
  uint64_t prefix_hash = 0;

  // Fails with kNotFound when the path is not /s/<service>/<path>, and with
  // kInvalidArgument for a malformed header; the message names the header, its
  // value and the accepted range.
  static Result<CallerRequest> Parse(
      HttpRequest request,
      std::chrono::milliseconds default_deadline);

  // Whether the request may run more than once.
  bool IsIdempotent(ServiceKind kind) const;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_CALLER_REQUEST_H_
