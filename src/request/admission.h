#ifndef SRC_REQUEST_ADMISSION_H_
#define SRC_REQUEST_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/request/cold_start.h"
#include "src/request/fair_queue.h"

namespace celerypost {

struct AdmissionOptions {
  // Assumed service time until the first request has finished.
  std::chrono::milliseconds initial_service_time{200};
  // Whether a request that would miss its deadline in the queue is refused at
  // once. Only benchmarks turn it off, to measure the effect of the check.
  bool shed_early = true;
};

using AdmissionRequest = QueuedRequest;

enum class AdmissionDecision : uint8_t { kRun, kQueued, kRefused };

// Result of Offer. A refused request has not run and will not.
struct AdmissionOutcome {
  AdmissionDecision decision = AdmissionDecision::kRefused;
  // With kRefused: the error that the caller gets.
  ErrorCode code = ErrorCode::kOverloaded;
  std::string message{};
  // Id of a waiting request that this one displaced from the queue; the caller
  // of Offer must refuse it.
  std::optional<uint64_t> displaced{};
};

// Ids of requests to dispatch now, and of waiting requests to refuse as "not
// run" because their deadline has passed or cannot be met.
struct AdmissionActions {
  std::vector<uint64_t> run;
  std::vector<uint64_t> refused;
};

// Largest number of waiting requests of one workspace that a load report
// counts.
inline constexpr size_t kMaxReportedPerWorkspace = 4;

// Decides for one target which requests run, wait or are refused, so that no
// more requests than the cold-start limit run at once (P2).
class Admission {
 public:
  Admission(AdmissionOptions options, ColdStart& cold_start, FairQueue& queue);

  // Runs, queues or refuses a new request.
  AdmissionOutcome Offer(AdmissionRequest request, TimePoint now);

  // Call when a request that was told to run has ended. `ok` is false when the
  // target failed it. `reached_target` is false when it was released before any
  // byte was sent to the target; such a request counts neither as a success nor
  // as a failure of the target.
  AdmissionActions OnFinished(uint64_t id,
                              bool ok,
                              TimePoint now,
                              bool reached_target = true);

  // Call about every 50 ms and after each change of the cold-start limit.
  AdmissionActions OnTick(TimePoint now);

  // Removes a waiting request whose caller disconnected. Returns whether it was
  // waiting; if so, it has not run.
  bool Cancel(uint64_t id);

  // Refuses new requests with `reason`; waiting and running ones continue. Used
  // for a planned stop, for a zone that is out and for an isolated agent.
  void StopNewWork(std::string reason);
  void ResumeNewWork();
  bool stopped() const { return this->stop_reason.has_value(); }

  uint32_t in_flight() const {
    return static_cast<uint32_t>(this->running.size());
  }
  size_t queued() const { return this->queue.size(); }
  // Queue length for load reports (LoadReport.queued). Counts at most
  // kMaxReportedPerWorkspace requests of each workspace: fair queueing keeps a
  // flood of one workspace from delaying the others much, and its full length
  // would hide from routing how the others' requests are spread.
  size_t ReportedQueue() const {
    return this->queue.CappedLength(kMaxReportedPerWorkspace);
  }
  Duration service_time() const { return this->mean_service_time; }
  // Service time that nearly all requests stay within: the mean plus twice the
  // mean deviation. With the mean alone, a full queue holds requests that start
  // so late that half of them miss their deadline.
  Duration ServiceAllowance() const {
    return this->mean_service_time + 2 * this->service_time_deviation;
  }

 private:
  struct Running {
    TimePoint started;
    // ColdStart::epoch() when the request started.
    uint64_t epoch;
  };

  void Start(uint64_t id, TimePoint now);
  AdmissionActions Advance(TimePoint now);
  // Estimates the time until `request` would start if it were queued.
  Duration ExpectedWait(const AdmissionRequest& request, TimePoint now) const;

  const AdmissionOptions options;
  ColdStart& cold_start;
  FairQueue& queue;
  std::unordered_map<uint64_t, Running> running;
  Duration mean_service_time;
  Duration service_time_deviation{0};
  std::optional<std::string> stop_reason;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_ADMISSION_H_
