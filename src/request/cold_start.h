#ifndef SRC_REQUEST_COLD_START_H_
#define SRC_REQUEST_COLD_START_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

struct ColdStartOptions {
  // Concurrency limits; the manifest's `limits` of the service.
  uint32_t cold_limit = 2;
  uint32_t full_limit = 32;
  // Shortest time from cold to the full limit.
  std::chrono::milliseconds warm_up{4000};
  // A first token that takes longer than this multiple of the baseline counts
  // as slow. Batching alone varies the first-token time by less than a factor
  // of 3.
  double slow_factor = 4.0;
  // A first token within this time is never slow, so that noise on a baseline
  // of a few milliseconds does not make the target cold.
  std::chrono::milliseconds slow_floor{100};
  // Number of first tokens of a warm target that establish the baseline.
  uint32_t baseline_samples = 16;
};

enum class ColdState : uint8_t { kCold, kWarming, kWarm };

// Limits the concurrency of one target while it warms up (design 4.1). The
// limit starts at `cold_limit` and is doubled step by step up to `full_limit`.
// A step ends when as many requests as the limit have finished and the step has
// lasted its share of `warm_up`; a slow or failed request restarts the step. A
// new object is cold.
//
// A slow first token shows that the target turned cold without a restart. While
// the baseline is established, it makes a warm target cold. Before, and while
// the target warms up, first tokens are compared with recent ones, which is
// less reliable: the limit then falls to `cold_limit` until the first token of
// a request that was dispatched afterwards. If that is slow as well, the target
// is cold, otherwise the former limit applies again.
class ColdStart {
 public:
  explicit ColdStart(ColdStartOptions options);

  // Reports the target's start identity. The target becomes cold when it
  // differs from the last one reported.
  void OnTargetStarted(InstanceId start_id, TimePoint now);
  // The sentinel connection closed: the target process behind it has ended.
  void OnSentinelClosed(TimePoint now);
  // The target switched its weights, so its caches are empty.
  void OnSwitchCompleted(TimePoint now);
  // A request produced its first token after `latency`.
  void OnFirstToken(Duration latency, TimePoint now);
  // A request that was dispatched in the current epoch has ended.
  void OnFinished(bool ok, TimePoint now);

  // Largest number of requests that may run at once.
  uint32_t Limit(TimePoint now) const;
  ColdState state() const;
  // First tokens of a warm target that were counted for the baseline, until it
  // is established.
  uint32_t baseline_samples() const { return this->baseline_count; }
  // Mean first-token time of the warm target; zero without samples.
  Duration baseline_time() const { return this->baseline; }
  // Incremented each time the target becomes cold. The results of requests that
  // were dispatched in an earlier epoch must not be passed to OnFinished.
  uint64_t epoch() const { return this->epoch_number; }

 private:
  void BecomeCold(TimePoint now);
  void RestartStep(TimePoint now);
  bool IsEstablished() const {
    return this->baseline_count >= this->options.baseline_samples;
  }
  bool IsSlow(Duration latency) const;
  void AddSample(Duration latency);

  const ColdStartOptions options;
  // Shortest duration of a step.
  Duration step_time;
  InstanceId start_id;
  uint32_t limit;
  uint32_t finished_in_step = 0;
  TimePoint step_started;
  // False until the first step begins; `step_started` is not set before.
  bool step_begun = false;
  uint64_t epoch_number = 0;
  // Mean first-token time of the warm target; kept when the target becomes
  // cold.
  Duration baseline{0};
  uint32_t baseline_count = 0;
  // First-token time of recent requests since the target became cold; zero
  // before the first one.
  Duration recent{0};
  // When a slow first token was found without an established baseline.
  std::optional<TimePoint> suspected_at;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_COLD_START_H_
