#ifndef SRC_REQUEST_TASK_WORK_TASK_H_
#define SRC_REQUEST_TASK_WORK_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/connection/http_client.h"
#include "src/connection/peer_connection.h"
#include "src/request/request_id.h"
#include "src/request/request_ledger.h"

namespace celerypost {

// How a task's request ended at the target.
struct WorkResult {
  // Absent when the target sent a complete response.
  std::optional<Failure> failure;
  // The response, when it is complete and short enough to be stored.
  std::optional<StoredAnswer> answer;
};

// Callbacks, which run on the loop.
struct WorkTaskHandlers {
  std::function<void(const HttpHeaders& headers)> on_head;
  std::function<void(TimePoint dispatched_at)> on_first_body;
  // Called once, as the last callback; it may destroy the task.
  std::function<void(WorkResult)> on_done;
  // Returns the load report to send with the head and the end of the response.
  std::function<wire::LoadReport()> load;
};

// One attempt of an entry at this agent: sends the request to the target and
// relays the response to the entry's connection. Lives from the Work message to
// the end of the response.
class WorkTask {
 public:
  // `id` is set for non-idempotent requests, which must not run twice.
  WorkTask(std::shared_ptr<PeerConnection> entry,
           int64_t request_number,
           int32_t attempt_number,
           wire::Work work,
           std::optional<RequestId> id,
           size_t max_stored_answer_bytes);
  ~WorkTask() = default;
  WorkTask(const WorkTask&) = delete;
  WorkTask& operator=(const WorkTask&) = delete;

  // Sends the request to the target.
  void Dispatch(HttpClient& target, TimePoint now, WorkTaskHandlers handlers);

  // Ends the attempt with a failure.
  void SendFailure(const Failure& failure,
                   wire::Refusal::type refusal,
                   InstanceId moved_to,
                   const wire::LoadReport& load);
  // Ends the attempt with the stored response of an earlier one.
  void SendStored(const StoredAnswer& answer, const wire::LoadReport& load);

  // Sends nothing more to the entry, which no longer wants the response. Closes
  // the connection to the target, so that an engine stops generating. A
  // non-idempotent request runs to its end, so that its outcome is recorded.
  void Abandon();

  bool dispatched() const { return this->is_dispatched; }
  bool abandoned() const { return this->is_abandoned; }
  const wire::Work& work() const { return this->work_message; }
  const std::optional<RequestId>& id() const { return this->request_id; }
  uint32_t attempt() const {
    return static_cast<uint32_t>(this->attempt_number);
  }
  const PeerConnection* entry() const { return this->connection.get(); }
  int64_t number() const { return this->request_number; }

 private:
  void OnHead(const HttpResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnFailure(Failure failure);

  std::shared_ptr<PeerConnection> connection;
  const int64_t request_number;
  const int32_t attempt_number;
  wire::Work work_message;
  const std::optional<RequestId> request_id;
  const size_t max_stored_answer_bytes;
  WorkTaskHandlers handlers;
  std::unique_ptr<HttpCall> call;
  TimePoint dispatched_at;
  bool is_dispatched = false;
  bool is_abandoned = false;
  bool first_body_seen = false;
  bool answer_fits = true;
  StoredAnswer answer;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_WORK_TASK_H_
