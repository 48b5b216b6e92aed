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
  // once. Off only to measure what the check gains.
  bool shed_early = true;
};

using AdmissionRequest = QueuedRequest;

enum class AdmissionDecision : uint8_t { kRun, kQueued, kRefused };

// All refusals are "not run".
struct AdmissionOutcome {
  AdmissionDecision decision = AdmissionDecision::kRefused;
  // With kRefused.
  ErrorCode code = ErrorCode::kOverloaded;
  std::string message{};
  // A waiting request that must be refused in favour of this one.
  std::optional<uint64_t> displaced{};
};

// What follows from a step: ids to dispatch now, and waiting ones to refuse
// "not run" because their deadline has passed or cannot be met.
struct AdmissionActions {
  std::vector<uint64_t> run;
  std::vector<uint64_t> refused;
};

// Waiting requests of one workspace that a load report counts.
inline constexpr size_t kReportedDepth = 4;

// Decides for one target which requests run, wait or are refused, so that no
// more than the cold-start limit run at once (P2).
class Admission {
 public:
  Admission(AdmissionOptions options, ColdStart& cold_start, FairQueue& queue);

  AdmissionOutcome Offer(AdmissionRequest request, TimePoint now);

  // A request that was told to run has ended. `ok` is false when the target
  // failed it; `reached_target` is false when it was released before any byte
  // went to the target, which says nothing about the target.
  AdmissionActions OnFinished(uint64_t id,
                              bool ok,
                              TimePoint now,
                              bool reached_target = true);

  // Call every 50 ms or so and after a change of the cold-start limit.
  AdmissionActions OnTick(TimePoint now);

  // The caller of a waiting request is gone. Returns whether it was waiting; it
  // has then not run.
  bool Cancel(uint64_t id);

  // Refuses new requests with `reason`; waiting and running ones go on. Used
  // for a planned stop, a zone out and an isolated agent.
  void StopNewWork(std::string reason);
  void ResumeNewWork();
  bool stopped() const { return this->stop_reason.has_value(); }

  uint32_t in_flight() const {
    return static_cast<uint32_t>(this->running.size());
  }
  size_t queued() const { return this->queue.size(); }
  // Queue length for load reports (LoadReport.queued). A flood of one workspace
  // counts little: it delays the others little, and at full length it would
  // hide from routing how the others' requests are spread.
  size_t ReportedQueue() const {
    return this->queue.SharedLength(kReportedDepth);
  }
  Duration service_time() const { return this->mean_service_time; }
  // Time that nearly all requests need once they run: the mean and twice the
  // mean deviation. With the mean alone, a full queue holds requests that start
  // so late that half of them miss their deadline.
  Duration ServiceAllowance() const {
    return this->mean_service_time + 2 * this->service_time_deviation;
  }

 private:
  struct Running {
    TimePoint started;
    uint64_t epoch;
  };

  void Start(uint64_t id, TimePoint now);
  AdmissionActions Advance(TimePoint now);
  // Time until `request` would start if it waited.
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
