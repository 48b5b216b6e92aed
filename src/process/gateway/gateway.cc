#include "src/process/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "src/process/gateway/directory.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr int kUnavailable = 503;
constexpr milliseconds kStopStep{100};
// Part of the fleet's retry budget that gateways use, so that requests that
// targets refuse leave it unspent.
constexpr double kRetryPart = 0.7;
// Retry-After of a gateway that is about to exit: another one has room now.
constexpr milliseconds kStoppingRetry{20};

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

// The slack is divided among the gateways of a large installation; the share
// holds for each one's own requests.
RetryBudgetOptions BudgetOptions(const NodeSettings& settings) {
  constexpr double kGatewaysWithSlack = 12;
  RetryBudgetOptions options;
  options.share = settings.retry_share * kRetryPart;
  options.max_saved = settings.retry_slack * kRetryPart / kGatewaysWithSlack;
  options.base_delay = milliseconds(0);
  options.max_attempts = 4;
  return options;
}

}  // namespace

Gateway::Gateway(NodeDependencies dependencies,
                 const RequestCodec& request_codec,
                 const DirectoryCodec& directory_codec,
                 GatewayOptions options)
    : parts(dependencies),
      directory_codec(directory_codec),
      options(options),
      core(dependencies, NodeRole::kGateway),
      book({}),
      policy(MakePredictivePolicy({}, parts.random)),
      selector(core.view(), book, *policy, SelectorOptions(parts.settings)),
      budget(BudgetOptions(parts.settings), parts.random),
      relay_metrics(parts.metrics),
      live_gateways(
          parts.metrics.AddGauge("celerypost_live_gateways",
                                 "Gateways heard, this one included")),
      relay{parts.loop,
            parts.log,
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
      beat_timer(parts.loop, [this] { this->SendBeat(); }),
      stop_timer(parts.loop, [this] { this->StopStep(); }),
      stop{.grace = parts.settings.stop_grace,
           .directory_ttl = parts.settings.max_directory_ttl} {}

Result<std::unique_ptr<Http1Server>> Gateway::Listen(
    const SocketAddress& address,
    HttpHandler handler) {
  return Http1Server::Make(this->parts.loop, address.ip, address.port,
                           std::move(handler));
}

Result<void> Gateway::Start() {
  const NodeSettings& settings = this->parts.settings;
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
  const HttpHandler front_desk =
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder) {
        this->HandleFrontDesk(request, responder);
      };
  auto ready = this->Listen(*settings.ready_address, front_desk);
  if (!ready) {
    return tl::unexpected<Failure>(ready.error());
  }
  this->ready_server = std::move(*ready);
  auto directory = this->Listen(*settings.directory_address, front_desk);
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
    const auto longest =
        route != nullptr ? route->timeout : this->parts.settings.stop_grace;
    if (!TakesRequest(this->stop, this->StopAge(), longest)) {
      const CallerRequestInfo call = this->relay.codec.ReadRequest(request);
      this->parts.log.Info("request", "refused",
                           {{"status", kUnavailable},
                            {"reason", "stopping"},
                            {"age_ms", this->StopAge().count()}},
                           call.id);
      this->relay_metrics.refused.Add();
      responder->Send(kUnavailable,
                      this->relay.codec.MakeOwnHeaders(call.id, kStoppingRetry),
                      "not run: stopping\n");
      return;
    }
  }
  std::make_shared<RelayTask>(this->relay, std::move(request), responder)
      ->Start();
}

bool Gateway::Ready() const {
  return this->relay.view.config() != nullptr && !this->stopping_since;
}

NodeState Gateway::state() const {
  if (this->stopping_since) {
    return NodeState::kLeaving;
  }
  return this->Ready() ? NodeState::kReady : NodeState::kNotReady;
}

void Gateway::HandleFrontDesk(const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
  if (this->directory_codec.IsReadyCheck(request)) {
    responder->Send(this->Ready() ? 200 : kUnavailable, {}, "");
    return;
  }
  const auto region = this->directory_codec.ReadQuestion(request);
  if (!region) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    return;
  }
  std::vector<DirectoryEntry> entries;
  entries.push_back({this->parts.settings.caller_address->ToString(),
                     this->parts.settings.region, this->Ready()});
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
        this->core.exchange().Live(peer)) {
      entries.push_back(
          {peer.beat.caller_address, RegionName(peer.beat.region),
           peer.beat.state == static_cast<int32_t>(NodeState::kReady)});
    }
  }
  const auto addresses =
      ChooseGateways(entries, *region, this->options.least_addresses,
                     this->options.most_addresses);
  if (addresses.empty()) {
    responder->SendJson(kUnavailable,
                        R"({"error":{"code":"no_gateway_ready"}})");
    return;
  }
  responder->SendJson(
      200, this->directory_codec.MakeAnswer(
               addresses, std::min(this->options.directory_ttl,
                                   this->parts.settings.max_directory_ttl)));
}

void Gateway::OnViewChanged() {
  const auto& config = this->core.view().config();
  if (config) {
    this->caller_server->SetLimits(config->limits);
  }
  std::map<std::string, bool> known;
  for (const auto& [id, target] : this->core.view().targets()) {
    known[id] = true;
  }
  this->book.Forget(known);
  if (this->Ready() && !this->was_ready) {
    this->was_ready = true;
    this->parts.log.Info(
        "ready", "this gateway takes requests",
        {{"config_version", config->version}, {"targets", known.size()}});
  }
  if (this->core.view().operator_revision() != this->told_operator_revision) {
    this->SendBeat();
  }
}

void Gateway::OnBeat(const Peer& peer) {
  const wire::Beat& beat = peer.beat;
  const TimePoint now = this->parts.loop.Now();
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
  const auto period =
      this->options.beat_period *
      (this->core.exchange().Near(peer) ? 1 : this->options.beats.far_gateway);
  this->book.OnReport(InstanceId{static_cast<uint64_t>(beat.instance)},
                      std::move(loads), period, now);
}

void Gateway::SendBeat() {
  const uint64_t number = this->beats++;
  wire::Beat beat = this->core.MakeBeat(this->state());
  const bool news = beat.operator_revision != this->told_operator_revision;
  this->told_operator_revision = beat.operator_revision;
  if (number % this->options.beats.naming == 0) {
    beat.known = this->core.exchange().LiveAddresses();
  }
  // Stagers have no use for loads.
  const auto reaches = [&](const BeatPeer& peer) {
    return GatewayBeatReaches(this->options.beats, number, news, peer);
  };
  this->core.exchange().Send(beat, [&](const BeatPeer& peer) {
    return peer.heard && peer.role == NodeRole::kStager && reaches(peer);
  });
  for (const ReportedLoad& load : this->book.OwnLoads()) {
    wire::TargetLoad out;
    out.target = static_cast<int64_t>(load.target_hash);
    out.in_flight = static_cast<int32_t>(load.in_flight);
    out.waiting_tokens = static_cast<int32_t>(load.waiting_tokens);
    beat.loads.push_back(out);
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
  this->selector.SetGateways(gateways);
  this->live_gateways.Set(static_cast<double>(gateways));
  this->beat_timer.StartOnce(GatewayBeatPeriod(
      this->options.beats, this->options.beat_period,
      1 + this->core.exchange().CountNear(NodeRole::kGateway)));
}

void Gateway::Stop() {
  if (this->stopping_since) {
    return;
  }
  this->stopping_since = this->parts.loop.Now();
  this->parts.log.Info("stopping", "SIGTERM received",
                       {{"connections", this->caller_server->connections()},
                        {"requests", this->caller_server->requests()}});
  this->caller_server->CloseAfterAnswers();
  this->core.Leave();
  this->SendBeat();
  this->stop_timer.StartRepeating(kStopStep);
}

milliseconds Gateway::StopAge() const {
  return std::chrono::duration_cast<milliseconds>(this->parts.loop.Now() -
                                                  *this->stopping_since);
}

void Gateway::StopStep() {
  if (!MayExit(this->stop, this->StopAge(), this->caller_server->requests(),
               this->caller_server->connections())) {
    return;
  }
  this->caller_server->StopListening();
  this->caller_server->CloseIdle();
  this->parts.log.Info("stopped", "the planned stop is complete",
                       {{"requests", this->caller_server->requests()}});
  this->parts.loop.Stop();
}

}  // namespace celerypost
