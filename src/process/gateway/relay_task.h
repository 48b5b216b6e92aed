#ifndef SRC_PROCESS_GATEWAY_RELAY_TASK_H_
#define SRC_PROCESS_GATEWAY_RELAY_TASK_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "src/connection/http1_client.h"
#include "src/connection/http1_server.h"
#include "src/connection/memory_budget.h"
#include "src/process/gateway/target_selector.h"
#include "src/process/log.h"
#include "src/process/metrics.h"
#include "src/request/attempt_timeout.h"
#include "src/request/crash_guard.h"
#include "src/request/event_stream.h"
#include "src/request/request_codec.h"
#include "src/request/retry_budget.h"

namespace celerypost {

struct RelayOptions {
  AttemptTimeoutOptions attempt_timeouts;
  // A request that must not run twice is sent on an idle connection only if
  // that was used this recently. If the target had closed the connection in the
  // meantime, it would be unknown whether the request ran.
  std::chrono::milliseconds non_repeatable_max_idle{500};
  // How long a broken stream waits for a target that can resume it, and the
  // time between two tries.
  std::chrono::milliseconds resume_timeout{1200};
  std::chrono::milliseconds resume_retry_interval{100};
  // First time between two searches for a target that can take over from a
  // silent one; doubles with each search until an event arrives.
  std::chrono::milliseconds min_takeover_delay{250};
  // Most targets that one request is sent to, including those that refused it.
  uint32_t max_sends = 4;
  // A request is not sent to a target when less time is left until the caller's
  // deadline: it would run for nobody.
  std::chrono::milliseconds min_time_left{30};
  // Largest answer that is collected before it is passed on, and largest event
  // of a stream. They bound what a target that sends without end occupies.
  size_t max_answer_bytes = 1u << 20;
  size_t max_event_bytes = 256u << 10;
  // The gateway stops reading a stream from its target when more bytes of it
  // wait for the caller, and goes on when a quarter of them is left.
  size_t max_unsent_bytes = 256u << 10;
  // A target that has sent events of an answer for this long does not crash on
  // its request.
  std::chrono::milliseconds survival_time{250};
};

// Sizes of prompts, relative to the mean of their service.
enum class PromptSize : uint8_t {
  kBelowMean,
  kBelowTwiceMean,
  kLonger,
};

// Returns the class of a prompt; nothing if the service has no engine or the
// size is unknown.
std::optional<PromptSize> PromptSizeOf(const ServiceConfig& service,
                                       double prompt_tokens);

// Requests with prompts of a known size that had one outcome.
struct SizedRequestMetrics {
  SizedRequestMetrics(Metrics& metrics, const std::string& outcome);
  void Count(PromptSize size, double prompt_tokens);

  // By PromptSize.
  std::array<Counter*, 3> requests;
  Counter& prompt_tokens;
};

// Requests of one rank by outcome. A request that is sent again is not counted
// again.
struct RankRequestMetrics {
  RankRequestMetrics(Metrics& metrics, size_t level);

  Counter& placed;
  Counter& refused;
  // Of those placed, by their first event.
  Counter& on_time;
  Counter& late;
};

// Counts first events by their time as a multiple of the prediction, which
// tells how good the predictions are that placement relies on.
struct PredictionMetrics {
  explicit PredictionMetrics(Metrics& metrics);
  void Count(std::chrono::milliseconds predicted,
             std::chrono::milliseconds measured);

  // Upper bounds of the multiples; the last class has none.
  static constexpr std::array<double, 7> kBounds = {0.5, 0.9, 1.1, 1.5,
                                                    2,   3,   5};
  std::array<Counter*, kBounds.size() + 1> first_events;
};

// Counters and histograms of relayed requests.
struct RelayMetrics {
  explicit RelayMetrics(Metrics& metrics);

  Counter& answered;
  Counter& refused;
  Counter& failed;
  Counter& abandoned;
  Counter& attempts;
  Counter& retries;
  Counter& resumes;
  Counter& kept_attempts;
  Counter& aborted_streams;
  Counter& rejected_answers;
  Counter& paused_streams;
  Counter& quarantined;
  Counter& leaving_targets;
  Counter& declining_targets;
  Counter& malformed_headers;
  Counter& late_sent;
  Counter& late_begun;
  Counter& returning_placed;
  Counter& returning_refused;
  SizedRequestMetrics answered_sizes;
  SizedRequestMetrics refused_sizes;
  // By RankRuling::level.
  std::vector<RankRequestMetrics> ranks;
  PredictionMetrics predictions;
  Histogram& first_event;
  Histogram& total;
};

class RelayTask;

// Objects shared by all relay tasks of a process.
struct RelayContext {
  Loop& loop;
  Log& log;
  const ClusterView& view;
  TargetTracker& book;
  TargetSelector& selector;
  PredictionErrors& errors;
  RankAdmission& ranks;
  TargetPace& paces;
  CrashGuard& crashes;
  CrashGuard& request_crashes;
  TargetNotices& notices;
  const RequestCodec& codec;
  ServiceRetryBudgets& budgets;
  RelayMetrics& metrics;
  MemoryBudget& memory;
  RelayOptions options;
  // Returns the HTTP client for a target's address.
  std::function<Http1Client&(const SocketAddress&)> client;
  // Returns false when the process will have ended its requests at that time;
  // not set where it does not stop.
  std::function<bool(TimePoint)> may_run_until{};
  // The tasks that have started and not ended.
  std::unordered_set<RelayTask*> active{};
  // Learns from the requests that it placed; null where late requests are
  // refused.
  LateAdmission* late = nullptr;
};

// Takes back the requests with a part that was quarantined from targets that
// may still crash on them.
void WithdrawRequests(const RelayContext& context, PartHash part);
// The same for requests that were quarantined as a whole.
void WithdrawRequestsWithFingerprint(const RelayContext& context,
                                     RequestFingerprint fingerprint);

// Applies what has become known of weights to the requests that wait at
// targets.
void ReviewWaitingRequests(const RelayContext& context);

// One send of a request to a target.
struct RelayAttempt {
  // From 1, in the order of the sends of a request.
  uint32_t number = 0;
  // The target's ID.
  std::string target;
  double prompt_tokens = 0;
  // Placed by LateAdmission.
  bool late = false;
  TargetStartHash target_start = 0;
  TimePoint sent_at{};
  // When it was sent or had its last event.
  TimePoint progress_at{};
  bool had_event = false;
  TimePoint first_event_at{};
  // The stream was not read for a while, so the time to its next event says
  // nothing about the target.
  bool was_paused = false;
  // The target did not crash on the request (RelayOptions::survival_time).
  bool survived = false;
  // The target has ended its answer, which is not passed on before it is known
  // whether the target takes the whole request.
  bool unconfirmed = false;
  bool ended = false;
  // Another attempt has been started since this one was silent for too long.
  bool replaced = false;
  // Counted in RelayTask::possible_runs.
  bool counted = false;
  // No other target was available when it was silent for too long.
  bool kept = false;
  TargetAnswer answer;
  HttpHeaders headers;
  std::string body;
  // Complete parts of the stream that are not passed on while another attempt
  // may still answer.
  std::string unsent;
};

// A silent attempt that stays open until the one that was started in its place
// has produced something for the caller.
struct SilentAttempt {
  RelayAttempt attempt;
  std::unique_ptr<HttpCall> http_call;
  Selection selection;
  EventStream events;
};

// One request of a caller, from its arrival to the end of its response.
class RelayTask : public std::enable_shared_from_this<RelayTask> {
 public:
  RelayTask(RelayContext& context,
            HttpRequest request,
            std::shared_ptr<HttpResponder> responder);
  void Start();
  // Ends the request if `part` is a part of its prompt and its target may still
  // crash on it.
  void OnPartQuarantined(PartHash part);
  // The same if the request has this fingerprint.
  void OnRequestQuarantined(RequestFingerprint quarantined);
  // Newer weights may have been named, or the target may have loaded some.
  void OnWeightsChanged();
  // Logs that the process exits before this request has ended, and what the
  // request waits for.
  void LogCut() const;
  // Ends the request because the process exits: with 503 if no target can have
  // received it, with 502 if no answer has started, otherwise by closing the
  // connection without the end of the answer.
  void EndForStop();

 private:
  // Ends the request as EndForStop does. The caller of one that cannot have run
  // may return after `retry_after`.
  void EndEarly(std::string_view reason, std::chrono::milliseconds retry_after);
  // Reports the bytes that this task and its calls hold.
  void ReportMemory();
  // Selects a target and sends the request to it. If none can be selected,
  // waits for one for up to resume_timeout if the stream has started;
  // otherwise refuses the request, or fails it if an attempt may have run.
  void SendToNextTarget();
  void SendTo(const Selection& selection);
  // Sends the request to the target of `next`.
  void SendNext(const Selection& next);
  // Takes up what the first selection shows of the caller.
  void NoteCaller();
  // A late attempt no longer waits at its target.
  void EndLateWait(const RelayAttempt& late_attempt) const;
  void UpdatePlacement(TimePoint now);
  // Selects the target of one more attempt and spends a retry of the budget on
  // it. Returns nothing, with the cause in `reason`, and spends nothing, if no
  // target is available or the request must not be sent again after an attempt
  // with this verdict.
  std::optional<Selection> SelectNext(Verdict verdict,
                                      std::string_view& reason);
  // The same for a target that replaces one that failed; nothing if the
  // attempt's successor has already been sent.
  std::optional<Selection> SelectSuccessor(Verdict attempt_verdict,
                                           std::string_view& reason);
  // Makes the attempt the current one; another one that is live becomes silent.
  // Returns false if the attempt has ended.
  bool MakeCurrent(uint32_t number);
  // Keeps the current attempt open while another one is started.
  void HoldCurrent();
  // Continues with the latest silent attempt after the current one has ended.
  void FallBack();
  void EndSilent(SilentAttempt& silent);
  // The attempt no longer runs at its target.
  void Release(const RelayAttempt& released);
  // Tells the tracker how an attempt has ended, and releases it unless that was
  // done before.
  void EndAtTarget(const RelayAttempt& ended, AttemptOutcome outcome);
  void EndSilentAttempts();
  // Ends the silent attempts that may no longer begin to run.
  void EndOverdueSilentAttempts();
  // Counts the attempt as one that may have run.
  void CountRun(RelayAttempt& counted);
  // Takes the current attempt back as its target says that it has not run.
  void UncountRun();
  // Ends the request since the time until its deadline is too short for another
  // attempt.
  void EndForLackOfTime();
  // Returns whether neither a part of the prompt nor the request as a whole is
  // quarantined, and begins a probe if it is one.
  bool MaySend(TimePoint now);
  // Ends the request since it, or a part of its prompt, is quarantined.
  void EndForQuarantine();
  // Says what is quarantined, for logs and callers.
  std::string_view QuarantineReason() const;
  // Whether the target may still crash on the current attempt.
  bool MayCrashTarget() const;
  // Takes back the attempt and ends the request.
  void Withdraw();
  RequestFingerprint Fingerprint();
  // The fingerprint if anything is known of requests that crash targets,
  // otherwise nothing: it costs a digest of the body.
  std::vector<PartHash> SuspectedRequest();
  // Returns whether a response is the one to the current attempt.
  bool IsOwnAnswer(const HttpResponseHead& head) const;
  void OnHead(const HttpResponseHead& head);
  // Ends the attempt since its answer must not be passed on. The request may
  // have run.
  void RejectAnswer(std::string_view reason);
  // Takes up what the target says about itself in the answer's head.
  void ReadNotices();
  void ReadDecline();
  // Returns whether the answer can be the rest of the stream that the caller
  // has received a part of.
  bool ResumesStream() const;
  // Returns whether the answer's end is told by a length or chunks, not by the
  // end of its connection.
  bool HasFramedAnswer() const;
  void OnBody(std::string_view bytes);
  void OnUnconfirmedEnd();
  void OnEnd();
  void OnFailure(const Failure& failure);
  // Starts another attempt when the current one has been silent for too long
  // and may be retried; gives it up when MustLeaveTarget requires it. Looks
  // again for a target if a broken stream waits for one that can resume it.
  void OnAttemptTimeout();
  void LogSilent(std::string_view message);
  // Waits on for the current attempt since there is no other one to start.
  void KeepAttempt(std::string_view reason);
  void OnDeadline();
  void OnCallerDisconnected();
  // The first decision on the request has been made.
  void CountRank();
  // The first event has come from the first target.
  void NoteFirstEventOfRank(TimePoint now);
  // The attempt has produced events.
  void NoteProgress(uint64_t events);
  // Takes up what the first event, or the time between two, says about the pace
  // of the target.
  void MeasureFirstEvent(TimePoint now);
  void MeasureGap(uint64_t events, TimePoint now);
  void NoteSurvival();
  // The answer is complete. Without a length or chunks, a crash of the target
  // looks the same.
  void NoteEndOfAnswer();
  void ForwardEvents(const std::string& complete_events);
  // Stops reading from the target while the caller takes the stream too slowly.
  void PauseForCaller();
  void OnCallerCaughtUp();

  // Returns whether the request may be sent to another target after it may have
  // harmed the last one.
  bool MayRepeat(TimePoint now);
  // Returns whether the request may be sent to another target after an attempt
  // with this verdict. If so, spends one retry of the budget.
  bool MayRetry(Verdict verdict);
  void RetryOrEnd(Verdict verdict, int status, std::string_view reason);
  void EndAttempt(AttemptOutcome outcome);
  // Responds that the request was not run.
  // Counts the request by the size of its prompt.
  void CountSize(SizedRequestMetrics& counters) const;
  void Refuse(std::string_view reason, std::chrono::milliseconds retry_after);
  // Responds with an error, or aborts a response that has started.
  void FailWith(int status, std::string_view reason);
  void SendTargetAnswer();
  // Returns whether the process runs until `time`.
  bool MayRunUntil(TimePoint time) const;
  // Returns whether a further attempt can end before the process stops.
  bool MayBeginRetry() const;
  void Finish(std::string_view outcome, int status, std::string_view reason);
  bool IsStream() const;
  // What the request waits for, as a word for logs.
  std::string_view WaitsFor() const;
  // Returns whether the attempt has not started to run by the time at which the
  // target's weights become too old for it.
  bool MustLeaveTarget() const;
  // The earliest time by which a live attempt must have begun to run.
  std::optional<TimePoint> MustBeginBy() const;
  // Returns when the attempt counts as silent; nothing if the request must not
  // be repeated or its target is not read.
  std::optional<TimePoint> SilentAt() const;
  void StartAttemptTimer();
  void StartTakeoverTimer();
  // Starts the timer for `time` or the earliest time by which a live attempt
  // must have begun to run, whichever comes first.
  void StartAttemptTimerAt(std::optional<TimePoint> time);

  RelayContext& context;
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::shared_ptr<const GatewayConfig> config;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;
  ServiceName service;
  CallerRequestInfo call;
  // Of the parts of the prompt that other requests may share.
  std::vector<PartHash> parts;
  // Set by Fingerprint().
  std::optional<RequestFingerprint> fingerprint;
  TimePoint arrived;
  TimePoint deadline;
  // How long before `arrived` the caller first attempted the request.
  std::chrono::milliseconds caller_age{0};
  MemoryAccount memory;
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> attempt_timer;
  std::unique_ptr<HttpCall> http_call;
  std::optional<RelayAttempt> attempt;
  Selection selection;
  // Other attempts that may still answer, in no order.
  std::vector<SilentAttempt> silent_attempts;
  SelectionRequest selection_request;
  EventStream events;
  // The worst verdict of the attempts so far.
  Verdict verdict = Verdict::kNotRun;
  uint32_t sends = 0;
  // Attempts that may have run.
  uint32_t possible_runs = 0;
  // The response to the caller has started.
  bool head_sent = false;
  bool done = false;
  // The target is not read because the caller is slow.
  bool paused = false;
  // Since when the started stream has had no target.
  std::optional<TimePoint> stream_broken_at;
  // Time until the next search for a target that can take over.
  std::chrono::milliseconds takeover_delay;
  std::optional<TimePoint> first_event_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_RELAY_TASK_H_
