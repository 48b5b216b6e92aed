#ifndef SRC_PROCESS_STAGER_PACE_WATCH_H_
#define SRC_PROCESS_STAGER_PACE_WATCH_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "celerypost/types.h"

namespace celerypost {

struct PaceWatchOptions {
  // Share by which a pace must change to be told before the next regular beat.
  double change = 0.25;
  // Beats that tell a change. The network may lose one.
  int beats_per_change = 2;
  // A pace that has changed counts as varying for this long.
  std::chrono::milliseconds varies_for{30000};
};

// Decides when a stager tells the gateways the pace that its target reports.
class PaceWatch {
 public:
  explicit PaceWatch(PaceWatchOptions options) : options(options) {}

  // The target has reported a pace, or none. Returns whether a beat should tell
  // it soon.
  bool OnReport(std::optional<double> pace, TimePoint now);
  // Returns the pace for a beat, in hundredths. `to_all`: gateways get it.
  std::optional<int32_t> Tell(bool to_all);
  // Whether the pace has lately changed, so that the target is to be asked
  // often.
  bool Varies(TimePoint now) const;

 private:
  PaceWatchOptions options;
  std::optional<double> latest;
  std::optional<double> told;
  int beats_left = 0;
  std::optional<TimePoint> changed_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_PACE_WATCH_H_
