#ifndef TESTS_REQUEST_CRASH_FLEET_H_
#define TESTS_REQUEST_CRASH_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "celerypost/random.h"
#include "src/request/crash_guard.h"

namespace celerypost {

struct CrashFleetSize {
  size_t gateways = 0;
  size_t targets = 0;
  size_t regions = 0;
};

// Simulates gateways and targets in virtual time. The crash guards are the real
// ones; targets crash on the first token of requests with a deadly part, and
// the network loses, delays, duplicates and reorders news. The seed determines
// the whole run.
class CrashFleet {
 public:
  using milliseconds = std::chrono::milliseconds;

  // Requests with these parts after their first one.
  struct Source {
    std::vector<PartHash> parts;
    // Share of the requests of the first route, or a fixed interval.
    double share = 0;
    milliseconds period{0};
  };
  // One request that comes again and again, on average once in `period`.
  struct RepeatedRequest {
    RequestFingerprint fingerprint = 0;
    std::vector<PartHash> parts;
    milliseconds period{0};
    // A target that breaks off is replaced by another one.
    bool repeatable = true;
  };
  struct Target {
    bool up = true;
    TargetStartHash target_start = 0;
    std::vector<std::shared_ptr<struct CrashFleetAttempt>> running;
    std::deque<std::shared_ptr<struct CrashFleetAttempt>> waiting;
  };
  struct Sends {
    std::vector<TimePoint> at;
    std::vector<TimePoint> crashes;
  };

  CrashFleet(CrashFleetSize size, uint64_t seed);

  void Run(milliseconds time);
  void At(milliseconds delay, std::function<void()> action) {
    this->AtMicros(delay, std::move(action));
  }
  // Repeats `action` for as long as it returns true.
  void Repeat(milliseconds period, std::function<bool()> action);

  void AddSource(Source source);
  // Also makes the gateways judge whole requests.
  void AddRequest(const RepeatedRequest& request);
  void Crash(size_t target, milliseconds down);
  // Ends a share of the connections to a target.
  void ResetConnections(size_t target, double share);
  // Starts a gateway, or kills and restarts it. The others learn of a new one
  // within a second.
  void StartGateway(size_t gateway);
  void StopGateway(size_t gateway);
  void Pause(size_t gateway, milliseconds time);

  bool Blocks(size_t gateway, PartHash part) const {
    return this->gateways[gateway].guard->quarantines().Contains({part});
  }
  bool BlocksRequest(size_t gateway, RequestFingerprint fingerprint) const {
    return this->gateways[gateway].request_guard->quarantines().Contains(
        {fingerprint});
  }
  // Returns the number of running gateways that block the request.
  size_t CountBlockingRequest(RequestFingerprint fingerprint) const;
  // Returns the number of running gateways that block the part.
  size_t CountBlocking(PartHash part) const;
  size_t CountRunning() const;
  size_t CountGateways() const { return this->gateways.size(); }
  size_t RegionOf(size_t gateway) const { return gateway % this->size.regions; }
  // Number of requests with the part that reached targets later than `after`
  // past its fifth crash.
  size_t LateSends(PartHash part, milliseconds after) const;
  // The same for a request, past its third crash.
  size_t LateRequestSends(RequestFingerprint fingerprint,
                          milliseconds after) const;

  CrashFleetSize size;
  SplitMixRandom random;
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<Target> targets;
  // Parts on which targets crash.
  std::set<PartHash> deadly;
  // Requests on which targets crash whatever their parts are.
  std::set<RequestFingerprint> deadly_requests;
  // Share of the requests that a target breaks before their first event.
  std::map<size_t, double> broken_share;
  std::map<PartHash, Sends> sends;
  std::map<RequestFingerprint, Sends> request_sends;
  std::set<RequestFingerprint> wrongly_quarantined_requests;
  // Whether the gateways judge whole requests.
  bool judges_requests = false;
  // Parts other than deadly ones that a gateway quarantined.
  std::set<PartHash> wrongly_quarantined;
  std::map<PartHash, TimePoint> first_quarantine;
  size_t crashes = 0;
  size_t answered = 0;
  size_t max_accusations = 0;
  size_t max_survivals = 0;
  size_t max_quarantines = 0;
  // Items of news sent, once for each receiver, by second.
  std::map<int64_t, size_t> items_sent;

  static constexpr size_t kFirstParts = 180;
  static constexpr size_t kSlots = 8;

 private:
  using Attempt = CrashFleetAttempt;
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Gateway {
    std::unique_ptr<CrashGuard> guard;
    std::unique_ptr<CrashGuard> request_guard;
    uint32_t generation = 0;
    TimePoint started_at{};
    TimePoint paused_until{};
    TimePoint next_far_news{};
  };
  struct Event {
    TimePoint at;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->sequence) >
             std::pair(other.at, other.sequence);
    }
  };

  bool Chance(double probability) { return this->random.Unit() < probability; }
  std::chrono::microseconds Between(int low_ms, int high_ms) {
    return std::chrono::microseconds(
        low_ms * 1000 + static_cast<int64_t>(
                            this->random.Below((high_ms - low_ms) * 1000 + 1)));
  }
  void AtMicros(std::chrono::microseconds delay, std::function<void()> action) {
    this->events.push({this->now + delay, this->sequence++, std::move(action)});
  }
  // Runs `action` once the gateway is not paused, unless it was restarted.
  void OnGateway(size_t gateway,
                 uint32_t generation,
                 const std::function<void()>& action);

  PartHash DrawFirstPart();
  void Arrive();
  void Submit(const std::vector<PartHash>& parts);
  void Submit(const AttemptPtr& attempt);
  // What the guard for whole requests learns of an attempt.
  std::vector<PartHash> RequestOf(const Attempt& attempt) const;
  // Number of sends later than `after` past so many crashes.
  static size_t CountLateSends(const Sends& sends,
                               size_t crashes,
                               milliseconds after);
  void Dispatch(const AttemptPtr& attempt);
  void StartWaiting(size_t target);
  void OnFirstToken(const AttemptPtr& attempt);
  void CheckSurvival(const AttemptPtr& attempt);
  void Leave(const AttemptPtr& attempt);
  void OnEnd(const AttemptPtr& attempt, bool broken);

  milliseconds BeatPeriod(size_t region) const;
  std::vector<size_t> RunningIn(size_t region) const;
  void Beat(size_t gateway);
  void SendNews(const CrashNews& news,
                std::unique_ptr<CrashGuard> Gateway::*guard,
                NewsScope scope,
                const std::vector<size_t>& receivers);
  void RunGateway(size_t gateway);
  std::vector<std::string> NamesOfRunning() const;
  void AnnounceGateways();

  std::vector<double> popularity;
  std::vector<Source> sources;
  std::vector<Gateway> gateways;
  std::priority_queue<Event> events;
  uint64_t sequence = 0;
  uint64_t sessions = 0;
  RequestFingerprint next_fingerprint = 1000000;
  TargetStartHash next_target_start = 1;
};

struct CrashFleetAttempt {
  size_t gateway = 0;
  uint32_t generation = 0;
  std::vector<PartHash> parts;
  RequestFingerprint fingerprint = 0;
  size_t number = 1;
  bool resumable = false;
  size_t target = 0;
  TargetStartHash target_start = 0;
  // At the target.
  bool left = false;
  // At the gateway.
  bool ended = false;
  bool survived = false;
  TimePoint first_event_at{};
};

}  // namespace celerypost

#endif  // TESTS_REQUEST_CRASH_FLEET_H_
