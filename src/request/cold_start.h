#ifndef SRC_REQUEST_COLD_START_H_
#define SRC_REQUEST_COLD_START_H_

#include <chrono>
#include <cstdint>

#include "celerypost/types.h"

namespace celerypost {

struct ColdStartOptions {
  // Concurrency limits; the manifest's `limits` of the service.
  uint32_t cold_limit = 2;
  uint32_t full_limit = 32;
  // Shortest time from cold to the full limit.
  std::chrono::milliseconds warm_up{4000};
  // A first token later than this multiple of the baseline counts as slow.
  // Batching alone varies the first-token time by less than a factor of 3.
  double slow_factor = 4.0;
  // A first token earlier than this is never slow, so that noise on a baseline
  // of a few milliseconds does not make the target cold.
  std::chrono::milliseconds slow_floor{100};
  // First tokens of a warm target that make up a baseline.
  uint32_t baseline_samples = 16;
};

enum class ColdState : uint8_t { kCold, kWarming, kWarm };

// Bounds the concurrency of one target after it became cold (design 4.1). The
// limit starts at `cold_limit` and doubles when as many requests as the limit
// have finished without a slow or failed one and the step has lasted its share
// of `warm_up`. A new object is cold.
class ColdStart {
 public:
  explicit ColdStart(ColdStartOptions options);

  // The target's start identity was seen. Cold when it differs from the last.
  void OnTargetStarted(InstanceId start_id, TimePoint now);
  // The sentinel connection closed: the process it led to is gone.
  void OnSentinelClosed(TimePoint now);
  // The target switched its weights; its caches are empty.
  void OnSwitchCompleted(TimePoint now);
  // A request produced its first token after `latency`.
  void OnFirstToken(Duration latency, TimePoint now);
  // A request that was dispatched in the current epoch has ended.
  void OnFinished(bool ok, TimePoint now);

  // Most requests that may run at once.
  uint32_t Limit(TimePoint now) const;
  ColdState state() const;
  // Changes each time the target becomes cold. Requests dispatched in an
  // earlier epoch say nothing about the present one.
  uint64_t epoch() const { return this->epoch_number; }

 private:
  void BecomeCold(TimePoint now);
  void RestartStep(TimePoint now);
  bool IsSlow(Duration latency) const;

  const ColdStartOptions options;
  Duration step_time;
  InstanceId start_id;
  uint32_t limit;
  uint32_t finished_in_step = 0;
  TimePoint step_started;
  bool started = false;
  uint64_t epoch_number = 0;
  // Mean first-token time of the warm target; survives a cold start.
  Duration baseline{0};
  uint32_t baseline_count = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_COLD_START_H_
