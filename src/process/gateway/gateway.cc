#include "src/process/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "src/process/gateway/directory.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr int kUnavailable = 503;
constexpr milliseconds kStopCheckInterval{100};
// Share of the fleet's retry budget that the gateways use. The rest is a
// reserve, so that resends of requests that targets refused do not exhaust it.
constexpr double kRetryBudgetShare = 0.7;
// Retry-After from a gateway that is about to exit. Short, since other gateways
// can take the request at once.
constexpr milliseconds kStoppingRetryAfter{20};

TargetSelectorOptions SelectorOptions(const NodeSettings& settings) {
  TargetSelectorOptions options;
  options.zone = settings.zone;
  options.region = settings.region;
  options.regions_of_zones = settings.regions_of_zones;
  options.version_bound = settings.version_bound;
  options.cold_factor = settings.cold_factor;
  options.cold_slack = settings.cold_slack;
  return options;
}

// The constant part of the fleet's budget is divided by the number of gateways
// in a large installation; the share applies to each gateway's own requests.
RetryBudgetOptions BudgetOptions(const NodeSettings& settings) {
  constexpr double kGatewaysSharingSlack = 12;
  RetryBudgetOptions options;
  options.share = settings.retry_share * kRetryBudgetShare;
  options.max_saved =
      settings.retry_slack * kRetryBudgetShare / kGatewaysSharingSlack;
  options.base_delay = milliseconds(0);
  options.max_attempts = 4;
  return options;
}

}  // namespace

Gateway::Gateway(NodeDependencies dependencies,
                 const RequestCodec& request_codec,
                 const DirectoryCodec& directory_codec,
                 GatewayOptions options)
    : dependencies(dependencies),
      directory_codec(directory_codec),
      options(options),
      core(dependencies, NodeRole::kGateway),
      book({}),
      policy(MakePredictivePolicy({}, dependencies.random)),
      selector(core.view(),
               book,
               *policy,
               SelectorOptions(dependencies.settings)),
      budget(BudgetOptions(dependencies.settings), dependencies.random),
      relay_metrics(dependencies.metrics),
      live_gateways(
          dependencies.metrics.AddGauge("celerypost_live_gateways",
                                        "Gateways heard, this one included")),
      relay_context{dependencies.loop,
                    dependencies.log,
                    core.view(),
                    book,
                    selector,
                    request_codec,
                    budget,
                    relay_metrics,
                    {},
                    [this](const SocketAddress& address) -> Http1Client& {
                      return this->core.ClientOf(address);
                    }},
      beat_timer(dependencies.loop, [this] { this->SendBeat(); }),
      stop_timer(dependencies.loop, [this] { this->CheckStop(); }),
      stop_policy{.grace = dependencies.settings.stop_grace,
                  .directory_ttl = dependencies.settings.max_directory_ttl} {}

Result<std::unique_ptr<Http1Server>> Gateway::Listen(
    const SocketAddress& address,
    HttpHandler handler) {
  return Http1Server::Make(this->dependencies.loop, address.ip, address.port,
                           std::move(handler));
}

Result<void> Gateway::Start() {
  const NodeSettings& settings = this->dependencies.settings;
  if (!settings.caller_address || !settings.directory_address ||
      !settings.ready_address) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "a gateway needs addresses for callers, the directory and "
                  "readiness");
  }
  auto callers =
      this->Listen(*settings.caller_address,
                   [this](HttpRequest request,
                          const std::shared_ptr<HttpResponder>& responder) {
                     this->HandleRequest(std::move(request), responder);
                   });
  if (!callers) {
    return tl::unexpected<Failure>(callers.error());
  }
  this->caller_server = std::move(*callers);
  const HttpHandler readiness_or_directory =
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder) {
        this->HandleReadinessOrDirectory(request, responder);
      };
  auto ready = this->Listen(*settings.ready_address, readiness_or_directory);
  if (!ready) {
    return tl::unexpected<Failure>(ready.error());
  }
  this->ready_server = std::move(*ready);
  auto directory =
      this->Listen(*settings.directory_address, readiness_or_directory);
  if (!directory) {
    return tl::unexpected<Failure>(directory.error());
  }
  this->directory_server = std::move(*directory);
  this->core.OnViewChanged([this] { this->OnViewChanged(); });
  this->core.OnBeat([this](const Peer& peer) { this->OnBeat(peer); });
  auto started = this->core.Start();
  if (!started) {
    return started;
  }
  this->SendBeat();
  return {};
}

void Gateway::HandleRequest(HttpRequest request,
                            const std::shared_ptr<HttpResponder>& responder) {
  if (this->stopping_since) {
    const auto& config = this->core.view().config();
    const Route* const route =
        config ? config->FindRoute(FindHeader(request.headers, "host"),
                                   request.path)
               : nullptr;
    const auto max_duration = route != nullptr
                                  ? route->timeout
                                  : this->dependencies.settings.stop_grace;
    if (!AcceptsRequest(this->stop_policy, this->TimeSinceStop(),
                        max_duration)) {
      const CallerRequestInfo call =
          this->relay_context.codec.ReadRequest(request);
      this->dependencies.log.Info("request", "refused",
                                  {{"status", kUnavailable},
                                   {"reason", "stopping"},
                                   {"age_ms", this->TimeSinceStop().count()}},
                                  call.id);
      this->relay_metrics.refused.Add();
      responder->Send(kUnavailable,
                      this->relay_context.codec.MakeOwnHeaders(
                          call.id, kStoppingRetryAfter),
                      "not run: stopping\n");
      return;
    }
  }
  std::make_shared<RelayTask>(this->relay_context, std::move(request),
                              responder)
      ->Start();
}

bool Gateway::Ready() const {
  return this->relay_context.view.config() != nullptr && !this->stopping_since;
}

NodeState Gateway::state() const {
  if (this->stopping_since) {
    return NodeState::kLeaving;
  }
  return this->Ready() ? NodeState::kReady : NodeState::kNotReady;
}

void Gateway::HandleReadinessOrDirectory(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  if (this->directory_codec.IsReadyCheck(request)) {
    responder->Send(this->Ready() ? 200 : kUnavailable, {}, "");
    return;
  }
  const auto region = this->directory_codec.ParseLookup(request);
  if (!region) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    return;
  }
  std::vector<DirectoryEntry> entries;
  entries.push_back({this->dependencies.settings.caller_address->ToString(),
                     this->dependencies.settings.region, this->Ready()});
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
        this->core.exchange().Live(peer)) {
      entries.push_back(
          {peer.beat.caller_address, RegionName(peer.beat.region),
           peer.beat.state == static_cast<int32_t>(NodeState::kReady)});
    }
  }
  const auto addresses =
      ChooseGateways(entries, *region, this->options.min_addresses,
                     this->options.max_addresses);
  if (addresses.empty()) {
    responder->SendJson(kUnavailable,
                        R"({"error":{"code":"no_gateway_ready"}})");
    return;
  }
  responder->SendJson(
      200,
      this->directory_codec.MakeLookupResponse(
          addresses, std::min(this->options.directory_ttl,
                              this->dependencies.settings.max_directory_ttl)));
}

void Gateway::OnViewChanged() {
  const auto& config = this->core.view().config();
  if (config) {
    this->caller_server->SetLimits(config->limits);
  }
  std::map<std::string, bool> known_targets;
  for (const auto& [id, target] : this->core.view().targets()) {
    known_targets[id] = true;
  }
  this->book.Forget(known_targets);
  if (this->Ready() && !this->was_ready) {
    this->was_ready = true;
    this->dependencies.log.Info("ready",
                                "the gateway is ready to accept requests",
                                {{"config_version", config->version},
                                 {"targets", known_targets.size()}});
  }
  if (this->core.view().operator_revision() !=
      this->announced_operator_revision) {
    this->SendBeat();
  }
}

void Gateway::OnBeat(const Peer& peer) {
  const wire::Beat& beat = peer.beat;
  const TimePoint now = this->dependencies.loop.Now();
  if (beat.role == static_cast<int32_t>(NodeRole::kStager)) {
    this->selector.OnStagerReport(
        beat.target_address,
        StagerReport{beat.serving_version, beat.loading,
                     beat.__isset.loads_in_ms
                         ? std::optional(now + milliseconds(beat.loads_in_ms))
                         : std::nullopt,
                     now});
    return;
  }
  std::vector<ReportedLoad> loads;
  for (const wire::TargetLoad& load : beat.loads) {
    loads.push_back({static_cast<uint64_t>(load.target),
                     static_cast<uint32_t>(std::max(0, load.in_flight)),
                     static_cast<double>(load.waiting_tokens)});
  }
  const auto period = this->options.beat_period *
                      (this->core.exchange().Near(peer)
                           ? 1
                           : this->options.beats.far_gateway_period);
  this->book.OnReport(InstanceId{static_cast<uint64_t>(beat.instance)},
                      std::move(loads), period, now);
}

void Gateway::SendBeat() {
  const uint64_t beat_number = this->beats_sent++;
  wire::Beat beat = this->core.MakeBeat(this->state());
  const bool new_document =
      beat.operator_revision != this->announced_operator_revision;
  this->announced_operator_revision = beat.operator_revision;
  if (beat_number % this->options.beats.address_list_period == 0) {
    beat.known = this->core.exchange().LiveAddresses();
  }
  // Stagers don't use the loads, so they get the beat before loads are added.
  const auto reaches = [&](const BeatPeer& peer) {
    return ShouldSendGatewayBeat(this->options.beats, beat_number, new_document,
                                 peer);
  };
  this->core.exchange().Send(beat, [&](const BeatPeer& peer) {
    return peer.heard && peer.role == NodeRole::kStager && reaches(peer);
  });
  for (const ReportedLoad& load : this->book.OwnLoads()) {
    wire::TargetLoad wire_load;
    wire_load.target = static_cast<int64_t>(load.target_hash);
    wire_load.in_flight = static_cast<int32_t>(load.in_flight);
    wire_load.waiting_tokens = static_cast<int32_t>(load.waiting_tokens);
    beat.loads.push_back(wire_load);
  }
  this->core.exchange().Send(beat, [&](const BeatPeer& peer) {
    return (!peer.heard || peer.role == NodeRole::kGateway) && reaches(peer);
  });
  size_t gateways = 1;
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    gateways += peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
                        this->core.exchange().Live(peer)
                    ? 1
                    : 0;
  }
  this->selector.SetGatewayCount(gateways);
  this->live_gateways.Set(static_cast<double>(gateways));
  this->beat_timer.StartOnce(GatewayBeatPeriod(
      this->options.beats, this->options.beat_period,
      1 + this->core.exchange().CountNear(NodeRole::kGateway)));
}

void Gateway::Stop() {
  if (this->stopping_since) {
    return;
  }
  this->stopping_since = this->dependencies.loop.Now();
  this->dependencies.log.Info(
      "stopping", "SIGTERM received",
      {{"connections", this->caller_server->connections()},
       {"requests", this->caller_server->requests()}});
  this->caller_server->CloseAfterAnswers();
  this->core.Leave();
  this->SendBeat();
  this->stop_timer.StartRepeating(kStopCheckInterval);
}

milliseconds Gateway::TimeSinceStop() const {
  return std::chrono::duration_cast<milliseconds>(
      this->dependencies.loop.Now() - *this->stopping_since);
}

void Gateway::CheckStop() {
  if (!ShouldExit(this->stop_policy, this->TimeSinceStop(),
                  this->caller_server->requests(),
                  this->caller_server->connections())) {
    return;
  }
  this->caller_server->StopListening();
  this->caller_server->CloseIdle();
  this->dependencies.log.Info("stopped", "graceful shutdown complete",
                              {{"requests", this->caller_server->requests()}});
  this->dependencies.loop.Stop();
}

}  // namespace celerypost
