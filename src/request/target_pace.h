#ifndef SRC_REQUEST_TARGET_PACE_H_
#define SRC_REQUEST_TARGET_PACE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "celerypost/types.h"
#include "src/request/crash_evidence.h"
#include "src/request/engine_model.h"

namespace celerypost {

struct TargetPaceOptions {
  // Bounds of every pace.
  double min_pace = 0.5;
  double max_pace = 8;
  // Own measurements that differ less from 1 are not shared. Measured paces
  // that exceed 1 by less count as 1: the reading of other prompts makes single
  // passes longer.
  double notable = 0.25;
  // A pace that a target reports to its stager holds alone for `report_period`,
  // the time between two beats without a change. Measurements then replace it
  // until `report_lifetime`.
  std::chrono::milliseconds report_period{1100};
  std::chrono::milliseconds report_lifetime{1500};
  // Time constant over which a gateway's own measurements are averaged, and
  // age at which they and those of peers are forgotten.
  std::chrono::milliseconds smoothing{250};
  std::chrono::milliseconds lifetime{1000};
  // Most measurements that are shared, and that are taken from one peer.
  size_t max_shared = 64;
};

// Returns the mean time between two events of a stream at a target with a pace
// of 1 and `running` requests, with the reading of the prompts that join.
Milliseconds UsualEventGap(const EngineRates& rates, double running);

// One gateway's measurement of one start of a target.
struct SharedPace {
  TargetStartHash target_start = 0;
  double pace = 1;
  // Time since the latest measurement.
  std::chrono::milliseconds age{0};
};

// Knows how much slower each target is than its rates say, as a factor of the
// time (EngineLoad::slowdown). It joins what the targets report to their
// stagers, what the streams of this gateway show and what other gateways have
// measured. Each gateway has its own object. Performs no I/O.
class TargetPace {
 public:
  explicit TargetPace(TargetPaceOptions options) : options(options) {}

  // The stager of the target at `address` ("ip:port") has said which pace the
  // target reports; nothing if it reports none.
  void OnReport(const std::string& address,
                std::optional<double> pace,
                TimePoint now);
  // A first event, or the time between two events, took `ratio` times as long
  // as it should at a pace of 1. `weight` is 1 for a reliable measurement.
  void OnMeasured(TargetStartHash start,
                  double ratio,
                  double weight,
                  TimePoint now);
  // Replaces the measurements of another gateway.
  void OnShared(InstanceId peer,
                const std::vector<SharedPace>& paces,
                TimePoint now);

  // Returns the pace of the target with this address and start; 1 if nothing
  // is known of it.
  double PaceOf(const std::string& address,
                TargetStartHash start,
                TimePoint now);
  // Returns this gateway's own measurements that differ clearly from 1.
  std::vector<SharedPace> Share(TimePoint now) const;
  // Drops what is too old to matter.
  void Forget(TimePoint now);

 private:
  struct Report {
    double pace = 1;
    TimePoint at{};
    // The start for which the report was first used.
    std::optional<TargetStartHash> start;
  };
  // Sums of the logarithms of ratios and of their weights, both decaying.
  struct Measurement {
    double sum = 0;
    double weight = 0;
    TimePoint at{};
  };
  struct PeerPace {
    double pace = 1;
    TimePoint at{};
  };

  double Bounded(double pace) const;
  // Returns the factor by which weights have decayed since `at`.
  double Decay(TimePoint at, TimePoint now) const;
  // Returns a measurement's pace, drawn towards 1 where there is little
  // evidence.
  double OwnPace(const Measurement& measurement, double decay) const;
  // Returns the pace by the measurements of all gateways.
  double MeasuredPace(TargetStartHash start, TimePoint now) const;

  TargetPaceOptions options;
  // By address.
  std::unordered_map<std::string, Report> reports;
  std::unordered_map<TargetStartHash, Measurement> own;
  std::unordered_map<InstanceId, std::unordered_map<TargetStartHash, PeerPace>>
      shared;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_PACE_H_
