#ifndef SRC_PROCESS_GATEWAY_GATEWAY_H_
#define SRC_PROCESS_GATEWAY_GATEWAY_H_

#include <chrono>
#include <memory>

#include "src/process/gateway/directory_codec.h"
#include "src/process/gateway/relay_task.h"
#include "src/process/gateway/stop_policy.h"
#include "src/process/node_core.h"

namespace celerypost {

struct GatewayOptions {
  // Beats to the gateways of the region. A few arrive within the time of one
  // first event, so that loads are known when they matter.
  std::chrono::milliseconds beat_period{100};
  GatewayBeatOptions beats;
  // Callers are told to keep a directory answer this long.
  std::chrono::milliseconds directory_ttl{2000};
  // Gateways that a directory answer names at least and at most.
  size_t least_addresses = 2;
  size_t most_addresses = 64;
};

// The process on an entry VM: answers callers' questions for addresses, takes
// their requests and relays each to a target.
class Gateway {
 public:
  Gateway(NodeDependencies dependencies,
          const RequestCodec& request_codec,
          const DirectoryCodec& directory_codec,
          GatewayOptions options);

  // Binds all listeners. Fails with kUnavailable.
  Result<void> Start();
  // Begins a planned stop; the loop ends when it is complete.
  void Stop();

 private:
  void HandleRequest(HttpRequest request,
                     const std::shared_ptr<HttpResponder>& responder);
  void HandleFrontDesk(const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder);
  Result<std::unique_ptr<Http1Server>> Listen(const SocketAddress& address,
                                              HttpHandler handler);
  void OnViewChanged();
  void OnBeat(const Peer& peer);
  void SendBeat();
  void StopStep();
  std::chrono::milliseconds StopAge() const;
  NodeState state() const;
  bool Ready() const;

  NodeDependencies parts;
  const DirectoryCodec& directory_codec;
  GatewayOptions options;
  NodeCore core;
  TargetTracker book;
  std::unique_ptr<PlacementPolicy> policy;
  TargetSelector selector;
  RetryBudget budget;
  RelayMetrics relay_metrics;
  Gauge& live_gateways;
  RelayContext relay;
  std::unique_ptr<Http1Server> caller_server;
  std::unique_ptr<Http1Server> ready_server;
  std::unique_ptr<Http1Server> directory_server;
  Timer beat_timer;
  Timer stop_timer;
  uint64_t beats = 0;
  int64_t told_operator_revision = 0;
  StopPolicyOptions stop;
  std::optional<TimePoint> stopping_since;
  bool was_ready = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_GATEWAY_H_
