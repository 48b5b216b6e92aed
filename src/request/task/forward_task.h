#ifndef SRC_REQUEST_TASK_FORWARD_TASK_H_
#define SRC_REQUEST_TASK_FORWARD_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/connection/http_server.h"
#include "src/connection/peer_connection.h"
#include "src/process/log.h"
#include "src/process/metrics.h"
#include "src/process/peer_mesh.h"
#include "src/process/scheduler.h"
#include "src/process/service_directory.h"
#include "src/request/attempt.h"
#include "src/request/event_stream.h"
#include "src/request/retry_budget.h"
#include "src/request/retry_plan.h"
#include "src/request/task/caller_request.h"

namespace celerypost {

// Metrics over all requests of an entry.
struct ForwardCounters {
  Counter& answered;
  Counter& refused_not_run;
  Counter& failed_may_have_run;
  Counter& broken_streams;
  Counter& retries;
  Histogram& first_byte;
  Histogram& total;
};

// Objects that all forward tasks of an entry use. Must outlive the tasks.
struct ForwardContext {
  Scheduler& scheduler;
  PeerMesh& mesh;
  ServiceDirectory& services;
  GossipTask& gossip;
  Random& random;
  RetryBudget& budget;
  ForwardCounters& counters;
  Log& log;
  // Whether this entry is shutting down. Responses then carry the header
  // `Celerypost-Refresh`, which tells callers to fetch the list of entries
  // again.
  std::function<bool()> leaving;
};

// Forwards one caller's request to a target and relays the response. Lives
// until the response has ended.
class ForwardTask {
 public:
  // `request_number` identifies the request on connections to agents. `on_done`
  // is called once, as the last action of the task; it may destroy the task.
  ForwardTask(ForwardContext& context,
              int64_t request_number,
              CallerRequest request,
              std::shared_ptr<HttpResponder> responder,
              std::function<void()> on_done);
  ~ForwardTask();
  ForwardTask(const ForwardTask&) = delete;
  ForwardTask& operator=(const ForwardTask&) = delete;

  void Start();

  // Handles a frame from an agent that carries this task's `request_number`.
  // Frames of earlier attempts are ignored.
  void OnFrame(const PeerConnection& from, const Frame& frame);
  // Fails the current attempt if `connection` carries it.
  void OnConnectionClosed(const PeerConnection& connection);

 private:
  void SendAttempt();
  void SendToTarget();
  void SendToSlotHolder();
  // Generates a request id whose slot belongs to a connected agent; to one that
  // has not refused this request, if a few draws find it.
  bool GenerateReachableId();
  // Whether the next attempt may have another id than the last one.
  bool MayGenerateId() const;
  void SendWork(std::shared_ptr<PeerConnection> agent, InstanceId target);
  void OnHead(const wire::WorkHead& head);
  void OnEnd(const wire::WorkEnd& end);
  // `code` and `message` go to the caller if there is no further attempt.
  void OnAttemptFailed(const AttemptFailure& failure,
                       ErrorCode code,
                       std::string_view message);
  void ScheduleRetry(std::chrono::milliseconds delay);
  void OnDeadline();
  // Asks the agent to cancel the current attempt.
  void SendCancel(std::string_view reason);
  void Cancel(std::string_view reason);
  void Refuse(Verdict verdict, ErrorCode code, std::string_view message);
  void AbortStream(Verdict verdict, std::string_view message);
  // Logs why the caller gets no complete answer.
  void LogFailure(std::string_view event,
                  Verdict verdict,
                  std::string_view message);
  Verdict FinalVerdict(Verdict attempt_verdict) const;
  HttpHeaders ResponseHeaders() const;
  void EndAttempt();
  void Finish();

  ForwardContext& context;
  const int64_t request_number;
  CallerRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::function<void()> on_done;
  const TimePoint started;
  TimePoint deadline;
  bool idempotent = true;
  bool id_generated_here = false;
  uint32_t entry_attempt = 0;
  // Work frames that no agent has answered, including those of earlier
  // attempts.
  uint32_t frames_unanswered = 0;
  // Work frames refused with MOVED or BEHIND by agents that do not hold the
  // request's slot.
  uint32_t frames_redirected = 0;
  bool any_may_have_run = false;
  // State of the current attempt. `connection` is null between attempts.
  std::shared_ptr<PeerConnection> connection;
  InstanceId target;
  // Target of the last attempt that was sent; for the log.
  InstanceId last_target;
  AttemptNumber attempt_number = 0;
  // Slot holder that the last MOVED refusal named; zero selects the owner in
  // the slot table.
  InstanceId moved_to;
  // Set once the service is known.
  std::optional<RetryPlan> retry_plan;
  bool head_sent = false;
  bool event_stream = false;
  EventBoundary event_boundary;
  bool done = false;
  std::unique_ptr<ScheduledCall> deadline_call;
  std::unique_ptr<ScheduledCall> retry_call;
};

// Sends an error response with `headers`, the header `Celerypost-Verdict` and
// the JSON body {"error": {"code", "message", "verdict"}} (design 10.4).
void SendError(HttpResponder& responder,
               int status,
               Verdict verdict,
               ErrorCode code,
               std::string_view message,
               HttpHeaders headers = {});

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_FORWARD_TASK_H_
