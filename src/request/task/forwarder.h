#ifndef SRC_REQUEST_TASK_FORWARDER_H_
#define SRC_REQUEST_TASK_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "src/request/task/forward_task.h"

namespace celerypost {

struct ForwarderOptions {
  // Deadline of requests without the header `Celerypost-Deadline-Ms`.
  std::chrono::milliseconds default_deadline{30000};
};

// Parses the requests of an entry's callers and runs a ForwardTask for each.
class Forwarder {
 public:
  Forwarder(ForwarderOptions options, Loop& loop, ForwardContext& context);

  // Forwards a request to /s/<service>/<path>, or responds with an error when
  // it is malformed.
  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

  // Handles WORK_HEAD, WORK_BODY and WORK_END frames from agents.
  void OnFrame(const PeerConnection& from, const Frame& frame);
  void OnConnectionClosed(const PeerConnection& connection);

  size_t in_flight() const { return this->tasks.size(); }

 private:
  const ForwarderOptions options;
  Loop& loop;
  ForwardContext& context;
  int64_t next_request_number = 1;
  std::unordered_map<int64_t, std::shared_ptr<ForwardTask>> tasks;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_FORWARDER_H_
