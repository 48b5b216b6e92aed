#ifndef SRC_PROCESS_GATEWAY_GATEWAY_H_
#define SRC_PROCESS_GATEWAY_GATEWAY_H_

#include <array>
#include <chrono>
#include <memory>

#include "src/process/gateway/directory_codec.h"
#include "src/process/gateway/relay_task.h"
#include "src/process/gateway/stop_policy.h"
#include "src/process/node_core.h"

namespace celerypost {

struct GatewayOptions {
  // Requests that cannot be on time may wait at targets, and refused callers
  // are told when to return (LateResponses), also where the configuration gives
  // all requests of a service the same rank.
  bool late_admission = false;
  // Lower ranks are held back while higher ones get too little.
  bool rank_holds = false;
  // Period of the beats to the gateways of the region. Several arrive within
  // the usual time to a first event, so that the reported loads are recent
  // enough for the choice of a target.
  std::chrono::milliseconds beat_period{100};
  GatewayBeatOptions beats;
  SummaryOptions summaries;
  // How long the loads in the summary of another region are used.
  std::chrono::milliseconds summary_load_lifetime{2000};
  CrashGuardOptions crashes;
  CrashGuardOptions request_crashes = WholeRequestGuardOptions();
  // Longest time between two messages to the region about requests that crash
  // targets. Beats come less often in large regions.
  std::chrono::milliseconds max_crash_news_period{500};
  // Shortest time between two messages to other regions about requests that
  // crash targets.
  std::chrono::milliseconds far_crash_news_period{250};
  TargetPaceOptions paces;
  // The pace of a target is told to other regions for this long after its
  // stager's beat: it changes within seconds.
  std::chrono::milliseconds far_pace_age{500};
  // How long callers may cache a directory response.
  std::chrono::milliseconds directory_ttl{2000};
  // With fewer ready gateways than `min_addresses` in the caller's region, a
  // directory response lists ready gateways of all regions. It lists at most
  // `max_addresses`.
  size_t min_addresses = 2;
  size_t max_addresses = 64;
};

// The process on an entry VM: serves callers' lookups of gateway addresses,
// accepts their requests and relays each to a target.
class Gateway {
 public:
  Gateway(NodeDependencies dependencies,
          const RequestCodec& request_codec,
          const DirectoryCodec& directory_codec,
          GatewayOptions options);

  // Binds all listeners. Fails with kUnavailable.
  Result<void> Start();
  // Starts a graceful shutdown; the loop stops when it is complete.
  void Stop();

 private:
  void HandleRequest(HttpRequest request,
                     const std::shared_ptr<HttpResponder>& responder);
  // Serves the readiness and the directory listener.
  void HandleReadinessOrDirectory(
      const HttpRequest& request,
      const std::shared_ptr<HttpResponder>& responder);
  Result<std::unique_ptr<Http1Server>> Listen(const SocketAddress& address,
                                              HttpHandler handler);
  void OnViewChanged();
  void OnBeat(const Peer& peer);
  void SendBeat();
  // A part of prompts was quarantined, or its quarantine was lifted.
  void OnQuarantine(const QuarantineRecord& record, size_t crashes);
  // The same for a request as a whole.
  void OnRequestQuarantine(const QuarantineRecord& record, size_t crashes);
  void LogQuarantine(std::string_view kind,
                     const QuarantineRecord& record,
                     size_t crashes);
  // Sends a summary of this region to one gateway of each other region when one
  // is due from this gateway.
  void SendSummary();
  // Whether this gateway is one of those that send to other regions.
  bool SendsToOtherRegions() const;
  // Judges the requests, and the parts of prompts, that crash targets and tells
  // the gateways of this region, and one of each other region, what is new
  // about them.
  void ExchangeCrashNews();
  void SendFarCrashNews();
  RegionSummary MakeSummary() const;
  void OnSummary(const RegionSummary& summary);
  // Takes up that targets have told other gateways that they leave.
  void OnLeavingTargets(const std::vector<TargetStartHash>& starts,
                        const std::string& peer);
  // Returns the addresses of one live gateway of each other region, or of a
  // registered one when no summary of the region has arrived.
  std::vector<std::string> ChooseSummaryReceivers();
  // Returns the gateways that may be running, this one included: those heard
  // and those registered.
  std::vector<GatewayMember> KnownGateways() const;
  void UpdateShares();
  // Takes the step of a graceful shutdown that NextStopStep returns.
  void CheckStop();
  // Ends all requests because the process is about to exit.
  void EndRequests();
  std::chrono::milliseconds TimeSinceStop() const;
  // Returns whether a request that starts now and ends at `end` completes
  // before requests are ended because the process stops.
  bool MayRunUntil(TimePoint end) const;
  NodeState state() const;
  bool Ready() const;

  NodeDependencies dependencies;
  const DirectoryCodec& directory_codec;
  GatewayOptions options;
  NodeCore core;
  TargetTracker book;
  TargetNotices notices;
  TargetPace paces;
  std::unique_ptr<PlacementPolicy> policy;
  SizeBalance sizes;
  PredictionErrors errors;
  RankAdmission ranks;
  ReturningCallers callers;
  LateAdmission late;
  ReturnPromises promises;
  LateResponses late_responses;
  GatewayAdmission admission;
  TargetSelector selector;
  Gauge& quarantined_parts;
  Gauge& quarantined_requests;
  CrashGuard crashes;
  CrashGuard request_crashes;
  ServiceRetryBudgets budgets;
  RelayMetrics relay_metrics;
  Gauge& live_gateways;
  Gauge& size_lean;
  // By RankRuling::level.
  std::array<Gauge*, kRankLevels> rank_holds;
  Gauge& late_waiting;
  Gauge& promised_returns;
  Counter& leaving_targets_of_peers;
  RelayContext relay_context;
  std::unique_ptr<Http1Server> caller_server;
  std::unique_ptr<Http1Server> ready_server;
  std::unique_ptr<Http1Server> directory_server;
  Timer beat_timer;
  Timer crash_timer;
  Timer stop_timer;
  GatewayBeats beats;
  TimePoint next_summary{};
  TimePoint next_far_crash_news{};
  // Newest change of an operators' document that a beat has carried.
  StorePosition announced_operator_position;
  StopPolicyOptions stop_policy;
  std::optional<TimePoint> stopping_since;
  // Version of the configuration that `ranks` has, -1 for none.
  int64_t ranked_version = -1;
  bool was_ready = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_GATEWAY_H_
