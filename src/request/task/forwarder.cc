#include "src/request/task/forwarder.h"

#include <utility>
#include <vector>

namespace celerypost {

Forwarder::Forwarder(ForwarderOptions options,
                     Loop& loop,
                     ForwardContext& context)
    : options(options), loop(loop), context(context) {}

void Forwarder::Handle(HttpRequest request,
                       std::shared_ptr<HttpResponder> responder) {
  auto parsed =
      CallerRequest::Parse(std::move(request), this->options.default_deadline);
  if (!parsed) {
    const bool unknown_path = parsed.error().code == ErrorCode::kNotFound;
    SendError(*responder, unknown_path ? 404 : 400, Verdict::kNotRun,
              parsed.error().code, parsed.error().message);
    return;
  }
  const int64_t request_number = this->next_request_number++;
  const auto on_done = [this, request_number] {
    const auto it = this->tasks.find(request_number);
    // Destroys the task in the next loop iteration, because one of its methods
    // is still on the stack.
    this->loop.BeforeWait([task = std::move(it->second)] {});
    this->tasks.erase(it);
  };
  const auto task = std::make_shared<ForwardTask>(
      this->context, request_number, std::move(*parsed), std::move(responder),
      on_done);
  this->tasks.emplace(request_number, task);
  task->Start();
}

void Forwarder::OnFrame(const PeerConnection& from, const Frame& frame) {
  const auto it = this->tasks.find(frame.header.request);
  if (it != this->tasks.end()) {
    const auto task = it->second;
    task->OnFrame(from, frame);
  }
}

void Forwarder::OnConnectionClosed(const PeerConnection& connection) {
  std::vector<std::shared_ptr<ForwardTask>> running;
  running.reserve(this->tasks.size());
  for (const auto& [request_number, task] : this->tasks) {
    running.push_back(task);
  }
  for (const auto& task : running) {
    task->OnConnectionClosed(connection);
  }
}

}  // namespace celerypost
