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
  // Absent when the answer is whole.
  std::optional<Failure> failure;
  // The answer, when it is whole and short enough to be stored.
  std::optional<StoredAnswer> answer;
};

// Called on the loop.
struct WorkTaskHandlers {
  std::function<void(const HttpHeaders& headers)> on_head;
  std::function<void(Duration since_dispatch)> on_first_body;
  // Called once and last; it may destroy the task.
  std::function<void(WorkResult)> on_done;
  // The load that goes with an answer's head and end.
  std::function<wire::LoadReport()> load;
};

// One attempt of one entry at one agent: sends the request to the target and
// the answer back to the entry's connection. Lives from the Work message to
// the end of the answer.
class WorkTask {
 public:
  // `id` is set for requests that must not run twice.
  WorkTask(std::shared_ptr<PeerConnection> entry,
           int64_t number,
           int32_t attempt,
           wire::Work work,
           std::optional<RequestId> id,
           size_t max_stored_answer_bytes);
  ~WorkTask() = default;
  WorkTask(const WorkTask&) = delete;
  WorkTask& operator=(const WorkTask&) = delete;

  // Sends the request to the target.
  void Dispatch(HttpClient& target, TimePoint now, WorkTaskHandlers handlers);

  // Ends the attempt without an answer.
  void SendFailure(const Failure& failure,
                   wire::Refusal::type refusal,
                   InstanceId moved_to,
                   const wire::LoadReport& load);
  // Sends an answer that was stored before.
  void SendStored(const StoredAnswer& answer, const wire::LoadReport& load);

  // The entry wants no answer any more. Closes the connection to the target, so
  // that an engine stops generating; a request that must not run twice is left
  // to finish, since its outcome is worth knowing.
  void Abandon();

  bool dispatched() const { return this->is_dispatched; }
  bool abandoned() const { return this->is_abandoned; }
  const wire::Work& work() const { return this->message; }
  const std::optional<RequestId>& id() const { return this->request_id; }
  uint32_t attempt() const { return static_cast<uint32_t>(this->number_try); }
  const PeerConnection* entry() const { return this->connection.get(); }
  int64_t number() const { return this->request_number; }

 private:
  void OnHead(const HttpResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnFailure(Failure failure);

  std::shared_ptr<PeerConnection> connection;
  const int64_t request_number;
  const int32_t number_try;
  wire::Work message;
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
