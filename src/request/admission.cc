#include "src/request/admission.h"

#include <algorithm>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

// Divisor that weights a new service time in the moving mean.
constexpr int kServiceTimeSmoothing = 16;

}  // namespace

Admission::Admission(AdmissionOptions options,
                     ColdStart& cold_start,
                     FairQueue& queue)
    : options(options),
      cold_start(cold_start),
      queue(queue),
      mean_service_time(options.initial_service_time) {}

AdmissionOutcome Admission::Offer(AdmissionRequest request, TimePoint now) {
  if (this->stop_reason) {
    return {.code = ErrorCode::kUnavailable, .message = *this->stop_reason};
  }
  if (request.deadline <= now) {
    return {.code = ErrorCode::kDeadlineExceeded,
            .message = "the deadline passed before the request arrived"};
  }
  if (this->queue.empty() &&
      this->running.size() < this->cold_start.Limit(now)) {
    this->Start(request.id, now);
    return {.decision = AdmissionDecision::kRun};
  }
  if (this->options.shed_early &&
      now + this->ExpectedWait(request, now) + this->ServiceAllowance() >
          request.deadline) {
    return {.message = "the request would miss its deadline in the queue"};
  }
  const PushOutcome pushed = this->queue.Push(std::move(request));
  if (!pushed.accepted) {
    return {.message = "the queue is full"};
  }
  AdmissionOutcome outcome{.decision = AdmissionDecision::kQueued};
  if (pushed.displaced) {
    outcome.displaced = pushed.displaced->id;
  }
  return outcome;
}

Duration Admission::ExpectedWait(const AdmissionRequest& request,
                                 TimePoint now) const {
  // Fair queueing serves workspaces in turn, so a request waits for the
  // requests ahead of it in its own workspace and for as many of each other
  // active workspace.
  const size_t ahead =
      std::min(this->queue.size(),
               this->queue.Ahead(request.workspace, request.priority) *
                   std::max<size_t>(1, this->queue.ActiveWorkspaces()));
  return this->mean_service_time * (ahead + 1) /
         std::max(1u, this->cold_start.Limit(now));
}

void Admission::Start(uint64_t id, TimePoint now) {
  const bool added =
      this->running.emplace(id, Running{now, this->cold_start.epoch()}).second;
  CELERYPOST_ASSERT(
      added && this->running.size() <= this->cold_start.Limit(now),
      "P2: a cold target never receives more load than it can handle");
}

AdmissionActions Admission::OnFinished(uint64_t id,
                                       bool ok,
                                       TimePoint now,
                                       bool reached_target) {
  const auto found = this->running.find(id);
  if (found != this->running.end()) {
    if (reached_target) {
      if (ok) {
        const Duration difference =
            now - found->second.started - this->mean_service_time;
        this->mean_service_time += difference / kServiceTimeSmoothing;
        this->service_time_deviation +=
            (std::chrono::abs(difference) - this->service_time_deviation) /
            kServiceTimeSmoothing;
      }
      if (found->second.epoch == this->cold_start.epoch()) {
        this->cold_start.OnFinished(ok, now);
      }
    }
    this->running.erase(found);
  }
  return this->Advance(now);
}

AdmissionActions Admission::OnTick(TimePoint now) {
  return this->Advance(now);
}

AdmissionActions Admission::Advance(TimePoint now) {
  AdmissionActions actions;
  for (const QueuedRequest& expired : this->queue.TakeExpired(now)) {
    actions.refused.push_back(expired.id);
  }
  while (this->running.size() < this->cold_start.Limit(now)) {
    const auto next = this->queue.Pop();
    if (!next) {
      break;
    }
    if (this->options.shed_early &&
        now + this->mean_service_time > next->deadline) {
      actions.refused.push_back(next->id);
      continue;
    }
    this->Start(next->id, now);
    actions.run.push_back(next->id);
  }
  return actions;
}

bool Admission::Cancel(uint64_t id) {
  return this->queue.Remove(id);
}

void Admission::StopNewWork(std::string reason) {
  this->stop_reason = std::move(reason);
}

void Admission::ResumeNewWork() {
  this->stop_reason.reset();
}

}  // namespace celerypost
