#include "src/request/task/work_service.h"

#include <algorithm>
#include <utility>

#include "celerypost/assert.h"

namespace celerypost {

namespace {

// Limits until a manifest lists the service.
constexpr ServiceLimits kUnknownLimits{1, 1, std::chrono::milliseconds(0), 0};

// Shortest time without a delayed or refused request after which a cold target
// is taken to accept the full load.
constexpr std::chrono::milliseconds kMinTimeUnlimited{2000};

ColdStartOptions ToColdStartOptions(const ServiceLimits& limits) {
  ColdStartOptions options;
  options.cold_limit = limits.cold;
  options.full_limit = limits.full;
  options.warm_up = limits.warm_up;
  return options;
}

}  // namespace

WorkService::Limiter::Limiter(const ServiceLimits& limits,
                              FairQueueOptions queue_options,
                              AdmissionOptions admission_options)
    : cold_start(ToColdStartOptions(limits)),
      queue(queue_options),
      admission(admission_options, cold_start, queue) {}

WorkService::WorkService(WorkServiceOptions options,
                         InstanceId self,
                         Loop& loop,
                         HttpClient& target,
                         Metrics& metrics,
                         Log& log,
                         WorkServiceHandlers handlers)
    : options(std::move(options)),
      loop(loop),
      target(target),
      log(log),
      handlers(std::move(handlers)),
      answered(metrics.AddCounter("celerypost_agent_answered_total",
                                  "Requests answered whole by the target.")),
      refused(metrics.AddCounter("celerypost_agent_refused_total",
                                 "Requests refused before they ran.")),
      failed(metrics.AddCounter("celerypost_agent_failed_total",
                                "Requests that the target did not answer.")),
      duplicates(
          metrics.AddCounter("celerypost_agent_duplicates_total",
                             "Repeated request ids that were not run again.")),
      limit_gauge(metrics.AddGauge("celerypost_agent_limit",
                                   "Most requests that may run at present.")),
      first_token(
          metrics.AddHistogram("celerypost_agent_first_token_seconds",
                               "Time from dispatch to the first body bytes.")),
      request_ledger(this->options.ledger, self),
      limiter(std::make_unique<Limiter>(kUnknownLimits,
                                        this->options.queue,
                                        this->options.admission)) {}

WorkService::~WorkService() = default;

void WorkService::SetLimits(const ServiceLimits& new_limits) {
  if (this->limits == new_limits) {
    return;
  }
  this->limits = new_limits;
  this->limits_changed = true;
  this->ReplaceLimiterWhenIdle();
}

void WorkService::ReplaceLimiterWhenIdle() {
  // The present limiter counts the requests in flight, so it stays until they
  // have ended.
  if (!this->limits_changed || !this->tasks.empty()) {
    return;
  }
  this->limits_changed = false;
  this->limiter = std::make_unique<Limiter>(*this->limits, this->options.queue,
                                            this->options.admission);
  if (this->start_id != InstanceId{}) {
    this->limiter->cold_start.OnTargetStarted(this->start_id, this->loop.Now());
  }
}

bool WorkService::warm() const {
  return this->limiter->cold_start.state() == ColdState::kWarm;
}

bool WorkService::accepts_full_load() const {
  const Duration required =
      std::max<Duration>(kMinTimeUnlimited, this->limits ? this->limits->warm_up
                                                         : kMinTimeUnlimited);
  return this->warm() || this->loop.Now() - this->limited_at >= required;
}

uint32_t WorkService::running() const {
  return this->limiter->admission.in_flight();
}

void WorkService::SetStopReason(std::string reason, bool hands_off) {
  if (reason != this->stop_reason) {
    this->log.Info(reason.empty() ? "work_resumed" : "work_stopped",
                   reason.empty() ? "accepts new work" : reason);
  }
  this->stop_reason = std::move(reason);
  this->hands_off_slots = hands_off;
  if (!this->stopped()) {
    return;
  }
  // Waiting requests have not reached the target and must not reach it any
  // more. They are refused as not run, so that the entries send them to other
  // agents.
  std::vector<TaskKey> waiting;
  for (const auto& [key, task] : this->tasks) {
    if (!task->dispatched()) {
      waiting.push_back(key);
    }
  }
  for (const TaskKey key : waiting) {
    const auto task = this->tasks.at(key);
    this->limiter->admission.Cancel(key);
    this->tasks.erase(key);
    this->RefuseStopped(*task);
  }
}

void WorkService::OnTargetStarted(InstanceId id) {
  if (id != this->start_id) {
    this->limited_at = this->loop.Now();
  }
  this->start_id = id;
  this->limiter->cold_start.OnTargetStarted(id, this->loop.Now());
}

void WorkService::OnSentinelClosed() {
  this->limited_at = this->loop.Now();
  this->limiter->cold_start.OnSentinelClosed(this->loop.Now());
}

void WorkService::OnSwitchCompleted() {
  this->limited_at = this->loop.Now();
  this->limiter->cold_start.OnSwitchCompleted(this->loop.Now());
}

void WorkService::OnTick() {
  const TimePoint now = this->loop.Now();
  this->request_ledger.OnTick(now);
  this->ReplaceLimiterWhenIdle();
  this->Apply(this->limiter->admission.OnTick(now));
  this->ReportLimit();
}

void WorkService::ReportLimit() {
  const ColdStart& cold_start = this->limiter->cold_start;
  const uint32_t limit = cold_start.Limit(this->loop.Now());
  this->limit_gauge.Set(limit);
  if (std::exchange(this->reported_limit, limit) == limit) {
    return;
  }
  const auto baseline = std::chrono::duration_cast<std::chrono::milliseconds>(
      cold_start.baseline_time());
  this->log.Info("limit_changed",
                 "another number of requests may run at the target",
                 {{"limit", limit},
                  {"cold_starts", cold_start.epoch()},
                  {"baseline_ms", baseline.count()},
                  {"baseline_samples", cold_start.baseline_samples()}});
}

wire::LoadReport WorkService::Load() const {
  wire::LoadReport report;
  report.in_flight = static_cast<int32_t>(this->limiter->admission.in_flight());
  report.queued =
      static_cast<int32_t>(this->limiter->admission.ReportedQueue());
  report.limit =
      static_cast<int32_t>(this->limiter->cold_start.Limit(this->loop.Now()));
  report.cold = !this->warm();
  return report;
}

void WorkService::OnFrame(const std::shared_ptr<PeerConnection>& entry,
                          const Frame& frame) {
  if (frame.header.kind == wire::Kind::WORK) {
    this->OnWork(entry, frame);
  } else {
    this->OnCancel(*entry, frame);
  }
}

void WorkService::OnWork(const std::shared_ptr<PeerConnection>& entry,
                         const Frame& frame) {
  auto work = DecodeMessage<wire::Work>(frame);
  if (!work) {
    this->log.Warn("bad_work", work.error().message);
    wire::WorkEnd end;
    end.verdict = static_cast<int32_t>(Verdict::kNotRun);
    end.error = static_cast<int32_t>(ErrorCode::kInvalidArgument);
    end.message = work.error().message;
    entry->Send(wire::Kind::WORK_END, frame.header.request,
                frame.header.attempt, end);
    return;
  }
  std::optional<RequestId> id;
  Result<RequestId> parsed = RequestId{};
  if (!work->idempotent) {
    parsed = RequestId::Parse(work->request_id);
    if (parsed) {
      id = *parsed;
    }
  }
  const auto task = std::make_shared<WorkTask>(
      entry, frame.header.request, frame.header.attempt, std::move(*work),
      std::move(id), this->options.ledger.max_answer_bytes);
  if (!parsed) {
    this->Refuse(*task, ErrorCode::kInvalidArgument, parsed.error().message,
                 wire::Refusal::NONE);
    return;
  }
  if (ServiceName(task->work().service_name) != this->options.service) {
    this->Refuse(*task, ErrorCode::kNotFound,
                 "this agent serves '" + this->options.service.value() + "'",
                 wire::Refusal::STOPPED);
    return;
  }
  // The ledger answers duplicates even while no new work is accepted.
  if (task->id() && !this->BeginInLedger(task)) {
    return;
  }
  this->Offer(task);
}

bool WorkService::BeginInLedger(const std::shared_ptr<WorkTask>& task) {
  const RequestId& id = *task->id();
  const BeginOutcome outcome =
      this->request_ledger.Begin(id, task->attempt(), this->loop.Now());
  switch (outcome.result) {
    case BeginResult::kRun:
      return true;
    case BeginResult::kDuplicateRunning:
      this->duplicates.Add();
      this->waiting_duplicates[id.ToString()].push_back(task);
      return false;
    case BeginResult::kAnswered:
      this->duplicates.Add();
      task->SendStored(*outcome.answer, this->Load());
      return false;
    case BeginResult::kBehind:
      this->Refuse(*task, ErrorCode::kUnavailable,
                   "the request id is newer than the agent's slot table",
                   wire::Refusal::BEHIND);
      return false;
    case BeginResult::kMoved:
      task->SendFailure({Verdict::kNotRun, ErrorCode::kUnavailable,
                         "another agent holds the request's slot"},
                        wire::Refusal::MOVED, outcome.moved_to, this->Load());
      return false;
    case BeginResult::kNotRun:
      this->Refuse(*task, ErrorCode::kUnavailable,
                   "an attempt of this number was refused before",
                   wire::Refusal::FULL);
      return false;
    case BeginResult::kMayHaveRun:
      this->duplicates.Add();
      task->SendFailure(
          {outcome.ran ? Verdict::kRan : Verdict::kMayHaveRun,
           ErrorCode::kConflict,
           outcome.ran
               ? "the request has run; its answer is not stored"
               : "the request may have run before and is not run again"},
          wire::Refusal::NONE, {}, this->Load());
      return false;
  }
  return false;
}

void WorkService::Offer(const std::shared_ptr<WorkTask>& task) {
  if (this->stopped()) {
    this->RefuseStopped(*task);
    return;
  }
  const TimePoint now = this->loop.Now();
  const TaskKey key = this->next_key++;
  AdmissionRequest request;
  request.id = key;
  request.workspace = WorkspaceName(task->work().workspace);
  request.priority =
      static_cast<Priority>(std::clamp(task->work().priority, 0, 2));
  request.deadline = now + std::chrono::milliseconds(task->work().deadline_ms);
  const AdmissionOutcome outcome =
      this->limiter->admission.Offer(std::move(request), now);
  if (outcome.displaced) {
    this->RefuseWaiting(*outcome.displaced, ErrorCode::kOverloaded,
                        "displaced by a request with more right to the queue",
                        wire::Refusal::FULL);
  }
  if (outcome.decision != AdmissionDecision::kRun) {
    this->limited_at = now;
  }
  if (outcome.decision == AdmissionDecision::kRefused) {
    this->ReleaseAndRefuse(*task, outcome.code, outcome.message,
                           wire::Refusal::FULL);
    return;
  }
  this->tasks.emplace(key, task);
  if (outcome.decision == AdmissionDecision::kRun) {
    this->Run(key);
  }
}

void WorkService::Run(TaskKey key) {
  const auto it = this->tasks.find(key);
  CELERYPOST_ASSERT(it != this->tasks.end(),
                    "P2: only admitted requests count towards the limit");
  const auto task = it->second;
  // A target whose process has ended is cold after its restart, so the limit
  // under which the request was admitted no longer holds.
  if (!this->handlers.target_alive()) {
    this->tasks.erase(key);
    this->ReleaseAndRefuse(*task, ErrorCode::kUnavailable,
                           "the target is not running", wire::Refusal::STOPPED);
    this->Apply(this->limiter->admission.OnFinished(key, false,
                                                    this->loop.Now(), false));
    return;
  }
  const uint64_t epoch = this->limiter->cold_start.epoch();
  WorkTaskHandlers task_handlers;
  task_handlers.on_head = [this](const HttpHeaders& headers) {
    const std::string_view id = FindHeader(headers, "x-start-id");
    if (!id.empty()) {
      this->handlers.on_start_id(id);
    }
  };
  task_handlers.on_first_body = [this, epoch](TimePoint dispatched_at) {
    const TimePoint now = this->loop.Now();
    const Duration latency = now - dispatched_at;
    this->first_token.Observe(latency);
    if (epoch == this->limiter->cold_start.epoch()) {
      this->limiter->cold_start.OnFirstToken(latency, now);
    }
  };
  task_handlers.on_done = [this, key](WorkResult result) {
    this->OnDone(key, std::move(result));
  };
  task_handlers.load = [this] { return this->Load(); };
  task->Dispatch(this->target, this->loop.Now(), std::move(task_handlers));
}

void WorkService::Apply(const AdmissionActions& actions) {
  for (const TaskKey key : actions.refused) {
    this->RefuseWaiting(key, ErrorCode::kDeadlineExceeded,
                        "the deadline cannot be met", wire::Refusal::FULL);
  }
  for (const TaskKey key : actions.run) {
    this->Run(key);
  }
}

void WorkService::RefuseWaiting(TaskKey key,
                                ErrorCode code,
                                std::string message,
                                wire::Refusal::type refusal) {
  const auto it = this->tasks.find(key);
  if (it == this->tasks.end()) {
    return;
  }
  const auto task = it->second;
  CELERYPOST_ASSERT(!task->dispatched(), "P5: \"not run\" is true");
  this->tasks.erase(it);
  this->ReleaseAndRefuse(*task, code, std::move(message), refusal);
}

void WorkService::RefuseStopped(WorkTask& task) {
  if (!task.id() || !this->hands_off_slots) {
    this->ReleaseAndRefuse(task, ErrorCode::kUnavailable, this->stop_reason,
                           wire::Refusal::STOPPED);
    return;
  }
  // A release would close the attempt at the next holder of the slot too.
  this->request_ledger.Withdraw(*task.id());
  this->Refuse(task, ErrorCode::kUnavailable, this->stop_reason,
               wire::Refusal::BEHIND);
  this->AnswerDuplicates(*task.id());
}

void WorkService::ReleaseAndRefuse(WorkTask& task,
                                   ErrorCode code,
                                   std::string message,
                                   wire::Refusal::type refusal) {
  if (task.id()) {
    this->request_ledger.ReleaseNotRun(*task.id());
  }
  this->Refuse(task, code, std::move(message), refusal);
  if (task.id()) {
    this->AnswerDuplicates(*task.id());
  }
}

void WorkService::Refuse(WorkTask& task,
                         ErrorCode code,
                         std::string message,
                         wire::Refusal::type refusal) {
  CELERYPOST_ASSERT(!task.dispatched(), "P5: \"not run\" is true");
  this->refused.Add();
  task.SendFailure({Verdict::kNotRun, code, std::move(message)}, refusal, {},
                   this->Load());
}

void WorkService::OnDone(TaskKey key, WorkResult result) {
  const auto it = this->tasks.find(key);
  CELERYPOST_ASSERT(it != this->tasks.end(), "P4: a request ends once");
  const auto task = it->second;
  this->tasks.erase(it);
  const bool ok = !result.failure.has_value();
  (ok ? this->answered : this->failed).Add();
  const bool reached_target = ok || result.failure->verdict != Verdict::kNotRun;
  if (task->id()) {
    this->RecordOutcome(*task, result);
    this->AnswerDuplicates(*task->id());
  }
  // Destroys the task in the next loop iteration, because one of its methods is
  // still on the stack.
  this->loop.BeforeWait([task] {});
  this->Apply(this->limiter->admission.OnFinished(key, ok, this->loop.Now(),
                                                  reached_target));
}

void WorkService::RecordOutcome(const WorkTask& task,
                                const WorkResult& result) {
  if (result.failure) {
    if (result.failure->verdict == Verdict::kNotRun) {
      this->request_ledger.ReleaseNotRun(*task.id());
    } else {
      this->request_ledger.FinishUnknown(*task.id(), this->loop.Now());
    }
    return;
  }
  if (result.answer) {
    this->request_ledger.Finish(*task.id(), *result.answer, this->loop.Now());
  } else {
    this->request_ledger.FinishUnknown(*task.id(), this->loop.Now());
  }
}

void WorkService::AnswerDuplicates(const RequestId& id) {
  const auto it = this->waiting_duplicates.find(id.ToString());
  if (it == this->waiting_duplicates.end()) {
    return;
  }
  const auto waiting = std::move(it->second);
  this->waiting_duplicates.erase(it);
  for (const auto& task : waiting) {
    if (task->abandoned()) {
      continue;
    }
    // Asks the ledger again, which knows the outcome now. A request that was
    // released as not run may run for a higher attempt number.
    if (this->BeginInLedger(task)) {
      this->Offer(task);
    }
  }
}

void WorkService::OnCancel(const PeerConnection& entry, const Frame& frame) {
  for (const auto& [key, task] : this->tasks) {
    if (task->entry() == &entry && task->number() == frame.header.request &&
        task->attempt() == static_cast<uint32_t>(frame.header.attempt)) {
      const TaskKey cancelled_key = key;
      const auto cancelled = task;
      if (!cancelled->dispatched()) {
        this->limiter->admission.Cancel(cancelled_key);
        this->RefuseWaiting(cancelled_key, ErrorCode::kCancelled, "cancelled",
                            wire::Refusal::NONE);
        return;
      }
      cancelled->Abandon();
      if (!cancelled->id()) {
        WorkResult result;
        result.failure =
            Failure{Verdict::kMayHaveRun, ErrorCode::kCancelled, "cancelled"};
        this->OnDone(cancelled_key, std::move(result));
      }
      return;
    }
  }
}

void WorkService::OnConnectionClosed(const PeerConnection& entry) {
  std::vector<std::pair<int64_t, uint32_t>> lost_attempts;
  for (const auto& [key, task] : this->tasks) {
    if (task->entry() == &entry) {
      lost_attempts.emplace_back(task->number(), task->attempt());
    }
  }
  for (const auto& [number, attempt] : lost_attempts) {
    Frame cancel;
    cancel.header.request = number;
    cancel.header.attempt = static_cast<int32_t>(attempt);
    this->OnCancel(entry, cancel);
  }
  for (auto& [id, waiting] : this->waiting_duplicates) {
    std::erase_if(waiting, [&entry](const auto& task) {
      return task->entry() == &entry;
    });
  }
}

}  // namespace celerypost
