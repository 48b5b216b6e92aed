#ifndef SRC_REQUEST_TASK_FORWARDER_H_
#define SRC_REQUEST_TASK_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "src/request/task/forward_task.h"

namespace celerypost {

struct ForwarderOptions {
  // For requests without Celerypost-Deadline-Ms.
  std::chrono::milliseconds default_deadline{30000};
};

// The requests that an entry carries at present.
class Forwarder {
 public:
  Forwarder(ForwarderOptions options, Loop& loop, ForwardContext& context);

  // Takes a request to /s/<service>/<path>.
  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

  // WORK_HEAD, WORK_BODY and WORK_END from agents.
  void OnFrame(const PeerConnection& from, const Frame& frame);
  void OnConnectionClosed(const PeerConnection& connection);

  size_t in_flight() const { return this->tasks.size(); }

 private:
  const ForwarderOptions options;
  Loop& loop;
  ForwardContext& context;
  int64_t next_number = 1;
  std::unordered_map<int64_t, std::shared_ptr<ForwardTask>> tasks;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_FORWARDER_H_
