#ifndef SRC_REQUEST_TASK_FORWARD_TASK_H_
#define SRC_REQUEST_TASK_FORWARD_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/connection/http_server.h"
#include "src/connection/peer_connection.h"
#include "src/process/metrics.h"
#include "src/process/peer_mesh.h"
#include "src/process/scheduler.h"
#include "src/process/service_directory.h"
#include "src/request/attempt.h"
#include "src/request/retry_budget.h"
#include "src/request/task/caller_request.h"

namespace celerypost {

// Counters of all requests of an entry.
struct ForwardCounters {
  Counter& answered;
  Counter& refused_not_run;
  Counter& failed_may_have_run;
  Counter& broken_streams;
  Counter& retries;
  Histogram& first_byte;
  Histogram& total;
};

// What the tasks of an entry share.
struct ForwardContext {
  Scheduler& scheduler;
  PeerMesh& mesh;
  ServiceDirectory& services;
  GossipTask& gossip;
  Random& random;
  RetryBudget& budget;
  ForwardCounters& counters;
  // Whether this entry is leaving; callers are then told to ask again.
  std::function<bool()> leaving;
};

// Carries one caller's request to a target and the answer back. Lives from the
// request to the end of its answer.
class ForwardTask {
 public:
  // `number` identifies the request on connections to agents. `on_done` is
  // called once and last; it may destroy the task.
  ForwardTask(ForwardContext& context,
              int64_t number,
              CallerRequest request,
              std::shared_ptr<HttpResponder> responder,
              std::function<void()> on_done);
  ~ForwardTask();
  ForwardTask(const ForwardTask&) = delete;
  ForwardTask& operator=(const ForwardTask&) = delete;

  void Start();

  // Messages of the agent, for this request's number.
  void OnFrame(const PeerConnection& from, const Frame& frame);
  // The connection that carries the current attempt may have closed.
  void OnConnectionClosed(const PeerConnection& connection);

 private:
  void SendAttempt();
  void SendToTarget();
  void SendToSlotHolder();
  bool ChooseReachableId();
  void SendWork(std::shared_ptr<PeerConnection> to, InstanceId target);
  void OnHead(const wire::WorkHead& head);
  void OnEnd(const wire::WorkEnd& end);
  void OnAttemptFailed(Verdict verdict,
                       ErrorCode code,
                       std::string message,
                       wire::Refusal::type refusal);
  void SendAgainAfter(std::chrono::milliseconds delay);
  void OnDeadline();
  // Tells the agent that the current attempt is no longer wanted.
  void SendCancel(std::string_view reason);
  void Cancel(std::string_view reason);
  void Refuse(Verdict verdict, ErrorCode code, std::string_view message);
  void BreakStream(Verdict verdict, std::string_view message);
  Verdict FinalVerdict(Verdict attempt_verdict) const;
  HttpHeaders AnswerHeaders() const;
  void EndAttempt();
  void Finish();

  ForwardContext& context;
  const int64_t number;
  CallerRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::function<void()> on_done;
  const TimePoint started;
  TimePoint deadline;
  bool idempotent = true;
  bool id_generated_here = false;
  uint32_t entry_attempt = 0;
  // Work frames without an answer from their agent, also from earlier attempts.
  uint32_t frames_unanswered = 0;
  // Work frames answered by agents that do not hold the request's slot.
  uint32_t frames_redirected = 0;
  bool any_may_have_run = false;
  // The current attempt.
  std::shared_ptr<PeerConnection> connection;
  InstanceId target;
  AttemptNumber attempt_number = 0;
  // Holder of the slot as the former holder said; zero for the table's owner.
  InstanceId moved_to;
  std::vector<InstanceId> failed_targets;
  bool head_sent = false;
  bool event_stream = false;
  bool done = false;
  std::unique_ptr<ScheduledCall> deadline_call;
  std::unique_ptr<ScheduledCall> retry_call;
};

// Sends an error in the form of design 10.4 with `headers` added to it.
void SendError(HttpResponder& responder,
               int status,
               Verdict verdict,
               ErrorCode code,
               std::string_view message,
               HttpHeaders headers = {});

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_FORWARD_TASK_H_
