#ifndef SRC_REQUEST_TARGET_TRACKER_H_
#define SRC_REQUEST_TARGET_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "celerypost/types.h"
#include "src/request/engine_model.h"

namespace celerypost {

// Requests of one gateway at one target, as exchanged between gateways.
struct ReportedLoad {
  // TargetTracker::HashOf the target.
  uint64_t target_hash = 0;
  // With `late_waiting`.
  uint32_t in_flight = 0;
  double waiting_tokens = 0;
  // As in EngineLoad.
  uint32_t late_waiting = 0;
};

// How an attempt at a target ended.
enum class AttemptOutcome : uint8_t {
  // A complete answer.
  kAnswered,
  // The target refused without having run the request, for example because it
  // is full, and named no other target at its address.
  kRefused,
  // Another target answered at the address and refused the request.
  kReplaced,
  // The target answered with an error of its own.
  kFailed,
  // The connection failed, the answer was cut off or invalid, or the target was
  // silent for too long.
  kBroken,
  // The caller disconnected, or the gateway gave up the attempt for another
  // reason, such as the deadline.
  kAbandoned,
};

struct TargetTrackerOptions {
  // The last report of a gateway is ignored after this many report periods
  // without a new one.
  int max_missed_reports = 5;
  // How long a target is avoided after an attempt that ended with kBroken;
  // doubles with each further one up to `max_backoff`.
  std::chrono::milliseconds initial_backoff{250};
  std::chrono::milliseconds max_backoff{2000};
  // How long a target is avoided after a refusal: about the time in which one
  // of its slots becomes free.
  std::chrono::milliseconds refusal_backoff{100};
  // How long a target is avoided when another one answers at its address: until
  // its registration has expired, after three missed heartbeats.
  std::chrono::milliseconds replaced_backoff{4000};
  // Weight of one attempt in the smoothed share of failures.
  double failure_weight = 0.15;
};

// Tracks the load of each target, from this gateway's own requests and the
// reports of other gateways, and the outcomes of recent attempts.
class TargetTracker {
 public:
  explicit TargetTracker(TargetTrackerOptions options);

  static uint64_t HashOf(const std::string& target_id);

  // `late` is the same in all calls for one attempt: it was sent with
  // kLateUrgency.
  void OnSent(const std::string& target,
              double prompt_tokens,
              TimePoint now,
              bool late = false);
  // An attempt has produced its first event, so its prompt no longer waits.
  void OnFirstEvent(const std::string& target,
                    double prompt_tokens,
                    bool late = false);
  // An attempt has been silent for too long and goes on: avoids the target as
  // after an attempt that ended with kBroken.
  void OnSilent(const std::string& target, TimePoint now);
  // An attempt has ended. `had_event` says whether OnFirstEvent was called for
  // it.
  void OnEnd(const std::string& target,
             double prompt_tokens,
             bool had_event,
             AttemptOutcome outcome,
             TimePoint now,
             bool late = false);
  // The two parts of OnEnd, for an attempt that no longer runs at its target
  // while its outcome is not known.
  void OnReleased(const std::string& target,
                  double prompt_tokens,
                  bool had_event,
                  bool late = false);
  void OnOutcome(const std::string& target,
                 AttemptOutcome outcome,
                 TimePoint now);

  // Replaces the load reported by the gateway `instance`, which reports every
  // `period`.
  void OnReport(InstanceId instance,
                const std::vector<ReportedLoad>& loads,
                std::chrono::milliseconds period,
                TimePoint now);
  void ForgetReporter(InstanceId instance);
  // Replaces the load from all gateways of another region, which holds for
  // `lifetime`.
  void OnRegionReport(const RegionName& region,
                      const std::vector<ReportedLoad>& loads,
                      std::chrono::milliseconds lifetime,
                      TimePoint now);

  // Returns the load at `target` from this gateway's requests and from reports
  // that have not expired.
  EngineLoad LoadOf(const std::string& target, TimePoint now) const;
  // Returns this gateway's requests in progress, to report to other gateways.
  std::vector<ReportedLoad> OwnLoads() const;
  // Returns the requests in progress of this gateway and of those whose reports
  // came with OnReport and have not expired, to report to other regions.
  std::vector<ReportedLoad> CombinedLoads(TimePoint now) const;
  // Returns the number of requests that this gateway sent to `target` within
  // the last second.
  size_t SentInLastSecond(const std::string& target, TimePoint now) const;
  // Returns whether no request should be sent to `target` now.
  bool Avoided(const std::string& target, TimePoint now) const;
  // Returns the smoothed share of attempts that failed, from 0 to 1.
  double FailureShare(const std::string& target) const;
  // Removes targets that are not in `known` and have no requests in progress.
  void Forget(const std::map<std::string, bool>& known);

 private:
  struct Record {
    uint32_t in_flight = 0;
    double waiting_tokens = 0;
    // Part of `in_flight`; their tokens are not in `waiting_tokens`.
    uint32_t late_waiting = 0;
    std::deque<TimePoint> sent_at;
    TimePoint avoided_until{};
    uint32_t consecutive_breaks = 0;
    double failure_share = 0;
  };
  struct Report {
    TimePoint expires_at;
    std::unordered_map<uint64_t, ReportedLoad> loads;
  };

  // An attempt no longer waits: it has begun or ended.
  static void RemoveWaiting(Record& record, double prompt_tokens, bool late);
  void NoteBreak(Record& record, TimePoint now) const;
  static void SetReport(Report& report,
                        const std::vector<ReportedLoad>& loads,
                        TimePoint expires_at);

  TargetTrackerOptions options;
  std::unordered_map<std::string, Record> records;
  std::unordered_map<InstanceId, Report> reports;
  std::map<RegionName, Report> region_reports;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_TRACKER_H_
