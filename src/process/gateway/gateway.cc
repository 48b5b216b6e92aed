#include "src/process/gateway/gateway.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "src/process/gateway/crash_news_wire.h"
#include "src/process/gateway/directory.h"
#include "src/process/gateway/summary_wire.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr int kUnavailable = 503;
// Most requests that are logged one by one when the process stops before they
// have ended.
constexpr size_t kMaxLoggedCuts = 20;
// Share of the fleet's retry budget that the gateways use. The rest allows for
// gateways that do not know all others.
constexpr double kRetryBudgetShare = 0.85;
// Share of the saved retries that only streams whose answer has started may
// use. Targets cut running streams when they load new weights.
constexpr double kReservedForStreams = 0.3;

TargetSelectorOptions SelectorOptions(const NodeSettings& settings,
                                      const GatewayOptions& gateway) {
  TargetSelectorOptions options;
  options.late_admission = gateway.late_admission;
  options.self_ip = settings.ip;
  options.zone = settings.zone;
  options.region = settings.region;
  options.regions_of_zones = settings.regions_of_zones;
  options.version_bound = settings.version_bound;
  options.cold_factor = settings.cold_factor;
  options.cold_slack = settings.cold_slack;
  return options;
}

// The constant part of the fleet's budget is divided among `gateways`, but each
// can save up one retry; the share applies to each gateway's own requests.
double MaxSavedRetries(const NodeSettings& settings, size_t gateways) {
  return std::max(1.0, settings.retry_slack * kRetryBudgetShare /
                           static_cast<double>(std::max<size_t>(1, gateways)));
}

RetryBudgetOptions BudgetOptions(const NodeSettings& settings) {
  RetryBudgetOptions options;
  options.share = settings.retry_share * kRetryBudgetShare;
  options.max_saved = MaxSavedRetries(settings, 1);
  options.reserved_share = kReservedForStreams;
  options.base_delay = milliseconds(0);
  options.max_attempts = 4;
  return options;
}

std::array<Gauge*, kRankLevels> MakeRankHoldGauges(Metrics& metrics) {
  std::array<Gauge*, kRankLevels> gauges{};
  for (size_t i = 0; i < gauges.size(); ++i) {
    gauges[i] = &metrics.AddGauge(
        "celerypost_rank_hold",
        "How much requests of a rank are held back for higher ones, 0 to 1",
        {{"rank", std::to_string(i)}});
  }
  return gauges;
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
      notices({}),
      paces(options.paces),
      policy(MakePredictivePolicy({}, dependencies.random)),
      sizes({}),
      errors({}),
      ranks({.holds = options.rank_holds}, dependencies.random),
      callers({}),
      late({}, dependencies.random),
      promises({}, dependencies.random),
      late_responses(callers, late, promises),
      admission(*policy, sizes, errors, ranks, &late_responses),
      selector(core.view(),
               book,
               notices,
               paces,
               admission,
               dependencies.random,
               SelectorOptions(dependencies.settings, options)),
      quarantined_parts(dependencies.metrics.AddGauge(
          "celerypost_quarantined_parts",
          "Parts of prompts whose requests are not sent")),
      quarantined_requests(dependencies.metrics.AddGauge(
          "celerypost_quarantined_requests",
          "Requests, by what they ask for, that are not sent")),
      crashes(options.crashes,
              dependencies.settings.ip,
              [this](const QuarantineRecord& record, size_t crashes) {
                this->OnQuarantine(record, crashes);
              }),
      request_crashes(options.request_crashes,
                      dependencies.settings.ip,
                      [this](const QuarantineRecord& record, size_t crashes) {
                        this->OnRequestQuarantine(record, crashes);
                      }),
      budgets(BudgetOptions(dependencies.settings), dependencies.random),
      relay_metrics(dependencies.metrics),
      live_gateways(
          dependencies.metrics.AddGauge("celerypost_live_gateways",
                                        "Gateways heard, this one included")),
      size_lean(dependencies.metrics.AddGauge(
          "celerypost_size_lean",
          "How much short prompts are held back for long ones, 0 to 1")),
      rank_holds(MakeRankHoldGauges(dependencies.metrics)),
      late_waiting(dependencies.metrics.AddGauge(
          "celerypost_late_requests_waiting",
          "Requests sent to targets that cannot be on time and have not "
          "begun")),
      promised_returns(dependencies.metrics.AddGauge(
          "celerypost_promised_returns",
          "Returns promised for each new caller, 0 to 0.5")),
      leaving_targets_of_peers(
          dependencies.metrics.AddCounter("celerypost_leaving_targets_total",
                                          "Targets that said they leave",
                                          {{"source", "peer"}})),
      relay_context{dependencies.loop,
                    dependencies.log,
                    core.view(),
                    book,
                    selector,
                    errors,
                    ranks,
                    paces,
                    crashes,
                    request_crashes,
                    notices,
                    request_codec,
                    budgets,
                    relay_metrics,
                    dependencies.memory,
                    {},
                    [this](const SocketAddress& address) -> Http1Client& {
                      return this->core.ClientOf(address);
                    },
                    [this](TimePoint end) { return this->MayRunUntil(end); },
                    {},
                    &late},
      beat_timer(dependencies.loop, [this] { this->SendBeat(); }),
      crash_timer(dependencies.loop, [this] { this->ExchangeCrashNews(); }),
      stop_timer(dependencies.loop, [this] { this->CheckStop(); }),
      beats(options.beats),
      stop_policy{.grace = dependencies.settings.stop_grace,
                  .directory_ttl = dependencies.settings.max_directory_ttl} {}

Result<std::unique_ptr<Http1Server>> Gateway::Listen(
    const SocketAddress& address,
    HttpHandler handler) {
  return Http1Server::Make(this->dependencies.loop, address.ip, address.port,
                           this->dependencies.memory, std::move(handler));
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
  this->ready_server->SetLimits(kShortBodyLimits);
  auto directory =
      this->Listen(*settings.directory_address, readiness_or_directory);
  if (!directory) {
    return tl::unexpected<Failure>(directory.error());
  }
  this->directory_server = std::move(*directory);
  this->directory_server->SetLimits(kShortBodyLimits);
  this->core.OnViewChanged([this] { this->OnViewChanged(); });
  this->core.OnBeat([this](const Peer& peer) { this->OnBeat(peer); });
  auto started = this->core.Start();
  if (!started) {
    return started;
  }
  this->SendBeat();
  this->ExchangeCrashNews();
  return {};
}

void Gateway::HandleRequest(HttpRequest request,
                            const std::shared_ptr<HttpResponder>& responder) {
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
        this->core.exchange().Near(peer) && this->core.exchange().Live(peer)) {
      entries.push_back(
          {peer.beat.caller_address, RegionName(peer.beat.region),
           peer.beat.state == static_cast<int32_t>(NodeState::kReady)});
    }
  }
  for (const RegionSummary* summary :
       this->core.regions().Fresh(this->dependencies.loop.Now())) {
    for (const RegionGateway& gateway : summary->gateways) {
      entries.push_back({gateway.caller_address, summary->region,
                         gateway.state == NodeState::kReady});
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
    if (config->version != this->ranked_version) {
      this->ranked_version = config->version;
      this->ranks.SetConfig(*config);
    }
  }
  std::map<std::string, bool> known_targets;
  for (const auto& [id, target] : this->core.view().targets()) {
    known_targets[id] = true;
  }
  this->book.Forget(known_targets);
  ReviewWaitingRequests(this->relay_context);
  this->notices.Forget(this->dependencies.loop.Now());
  if (this->Ready() && !this->was_ready) {
    this->was_ready = true;
    this->dependencies.log.Info("ready",
                                "the gateway is ready to accept requests",
                                {{"config_version", config->version},
                                 {"targets", known_targets.size()}});
  }
  if (this->core.view().progress().operator_position !=
      this->announced_operator_position) {
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
                     now, beat.target_leaving,
                     beat.__isset.target_pace
                         ? std::optional(DecodePace(beat.target_pace))
                         : std::nullopt});
    return;
  }
  const bool near = this->core.exchange().Near(peer);
  const NewsScope scope = near ? NewsScope::kRegion : NewsScope::kOtherRegions;
  if (beat.__isset.crash_news) {
    this->crashes.OnNews(DecodeCrashNews(beat.crash_news), scope, now);
  }
  if (beat.__isset.request_crash_news) {
    this->request_crashes.OnNews(DecodeCrashNews(beat.request_crash_news),
                                 scope, now);
  }
  this->OnLeavingTargets(DecodeStarts(beat.leaving_targets), peer.ip);
  if (near) {
    const InstanceId instance{static_cast<uint64_t>(beat.instance)};
    const milliseconds period = GatewayBeatPeriod(
        this->options.beats, this->options.beat_period,
        1 + this->core.exchange().CountNear(NodeRole::kGateway));
    this->book.OnReport(instance, DecodeLoads(beat.loads), period, now);
    if (beat.__isset.rank_counts) {
      this->ranks.OnReport(
          instance, DecodeRankCounts(beat.rank_counts),
          now + period * TargetTrackerOptions().max_missed_reports);
    }
    this->paces.OnShared(instance, DecodePaces(beat.paces), now);
  }
  for (const wire::RegionSummary& summary : beat.summaries) {
    const RegionSummary decoded = DecodeSummary(summary);
    if (decoded.region != this->dependencies.settings.region) {
      this->OnSummary(decoded);
      this->core.regions().OnSummary(decoded, /*forward=*/!near, now);
    }
  }
}

void Gateway::OnLeavingTargets(const std::vector<TargetStartHash>& starts,
                               const std::string& peer) {
  for (const TargetStartHash start : starts) {
    if (!this->notices.OnLeaving(start, this->dependencies.loop.Now())) {
      continue;
    }
    this->leaving_targets_of_peers.Add();
    const auto& targets = this->core.view().targets();
    const auto known =
        std::find_if(targets.begin(), targets.end(), [&](const auto& item) {
          return HashTargetStart(item.second.entry) == start;
        });
    if (known != targets.end()) {
      this->dependencies.log.Info(
          "target_leaves", "the target gets no more requests",
          {{"target", known->first}, {"source", "peer"}, {"peer", peer}});
    }
  }
}

void Gateway::LogQuarantine(std::string_view kind,
                            const QuarantineRecord& record,
                            size_t crashes) {
  std::array<char, 20> part{};
  std::snprintf(part.data(), part.size(), "%016llx",
                static_cast<unsigned long long>(record.part));
  this->dependencies.log.Info(
      "quarantine",
      record.lifted ? "requests with it are sent again"
                    : "crashes targets; requests with it are not sent",
      {{"kind", kind},
       {"part_hash", std::string_view(part.data())},
       {"crashes", crashes},
       {"round", record.round},
       {"probe_in_ms", record.left.count()}});
}

void Gateway::OnRequestQuarantine(const QuarantineRecord& record,
                                  size_t crashes) {
  this->LogQuarantine("request", record, crashes);
  if (!record.lifted) {
    WithdrawRequestsWithFingerprint(this->relay_context, record.part);
  }
  this->quarantined_requests.Set(
      static_cast<double>(this->request_crashes.quarantines().parts().size()));
}

void Gateway::OnQuarantine(const QuarantineRecord& record, size_t crashes) {
  this->LogQuarantine("part", record, crashes);
  if (!record.lifted) {
    WithdrawRequests(this->relay_context, record.part);
  }
  this->quarantined_parts.Set(
      static_cast<double>(this->crashes.quarantines().parts().size()));
}

void Gateway::OnSummary(const RegionSummary& summary) {
  const TimePoint now = this->dependencies.loop.Now();
  this->OnLeavingTargets(summary.leaving_targets, summary.ip);
  this->book.OnRegionReport(summary.region, summary.loads,
                            this->options.summary_load_lifetime, now);
  if (!summary.rank_counts.empty()) {
    this->ranks.OnRegionReport(summary.region, summary.rank_counts,
                               now + this->options.summary_load_lifetime);
  }
  for (const RegionTarget& target : summary.targets) {
    this->selector.OnStagerReport(
        target.address,
        StagerReport{target.serving_version, target.loading,
                     target.loads_in ? std::optional(now + *target.loads_in)
                                     : std::nullopt,
                     now, target.leaving, target.pace});
  }
}

void Gateway::SendBeat() {
  this->size_lean.Set(this->sizes.LargestLean());
  this->late_waiting.Set(static_cast<double>(this->late.waiting()));
  this->promised_returns.Set(this->promises.LargestShare());
  const TimePoint now = this->dependencies.loop.Now();
  this->ranks.Control(now);
  const auto holds = this->ranks.LargestHolds();
  for (size_t i = 0; i < holds.size(); ++i) {
    this->rank_holds[i]->Set(holds[i]);
  }
  wire::Beat beat = this->core.MakeBeat(this->state());
  const StorePosition operator_position{beat.era, beat.operator_revision};
  const bool new_document =
      operator_position != this->announced_operator_position;
  this->announced_operator_position = operator_position;
  this->beats.Begin(new_document, now);
  if (this->beats.lists_addresses()) {
    beat.known = this->core.exchange().SampleNearAddresses(
        this->options.beats.max_addresses, this->dependencies.random);
  }
  // Stagers don't use the loads and summaries, so they get the beat before
  // these are added.
  this->core.exchange().Send(beat, [&](const BeatPeer& peer) {
    return peer.heard && peer.role == NodeRole::kStager &&
           this->beats.ShouldSendTo(peer);
  });
  beat.loads = EncodeLoads(this->book.OwnLoads());
  const std::vector<RankCounts> rank_counts = this->ranks.OwnCounts(now);
  if (!rank_counts.empty()) {
    beat.__set_rank_counts(EncodeRankCounts(rank_counts));
  }
  beat.leaving_targets = EncodeStarts(this->notices.RecentlyLeaving(now));
  this->paces.Forget(now);
  if (const auto paces = this->paces.Share(now); !paces.empty()) {
    beat.__set_paces(EncodePaces(paces));
  }
  for (const RegionSummary& summary : this->core.regions().TakeForwards()) {
    beat.summaries.push_back(EncodeSummary(summary));
  }
  this->core.exchange().Send(beat, [&](const BeatPeer& peer) {
    return (!peer.heard || peer.role == NodeRole::kGateway) &&
           this->beats.ShouldSendTo(peer);
  });
  this->SendSummary();
  this->UpdateShares();
  const milliseconds period = GatewayBeatPeriod(
      this->options.beats, this->options.beat_period,
      1 + this->core.exchange().CountNear(NodeRole::kGateway));
  this->selector.SetReportPeriod(period);
  this->beat_timer.StartOnce(period);
}

std::vector<GatewayMember> Gateway::KnownGateways() const {
  std::map<std::string, RegionName> regions;
  regions[this->dependencies.settings.ip] = this->dependencies.settings.region;
  for (const auto& [ip, node] : this->core.registered_nodes()) {
    if (node.role == NodeRole::kGateway) {
      regions[ip] = node.region;
    }
  }
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
        this->core.exchange().Live(peer)) {
      regions[ip] = RegionName(peer.beat.region);
    }
  }
  for (const RegionSummary* summary :
       this->core.regions().Fresh(this->dependencies.loop.Now())) {
    for (const RegionGateway& gateway : summary->gateways) {
      regions[gateway.ip] = summary->region;
    }
  }
  std::vector<GatewayMember> members;
  members.reserve(regions.size());
  for (const auto& [ip, region] : regions) {
    members.push_back({ip, region});
  }
  return members;
}

void Gateway::UpdateShares() {
  std::vector<GatewayMember> members = this->KnownGateways();
  this->live_gateways.Set(static_cast<double>(members.size()));
  this->budgets.SetMaxSaved(
      MaxSavedRetries(this->dependencies.settings, members.size()));
  std::vector<std::string> addresses;
  addresses.reserve(members.size());
  for (const GatewayMember& member : members) {
    addresses.push_back(member.ip);
  }
  this->request_crashes.SetGateways(addresses);
  this->crashes.SetGateways(std::move(addresses));
  this->selector.SetGateways(std::move(members));
}

RegionSummary Gateway::MakeSummary() const {
  const TimePoint now = this->dependencies.loop.Now();
  RegionSummary summary;
  summary.region = this->dependencies.settings.region;
  summary.ip = this->dependencies.settings.ip;
  summary.documents = this->core.view().progress();
  summary.gateways.push_back(
      {this->dependencies.settings.ip,
       this->dependencies.settings.caller_address->ToString(), this->state()});
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (!this->core.exchange().Near(peer) ||
        !this->core.exchange().Live(peer)) {
      continue;
    }
    const wire::Beat& beat = peer.beat;
    if (beat.role == static_cast<int32_t>(NodeRole::kGateway)) {
      summary.gateways.push_back(
          {ip, beat.caller_address, static_cast<NodeState>(beat.state)});
      continue;
    }
    RegionTarget target{beat.target_address, beat.serving_version,
                        beat.loading,        std::nullopt,
                        beat.target_leaving, std::nullopt};
    if (beat.__isset.target_pace &&
        now - peer.heard <= this->options.far_pace_age) {
      target.pace = DecodePace(beat.target_pace);
    }
    if (beat.__isset.loads_in_ms) {
      target.loads_in =
          milliseconds(beat.loads_in_ms) -
          std::chrono::duration_cast<milliseconds>(now - peer.heard);
    }
    summary.targets.push_back(std::move(target));
  }
  summary.loads = this->book.CombinedLoads(now);
  summary.rank_counts = this->ranks.RegionCounts(now);
  summary.leaving_targets = this->notices.RecentlyLeaving(now);
  return summary;
}

std::vector<std::string> Gateway::ChooseSummaryReceivers() {
  std::map<RegionName, std::vector<std::string>> by_region;
  for (const auto& [ip, node] : this->core.registered_nodes()) {
    if (node.role == NodeRole::kGateway) {
      by_region[node.region].push_back(ip);
    }
  }
  for (const RegionSummary* summary :
       this->core.regions().Fresh(this->dependencies.loop.Now())) {
    std::vector<std::string>& addresses = by_region[summary->region];
    addresses.clear();
    for (const RegionGateway& gateway : summary->gateways) {
      addresses.push_back(gateway.ip);
    }
  }
  std::vector<std::string> receivers;
  for (const auto& [region, addresses] : by_region) {
    if (region != this->dependencies.settings.region && !addresses.empty()) {
      receivers.push_back(
          addresses[this->dependencies.random.Below(addresses.size())]);
    }
  }
  return receivers;
}

bool Gateway::SendsToOtherRegions() const {
  std::vector<InstanceId> near_gateways;
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
        peer.beat.state != static_cast<int32_t>(NodeState::kLeaving) &&
        this->core.exchange().Near(peer) && this->core.exchange().Live(peer)) {
      near_gateways.push_back(
          InstanceId{static_cast<uint64_t>(peer.beat.instance)});
    }
  }
  return SendsSummaries(this->options.summaries, this->dependencies.instance,
                        near_gateways);
}

void Gateway::SendSummary() {
  const TimePoint now = this->dependencies.loop.Now();
  if (now < this->next_summary || !this->SendsToOtherRegions()) {
    return;
  }
  wire::Beat beat = this->core.MakeBeat(this->state());
  beat.summaries.push_back(EncodeSummary(this->MakeSummary()));
  const size_t bytes =
      this->core.exchange().SendTo(beat, this->ChooseSummaryReceivers());
  this->next_summary = now + SummaryPeriod(this->options.summaries, bytes);
}

void Gateway::ExchangeCrashNews() {
  const TimePoint now = this->dependencies.loop.Now();
  this->request_crashes.Judge(now);
  this->crashes.TakeExplanations(this->request_crashes);
  this->crashes.Judge(now);
  const CrashNews news = this->crashes.TakeNews(NewsScope::kRegion, now);
  const CrashNews request_news =
      this->request_crashes.TakeNews(NewsScope::kRegion, now);
  if (!news.empty() || !request_news.empty()) {
    wire::Beat beat = this->core.MakeBeat(this->state());
    beat.loads = EncodeLoads(this->book.OwnLoads());
    SetCrashNews(news, request_news, beat);
    this->core.exchange().Send(beat, [](const BeatPeer& peer) {
      return peer.near && peer.heard && peer.role == NodeRole::kGateway;
    });
  }
  this->SendFarCrashNews();
  this->crash_timer.StartOnce(
      std::min(this->options.max_crash_news_period,
               GatewayBeatPeriod(
                   this->options.beats, this->options.beat_period,
                   1 + this->core.exchange().CountNear(NodeRole::kGateway))));
}

void Gateway::SendFarCrashNews() {
  const TimePoint now = this->dependencies.loop.Now();
  if (now < this->next_far_crash_news || !this->SendsToOtherRegions()) {
    return;
  }
  this->next_far_crash_news = now + this->options.far_crash_news_period;
  const CrashNews news = this->crashes.TakeNews(NewsScope::kOtherRegions, now);
  const CrashNews request_news =
      this->request_crashes.TakeNews(NewsScope::kOtherRegions, now);
  if (news.empty() && request_news.empty()) {
    return;
  }
  wire::Beat beat = this->core.MakeBeat(this->state());
  SetCrashNews(news, request_news, beat);
  this->core.exchange().SendTo(beat, this->ChooseSummaryReceivers());
}

void Gateway::Stop() {
  if (this->stopping_since) {
    return;
  }
  this->stopping_since = this->dependencies.loop.ArrivedAfter();
  this->dependencies.log.Info(
      "stopping", "SIGTERM received",
      {{"connections", this->caller_server->connections()},
       {"requests", this->caller_server->requests()}});
  this->caller_server->CloseAfterAnswers();
  // The gateway lives on for longer than this call takes.
  this->core.Leave([] {});
  this->SendBeat();
  this->stop_timer.StartRepeating(StopCheckInterval(this->stop_policy));
}

milliseconds Gateway::TimeSinceStop() const {
  return std::chrono::duration_cast<milliseconds>(
      this->dependencies.loop.Now() - *this->stopping_since);
}

bool Gateway::MayRunUntil(TimePoint end) const {
  return !this->stopping_since ||
         CompletesInTime(this->stop_policy, this->TimeSinceStop(),
                         std::chrono::ceil<milliseconds>(
                             end - this->dependencies.loop.Now()));
}

void Gateway::CheckStop() {
  const Http1ServerWork work = this->caller_server->work();
  const StopWork left{
      work.answering + work.unsent + work.lingering + work.receiving,
      work.idle};
  switch (NextStopStep(this->stop_policy, this->TimeSinceStop(), left)) {
    case StopStep::kContinue:
      return;
    case StopStep::kEndRequests:
      this->EndRequests();
      return;
    case StopStep::kExit:
      // After a pause of the process, the step that ends requests may not have
      // come.
      if (left.busy > 0) {
        this->EndRequests();
      }
      this->dependencies.log.Info("stopped", "graceful shutdown complete",
                                  {{"requests", work.answering},
                                   {"unsent", work.unsent},
                                   {"lingering", work.lingering},
                                   {"receiving", work.receiving},
                                   {"idle", work.idle},
                                   {"age_ms", this->TimeSinceStop().count()}});
      this->caller_server->StopListening();
      this->caller_server->CloseIdle();
      this->dependencies.loop.Stop();
      return;
  }
}

void Gateway::EndRequests() {
  const std::vector<RelayTask*> tasks(this->relay_context.active.begin(),
                                      this->relay_context.active.end());
  size_t logged = 0;
  for (RelayTask* const task : tasks) {
    if (logged++ < kMaxLoggedCuts) {
      task->LogCut();
    }
    task->EndForStop();
  }
  this->caller_server->RefusePartialRequests();
}

}  // namespace celerypost
