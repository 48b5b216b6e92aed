#include "src/process/gateway/relay_task.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdio>
#include <utility>

#include <xxhash.h>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kEventStreamType = "text/event-stream";

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kServerError = 500;

// Retry-After from a gateway that has no configuration yet: about the time that
// a start takes.
constexpr milliseconds kNoConfigRetryAfter{500};
// Retry-After when a target refused although it appeared to have capacity.
constexpr milliseconds kRefusedRetryAfter{400};
// Retry-After from a gateway that stops. Short, since other gateways can take
// the request at once.
constexpr milliseconds kStoppingRetryAfter{20};

// Weight of a first event in the measured pace. Its time also depends on the
// requests that the prediction did not know of.
constexpr double kFirstEventWeight = 0.5;

constexpr std::string_view kNoTimeLeft = "no time left for another target";
constexpr std::string_view kNotAllowed = "no further attempt is allowed";

milliseconds Since(TimePoint start, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - start);
}

// Chooses a backend at random by weight. The choice is a function of the ID of
// the caller's attempt, so the same attempt always gets the same backend.
ServiceName ChooseBackend(const Route& route, const std::string& id) {
  double total = 0;
  for (const RouteBackend& backend : route.backends) {
    total += backend.weight;
  }
  constexpr uint64_t kSteps = 1u << 20;
  double position =
      static_cast<double>(XXH64(id.data(), id.size(), 1) % kSteps) / kSteps *
      total;
  for (const RouteBackend& backend : route.backends) {
    position -= backend.weight;
    if (position < 0) {
      return backend.service;
    }
  }
  return route.backends.empty() ? ServiceName() : route.backends.back().service;
}

bool HasEnded(const SilentAttempt& silent) {
  return silent.attempt.ended;
}

std::string Join(const std::vector<std::string>& ids) {
  std::string joined;
  for (const std::string& id : ids) {
    joined.append(joined.empty() ? "" : ",").append(id);
  }
  return joined;
}

std::string ToHexText(uint64_t hash) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  return text.data();
}

std::vector<std::shared_ptr<RelayTask>> ActiveTasks(
    const RelayContext& context) {
  std::vector<std::shared_ptr<RelayTask>> tasks;
  tasks.reserve(context.active.size());
  for (RelayTask* const task : context.active) {
    tasks.push_back(task->shared_from_this());
  }
  return tasks;
}

Counter& AddRankCounter(Metrics& metrics, size_t level, const char* outcome) {
  return metrics.AddCounter(
      "celerypost_rank_requests_total", "Requests by rank and outcome",
      {{"rank", std::to_string(level)}, {"outcome", outcome}});
}

}  // namespace

std::optional<PromptSize> PromptSizeOf(const ServiceConfig& service,
                                       double prompt_tokens) {
  if (!service.engine || !(prompt_tokens > 0)) {
    return std::nullopt;
  }
  const double mean = service.engine->mean_prompt_tokens;
  if (prompt_tokens < mean) {
    return PromptSize::kBelowMean;
  }
  return prompt_tokens < 2 * mean ? PromptSize::kBelowTwiceMean
                                  : PromptSize::kLonger;
}

SizedRequestMetrics::SizedRequestMetrics(Metrics& metrics,
                                         const std::string& outcome)
    : requests(),
      prompt_tokens(metrics.AddCounter("celerypost_prompt_tokens_total",
                                       "Prompt tokens of requests by outcome",
                                       {{"outcome", outcome}})) {
  constexpr std::array<std::string_view, 3> kSizes = {
      "below_mean", "below_twice_mean", "longer"};
  for (size_t i = 0; i < kSizes.size(); ++i) {
    this->requests[i] = &metrics.AddCounter(
        "celerypost_sized_requests_total",
        "Requests by outcome and size of the prompt, relative to the mean of "
        "the service",
        {{"outcome", outcome}, {"size", std::string(kSizes[i])}});
  }
}

void SizedRequestMetrics::Count(PromptSize size, double prompt_tokens) {
  this->requests[static_cast<size_t>(size)]->Add();
  this->prompt_tokens.Add(static_cast<uint64_t>(prompt_tokens));
}

RankRequestMetrics::RankRequestMetrics(Metrics& metrics, size_t level)
    : placed(AddRankCounter(metrics, level, "placed")),
      refused(AddRankCounter(metrics, level, "refused")),
      on_time(AddRankCounter(metrics, level, "on_time")),
      late(AddRankCounter(metrics, level, "late")) {}

PredictionMetrics::PredictionMetrics(Metrics& metrics) : first_events() {
  constexpr std::array<std::string_view, kBounds.size() + 1> kNames = {
      "0.5", "0.9", "1.1", "1.5", "2", "3", "5", "+Inf"};
  for (size_t i = 0; i < kNames.size(); ++i) {
    this->first_events[i] = &metrics.AddCounter(
        "celerypost_first_events_by_prediction_total",
        "First events by the upper bound of their time as a multiple of the "
        "predicted one",
        {{"up_to", std::string(kNames[i])}});
  }
}

void PredictionMetrics::Count(std::chrono::milliseconds predicted,
                              std::chrono::milliseconds measured) {
  const double multiple =
      static_cast<double>(measured.count()) /
      static_cast<double>(std::max<int64_t>(1, predicted.count()));
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), multiple);
  this->first_events[static_cast<size_t>(bound - kBounds.begin())]->Add();
}

RelayMetrics::RelayMetrics(Metrics& metrics)
    : answered(metrics.AddCounter("celerypost_requests_total",
                                  "Requests by outcome",
                                  {{"outcome", "answered"}})),
      refused(metrics.AddCounter("celerypost_requests_total",
                                 "Requests by outcome",
                                 {{"outcome", "refused"}})),
      failed(metrics.AddCounter("celerypost_requests_total",
                                "Requests by outcome",
                                {{"outcome", "failed"}})),
      abandoned(metrics.AddCounter("celerypost_requests_total",
                                   "Requests by outcome",
                                   {{"outcome", "abandoned"}})),
      attempts(metrics.AddCounter("celerypost_attempts_total",
                                  "Requests sent to targets")),
      retries(metrics.AddCounter("celerypost_retries_total",
                                 "Requests sent to another target")),
      resumes(metrics.AddCounter("celerypost_stream_resumes_total",
                                 "Streams that went on at another target")),
      kept_attempts(metrics.AddCounter(
          "celerypost_kept_attempts_total",
          "Silent attempts that were kept since no other target was "
          "available")),
      aborted_streams(metrics.AddCounter(
          "celerypost_aborted_streams_total",
          "Answers that had started and were cut by this process")),
      rejected_answers(metrics.AddCounter(
          "celerypost_rejected_answers_total",
          "Answers that were not passed on: unsigned successes and encoded "
          "bodies")),
      paused_streams(metrics.AddCounter(
          "celerypost_paused_streams_total",
          "Times that a target was not read since its caller was slow")),
      quarantined(metrics.AddCounter(
          "celerypost_quarantined_requests_total",
          "Requests not sent since they, or a part of their prompt, crash "
          "targets")),
      leaving_targets(metrics.AddCounter("celerypost_leaving_targets_total",
                                         "Targets that said they leave",
                                         {{"source", "answer"}})),
      declining_targets(
          metrics.AddCounter("celerypost_declining_targets_total",
                             "Times that targets began to decline requests")),
      malformed_headers(
          metrics.AddCounter("celerypost_malformed_answer_headers_total",
                             "Headers of answers that could not be read")),
      late_sent(metrics.AddCounter(
          "celerypost_late_requests_total",
          "Requests sent to targets that cannot be on time, and those of them "
          "that had their first event",
          {{"step", "sent"}})),
      late_begun(metrics.AddCounter(
          "celerypost_late_requests_total",
          "Requests sent to targets that cannot be on time, and those of them "
          "that had their first event",
          {{"step", "begun"}})),
      returning_placed(
          metrics.AddCounter("celerypost_returning_requests_total",
                             "Requests of callers that were refused before",
                             {{"outcome", "placed"}})),
      returning_refused(
          metrics.AddCounter("celerypost_returning_requests_total",
                             "Requests of callers that were refused before",
                             {{"outcome", "refused"}})),
      answered_sizes(metrics, "answered"),
      refused_sizes(metrics, "refused"),
      predictions(metrics),
      first_event(metrics.AddHistogram("celerypost_first_event_seconds",
                                       "Time to the first event")),
      total(metrics.AddHistogram("celerypost_request_seconds",
                                 "Time to the end of the answer")) {
  for (size_t level = 0; level < kRankLevels; ++level) {
    this->ranks.emplace_back(metrics, level);
  }
}

RelayTask::RelayTask(RelayContext& context,
                     HttpRequest request,
                     std::shared_ptr<HttpResponder> responder)
    : context(context),
      request(std::move(request)),
      responder(std::move(responder)),
      config(context.view.config()),
      arrived(context.loop.Now()),
      deadline(arrived),
      memory(context.memory,
             [this] { this->EndEarly("out of memory", kRefusedRetryAfter); }),
      takeover_delay(context.options.min_takeover_delay) {}

void WithdrawRequests(const RelayContext& context, PartHash part) {
  for (const auto& task : ActiveTasks(context)) {
    task->OnPartQuarantined(part);
  }
}

void WithdrawRequestsWithFingerprint(const RelayContext& context,
                                     RequestFingerprint fingerprint) {
  for (const auto& task : ActiveTasks(context)) {
    task->OnRequestQuarantined(fingerprint);
  }
}

void ReviewWaitingRequests(const RelayContext& context) {
  for (RelayTask* const task : context.active) {
    task->OnWeightsChanged();
  }
}

void RelayTask::OnWeightsChanged() {
  if (this->done || !this->attempt || this->attempt->ended) {
    return;
  }
  bool changed = false;
  const auto review = [&](const RelayAttempt& waiting, Selection& selected) {
    if (waiting.had_event) {
      return;
    }
    const auto must_begin_by = this->context.selector.MustBeginBy(
        *selected.target, this->context.loop.Now());
    if (must_begin_by && must_begin_by != selected.must_begin_by) {
      selected.must_begin_by = must_begin_by;
      changed = true;
    }
  };
  review(*this->attempt, this->selection);
  for (SilentAttempt& silent : this->silent_attempts) {
    review(silent.attempt, silent.selection);
  }
  if (changed) {
    this->StartAttemptTimer();
  }
}

bool RelayTask::MayCrashTarget() const {
  if (this->done || !this->attempt || this->attempt->ended) {
    return false;
  }
  return !this->attempt->survived ||
         std::any_of(this->silent_attempts.begin(), this->silent_attempts.end(),
                     [](const SilentAttempt& silent) {
                       return !silent.attempt.survived;
                     });
}

void RelayTask::OnPartQuarantined(PartHash part) {
  if (this->MayCrashTarget() &&
      std::find(this->parts.begin(), this->parts.end(), part) !=
          this->parts.end()) {
    this->Withdraw();
  }
}

void RelayTask::OnRequestQuarantined(RequestFingerprint quarantined) {
  if (this->MayCrashTarget() && this->Fingerprint() == quarantined) {
    this->Withdraw();
  }
}

RequestFingerprint RelayTask::Fingerprint() {
  if (!this->fingerprint) {
    this->fingerprint =
        FingerprintOf({.method = this->request.method,
                       .host = FindHeader(this->request.headers, "host"),
                       .path = this->request.path,
                       .api_key = this->call.api_key,
                       .body = this->request.body});
  }
  return *this->fingerprint;
}

std::vector<PartHash> RelayTask::SuspectedRequest() {
  return this->context.request_crashes.HasSuspects()
             ? std::vector<PartHash>{this->Fingerprint()}
             : std::vector<PartHash>();
}

bool RelayTask::MaySend(TimePoint now) {
  return this->context.request_crashes.MaySend(this->SuspectedRequest(), now) &&
         this->context.crashes.MaySend(this->parts, now);
}

void RelayTask::Withdraw() {
  for (SilentAttempt& silent : this->silent_attempts) {
    if (!silent.attempt.survived) {
      this->EndSilent(silent);
    }
  }
  std::erase_if(this->silent_attempts, HasEnded);
  if (this->attempt->survived) {
    return;
  }
  this->http_call.reset();
  this->EndAttempt(AttemptOutcome::kAbandoned);
  this->CountRun(*this->attempt);
  if (!this->silent_attempts.empty()) {
    this->FallBack();
    return;
  }
  this->EndForQuarantine();
}

void RelayTask::Start() {
  this->call = this->context.codec.ReadRequest(this->request);
  if (!this->config) {
    this->Refuse("no configuration known", kNoConfigRetryAfter);
    return;
  }
  // The first attempt holds a copy.
  if (!this->context.memory.Accepts(2 * HeldBytes(this->request))) {
    this->Refuse("out of memory", kRefusedRetryAfter);
    return;
  }
  this->route = this->config->FindRoute(
      FindHeader(this->request.headers, "host"), this->request.path);
  if (this->route == nullptr) {
    this->FailWith(kNotFound, "no route");
    return;
  }
  if (!this->config->workspaces.empty()) {
    this->workspace = this->config->FindWorkspace(this->call.api_key);
    if (this->workspace == nullptr && !this->route->open) {
      this->FailWith(kUnauthorized, "unknown key");
      return;
    }
  }
  this->service = ChooseBackend(*this->route, this->call.id);
  for (const std::string& part : this->call.shared_parts) {
    this->parts.push_back(HashPart(this->call.model, part));
  }
  this->context.budgets.For(this->service).Deposit();
  const milliseconds caller_timeout =
      this->call.deadline.value_or(this->route->timeout);
  this->deadline =
      this->arrived + std::min(caller_timeout, this->route->timeout);
  if (!this->MayRunUntil(this->deadline)) {
    this->Refuse("stopping", kStoppingRetryAfter);
    return;
  }
  this->selection_request.route = this->route;
  this->selection_request.workspace = this->workspace;
  this->selection_request.service = this->service;
  this->responder->OnClosed([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  // The deadline timer keeps the task alive until it is done.
  this->deadline_timer = std::make_unique<Timer>(
      this->context.loop,
      [self = this->shared_from_this()] { self->OnDeadline(); });
  this->attempt_timer = std::make_unique<Timer>(
      this->context.loop, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnAttemptTimeout();
        }
      });
  this->deadline_timer->StartOnce(Since(this->arrived, this->deadline));
  this->context.active.insert(this);
  this->SendToNextTarget();
}

bool RelayTask::MayRunUntil(TimePoint time) const {
  return !this->context.may_run_until || this->context.may_run_until(time);
}

bool RelayTask::IsStream() const {
  return this->route->kind == RouteKind::kStream;
}

std::string_view RelayTask::WaitsFor() const {
  if (!this->attempt || this->attempt->ended) {
    return "target";
  }
  if (this->attempt->unconfirmed) {
    return "receipt_of_request";
  }
  if (this->attempt->had_event || !this->attempt->body.empty()) {
    return "rest_of_answer";
  }
  return this->head_sent ? "resumed_stream" : "answer";
}

void RelayTask::LogCut() const {
  const TimePoint now = this->context.loop.Now();
  this->context.log.Warn(
      "request_cut", "the process stops before the request has ended",
      {{"waits_for", this->WaitsFor()},
       {"route", this->route->name},
       {"target", this->attempt ? std::string_view(this->attempt->target)
                                : std::string_view()},
       {"attempts", this->sends},
       {"events", this->events.events()},
       {"age_ms", Since(this->arrived, now).count()},
       {"deadline_in_ms", Since(now, this->deadline).count()}},
      this->call.id);
}

void RelayTask::UpdatePlacement(TimePoint now) {
  PlacementRequest& placement = this->selection_request.placement;
  placement.prompt_tokens = this->call.prompt_tokens;
  placement.answer_tokens = this->call.answer_tokens;
  placement.deadline_left = Since(now, this->deadline);
  placement.on_time_left =
      this->route->latency_goal - this->caller_age - Since(this->arrived, now);
  // May be longer than the route's timeout, which bounds `deadline`.
  if (this->call.deadline) {
    this->selection_request.caller_time_left =
        *this->call.deadline - Since(this->arrived, now);
  }
  placement.late_anyway =
      placement.on_time_left.count() <= 0 || this->sends > 0;
}

std::optional<Selection> RelayTask::SelectNext(Verdict attempt_verdict,
                                               std::string_view& reason) {
  const TimePoint now = this->context.loop.Now();
  this->UpdatePlacement(now);
  if (this->selection_request.placement.deadline_left <
      this->context.options.min_time_left) {
    reason = kNoTimeLeft;
    return std::nullopt;
  }
  Selection next = this->context.selector.Select(this->selection_request, now);
  if (!next.target) {
    reason = next.reason;
    return std::nullopt;
  }
  // May begin a probe of a quarantine, which needs a target.
  if (!this->MaySend(now)) {
    reason = this->QuarantineReason();
    return std::nullopt;
  }
  if (!this->MayRetry(attempt_verdict)) {
    reason = kNotAllowed;
    return std::nullopt;
  }
  return next;
}

std::optional<Selection> RelayTask::SelectSuccessor(Verdict attempt_verdict,
                                                    std::string_view& reason) {
  if (this->attempt->replaced && !this->silent_attempts.empty()) {
    return std::nullopt;
  }
  return this->SelectNext(attempt_verdict, reason);
}

void RelayTask::SendToNextTarget() {
  const TimePoint now = this->context.loop.Now();
  if (this->sends > 0 && !this->MayBeginRetry()) {
    this->EndForLackOfTime();
    return;
  }
  this->UpdatePlacement(now);
  if (this->selection_request.placement.deadline_left <
      this->context.options.min_time_left) {
    this->EndForLackOfTime();
    return;
  }
  if (!this->MaySend(now)) {
    this->EndForQuarantine();
    return;
  }
  this->selection = this->context.selector.Select(this->selection_request, now);
  this->CountRank();
  this->NoteCaller();
  if (this->selection.target) {
    this->stream_broken_at.reset();
    this->SendTo(this->selection);
    return;
  }
  if (this->head_sent) {
    // The caller has received a part of the stream; keep looking for a target
    // that can resume it for up to resume_timeout.
    if (!this->stream_broken_at) {
      this->stream_broken_at = now;
    }
    if (now - *this->stream_broken_at < this->context.options.resume_timeout) {
      this->attempt_timer->StartOnce(
          this->context.options.resume_retry_interval);
      return;
    }
    this->FailWith(kBadGateway, "no target goes on with the stream");
  } else if (this->verdict == Verdict::kNotRun) {
    this->Refuse(this->selection.reason, this->selection.retry_after);
  } else {
    this->FailWith(kBadGateway, this->selection.reason);
  }
}

void RelayTask::CountRank() {
  if (this->selection.rank && this->sends == 0) {
    RankRequestMetrics& counters =
        this->context.metrics
            .ranks[static_cast<size_t>(this->selection.rank->level)];
    (this->selection.target ? counters.placed : counters.refused).Add();
  }
}

void RelayTask::NoteFirstEventOfRank(TimePoint now) {
  if (!this->selection.rank || this->sends != 1 || this->attempt->late) {
    return;
  }
  const bool on_time = Since(this->arrived, now) <= this->route->latency_goal;
  this->context.ranks.OnFirstEvent(this->service, *this->route, this->workspace,
                                   on_time, now);
  RankRequestMetrics& counters =
      this->context.metrics
          .ranks[static_cast<size_t>(this->selection.rank->level)];
  (on_time ? counters.on_time : counters.late).Add();
}

void RelayTask::NoteCaller() {
  if (this->sends > 0 || this->selection.age.count() == 0) {
    return;
  }
  this->caller_age = this->selection.age;
  (this->selection.target ? this->context.metrics.returning_placed
                          : this->context.metrics.returning_refused)
      .Add();
}

void RelayTask::EndLateWait(const RelayAttempt& late_attempt) const {
  if (!late_attempt.late || this->context.late == nullptr) {
    return;
  }
  const milliseconds patience = this->context.late->PatienceOf(*this->route);
  const TimePoint now = this->context.loop.Now();
  if (late_attempt.had_event) {
    this->context.late->OnBegan(this->service, late_attempt.sent_at, patience,
                                now);
  } else {
    this->context.late->OnEnded(this->service, late_attempt.sent_at, patience,
                                now);
  }
}

void RelayTask::SendNext(const Selection& next) {
  this->selection = next;
  this->SendTo(this->selection);
}

void RelayTask::EndForLackOfTime() {
  if (this->head_sent || this->verdict != Verdict::kNotRun) {
    this->FailWith(kGatewayTimeout, kNoTimeLeft);
  } else {
    this->Refuse("no time left", kRefusedRetryAfter);
  }
}

std::string_view RelayTask::QuarantineReason() const {
  return this->context.crashes.quarantines().Contains(this->parts)
             ? "a part of the prompt is quarantined"
             : "the request is quarantined";
}

void RelayTask::EndForQuarantine() {
  const TimePoint now = this->context.loop.Now();
  const std::string_view reason = this->QuarantineReason();
  this->context.metrics.quarantined.Add();
  if (this->head_sent || this->verdict != Verdict::kNotRun) {
    this->FailWith(kBadGateway, reason);
  } else {
    this->Refuse(reason,
                 std::max({kRefusedRetryAfter,
                           this->context.crashes.TimeLeft(this->parts, now),
                           this->context.request_crashes.TimeLeft(
                               this->SuspectedRequest(), now)}));
  }
}

void RelayTask::SendTo(const Selection& selection) {
  const TimePoint now = this->context.loop.Now();
  TargetRequestInfo target_call;
  target_call.deadline_left = Since(now, this->deadline);
  target_call.target_id = selection.target->id;
  target_call.version = selection.required_version;
  target_call.urgency = selection.urgency;
  if (this->workspace != nullptr) {
    target_call.workspace = this->workspace->name;
  }
  // Also before the first complete event: the previous target may have broken
  // off within it.
  this->events.Restart();
  if (this->head_sent) {
    target_call.last_event_id = this->events.last_id();
    this->context.metrics.resumes.Add();
  }
  this->attempt.emplace();
  this->attempt->number = ++this->sends;
  this->attempt->target = selection.target->id;
  this->attempt->prompt_tokens = this->call.prompt_tokens;
  this->attempt->late = this->selection_request.late = selection.late;
  this->attempt->target_start = HashTargetStart(*selection.target);
  this->attempt->sent_at = now;
  this->attempt->progress_at = now;
  this->selection_request.tried.insert(selection.target->id);
  this->context.metrics.attempts.Add();
  this->context.book.OnSent(selection.target->id, this->call.prompt_tokens, now,
                            selection.late);
  if (selection.late) {
    this->context.metrics.late_sent.Add();
    if (this->context.late != nullptr) {
      this->context.late->OnSent(this->service, now);
    }
  }
  Http1SendOptions options;
  if (!this->route->repeatable()) {
    options.max_idle = this->context.options.non_repeatable_max_idle;
  }
  // The answer will have no ID either.
  options.new_connection = this->call.id.empty();
  options.deadline = this->deadline;
  // The answer to a stream is passed on as it arrives; its events are limited
  // instead (OnBody).
  options.max_body_bytes =
      this->IsStream() ? 0 : this->context.options.max_answer_bytes;
  options.id = this->call.id;
  options.accepts = [this](const HttpResponseHead& head) {
    return this->IsOwnAnswer(head);
  };
  HttpResponseCallbacks callbacks;
  const uint32_t number = this->attempt->number;
  callbacks.on_head = [this, number](const HttpResponseHead& head) {
    if (this->MakeCurrent(number)) {
      this->OnHead(head);
    }
  };
  callbacks.on_body = [this, number](std::string_view bytes) {
    if (this->MakeCurrent(number)) {
      this->OnBody(bytes);
    }
  };
  callbacks.on_end = [this, number] {
    if (this->MakeCurrent(number)) {
      this->OnEnd();
    }
  };
  callbacks.on_unconfirmed_end = [this, number] {
    if (this->MakeCurrent(number)) {
      this->OnUnconfirmedEnd();
    }
  };
  callbacks.on_failure = [this, number](const Failure& failure) {
    if (this->MakeCurrent(number)) {
      this->OnFailure(failure);
    }
  };
  this->http_call = this->context.client(selection.target->address)
                        .Send(this->context.codec.MakeTargetRequest(
                                  this->request, target_call),
                              std::move(options), std::move(callbacks));
  this->ReportMemory();
  this->StartAttemptTimer();
}

bool RelayTask::IsOwnAnswer(const HttpResponseHead& head) const {
  const std::string id =
      this->context.codec.ReadAnswer(head.status, head.headers).id;
  // Without an ID, an answer can be told from a late copy of an earlier one
  // only on a new connection.
  return id.empty() ? !head.reused_connection : id == this->call.id;
}

bool RelayTask::MakeCurrent(uint32_t number) {
  if (this->done || !this->attempt) {
    return false;
  }
  if (this->attempt->number == number) {
    return !this->attempt->ended;
  }
  const auto found =
      std::find_if(this->silent_attempts.begin(), this->silent_attempts.end(),
                   [number](const SilentAttempt& silent) {
                     return silent.attempt.number == number;
                   });
  if (found == this->silent_attempts.end()) {
    return false;
  }
  // It may run, and MayRetry looks only at the current attempt.
  this->CountRun(*this->attempt);
  std::swap(*this->attempt, found->attempt);
  std::swap(this->http_call, found->http_call);
  std::swap(this->selection, found->selection);
  std::swap(this->events, found->events);
  return true;
}

void RelayTask::HoldCurrent() {
  this->CountRun(*this->attempt);
  this->attempt->replaced = true;
  this->context.book.OnSilent(this->attempt->target, this->context.loop.Now());
  this->silent_attempts.push_back({std::move(*this->attempt),
                                   std::move(this->http_call), this->selection,
                                   this->events});
  this->attempt.reset();
}

void RelayTask::FallBack() {
  // MakeCurrent may have changed the order.
  const auto found = std::max_element(
      this->silent_attempts.begin(), this->silent_attempts.end(),
      [](const SilentAttempt& left, const SilentAttempt& right) {
        return left.attempt.number < right.attempt.number;
      });
  SilentAttempt latest = std::move(*found);
  this->silent_attempts.erase(found);
  this->attempt = std::move(latest.attempt);
  this->http_call = std::move(latest.http_call);
  this->selection = std::move(latest.selection);
  this->events = std::move(latest.events);
  this->StartTakeoverTimer();
}

void RelayTask::EndSilent(SilentAttempt& silent) {
  silent.http_call.reset();
  silent.attempt.ended = true;
  this->CountRun(silent.attempt);
  this->EndAtTarget(silent.attempt, AttemptOutcome::kAbandoned);
}

void RelayTask::Release(const RelayAttempt& released) {
  if (!released.had_event) {
    this->EndLateWait(released);
  }
  this->context.book.OnReleased(released.target, released.prompt_tokens,
                                released.had_event, released.late);
}

void RelayTask::EndAtTarget(const RelayAttempt& ended, AttemptOutcome outcome) {
  if (!ended.unconfirmed) {
    this->Release(ended);
  }
  this->context.book.OnOutcome(ended.target, outcome, this->context.loop.Now());
}

void RelayTask::EndSilentAttempts() {
  for (SilentAttempt& silent : this->silent_attempts) {
    this->EndSilent(silent);
  }
  this->silent_attempts.clear();
}

void RelayTask::EndOverdueSilentAttempts() {
  const TimePoint now = this->context.loop.Now();
  for (SilentAttempt& silent : this->silent_attempts) {
    if (!silent.attempt.had_event && silent.selection.must_begin_by &&
        now >= *silent.selection.must_begin_by) {
      this->EndSilent(silent);
    }
  }
  std::erase_if(this->silent_attempts, HasEnded);
}

void RelayTask::CountRun(RelayAttempt& counted) {
  this->verdict = Verdict::kMayHaveRun;
  if (!std::exchange(counted.counted, true)) {
    ++this->possible_runs;
  }
}

void RelayTask::UncountRun() {
  if (std::exchange(this->attempt->counted, false) &&
      --this->possible_runs == 0) {
    this->verdict = Verdict::kNotRun;
  }
}

std::optional<TimePoint> RelayTask::MustBeginBy() const {
  std::optional<TimePoint> earliest;
  const auto note = [&](const RelayAttempt& waiting, const Selection& chosen) {
    if (!waiting.had_event && chosen.must_begin_by) {
      earliest = std::min(earliest.value_or(*chosen.must_begin_by),
                          *chosen.must_begin_by);
    }
  };
  note(*this->attempt, this->selection);
  for (const SilentAttempt& silent : this->silent_attempts) {
    note(silent.attempt, silent.selection);
  }
  return earliest;
}

std::optional<TimePoint> RelayTask::SilentAt() const {
  if (!this->route->repeatable() || this->paused) {
    return std::nullopt;
  }
  milliseconds timeout =
      AttemptTimeoutFor(this->context.options.attempt_timeouts, *this->route,
                        this->attempt->had_event);
  // A late request may wait for as long as its caller does.
  if (this->attempt->late && !this->attempt->had_event &&
      this->context.late != nullptr) {
    timeout = std::max(timeout, this->context.late->PatienceOf(*this->route));
  }
  return this->attempt->progress_at + timeout;
}

void RelayTask::StartAttemptTimer() {
  this->StartAttemptTimerAt(this->SilentAt());
}

void RelayTask::StartTakeoverTimer() {
  this->StartAttemptTimerAt(this->context.loop.Now() + this->takeover_delay);
  this->takeover_delay *= 2;
}

void RelayTask::StartAttemptTimerAt(std::optional<TimePoint> time) {
  if (const auto must_begin_by = this->MustBeginBy()) {
    time = std::min(time.value_or(*must_begin_by), *must_begin_by);
  }
  if (time) {
    this->attempt_timer->StartOnce(
        std::max(milliseconds(0), Since(this->context.loop.Now(), *time)));
  } else {
    this->attempt_timer->Stop();
  }
}

bool RelayTask::MustLeaveTarget() const {
  return !this->attempt->had_event && this->selection.must_begin_by &&
         this->context.loop.Now() >= *this->selection.must_begin_by;
}

void RelayTask::OnHead(const HttpResponseHead& head) {
  const auto keep_alive = this->shared_from_this();
  this->attempt->answer =
      this->context.codec.ReadAnswer(head.status, head.headers);
  this->attempt->headers = head.headers;
  const TargetAnswer& answer = this->attempt->answer;
  this->ReadNotices();
  this->ReadDecline();
  if (answer.other_target.empty() ||
      answer.other_target == this->attempt->target) {
    for (CrashGuard* const guard :
         {&this->context.crashes, &this->context.request_crashes}) {
      guard->OnAnswerBegan(this->attempt->target_start, this->attempt->sent_at);
    }
  }
  if (answer.encoded || answer.unsigned_success) {
    this->RejectAnswer(answer.encoded ? "the target's answer is encoded"
                                      : "the target's answer is not signed");
    return;
  }
  if (answer.not_run) {
    const bool replaced = !answer.other_target.empty() &&
                          answer.other_target != this->attempt->target;
    this->EndAttempt(replaced ? AttemptOutcome::kReplaced
                              : AttemptOutcome::kRefused);
    this->RetryOrEnd(Verdict::kNotRun, kUnavailable, "the target refused");
    return;
  }
  if (answer.status >= kServerError && !this->head_sent &&
      this->route->repeatable()) {
    std::string_view reason;
    const auto next = this->SelectSuccessor(Verdict::kMayHaveRun, reason);
    if (next || !this->silent_attempts.empty()) {
      this->http_call.reset();
      this->EndAttempt(AttemptOutcome::kFailed);
      this->CountRun(*this->attempt);
      next ? this->SendNext(*next) : this->FallBack();
      return;
    }
  }
  if (this->head_sent && !this->ResumesStream()) {
    this->EndAttempt(AttemptOutcome::kFailed);
    this->RetryOrEnd(Verdict::kMayHaveRun, kBadGateway,
                     "the target does not go on with the stream");
  }
}

void RelayTask::RejectAnswer(std::string_view reason) {
  this->context.metrics.rejected_answers.Add();
  this->context.log.Info("answer_rejected", reason,
                         {{"target", this->attempt->target},
                          {"status", this->attempt->answer.status},
                          {"attempt", this->attempt->number},
                          {"repeatable", this->route->repeatable()}},
                         this->call.id);
  this->EndAttempt(AttemptOutcome::kBroken);
  this->RetryOrEnd(Verdict::kMayHaveRun, kBadGateway, reason);
}

void RelayTask::ReadNotices() {
  const TargetAnswer& answer = this->attempt->answer;
  if (!answer.malformed_header.empty()) {
    Counter& malformed = this->context.metrics.malformed_headers;
    malformed.Add();
    if (std::has_single_bit(malformed.value())) {
      this->context.log.Warn("header_unreadable",
                             "ignored a header of a target's answer",
                             {{"header", answer.malformed_header},
                              {"target", this->attempt->target},
                              {"total", malformed.value()}},
                             this->call.id);
    }
  }
  std::string id = this->attempt->target;
  TargetStartHash start = this->attempt->target_start;
  if (!answer.other_target.empty() && answer.other_target != id) {
    const auto& targets = this->context.view.targets();
    const auto found = targets.find(answer.other_target);
    if (found == targets.end()) {
      return;
    }
    id = found->first;
    start = HashTargetStart(found->second.entry);
  }
  if (answer.leaving &&
      this->context.notices.OnLeaving(start, this->context.loop.Now())) {
    this->context.metrics.leaving_targets.Add();
    this->context.log.Info(
        "target_leaves", "the target gets no more requests",
        {{"target", id}, {"source", "answer"}, {"status", answer.status}},
        this->call.id);
  }
}

void RelayTask::ReadDecline() {
  const TargetAnswer& answer = this->attempt->answer;
  if (answer.declines_for && *answer.declines_for > milliseconds(0) &&
      this->context.notices.OnDeclines(this->attempt->target_start,
                                       *answer.declines_for,
                                       this->context.loop.Now())) {
    this->context.metrics.declining_targets.Add();
    this->context.log.Info("target_declines",
                           "the target gets no requests for a while",
                           {{"target", this->attempt->target},
                            {"source", "answer"},
                            {"for_ms", answer.declines_for->count()}},
                           this->call.id);
  }
}

bool RelayTask::ResumesStream() const {
  std::string type;
  AppendLowerCase(type, FindHeader(this->attempt->headers, "content-type"));
  return this->attempt->answer.status == kOk &&
         (type.empty() || type.starts_with(kEventStreamType));
}

bool RelayTask::HasFramedAnswer() const {
  const HttpHeaders& headers = this->attempt->headers;
  return !FindHeader(headers, "content-length").empty() ||
         !FindHeader(headers, "transfer-encoding").empty();
}

void RelayTask::OnBody(std::string_view bytes) {
  const auto keep_alive = this->shared_from_this();
  if (!this->attempt || this->attempt->ended) {
    return;
  }
  if (!this->IsStream() || this->attempt->answer.status >= 300) {
    this->attempt->body.append(bytes);
    this->ReportMemory();
    if (this->attempt->body.size() > this->context.options.max_answer_bytes) {
      this->OnFailure({Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                       "the answer exceeds the limit"});
    }
    return;
  }
  const uint64_t events_before = this->events.events();
  const std::string complete = this->events.Add(bytes);
  // Only events count as progress: a stalled target may still send comments or
  // parts of an event.
  if (this->events.events() > events_before) {
    this->NoteProgress(this->events.events() - events_before);
  }
  this->ForwardEvents(complete);
  this->ReportMemory();
  if (this->events.corrupt()) {
    this->OnFailure({Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                     "bytes that are no event of the stream"});
    return;
  }
  if (this->events.incomplete_bytes() + this->attempt->unsent.size() >
      this->context.options.max_event_bytes) {
    this->OnFailure({Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                     "an event of the stream exceeds the limit"});
  }
}

void RelayTask::MeasureFirstEvent(TimePoint now) {
  const auto measured = Since(this->attempt->sent_at, now);
  this->context.errors.OnFirstEvent(this->service, this->selection.predicted,
                                    measured);
  if (this->selection.predicted.count() <= 0) {
    return;
  }
  this->context.metrics.predictions.Count(this->selection.predicted, measured);
  const double ratio = static_cast<double>(measured.count()) /
                       static_cast<double>(this->selection.predicted.count());
  this->context.paces.OnMeasured(
      this->attempt->target_start,
      ratio * std::max(1.0, this->selection.load.slowdown), kFirstEventWeight,
      now);
}

void RelayTask::MeasureGap(uint64_t events, TimePoint now) {
  const auto service = this->config->services.find(this->service);
  if (std::exchange(this->attempt->was_paused, this->paused) || this->paused ||
      service == this->config->services.end() || !service->second.engine) {
    return;
  }
  const EngineRates& rates = *service->second.engine;
  const uint32_t running =
      std::min(this->context.book.LoadOf(this->attempt->target, now).in_flight,
               rates.slots);
  const Milliseconds gap = now - this->attempt->progress_at;
  this->context.paces.OnMeasured(
      this->attempt->target_start,
      gap / (static_cast<double>(events) * UsualEventGap(rates, running)), 1,
      now);
}

void RelayTask::NoteProgress(uint64_t events) {
  const TimePoint now = this->context.loop.Now();
  this->EndSilentAttempts();
  if (this->attempt->had_event) {
    this->MeasureGap(events, now);
  }
  this->attempt->progress_at = now;
  this->takeover_delay = this->context.options.min_takeover_delay;
  if (!this->attempt->had_event) {
    this->attempt->had_event = true;
    this->attempt->first_event_at = now;
    this->context.book.OnFirstEvent(this->attempt->target,
                                    this->attempt->prompt_tokens,
                                    this->attempt->late);
    this->EndLateWait(*this->attempt);
    if (this->attempt->late) {
      this->context.metrics.late_begun.Add();
      // Another target goes on with the stream as with any other.
      this->selection_request.late = false;
    }
    // Late requests wait for requests that come after the prediction.
    if (this->attempt->prompt_tokens > 0 && !this->attempt->late) {
      this->MeasureFirstEvent(now);
      this->NoteFirstEventOfRank(now);
    }
  }
  if (now - this->attempt->first_event_at >=
      this->context.options.survival_time) {
    this->NoteSurvival();
  }
  if (!this->first_event_at) {
    this->first_event_at = now;
    this->context.metrics.first_event.Observe(*this->first_event_at -
                                              this->arrived);
  }
  this->StartAttemptTimer();
}

void RelayTask::NoteSurvival() {
  if (!this->attempt->survived) {
    this->attempt->survived = true;
    const TimePoint now = this->context.loop.Now();
    this->context.crashes.OnSurvived(this->parts, now);
    this->context.request_crashes.OnSurvived(this->SuspectedRequest(), now);
  }
}

void RelayTask::NoteEndOfAnswer() {
  if (this->HasFramedAnswer() && this->attempt->answer.status < 300) {
    this->NoteSurvival();
  }
}

void RelayTask::ForwardEvents(const std::string& complete_events) {
  this->attempt->unsent.append(complete_events);
  if (this->attempt->unsent.empty() || !this->silent_attempts.empty()) {
    return;
  }
  if (!this->head_sent) {
    this->head_sent = true;
    this->responder->Start(
        this->attempt->answer.status,
        this->context.codec.MakeCallerHeaders(this->attempt->headers));
  }
  this->responder->Write(std::exchange(this->attempt->unsent, {}));
  this->PauseForCaller();
}

void RelayTask::PauseForCaller() {
  const size_t limit = this->context.options.max_unsent_bytes;
  if (this->responder->unsent_bytes() <= limit || !this->http_call) {
    return;
  }
  // Also while an earlier pause lasts: another attempt may have gone on.
  this->http_call->PauseReading();
  this->attempt->was_paused = true;
  if (std::exchange(this->paused, true)) {
    return;
  }
  this->context.metrics.paused_streams.Add();
  this->responder->OnDrained(limit / 4, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerCaughtUp();
    }
  });
}

void RelayTask::OnCallerCaughtUp() {
  this->paused = false;
  if (this->done || !this->attempt || this->attempt->ended) {
    return;
  }
  // The pause was the caller's.
  this->attempt->progress_at = this->context.loop.Now();
  this->StartAttemptTimer();
  if (this->http_call) {
    this->http_call->ResumeReading();
  }
}

void RelayTask::OnUnconfirmedEnd() {
  this->Release(*this->attempt);
  this->attempt->unconfirmed = true;
}

void RelayTask::OnEnd() {
  const auto keep_alive = this->shared_from_this();
  if (!this->attempt || this->attempt->ended) {
    return;
  }
  const bool failed = this->attempt->answer.status >= kServerError;
  if (this->IsStream() && this->attempt->answer.status < 300) {
    // Also an answer that is complete in terms of HTTP.
    if (this->events.inside_event()) {
      this->OnFailure({Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                       "the stream ended inside an event"});
      return;
    }
    // A target that resumes a stream may have no event left, which only an
    // answer with an end of its own tells from a crash.
    if (!this->attempt->had_event &&
        (!this->head_sent || !this->HasFramedAnswer())) {
      this->OnFailure({Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                       "the stream ended before its first event"});
      return;
    }
    this->EndSilentAttempts();
    this->ForwardEvents(this->events.TakeTrailingComments());
    this->NoteEndOfAnswer();
    this->EndAttempt(AttemptOutcome::kAnswered);
    if (!this->head_sent) {
      this->SendTargetAnswer();
      return;
    }
    const int status = this->attempt->answer.status;
    this->responder->End();
    this->context.metrics.answered.Add();
    this->CountSize(this->context.metrics.answered_sizes);
    this->Finish("answered", status, {});
    return;
  }
  this->NoteEndOfAnswer();
  this->EndAttempt(failed ? AttemptOutcome::kFailed
                          : AttemptOutcome::kAnswered);
  if (this->attempt->answer.unconfirmed_refusal) {
    constexpr std::string_view kUnconfirmed =
        "the target does not say whether the request has run";
    if (this->silent_attempts.empty()) {
      this->FailWith(kBadGateway, kUnconfirmed);
    } else {
      this->RetryOrEnd(Verdict::kMayHaveRun, kBadGateway, kUnconfirmed);
    }
    return;
  }
  this->SendTargetAnswer();
}

void RelayTask::SendTargetAnswer() {
  const int status = this->attempt->answer.status;
  this->responder->Send(
      status, this->context.codec.MakeCallerHeaders(this->attempt->headers),
      this->attempt->body);
  (status < kServerError ? this->context.metrics.answered
                         : this->context.metrics.failed)
      .Add();
  if (status < kServerError) {
    this->CountSize(this->context.metrics.answered_sizes);
  }
  this->Finish("answered", status, {});
}

void RelayTask::OnFailure(const Failure& failure) {
  const auto keep_alive = this->shared_from_this();
  if (this->done || !this->attempt || this->attempt->ended) {
    return;
  }
  this->context.log.Info("attempt_broken", failure.message,
                         {{"target", this->attempt->target},
                          {"verdict", VerdictName(failure.verdict)},
                          {"events", this->events.events()},
                          {"attempt", this->sends},
                          {"shared_parts", Join(this->call.shared_parts)},
                          {"request_hash", ToHexText(this->Fingerprint())}},
                         this->call.id);
  // Any other failure has a cause that is known and not the request.
  if (failure.verdict == Verdict::kMayHaveRun &&
      failure.code == ErrorCode::kUnavailable && !this->attempt->survived) {
    const TimePoint now = this->context.loop.Now();
    this->context.crashes.OnBroken(this->parts, this->attempt->target_start,
                                   now);
    this->context.request_crashes.OnBroken({this->Fingerprint()},
                                           this->attempt->target_start, now);
  }
  this->EndAttempt(AttemptOutcome::kBroken);
  this->RetryOrEnd(failure.verdict, kBadGateway, "the target broke off");
}

void RelayTask::OnAttemptTimeout() {
  if (this->done) {
    return;
  }
  if (this->stream_broken_at) {
    this->SendToNextTarget();
    return;
  }
  if (!this->attempt || this->attempt->ended) {
    return;
  }
  this->EndOverdueSilentAttempts();
  const TimePoint now = this->context.loop.Now();
  // A request that starts on weights past their bound would be answered by the
  // wrong version, so it is withdrawn whether or not it can be sent again.
  if (this->MustLeaveTarget()) {
    constexpr std::string_view kSuperseded = "its weights are superseded";
    this->LogSilent(kSuperseded);
    const bool unsent = this->http_call && !this->http_call->MayHaveBeenSent();
    this->EndAttempt(AttemptOutcome::kBroken);
    this->RetryOrEnd(unsent ? Verdict::kNotRun : Verdict::kMayHaveRun,
                     kBadGateway, kSuperseded);
    return;
  }
  const auto silent_at = this->SilentAt();
  if (!silent_at || now < *silent_at) {
    this->StartAttemptTimer();
    return;
  }
  std::string_view reason;
  const auto next = this->SelectNext(Verdict::kMayHaveRun, reason);
  if (!next) {
    this->KeepAttempt(reason);
    return;
  }
  this->LogSilent("no data from the target in time; trying another target");
  this->HoldCurrent();
  this->SendNext(*next);
}

void RelayTask::LogSilent(std::string_view message) {
  const TimePoint now = this->context.loop.Now();
  this->context.log.Info(
      "attempt_silent", message,
      {{"target", this->attempt->target},
       {"events", this->events.events()},
       {"attempt", this->attempt->number},
       {"silent_ms", Since(this->attempt->progress_at, now).count()},
       {"deadline_in_ms", Since(now, this->deadline).count()}},
      this->call.id);
}

void RelayTask::KeepAttempt(std::string_view reason) {
  if (!std::exchange(this->attempt->kept, true)) {
    this->context.metrics.kept_attempts.Add();
    this->context.log.Info(
        "attempt_kept", "the silent target keeps the request",
        {{"reason", reason},
         {"target", this->attempt->target},
         {"events", this->events.events()},
         {"attempt", this->attempt->number},
         {"config_version", this->config->version},
         {"latest_config_version", this->context.view.config()->version}},
        this->call.id);
  }
  if (reason == kNotAllowed || reason == kNoTimeLeft) {
    this->StartAttemptTimerAt(std::nullopt);
  } else {
    this->StartTakeoverTimer();
  }
}

void RelayTask::OnDeadline() {
  if (this->done) {
    return;
  }
  const auto keep_alive = this->shared_from_this();
  this->http_call.reset();
  this->EndAttempt(AttemptOutcome::kAbandoned);
  if (this->sends == 0) {
    this->Refuse("deadline", kRefusedRetryAfter);
  } else {
    this->FailWith(kGatewayTimeout, "deadline");
  }
}

void RelayTask::EndForStop() {
  this->EndEarly("stopping", kStoppingRetryAfter);
}

void RelayTask::EndEarly(std::string_view reason, milliseconds retry_after) {
  if (this->done) {
    return;
  }
  const auto keep_alive = this->shared_from_this();
  const bool may_have_run =
      this->head_sent || this->verdict != Verdict::kNotRun ||
      (this->http_call && this->http_call->MayHaveBeenSent());
  this->http_call.reset();
  this->EndAttempt(AttemptOutcome::kAbandoned);
  if (may_have_run) {
    this->FailWith(kBadGateway, reason);
  } else {
    this->Refuse(reason, retry_after);
  }
}

void RelayTask::ReportMemory() {
  if (this->done) {
    return;
  }
  // Each call holds a copy of the request until it is sent; then the kernel may
  // hold it.
  const size_t request_bytes = HeldBytes(this->request);
  size_t bytes = request_bytes;
  const auto add = [&](const RelayAttempt& live, const EventStream& stream) {
    bytes += request_bytes + live.body.size() + live.unsent.size() +
             stream.incomplete_bytes();
  };
  if (this->attempt && !this->attempt->ended) {
    add(*this->attempt, this->events);
  }
  for (const SilentAttempt& silent : this->silent_attempts) {
    add(silent.attempt, silent.events);
  }
  this->memory.Set(bytes);
}

void RelayTask::OnCallerDisconnected() {
  if (this->done) {
    return;
  }
  const auto keep_alive = this->shared_from_this();
  this->http_call.reset();
  this->EndAttempt(AttemptOutcome::kAbandoned);
  this->context.metrics.abandoned.Add();
  this->Finish("abandoned", 0, "the caller left");
}

bool RelayTask::MayBeginRetry() const {
  // What the caller has of a started stream would be lost, so its rest is tried
  // when only the next event is sure to come in time.
  return this->MayRunUntil(
      this->head_sent ? std::min(this->deadline, this->context.loop.Now() +
                                                     this->route->latency_goal)
                      : this->deadline);
}

bool RelayTask::MayRepeat(TimePoint now) {
  return this->context.crashes.MayRepeat(this->parts, now) &&
         this->context.request_crashes.MayRepeat(this->SuspectedRequest(), now);
}

bool RelayTask::MayRetry(Verdict attempt_verdict) {
  if (!this->MayBeginRetry()) {
    return false;
  }
  // An attempt that was not run, or that survived, has not harmed its target.
  const bool may_have_harmed = attempt_verdict != Verdict::kNotRun &&
                               this->attempt && !this->attempt->survived;
  if (this->sends >= this->context.options.max_sends ||
      (may_have_harmed && !this->MayRepeat(this->context.loop.Now()))) {
    return false;
  }
  // Only attempts that may have run count against the route's limit.
  const bool counted = attempt_verdict == Verdict::kNotRun ||
                       (this->attempt && this->attempt->counted);
  const uint32_t may_have_run = this->possible_runs + (counted ? 0 : 1);
  if (may_have_run >= std::max(1u, this->route->max_attempts) &&
      attempt_verdict != Verdict::kNotRun) {
    return false;
  }
  const bool allowed =
      this->context.budgets.For(this->service)
          .MayRetry(attempt_verdict, this->route->repeatable(), 1,
                    this->deadline, this->context.loop.Now(),
                    this->head_sent ? RetryPriority::kStarted
                                    : RetryPriority::kOrdinary)
          .has_value();
  if (allowed) {
    this->context.metrics.retries.Add();
  }
  return allowed;
}

void RelayTask::RetryOrEnd(Verdict attempt_verdict,
                           int status,
                           std::string_view reason) {
  // This may run inside a callback of `http_call`; the client closes the call
  // after the callback has returned.
  this->http_call.reset();
  if (!this->silent_attempts.empty()) {
    const auto next = this->SelectSuccessor(attempt_verdict, reason);
    if (attempt_verdict == Verdict::kNotRun) {
      this->UncountRun();
    } else {
      this->CountRun(*this->attempt);
    }
    next ? this->SendNext(*next) : this->FallBack();
    return;
  }
  const bool retry = this->MayRetry(attempt_verdict);
  if (attempt_verdict == Verdict::kNotRun) {
    this->UncountRun();
  } else {
    this->CountRun(*this->attempt);
  }
  if (retry) {
    this->SendToNextTarget();
  } else if (this->head_sent || this->verdict != Verdict::kNotRun) {
    this->FailWith(status == kUnavailable ? kBadGateway : status, reason);
  } else {
    this->Refuse(reason, this->MayBeginRetry() ? kRefusedRetryAfter
                                               : kStoppingRetryAfter);
  }
}

void RelayTask::EndAttempt(AttemptOutcome outcome) {
  this->attempt_timer->Stop();
  if (!this->attempt || this->attempt->ended) {
    return;
  }
  this->attempt->ended = true;
  // Its silence has already been counted as a break.
  if (this->attempt->replaced && outcome == AttemptOutcome::kBroken) {
    outcome = AttemptOutcome::kAbandoned;
  }
  this->EndAtTarget(*this->attempt, outcome);
}

void RelayTask::CountSize(SizedRequestMetrics& counters) const {
  if (!this->config) {
    return;
  }
  const auto service = this->config->services.find(this->service);
  if (service == this->config->services.end()) {
    return;
  }
  if (const auto size =
          PromptSizeOf(service->second, this->call.prompt_tokens)) {
    counters.Count(*size, this->call.prompt_tokens);
  }
}

void RelayTask::Refuse(std::string_view reason, milliseconds retry_after) {
  this->responder->Send(
      kUnavailable,
      this->context.codec.MakeOwnHeaders(this->call.id, retry_after),
      "not run: " + std::string(reason) + "\n");
  this->context.metrics.refused.Add();
  this->CountSize(this->context.metrics.refused_sizes);
  this->Finish("refused", kUnavailable, reason);
}

void RelayTask::FailWith(int status, std::string_view reason) {
  if (this->head_sent) {
    this->context.metrics.aborted_streams.Add();
    this->responder->Abort();
  } else {
    this->responder->Send(
        status, this->context.codec.MakeOwnHeaders(this->call.id, std::nullopt),
        std::string(reason) + "\n");
  }
  this->context.metrics.failed.Add();
  this->Finish("failed", status, reason);
}

void RelayTask::Finish(std::string_view outcome,
                       int status,
                       std::string_view reason) {
  this->done = true;
  this->memory.Set(0);
  this->EndSilentAttempts();
  this->context.active.erase(this);
  const TimePoint now = this->context.loop.Now();
  const auto total = Since(this->arrived, now);
  this->context.metrics.total.Observe(now - this->arrived);
  this->context.log.Info(
      "request", outcome,
      {{"status", status},
       {"reason", reason},
       {"route", this->route != nullptr ? std::string_view(this->route->name)
                                        : std::string_view()},
       {"service", this->service.value()},
       {"target", this->attempt ? std::string_view(this->attempt->target)
                                : std::string_view()},
       {"attempts", this->sends},
       {"events", this->events.events()},
       {"candidates", this->selection.candidates},
       {"in_flight", this->selection.load.in_flight},
       {"waiting_tokens", this->selection.load.waiting_tokens},
       {"prompt_tokens", this->call.prompt_tokens},
       {"answer_tokens", this->call.answer_tokens},
       {"shared_parts", Join(this->call.shared_parts)},
       {"predicted_ms", this->selection.predicted.count()},
       {"pace", this->selection.load.slowdown},
       {"size_lean", this->selection.size_lean.weight},
       {"allowance_ms", this->selection.allowance.count()},
       {"unseen_requests", this->selection.unseen_requests},
       {"rank", this->selection.rank ? this->selection.rank->level : -1},
       {"hold", this->selection.rank ? this->selection.rank->hold : 0.0},
       {"caller_age_ms", this->caller_age.count()},
       {"late_admission", this->attempt && this->attempt->late},
       {"late_waiting", uint64_t{this->selection.load.late_waiting}},
       {"entry_age_ms", this->selection.entry_age.count()},
       {"unregistered_ms", this->selection.unregistered_for.count()},
       {"config_version", this->config ? this->config->version : 0},
       {"latest_config_version",
        this->context.view.config() ? this->context.view.config()->version : 0},
       {"cut", outcome == "failed" && this->head_sent},
       {"first_event_ms",
        this->first_event_at
            ? Since(this->arrived, *this->first_event_at).count()
            : int64_t{-1}},
       {"total_ms", total.count()}},
      this->call.id);
  this->http_call.reset();
  this->attempt_timer.reset();
  // Destroys the timer's closure, which keeps this task alive, after this
  // function has returned.
  this->context.loop.Post(
      [timer = std::shared_ptr<Timer>(std::move(this->deadline_timer))] {});
}

}  // namespace celerypost
