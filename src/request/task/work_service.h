#ifndef SRC_REQUEST_TASK_WORK_SERVICE_H_
#define SRC_REQUEST_TASK_WORK_SERVICE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "src/connection/loop.h"
#include "src/connection/peer_connection.h"
#include "src/process/log.h"
#include "src/process/metrics.h"
#include "src/request/admission.h"
#include "src/request/cold_start.h"
#include "src/request/fair_queue.h"
#include "src/request/request_ledger.h"
#include "src/request/task/work_task.h"
#include "src/version/manifest.h"

namespace celerypost {

struct WorkServiceOptions {
  ServiceName service;
  LedgerOptions ledger;
  FairQueueOptions queue;
  AdmissionOptions admission;
};

// Connects the service to the agent process.
struct WorkServiceHandlers {
  // Returns whether the sentinel connection shows that the target's process is
  // alive.
  std::function<bool()> target_alive;
  // Called with the start id that a response of the target carries.
  std::function<void(std::string_view start_id)> on_start_id;
};

// Admits, queues and runs the requests for this agent's target. The requests of
// all entries for the target pass through it, so it alone enforces the
// cold-start limit and the fair shares, and decides whether a request has run.
class WorkService {
 public:
  WorkService(WorkServiceOptions options,
              InstanceId self,
              Loop& loop,
              HttpClient& target,
              Metrics& metrics,
              Log& log,
              WorkServiceHandlers handlers);
  ~WorkService();

  // Sets the service's limits from the manifest. Until the first call, and
  // after each change of the limits, the target counts as cold. A change takes
  // effect once no request is in flight.
  void SetLimits(const ServiceLimits& limits);

  // Handles WORK and CANCEL_WORK frames from an entry.
  void OnFrame(const std::shared_ptr<PeerConnection>& entry,
               const Frame& frame);
  void OnConnectionClosed(const PeerConnection& entry);

  // Stops accepting new work and refuses waiting requests with `reason`, which
  // entries receive. An empty reason resumes. `hands_off_slots` says that the
  // slots go to other agents next; waiting requests with an id are then sent
  // back to their entries, which find the next holder, and are not refused.
  void SetStopReason(std::string reason, bool hands_off_slots);
  bool stopped() const { return !this->stop_reason.empty(); }

  void OnTargetStarted(InstanceId start_id);
  void OnSentinelClosed();
  void OnSwitchCompleted();
  // Call every 20 ms or so.
  void OnTick();

  RequestLedger& ledger() { return this->request_ledger; }
  // Whether the cold start is over. Load reports carry it, and entries prefer
  // warm targets.
  bool warm() const;
  // Whether the target can take all the load that it is offered: it is warm, or
  // for 2 s or the warm-up time, whichever is longer, it has not restarted or
  // completed a switch, its sentinel has not closed and no request was delayed
  // or refused. The second case covers targets with too few requests to warm
  // up.
  bool accepts_full_load() const;
  // Number of requests that run or wait.
  size_t in_flight() const { return this->tasks.size(); }
  // Number of requests that run at the target.
  uint32_t running() const;

 private:
  // Limits the target's concurrency and queues the requests above the limit;
  // rebuilt when the service's limits change.
  struct Limiter {
    Limiter(const ServiceLimits& limits,
            FairQueueOptions queue_options,
            AdmissionOptions admission_options);
    ColdStart cold_start;
    FairQueue queue;
    Admission admission;
  };

  using TaskKey = uint64_t;
  using Waiter = std::shared_ptr<WorkTask>;

  void OnWork(const std::shared_ptr<PeerConnection>& entry, const Frame& frame);
  void OnCancel(const PeerConnection& entry, const Frame& frame);
  // Registers the attempt in the request ledger. Returns true when the request
  // must run now, subject to admission; otherwise the attempt has been
  // answered, refused, or waits for an earlier attempt.
  bool BeginInLedger(const std::shared_ptr<WorkTask>& task);
  void Offer(const std::shared_ptr<WorkTask>& task);
  void Run(TaskKey key);
  void Apply(const AdmissionActions& actions);
  // Refuses a task that has not been dispatched.
  void RefuseWaiting(TaskKey key,
                     ErrorCode code,
                     std::string message,
                     wire::Refusal::type refusal);
  // Refuses a request that has not been dispatched, as this agent accepts no
  // new work.
  void RefuseStopped(WorkTask& task);
  // Refuses a request that the ledger let run, releases it there as not run,
  // and decides about its waiting duplicates.
  void ReleaseAndRefuse(WorkTask& task,
                        ErrorCode code,
                        std::string message,
                        wire::Refusal::type refusal);
  void Refuse(WorkTask& task,
              ErrorCode code,
              std::string message,
              wire::Refusal::type refusal);
  void OnDone(TaskKey key, WorkResult result);
  void RecordOutcome(const WorkTask& task, const WorkResult& result);
  void AnswerDuplicates(const RequestId& id);
  void ReplaceLimiterWhenIdle();
  // Sets the metric of the limit and logs its changes.
  void ReportLimit();
  wire::LoadReport Load() const;

  const WorkServiceOptions options;
  Loop& loop;
  HttpClient& target;
  Log& log;
  WorkServiceHandlers handlers;
  Counter& answered;
  Counter& refused;
  Counter& failed;
  Counter& duplicates;
  Gauge& limit_gauge;
  Histogram& first_token;
  RequestLedger request_ledger;
  std::unique_ptr<Limiter> limiter;
  std::optional<ServiceLimits> limits;
  bool limits_changed = false;
  InstanceId start_id;
  std::string stop_reason = "the agent is starting";
  bool hands_off_slots = false;
  // Last time that the target became cold or its limit delayed or refused a
  // request.
  TimePoint limited_at{};
  uint32_t reported_limit = 0;
  TaskKey next_key = 1;
  std::unordered_map<TaskKey, std::shared_ptr<WorkTask>> tasks;
  // Attempts that wait for the outcome of an earlier attempt, by the text form
  // of their request id.
  std::map<std::string, std::vector<Waiter>> waiting_duplicates;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_WORK_SERVICE_H_
