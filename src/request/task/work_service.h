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

// What the service needs to know of its process.
struct WorkServiceHandlers {
  // Checks the sentinel connection; false when the target's process has ended.
  std::function<bool()> target_alive;
  // The start identity of the target as its answers state it.
  std::function<void(std::string_view start_id)> on_start_id;
};

// Admits, queues and runs the requests for the one target of this agent. All
// entries' requests for the target pass through it, so the bound of a cold
// target, the fair shares and "has this request run?" are decided here alone.
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

  // The service's limits from the manifest. Until the first call, and from a
  // change of the limits on, the target counts as cold.
  void SetLimits(const ServiceLimits& limits);

  // WORK and CANCEL_WORK from an entry.
  void OnFrame(const std::shared_ptr<PeerConnection>& entry,
               const Frame& frame);
  void OnConnectionClosed(const PeerConnection& entry);

  // Reasons not to take new work. Empty when there is none.
  void SetStopReason(std::string reason);
  bool stopped() const { return !this->stop_reason.empty(); }

  void OnTargetStarted(InstanceId start_id);
  void OnSentinelClosed();
  void OnSwitchCompleted();
  // Call every 20 ms or so.
  void OnTick();

  RequestLedger& ledger() { return this->requests; }
  // Past the cold start. Tells entries what load the target bears.
  bool warm() const;
  // Warm, or not held back by its cold start for a while: a target without
  // enough requests to warm up still carries all the load that it is offered.
  bool settled() const;
  // Requests that run or wait.
  size_t in_flight() const { return this->tasks.size(); }
  // Requests that run at the target.
  uint32_t running() const;

 private:
  // One target's admission; rebuilt when the limits change.
  struct Gate {
    Gate(const ServiceLimits& limits,
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
  // Returns true when the request must run now, subject to admission.
  bool BeginInLedger(const std::shared_ptr<WorkTask>& task);
  void Offer(const std::shared_ptr<WorkTask>& task);
  void Run(TaskKey key);
  void Apply(const AdmissionActions& actions);
  // Ends a task that has not been dispatched.
  void RefuseWaiting(TaskKey key,
                     ErrorCode code,
                     std::string message,
                     wire::Refusal::type refusal);
  // Refuses a request that the ledger let run, and settles its repeats.
  void ReleaseAndRefuse(WorkTask& task,
                        ErrorCode code,
                        std::string message,
                        wire::Refusal::type refusal);
  void Refuse(WorkTask& task,
              ErrorCode code,
              std::string message,
              wire::Refusal::type refusal);
  void OnDone(TaskKey key, WorkResult result);
  void SettleLedger(const WorkTask& task, const WorkResult& result);
  void AnswerDuplicates(const RequestId& id);
  void ReplaceGateWhenIdle();
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
  RequestLedger requests;
  std::unique_ptr<Gate> gate;
  std::optional<ServiceLimits> limits;
  bool limits_changed = false;
  InstanceId start_id;
  std::string stop_reason = "the agent is starting";
  // Last time that the target became cold or its limit held a request back.
  TimePoint limited_at{};
  TaskKey next_key = 1;
  std::unordered_map<TaskKey, std::shared_ptr<WorkTask>> tasks;
  // Attempts that wait for the outcome of the same id.
  std::map<std::string, std::vector<Waiter>> waiting_duplicates;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_WORK_SERVICE_H_
