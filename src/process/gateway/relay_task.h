#ifndef SRC_PROCESS_GATEWAY_RELAY_TASK_H_
#define SRC_PROCESS_GATEWAY_RELAY_TASK_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/connection/http1_client.h"
#include "src/connection/http1_server.h"
#include "src/process/gateway/target_selector.h"
#include "src/process/log.h"
#include "src/process/metrics.h"
#include "src/request/event_stream.h"
#include "src/request/request_codec.h"
#include "src/request/retry_budget.h"

namespace celerypost {

struct RelayOptions {
  // A repeatable request moves to another target after this time without a
  // first event or answer. Twice the usual goal of a stream.
  std::chrono::milliseconds first_event_patience{1000};
  // The same between two events; callers leave after two seconds or more.
  std::chrono::milliseconds event_patience{1000};
  // Plain requests: this many times the latency goal.
  double answer_patience = 3;
  // A request that must not run twice is sent on a kept connection only if it
  // was used this recently; one that the target has closed meanwhile would
  // leave open whether the request ran.
  std::chrono::milliseconds unrepeatable_max_idle{500};
  // How long a broken stream looks for a target that goes on with it.
  std::chrono::milliseconds resume_patience{1200};
  std::chrono::milliseconds resume_pause{100};
  // Targets that one request is sent to at most, those included that refused.
  uint32_t max_sends = 4;
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
  Histogram& first_event;
  Histogram& total;
};

// What all relay tasks of a process share.
struct RelayContext {
  Loop& loop;
  Log& log;
  const ClusterView& view;
  TargetTracker& book;
  TargetSelector& selector;
  const RequestCodec& codec;
  RetryBudget& budget;
  RelayMetrics& metrics;
  RelayOptions options;
  // The client of a target's address.
  std::function<Http1Client&(const SocketAddress&)> client;
};

// One send of a request to a target.
struct RelayAttempt {
  std::string target;
  double prompt_tokens = 0;
  bool had_event = false;
  bool ended = false;
  TargetAnswer answer;
  HttpHeaders headers;
  std::string body;
};

// One request of a caller, from its arrival to the end of its answer.
class RelayTask : public std::enable_shared_from_this<RelayTask> {
 public:
  RelayTask(RelayContext& context,
            HttpRequest request,
            std::shared_ptr<HttpResponder> responder);
  void Start();

 private:
  void TryNext();
  void SendTo(const Selection& selection);
  void OnHead(const HttpResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnFailure(const Failure& failure);
  void OnPatienceEnd();
  void OnDeadline();
  void OnCallerGone();
  void ForwardEvents(const std::string& events);

  // Whether the request may be sent to another target after an attempt with
  // this verdict. Spends one retry of the budget.
  bool MayRetry(Verdict verdict);
  void RetryOrEnd(Verdict verdict, int status, std::string_view reason);
  void EndAttempt(AttemptOutcome outcome);
  void Refuse(std::string_view reason, std::chrono::milliseconds retry_after);
  void FailWith(int status, std::string_view reason);
  void SendTargetAnswer();
  void Finish(std::string_view outcome, int status, std::string_view reason);
  bool IsStream() const;
  std::chrono::milliseconds Patience() const;
  // Whether the request waits at a target whose weights have come to their end.
  bool MustLeave() const;
  void StartPatience();

  RelayContext& context;
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::shared_ptr<const GatewayConfig> config;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;
  ServiceName service;
  CallerRequestInfo call;
  TimePoint arrived;
  TimePoint deadline;
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> patience_timer;
  std::unique_ptr<HttpCall> http_call;
  std::optional<RelayAttempt> attempt;
  Selection selection;
  SelectionRequest selecting;
  EventStream events;
  // The worst verdict of the attempts so far.
  Verdict verdict = Verdict::kNotRun;
  uint32_t sends = 0;
  uint32_t runs = 0;
  bool head_sent = false;
  bool done = false;
  std::optional<TimePoint> broken_at;
  std::optional<TimePoint> first_event_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_RELAY_TASK_H_
