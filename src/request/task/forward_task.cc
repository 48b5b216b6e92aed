#include "src/request/task/forward_task.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "celerypost/assert.h"
#include "src/process/log.h"

namespace celerypost {

namespace {

constexpr int kMaxIdDraws = 16;

int HttpStatusFor(Verdict verdict, ErrorCode code) {
  if (code == ErrorCode::kDeadlineExceeded) {
    return 504;
  }
  if (code == ErrorCode::kInvalidArgument) {
    return 400;
  }
  if (code == ErrorCode::kNotFound) {
    return 404;
  }
  return verdict == Verdict::kNotRun ? 503 : 502;
}

std::string ErrorJson(Verdict verdict,
                      ErrorCode code,
                      std::string_view message) {
  const nlohmann::json body = {{"error",
                                {{"code", ErrorCodeName(code)},
                                 {"message", message},
                                 {"verdict", VerdictName(verdict)}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

AttemptFault FaultOf(wire::Refusal::type refusal) {
  switch (refusal) {
    case wire::Refusal::BEHIND:
    case wire::Refusal::MOVED:
      return AttemptFault::kHolderUnknown;
    case wire::Refusal::STOPPED:
      return AttemptFault::kStopped;
    default:
      return AttemptFault::kFailed;
  }
}

LoadReport FromWire(const wire::LoadReport& report) {
  LoadReport result;
  result.in_flight = static_cast<uint32_t>(std::max(report.in_flight, 0));
  result.queued = static_cast<uint32_t>(std::max(report.queued, 0));
  result.limit = static_cast<uint32_t>(std::max(report.limit, 1));
  result.cold = report.cold;
  return result;
}

}  // namespace

void SendError(HttpResponder& responder,
               int status,
               Verdict verdict,
               ErrorCode code,
               std::string_view message,
               HttpHeaders headers) {
  headers.emplace_back("content-type", "application/json");
  headers.emplace_back("celerypost-verdict", std::string(VerdictName(verdict)));
  responder.Send(status, std::move(headers), ErrorJson(verdict, code, message));
}

ForwardTask::ForwardTask(ForwardContext& context,
                         int64_t request_number,
                         CallerRequest request,
                         std::shared_ptr<HttpResponder> responder,
                         std::function<void()> on_done)
    : context(context),
      request_number(request_number),
      request(std::move(request)),
      responder(std::move(responder)),
      on_done(std::move(on_done)),
      started(context.scheduler.Now()),
      deadline(started + this->request.deadline) {}

ForwardTask::~ForwardTask() {
  this->responder->OnClosed(nullptr);
}

void ForwardTask::Start() {
  if (this->context.leaving()) {
    this->responder->CloseConnectionAfter();
  }
  if (!this->context.gossip.MayGiveNewWork()) {
    this->Refuse(this->FinalVerdict(Verdict::kNotRun), ErrorCode::kUnavailable,
                 "this entry has no current configuration");
    return;
  }
  const ServiceView* view = this->context.services.Find(this->request.service);
  if (view == nullptr) {
    this->Refuse(
        this->FinalVerdict(Verdict::kNotRun), ErrorCode::kNotFound,
        "service '" + this->request.service.value() + "' is not known");
    return;
  }
  this->idempotent = this->request.IsIdempotent(view->service.kind);
  this->retry_plan.emplace(RetryPlanOptions{}, this->context.budget,
                           this->idempotent, this->deadline);
  this->responder->OnClosed([this] { this->Cancel("the caller has left"); });
  this->deadline_call = this->context.scheduler.After(
      this->request.deadline, [this] { this->OnDeadline(); });
  this->SendAttempt();
}

void ForwardTask::SendAttempt() {
  this->retry_call.reset();
  this->entry_attempt = this->retry_plan->BeginAttempt();
  if (this->idempotent) {
    this->SendToTarget();
  } else {
    this->SendToSlotHolder();
  }
}

void ForwardTask::SendToTarget() {
  ServiceView* view = this->context.services.Find(this->request.service);
  if (view == nullptr) {
    this->Refuse(this->FinalVerdict(Verdict::kNotRun), ErrorCode::kNotFound,
                 "the service was removed");
    return;
  }
  const auto picked = this->retry_plan->PickTarget(
      *view->router, this->request.prefix_hash, this->context.scheduler.Now());
  if (!picked) {
    this->OnAttemptFailed({Verdict::kNotRun, AttemptFault::kStopped},
                          picked.error().code, picked.error().message);
    return;
  }
  auto to = this->context.mesh.Find(*picked);
  if (!to) {
    this->OnAttemptFailed(
        {Verdict::kNotRun, AttemptFault::kUnconnected, *picked},
        ErrorCode::kUnavailable, "the target's agent is not connected");
    return;
  }
  view->router->OnSent(*picked);
  this->SendWork(std::move(to), *picked);
}

bool ForwardTask::GenerateReachableId() {
  const ServiceView* view = this->context.services.Find(this->request.service);
  if (view == nullptr || !view->slots) {
    return false;
  }
  const auto issued_at = this->context.scheduler.UnixTime();
  const auto& excluded = this->retry_plan->excluded();
  std::optional<RequestId> reachable;
  for (int i = 0; i < kMaxIdDraws; ++i) {
    RequestId id =
        RequestId::Make(view->slots->version, issued_at, this->context.random);
    const InstanceId owner = view->slots->slots[id.Slot()].owner;
    if (!view->targets.contains(owner) || !this->context.mesh.Find(owner)) {
      continue;
    }
    reachable = std::move(id);
    if (std::find(excluded.begin(), excluded.end(), owner) == excluded.end()) {
      break;
    }
  }
  if (!reachable) {
    return false;
  }
  this->request.id = std::move(reachable);
  this->id_generated_here = true;
  this->moved_to = {};
  return true;
}

bool ForwardTask::MayGenerateId() const {
  return !this->request.id ||
         (this->id_generated_here && this->frames_unanswered == 0);
}

void ForwardTask::SendToSlotHolder() {
  if (this->MayGenerateId() && !this->GenerateReachableId()) {
    this->OnAttemptFailed({Verdict::kNotRun, AttemptFault::kHolderUnknown},
                          ErrorCode::kUnavailable,
                          "no agent of the service holds a slot and is "
                          "connected");
    return;
  }
  const ServiceView* view = this->context.services.Find(this->request.service);
  InstanceId holder = this->moved_to;
  if (holder == InstanceId{} && view != nullptr && view->slots) {
    const size_t slot = this->request.id->Slot();
    holder = view->slots->slots[slot].owner;
    // The new owner of a slot may not have received the former owner's records
    // yet. The former owner knows which agent it handed the slot to.
    if (this->request.id->table_version < view->slots->slots[slot].since &&
        view->previous_slots &&
        this->context.mesh.Find(view->previous_slots->slots[slot].owner)) {
      holder = view->previous_slots->slots[slot].owner;
    }
  }
  auto to = this->context.mesh.Find(holder);
  if (!to) {
    this->moved_to = {};
    this->OnAttemptFailed({Verdict::kNotRun, AttemptFault::kHolderUnknown},
                          ErrorCode::kUnavailable,
                          "the agent that holds the request's slot is not "
                          "connected");
    return;
  }
  this->SendWork(std::move(to), holder);
}

void ForwardTask::SendWork(std::shared_ptr<PeerConnection> agent,
                           InstanceId chosen) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->deadline - this->context.scheduler.Now());
  wire::Work work;
  if (!this->idempotent) {
    work.request_id = this->request.id->ToString();
  }
  work.service_name = this->request.service.value();
  work.workspace = this->request.workspace.value();
  work.priority = static_cast<int32_t>(this->request.priority);
  work.deadline_ms =
      static_cast<int32_t>(std::max<int64_t>(remaining.count(), 1));
  work.idempotent = this->idempotent;
  work.method = this->request.method;
  work.path = this->request.path;
  work.content_type = this->request.content_type;
  work.body = this->request.body;
  work.config_number =
      static_cast<int64_t>(this->context.gossip.config().number());
  const uint32_t caller_attempt =
      this->id_generated_here ? kGeneratedId : this->request.attempt;
  this->attempt_number = MakeAttempt(caller_attempt, this->entry_attempt);
  this->connection = std::move(agent);
  this->target = chosen;
  this->last_target = chosen;
  ++this->frames_unanswered;
  this->connection->Send(wire::Kind::WORK, this->request_number,
                         static_cast<int32_t>(this->attempt_number), work);
}

void ForwardTask::OnFrame(const PeerConnection& from, const Frame& frame) {
  // A response to an abandoned attempt must not reach the caller.
  if (this->done || this->connection.get() != &from ||
      frame.header.attempt != static_cast<int32_t>(this->attempt_number)) {
    return;
  }
  switch (frame.header.kind) {
    case wire::Kind::WORK_HEAD:
      if (const auto head = DecodeMessage<wire::WorkHead>(frame)) {
        this->OnHead(*head);
      }
      return;
    case wire::Kind::WORK_BODY:
      if (const auto body = DecodeMessage<wire::WorkBody>(frame);
          body && this->head_sent) {
        this->event_boundary.Add(body->bytes);
        this->responder->Write(body->bytes);
      }
      return;
    case wire::Kind::WORK_END:
      if (const auto end = DecodeMessage<wire::WorkEnd>(frame)) {
        this->OnEnd(*end);
      }
      return;
    default:
      return;
  }
}

HttpHeaders ForwardTask::ResponseHeaders() const {
  HttpHeaders headers;
  if (this->request.id) {
    headers.emplace_back("celerypost-request-id", this->request.id->ToString());
  }
  if (this->context.leaving()) {
    headers.emplace_back("celerypost-refresh", "1");
  }
  return headers;
}

void ForwardTask::OnHead(const wire::WorkHead& head) {
  CELERYPOST_ASSERT(!this->head_sent,
                    "P4: a caller receives one answer to its request");
  this->head_sent = true;
  this->event_stream = head.content_type.starts_with("text/event-stream");
  HttpHeaders headers = this->ResponseHeaders();
  if (!head.content_type.empty()) {
    headers.emplace_back("content-type", head.content_type);
  }
  if (!head.version.empty()) {
    headers.emplace_back("celerypost-version", head.version);
  }
  headers.emplace_back("celerypost-target", FormatInstance(this->target));
  this->context.counters.first_byte.Observe(this->context.scheduler.Now() -
                                            this->started);
  this->responder->Start(head.status, headers);
}

void ForwardTask::OnEnd(const wire::WorkEnd& end) {
  --this->frames_unanswered;
  ServiceView* view = this->context.services.Find(this->request.service);
  if (view != nullptr && this->idempotent) {
    view->router->OnFinished(this->target, FromWire(end.load),
                             this->context.scheduler.Now());
  }
  const InstanceId refusing = std::exchange(this->target, InstanceId{});
  this->connection.reset();
  if (end.error < 0) {
    this->context.counters.answered.Add();
    this->context.budget.Deposit();
    this->context.counters.total.Observe(this->context.scheduler.Now() -
                                         this->started);
    this->responder->End();
    this->Finish();
    return;
  }
  const AttemptFault fault = FaultOf(end.refusal);
  if (fault == AttemptFault::kHolderUnknown) {
    ++this->frames_redirected;
  }
  if (end.refusal == wire::Refusal::MOVED) {
    this->moved_to = InstanceId{static_cast<uint64_t>(end.moved_to)};
  }
  this->OnAttemptFailed(
      {static_cast<Verdict>(std::clamp(end.verdict, 0, 2)), fault, refusing},
      static_cast<ErrorCode>(end.error), end.message);
}

void ForwardTask::OnConnectionClosed(const PeerConnection& closed) {
  if (this->done || this->connection.get() != &closed) {
    return;
  }
  const InstanceId lost = this->target;
  this->EndAttempt();
  this->OnAttemptFailed({Verdict::kMayHaveRun, AttemptFault::kLost, lost},
                        ErrorCode::kUnavailable,
                        "the connection to the target's agent was lost");
}

void ForwardTask::EndAttempt() {
  if (!this->connection) {
    return;
  }
  ServiceView* view = this->context.services.Find(this->request.service);
  if (view != nullptr && this->idempotent) {
    view->router->OnFailed(this->target);
  }
  this->connection.reset();
  this->target = {};
}

void ForwardTask::OnAttemptFailed(const AttemptFailure& failure,
                                  ErrorCode code,
                                  std::string_view message) {
  this->any_may_have_run |= failure.verdict != Verdict::kNotRun;
  if (this->head_sent) {
    this->AbortStream(failure.verdict, message);
    return;
  }
  ServiceView* view = this->context.services.Find(this->request.service);
  // A request with another id is bound to the holder of the id's slot.
  const bool any_target = this->idempotent || this->MayGenerateId();
  Router* const router =
      view != nullptr && any_target ? view->router.get() : nullptr;
  if (const auto delay = this->retry_plan->OnFailed(
          failure, router, this->context.scheduler.Now())) {
    if (failure.fault != AttemptFault::kHolderUnknown) {
      this->context.counters.retries.Add();
    }
    this->ScheduleRetry(*delay);
    return;
  }
  this->Refuse(this->FinalVerdict(failure.verdict), code, message);
}

void ForwardTask::ScheduleRetry(std::chrono::milliseconds delay) {
  this->retry_call =
      this->context.scheduler.After(delay, [this] { this->SendAttempt(); });
}

Verdict ForwardTask::FinalVerdict(Verdict attempt_verdict) const {
  if (attempt_verdict != Verdict::kNotRun) {
    return attempt_verdict;
  }
  if (this->any_may_have_run) {
    return Verdict::kMayHaveRun;
  }
  if (!this->request.id) {
    return Verdict::kNotRun;
  }
  RefusalFacts facts;
  facts.id_generated_here = this->id_generated_here;
  facts.caller_attempt = this->request.attempt;
  facts.frames_unanswered = this->frames_unanswered;
  facts.frames_redirected = this->frames_redirected;
  return RefusalVerdict(facts);
}

void ForwardTask::SendCancel(std::string_view reason) {
  wire::CancelWork cancel;
  cancel.reason = std::string(reason);
  this->connection->Send(wire::Kind::CANCEL_WORK, this->request_number,
                         static_cast<int32_t>(this->attempt_number), cancel);
}

void ForwardTask::OnDeadline() {
  const bool sent = this->connection != nullptr;
  if (sent) {
    this->SendCancel("deadline");
  }
  this->EndAttempt();
  const Verdict verdict =
      this->FinalVerdict(sent ? Verdict::kMayHaveRun : Verdict::kNotRun);
  if (this->head_sent) {
    this->AbortStream(verdict, "the deadline has passed");
    return;
  }
  this->Refuse(verdict, ErrorCode::kDeadlineExceeded,
               "the deadline has passed");
}

void ForwardTask::Cancel(std::string_view reason) {
  if (this->connection) {
    this->SendCancel(reason);
  }
  this->EndAttempt();
  this->Finish();
}

void ForwardTask::LogFailure(std::string_view event,
                             Verdict verdict,
                             std::string_view message) {
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->context.scheduler.Now() - this->started);
  this->context.log.Info(
      event, message,
      {{"service", this->request.service.value()},
       {"verdict", VerdictName(verdict)},
       {"attempts", this->entry_attempt},
       {"target", FormatInstance(this->last_target)},
       {"elapsed_ms", elapsed.count()}},
      this->request.id ? this->request.id->ToString() : std::string());
}

void ForwardTask::Refuse(Verdict verdict,
                         ErrorCode code,
                         std::string_view message) {
  if (verdict == Verdict::kNotRun) {
    this->context.counters.refused_not_run.Add();
  } else {
    this->context.counters.failed_may_have_run.Add();
  }
  this->LogFailure("request_refused", verdict, message);
  SendError(*this->responder, HttpStatusFor(verdict, code), verdict, code,
            message, this->ResponseHeaders());
  this->Finish();
}

void ForwardTask::AbortStream(Verdict verdict, std::string_view message) {
  this->context.counters.broken_streams.Add();
  this->LogFailure("stream_broken", verdict, message);
  // Within an event, only the missing end of the answer tells the caller.
  if (this->event_stream && this->event_boundary.reached()) {
    this->responder->Write(
        "event: error\ndata: " +
        ErrorJson(verdict, ErrorCode::kUnavailable, message) + "\n\n");
  }
  this->responder->Abort();
  this->Finish();
}

void ForwardTask::Finish() {
  if (std::exchange(this->done, true)) {
    return;
  }
  this->EndAttempt();
  this->deadline_call.reset();
  this->retry_call.reset();
  this->on_done();
}

}  // namespace celerypost
