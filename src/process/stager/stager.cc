#include "src/process/stager/stager.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/process/stager/digests_message.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr char kDigestsPath[] = "/v1/weights/digests";
constexpr char kChunkPath[] = "/v1/weights/chunk";
// Timeout of a chunk request to a peer, over a shared link of several Mbit/s.
constexpr milliseconds kChunkTimeout{3000};
constexpr milliseconds kDigestsTimeout{1500};
constexpr milliseconds kStopCheckInterval{20};
constexpr int kUnavailable = 503;
// Version of the weights that targets hold before operators have named one.
constexpr int64_t kFirstVersion = 1;

int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

int64_t ParseInteger(const std::string& text) {
  int64_t value = -1;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

Stager::Stager(NodeDependencies dependencies,
               ModelTarget& target,
               OriginFactory make_origin,
               StagerOptions options)
    : dependencies(dependencies),
      target(target),
      make_origin(std::move(make_origin)),
      options(options),
      core(dependencies, NodeRole::kStager),
      random(dependencies.random.Next()),
      chunk_planner(StagerPlannerOptions(dependencies.instance,
                                         dependencies.settings.region),
                    MakeClaimStrategy({}),
                    this->random),
      switch_planner(SwitchOptions{.zone = dependencies.settings.zone},
                     dependencies.instance),
      staged_copy(options.staged_copy, dependencies.loop.Now()),
      copy_check(
          dependencies.loop,
          target,
          options.max_concurrent_checks,
          [this](size_t number,
                 TimePoint started,
                 const Result<std::string>& bytes) {
            this->OnChunkRead(number, started, bytes);
          },
          [this] { this->OnCheckDone(); }),
      orders(dependencies.loop,
             dependencies.log,
             dependencies.metrics,
             target,
             options.orders),
      load_planner(options.schedule, options.version_choice, dependencies.log),
      beats(options.beats),
      pace_watch(options.pace),
      step_timer(dependencies.loop, [this] { this->Step(); }),
      beat_timer(dependencies.loop,
                 [this] {
                   this->beat_planned = false;
                   this->SendBeat(std::exchange(this->beat_to_all, false));
                 }),
      upload_timer(dependencies.loop, [this] { this->OnUploadTimer(); }),
      order_timer(dependencies.loop, [this] { this->MaybeOrderLoad(); }),
      stop_timer(dependencies.loop, [this] { this->CheckStop(); }),
      chunks_from_peers(
          dependencies.metrics.AddCounter("celerypost_chunks_total",
                                          "Chunks fetched by source",
                                          {{"source", "peer"}})),
      chunks_from_origin(
          dependencies.metrics.AddCounter("celerypost_chunks_total",
                                          "Chunks fetched by source",
                                          {{"source", "origin"}})),
      chunks_bad(dependencies.metrics.AddCounter("celerypost_chunks_bad_total",
                                                 "Chunks with a wrong digest")),
      corrected_digests(dependencies.metrics.AddCounter(
          "celerypost_corrected_digests_total",
          "Digests of chunks that were replaced since a source's bytes and "
          "digests disagreed with them")),
      unproven_loads(dependencies.metrics.AddCounter(
          "celerypost_unproven_loads_total",
          "Loads whose chunks had to be read again after the order was "
          "accepted")),
      disproven_loads(dependencies.metrics.AddCounter(
          "celerypost_disproven_loads_total",
          "Loads that may have taken bad chunks and were given up")) {}

Result<void> Stager::Start() {
  this->core.OnViewChanged([this] { this->UpdateGoal(); });
  this->core.OnBeat([this](const Peer& peer) { this->OnBeat(peer); });
  this->core.OnInternalRequest(
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder) {
        return this->HandleInternalRequest(request, responder);
      });
  auto started = this->core.Start();
  if (started) {
    this->Step();
  }
  return started;
}

void Stager::Stop() {
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->dependencies.log.Info("stopping", "SIGTERM received",
                              {{"serving_version", this->serving_version}});
  this->core.Leave([this] { this->lease_ended = true; });
  this->stop_timer.StartRepeating(kStopCheckInterval);
}

void Stager::CheckStop() {
  const Http1ServerWork work = this->core.internal_work();
  const bool has_unsent_output =
      !this->lease_ended || work.answering > 0 || work.unsent > 0;
  if (!this->drain_policy.ShouldExit(0, has_unsent_output,
                                     this->dependencies.loop.Now())) {
    return;
  }
  this->dependencies.log.Info("stopped", "graceful shutdown complete",
                              {{"lease_ended", this->lease_ended},
                               {"requests", work.answering},
                               {"unsent", work.unsent}});
  this->dependencies.loop.Stop();
}

const ServiceConfig* Stager::Service() const {
  const auto& config = this->core.view().config();
  if (!config) {
    return nullptr;
  }
  const auto found =
      config->services.find(this->dependencies.settings.target_service);
  return found == config->services.end() || !found->second.engine
             ? nullptr
             : &found->second;
}

const ServiceConfig* Stager::OriginService() const {
  const auto& config = this->core.view().config();
  if (!config) {
    return nullptr;
  }
  const auto found = std::find_if(
      config->services.begin(), config->services.end(),
      [](const auto& entry) { return entry.second.weight_origin.has_value(); });
  return found == config->services.end() ? nullptr : &found->second;
}

WeightOrigin* Stager::Origin() {
  const ServiceConfig* const service = this->OriginService();
  if (service == nullptr) {
    return nullptr;
  }
  const auto address = SocketAddress::Parse(*service->weight_origin);
  if (!address) {
    this->dependencies.log.Warn("origin_unreadable", address.error().message);
    return nullptr;
  }
  if (this->origin_address != *service->weight_origin) {
    this->origin_address = *service->weight_origin;
    this->origin = this->make_origin(*address);
  }
  return this->origin.get();
}

int64_t Stager::WantedVersion() const {
  const KnownWeights* const weights = this->core.view().Weights(this->model);
  return weights != nullptr ? weights->version() : kFirstVersion;
}

bool Stager::ServesAtLeast(int64_t version) const {
  return this->serving_version >= version;
}

Digest Stager::WeightSetDigest(int64_t version) const {
  return Digest::Of(this->model + "/" + std::to_string(version));
}

void Stager::Step() {
  const bool busy = this->goal.has_value() || this->loading ||
                    this->pace_watch.Varies(this->dependencies.loop.Now());
  this->step_timer.StartOnce(busy ? this->options.busy_poll_period
                                  : this->options.idle_poll_period);
  if (this->Service() == nullptr) {
    return;
  }
  this->model = this->Service()->engine->model;
  this->layers = this->Service()->engine->layers;
  this->DropExpiredClaims();
  if (!this->report_requested) {
    this->report_requested = true;
    this->target.GetReport([this, asked_at = this->dependencies.loop.Now()](
                               const Result<TargetReport>& report) {
      this->report_requested = false;
      if (!report || asked_at >= this->orders.accepted_at()) {
        this->OnReport(report, asked_at);
      }
    });
  }
  // Beats to stagers alone do not count: without a beat to all, gateways would
  // consider this process dead while it is staging.
  if (this->dependencies.loop.Now() - this->last_full_beat >=
      this->options.beat_period) {
    this->ScheduleBeat(/*to_all=*/true);
  }
}

void Stager::OnReport(const Result<TargetReport>& report, TimePoint asked_at) {
  const int64_t before = this->serving_version;
  const bool was_loading = this->loading;
  const bool was_leaving = this->target_report && this->target_report->leaving;
  if (!report) {
    if (this->target_report) {
      this->dependencies.log.Warn("target_lost", report.error().message,
                                  {{"serving_version", before}});
    }
    this->target_report.reset();
    this->held_version = 0;
    this->loading = false;
  } else {
    if (!this->target_report) {
      this->dependencies.log.Info(
          "target_found", "the target answers",
          {{"sequence", report->sequence}, {"models", report->models.size()}});
    }
    this->target_report = *report;
    this->held_version = 0;
    for (const HeldModel& held : report->models) {
      const bool complete =
          !held.end_layer ||
          (held.first_layer == 0 && *held.end_layer >= this->layers);
      if (held.name == this->model && complete) {
        this->held_version = std::max(this->held_version, held.version);
      }
    }
    this->loading = report->busy;
    const LoadProof::State proof_before = this->load_proof.state();
    this->load_proof.OnReport({.held_version = this->held_version,
                               .busy = report->busy,
                               .sequence = report->sequence,
                               .asked_at = asked_at},
                              this->staged_copy, this->dependencies.loop.Now());
    this->OnLoadProofChanged(proof_before);
  }
  if (report && report->leaving && !was_leaving) {
    this->dependencies.log.Info("target_leaves",
                                "the target gets no more requests",
                                {{"source", "report"}});
    this->ScheduleBeat(/*to_all=*/true);
  }
  if (this->pace_watch.OnReport(report ? report->pace : std::nullopt,
                                this->dependencies.loop.Now())) {
    this->ScheduleBeat(/*to_all=*/true);
  }
  this->UpdateServingVersion();
  if (this->loading != was_loading && this->serving_version == before) {
    this->LogTargetWeights(before);
  }
  this->UpdateGoal();
  if (this->goal) {
    this->Fetch();
    this->MaybeOrderLoad();
  }
}

void Stager::UpdateServingVersion() {
  const int64_t before = this->serving_version;
  this->serving_version =
      this->load_proof.MayServe(this->held_version) ? this->held_version : 0;
  this->switch_planner.OnSelfServing(this->serving_version > 0);
  if (this->serving_version != before) {
    this->LogTargetWeights(before);
  }
}

void Stager::LogTargetWeights(int64_t version_before) {
  this->dependencies.log.Info("target_weights", "the target's weights changed",
                              {{"version", this->serving_version},
                               {"held_version", this->held_version},
                               {"before", version_before},
                               {"loading", this->loading}});
  this->ScheduleBeat(/*to_all=*/true);
}

void Stager::UpdateGoal() {
  if (this->Service() == nullptr || !this->target_report) {
    return;
  }
  const int64_t wanted = this->WantedVersion();
  if (this->goal && this->goal->version < wanted &&
      (this->ServesAtLeast(this->goal->version) ||
       (this->loading &&
        this->load_proof.state() != LoadProof::State::kVerifying))) {
    // The target took the chunks to load when it accepted the order, so the
    // staged chunks may be replaced now.
    this->DropGoal();
  }
  if (this->ServesAtLeast(wanted)) {
    if (this->goal) {
      this->dependencies.log.Info("weights_loaded",
                                  "the target serves the weights",
                                  {{"version", wanted}});
      this->DropGoal();
    }
    return;
  }
  if (this->goal && this->goal->version == wanted) {
    return;
  }
  if (this->ShouldFinishGoalFirst()) {
    return;
  }
  if (!this->digests_requested &&
      this->dependencies.loop.Now() >= this->next_digests_request) {
    this->AskForDigests(wanted);
  }
}

bool Stager::ShouldFinishGoalFirst() {
  if (!this->goal || this->goal->version <= this->serving_version) {
    return false;
  }
  return this->CopyIsBeingLoaded() ||
         this->load_planner.CompletesCurrent(this->FactsOfLoad(),
                                             this->dependencies.loop.Now());
}

bool Stager::CopyIsBeingLoaded() const {
  return this->goal && (this->orders.in_flight() || this->loading);
}

LoadFacts Stager::FactsOfLoad() const {
  const KnownWeights* const weights = this->core.view().Weights(this->model);
  const size_t chunks = this->chunk_planner.chunks_total();
  LoadFacts facts;
  facts.version = this->goal->version;
  facts.newest_version = this->WantedVersion();
  facts.serving_version = this->serving_version;
  facts.staged_share = static_cast<double>(this->chunk_planner.chunks_held()) /
                       static_cast<double>(std::max<size_t>(1, chunks));
  facts.copy_time =
      std::chrono::ceil<milliseconds>(std::chrono::duration<double>(
          static_cast<double>(this->chunk_bytes) * static_cast<double>(chunks) /
          this->StagingRate()));
  facts.superseded_at = this->SupersededAt();
  if (weights != nullptr) {
    facts.newer_named_at = weights->FirstNamedAbove(facts.version);
  }
  facts.version_bound = this->dependencies.settings.version_bound;
  facts.rank =
      this->switch_planner.PeersBefore(static_cast<uint64_t>(facts.version));
  facts.count = this->switch_planner.AgentsInZone();
  facts.origin_available = this->origin_available;
  return facts;
}

double Stager::StagingRate() const {
  const double rate = this->dependencies.settings.link_rate;
  const ServiceConfig* const service = this->OriginService();
  return service != nullptr && service->origin_link_rate > 0
             ? std::min(rate, service->origin_link_rate)
             : rate;
}

void Stager::AskForDigests(int64_t version) {
  const TimePoint now = this->dependencies.loop.Now();
  if (this->digests && this->digests->version == version &&
      this->digests->model == this->model) {
    this->SetGoal(*this->digests);
    return;
  }
  if (this->needed_digests_version != version) {
    this->needed_digests_version = version;
    this->digests_needed_since = now;
  }
  std::vector<DigestPeer> peers;
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (peer.beat.role == static_cast<int32_t>(NodeRole::kStager) &&
        this->core.exchange().Live(peer)) {
      peers.push_back({InstanceId{static_cast<uint64_t>(peer.beat.instance)},
                       this->core.exchange().Near(peer),
                       peer.beat.digests_version == version});
    }
  }
  const DigestSource source = ChooseDigestSource(
      this->options.digest_source, this->WeightSetDigest(version),
      this->dependencies.instance, peers,
      std::chrono::duration_cast<milliseconds>(now -
                                               this->digests_needed_since),
      this->dependencies.random);
  if (source.wait) {
    return;
  }
  this->digests_requested = true;
  if (source.peer) {
    this->AskPeerForDigests(*source.peer, version);
  } else {
    this->AskOriginForDigests(version);
  }
}

void Stager::AskOriginForDigests(int64_t version) {
  WeightOrigin* const source = this->Origin();
  if (source == nullptr) {
    this->digests_requested = false;
    return;
  }
  source->GetDigests(
      this->model, version,
      [this, version](const Result<ChunkDigests>& digests) {
        this->NoteOriginAnswer(digests ? nullptr : &digests.error());
        this->OnDigests(version, digests);
      });
}

void Stager::AskPeerForDigests(InstanceId instance, int64_t version) {
  this->RequestDigests(instance, version, this->digests_call,
                       [this, version](const Result<ChunkDigests>& received) {
                         this->OnDigests(version, received);
                       });
}

void Stager::RequestDigests(InstanceId peer,
                            int64_t version,
                            std::unique_ptr<HttpCall>& call,
                            std::function<void(Result<ChunkDigests>)> done) {
  HttpRequest request;
  request.path =
      std::string(kDigestsPath) + "?version=" + std::to_string(version);
  call = this->core.ClientOf(this->core.InternalAddress(this->IpOf(peer)))
             .Fetch(std::move(request), kDigestsTimeout,
                    [this, version, &call, done = std::move(done)](
                        const Result<HttpResponse>& response) {
                      // The call owns this closure; keep it alive until the
                      // closure returns.
                      const auto ended = std::move(call);
                      done(DecodeDigests(this->model, version, response));
                    });
}

std::string_view Stager::FindDigestsFault(const ChunkDigests& received) const {
  const ServiceConfig* const service = this->Service();
  if (service != nullptr && service->engine->chunks > 0 &&
      received.digests.size() != service->engine->chunks) {
    return "the number of digests is not the number of chunks";
  }
  return {};
}

void Stager::OnDigests(int64_t version, const Result<ChunkDigests>& digests) {
  this->digests_requested = false;
  const std::string_view fault =
      digests ? this->FindDigestsFault(*digests) : digests.error().message;
  if (!digests || !fault.empty()) {
    if (this->logged_digests_failure_version != version) {
      this->logged_digests_failure_version = version;
      this->dependencies.log.Warn("digests_failed", fault,
                                  {{"version", version}});
    }
    this->next_digests_request =
        this->dependencies.loop.Now() + this->options.digests_retry_delay;
    return;
  }
  this->digests = *digests;
  if (version == this->WantedVersion() && !this->CopyIsBeingLoaded()) {
    this->SetGoal(*digests);
  }
}

std::string Stager::IpOf(InstanceId instance) {
  for (const auto& [address, peer] : this->core.exchange().peers()) {
    if (peer.beat.instance == static_cast<int64_t>(instance.value)) {
      return address;
    }
  }
  return {};
}

void Stager::SetGoal(ChunkDigests digests) {
  const TimePoint now = this->dependencies.loop.Now();
  Goal next;
  next.version = digests.version;
  next.digests = std::move(digests);
  this->dependencies.log.Info("weights_wanted", "staging new weights",
                              {{"version", next.version},
                               {"chunks", next.digests.digests.size()},
                               {"serving_version", this->serving_version}});
  const bool first = !this->goal;
  this->goal = std::move(next);
  ++this->goal_generation;
  this->load_planner.OnGoal(now);
  this->peer_fetches.clear();
  this->staged_copy.Reset(this->goal->digests.digests.size(), now);
  // The chunks may still be staged after a restart of the target or of this
  // process.
  const bool reads_first = first && this->serving_version == 0;
  if (!reads_first) {
    const LoadProof::State proof_before = this->load_proof.state();
    this->load_proof.OnCopyInvalid();
    this->OnLoadProofChanged(proof_before);
  }
  this->checked_at.reset();
  this->copy_check.Cancel();
  this->comparing_digests = false;
  this->comparison_call.reset();
  this->chunk_planner.SetGoal(this->MakeChunkGoal(), now);
  this->UpdateFarStagers();
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    this->UpdatePeer(peer);
  }
  if (reads_first) {
    this->check_adds_chunks = true;
    this->StartCheck(this->staged_copy.NotGoodSince(now), now);
  }
  this->ScheduleBeat(/*to_all=*/false);
  this->Fetch();
}

void Stager::DropGoal() {
  this->goal.reset();
  ++this->goal_generation;
  this->copy_check.Cancel();
  this->check_adds_chunks = false;
}

ChunkGoal Stager::MakeChunkGoal() const {
  ChunkGoal chunks;
  chunks.set = this->WeightSetDigest(this->goal->version);
  chunks.all_chunks_listed = true;
  for (const Digest& digest : this->goal->digests.digests) {
    ChunkRef chunk;
    chunk.digest = digest;
    chunks.chunks.push_back(chunk);
  }
  return chunks;
}

void Stager::UpdatePeer(const Peer& peer) {
  const wire::Beat& beat = peer.beat;
  if (beat.role != static_cast<int32_t>(NodeRole::kStager) ||
      beat.instance == 0 || beat.model != this->model) {
    return;
  }
  const InstanceId instance{static_cast<uint64_t>(beat.instance)};
  const TimePoint now = this->dependencies.loop.Now();
  if (!this->core.exchange().Live(peer)) {
    this->switch_planner.OnPeerGone(instance);
    // Stagers of other regions send beats only when they have news, so their
    // silence means nothing (UpdateFarStagers).
    if (this->core.exchange().Near(peer)) {
      this->chunk_planner.OnPeerGone(instance, now);
    }
    return;
  }
  this->chunk_planner.OnPeer(
      {instance, ZoneName(beat.zone), RegionName(beat.region)}, now);
  HaveAnnouncement have;
  have.set = this->WeightSetDigest(beat.staged_version);
  have.bitmap = beat.held_chunks;
  have.fetching = beat.fetching;
  this->chunk_planner.OnHave(instance, have, now);
  PeerSwitchState state;
  state.instance = instance;
  state.zone = ZoneName(beat.zone);
  state.switched = static_cast<uint64_t>(
      std::max<int64_t>(0, beat.loading ? 0 : beat.serving_version));
  state.warm_and_serving = beat.serving_version > 0 && !beat.loading;
  this->switch_planner.OnPeer(state);
}

void Stager::UpdateFarStagers() {
  const TimePoint now = this->dependencies.loop.Now();
  std::map<std::string, InstanceId> current;
  for (const auto& [ip, node] : this->core.registered_nodes()) {
    if (node.role == NodeRole::kStager && node.instance.value != 0 &&
        node.region != this->dependencies.settings.region) {
      current[ip] = node.instance;
      this->chunk_planner.OnPeer({node.instance, node.zone, node.region}, now);
    }
  }
  for (const auto& [ip, instance] : this->far_stagers) {
    const auto found = current.find(ip);
    if (found == current.end() || found->second != instance) {
      this->chunk_planner.OnPeerGone(instance, now);
    }
  }
  this->far_stagers = std::move(current);
}

std::vector<std::string> Stager::FarNewsReceivers() const {
  if (!this->goal || this->goal->digests.digests.empty()) {
    return {};
  }
  std::vector<FetchMember> members{
      {this->dependencies.instance, this->dependencies.settings.region}};
  for (const auto& [ip, node] : this->core.registered_nodes()) {
    if (node.role == NodeRole::kStager && node.instance.value != 0) {
      members.push_back({node.instance, node.region});
    }
  }
  const FetchRoles roles = AssignFetchRoles(
      ClaimOptions{}.roles, this->goal->digests.digests.front(), members);
  std::vector<std::string> receivers;
  for (const auto& [ip, instance] : this->far_stagers) {
    if (roles.NeedsFarNews(instance)) {
      receivers.push_back(ip);
    }
  }
  return receivers;
}

void Stager::OnBeat(const Peer& peer) {
  this->UpdatePeer(peer);
  if (this->goal) {
    this->Fetch();
  }
}

void Stager::DropExpiredClaims() {
  if (!this->goal) {
    return;
  }
  const TimePoint now = this->dependencies.loop.Now();
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (!peer.beat.fetching.empty() &&
        now - peer.heard > this->options.claim_lifetime) {
      this->chunk_planner.OnClaimsLapsed(
          InstanceId{static_cast<uint64_t>(peer.beat.instance)});
    }
  }
}

void Stager::Fetch() {
  if (!this->goal || (this->copy_check.running() && this->check_adds_chunks)) {
    return;
  }
  const PlannerActions actions =
      this->chunk_planner.Next(this->dependencies.loop.Now(), {});
  for (const FetchCancel& cancel : actions.cancel) {
    this->peer_fetches.erase(cancel.digest);
  }
  for (const FetchAction& action : actions.fetch) {
    if (action.source.origin || action.crosses_regions) {
      this->beats.NoteFarNews();
      this->ScheduleBeat(/*to_all=*/false);
    }
    this->FetchChunk(action);
  }
}

void Stager::FetchChunk(const FetchAction& action) {
  const size_t number = this->NumberOf(action.chunk.digest);
  const int64_t version = this->goal->version;
  const uint64_t generation = this->goal_generation;
  if (action.source.origin) {
    WeightOrigin* const source = this->Origin();
    if (source == nullptr) {
      this->chunk_planner.OnChunk(action.chunk.digest, action.source,
                                  FetchOutcome::kFailed,
                                  this->dependencies.loop.Now());
      return;
    }
    source->GetChunk(
        this->model, version, number,
        [this, action, generation](const Result<std::string>& bytes) {
          if (generation == this->goal_generation) {
            this->OnBytes(action, bytes);
          }
        });
    return;
  }
  const std::string ip = this->IpOf(action.source.peer);
  if (ip.empty()) {
    this->chunk_planner.OnPeerGone(action.source.peer,
                                   this->dependencies.loop.Now());
    return;
  }
  HttpRequest request;
  request.path =
      std::string(kChunkPath) + "?version=" + std::to_string(version) +
      "&number=" + std::to_string(number) + "&turn=" +
      std::to_string(
          this->switch_planner.PeersBefore(static_cast<uint64_t>(version)));
  this->peer_fetches[action.chunk.digest] =
      this->core.ClientOf(this->core.InternalAddress(ip))
          .Fetch(std::move(request), kChunkTimeout,
                 [this, action, generation](Result<HttpResponse> response) {
                   if (generation != this->goal_generation) {
                     return;
                   }
                   // The call owns this closure; keep it alive until the
                   // closure returns.
                   const auto call =
                       this->peer_fetches.extract(action.chunk.digest);
                   if (!response) {
                     this->OnBytes(action,
                                   tl::unexpected<Failure>(response.error()));
                   } else if (response->status != 200) {
                     this->chunk_planner.OnChunk(
                         action.chunk.digest, action.source,
                         response->status == kUnavailable
                             ? FetchOutcome::kRefused
                             : FetchOutcome::kNotFound,
                         this->dependencies.loop.Now());
                     this->Fetch();
                   } else {
                     this->OnBytes(action, std::move(response->body));
                   }
                 });
}

void Stager::NoteOriginAnswer(const Failure* failure) {
  if ((failure == nullptr) == this->origin_available) {
    return;
  }
  this->origin_available = failure == nullptr;
  if (this->origin_available) {
    this->dependencies.log.Info("origin_found", "the origin answers again",
                                {{"address", this->origin_address}});
  } else {
    this->dependencies.log.Warn("origin_lost", failure->message,
                                {{"address", this->origin_address},
                                 {"held", this->chunk_planner.chunks_held()}});
  }
}

void Stager::OnBytes(const FetchAction& action,
                     const Result<std::string>& bytes) {
  const TimePoint now = this->dependencies.loop.Now();
  if (action.source.origin) {
    this->NoteOriginAnswer(bytes ? nullptr : &bytes.error());
  }
  if (!bytes) {
    this->chunk_planner.OnChunk(action.chunk.digest, action.source,
                                FetchOutcome::kFailed, now);
    this->Fetch();
    return;
  }
  // The digests may have been corrected since the chunk was requested.
  if (!this->chunk_planner.Wants(action.chunk.digest)) {
    this->Fetch();
    return;
  }
  if (Digest::Of(*bytes) != action.chunk.digest) {
    this->OnWrongDigest(action, *bytes);
    return;
  }
  this->Stage(action, *bytes);
}

void Stager::OnWrongDigest(const FetchAction& action,
                           const std::string& bytes) {
  const TimePoint now = this->dependencies.loop.Now();
  this->chunks_bad.Add();
  this->dependencies.log.Warn("chunk_bad", "a fetched chunk has a wrong digest",
                              {{"from_origin", action.source.origin},
                               {"chunk", this->NumberOf(action.chunk.digest)},
                               {"bytes", bytes.size()},
                               {"version", this->goal->version}});
  WeightOrigin* const origin_of_chunk =
      action.source.origin ? this->Origin() : nullptr;
  const bool can_ask = action.source.origin
                           ? origin_of_chunk != nullptr
                           : !this->IpOf(action.source.peer).empty();
  if (this->comparing_digests || !can_ask) {
    this->chunk_planner.OnChunk(action.chunk.digest, action.source,
                                FetchOutcome::kRefused, now);
    this->Fetch();
    return;
  }
  this->comparing_digests = true;
  const int64_t version = this->goal->version;
  const auto compare = [this, action, bytes,
                        generation = this->goal_generation](
                           const Result<ChunkDigests>& received) {
    if (generation == this->goal_generation) {
      this->comparing_digests = false;
      this->CompareDigests(action, bytes, received);
    }
  };
  if (action.source.origin) {
    origin_of_chunk->GetDigests(this->model, version, compare);
  } else {
    this->RequestDigests(action.source.peer, version, this->comparison_call,
                         compare);
  }
}

void Stager::CompareDigests(const FetchAction& action,
                            const std::string& bytes,
                            const Result<ChunkDigests>& received) {
  const TimePoint now = this->dependencies.loop.Now();
  const size_t number = this->NumberOf(action.chunk.digest);
  std::vector<Digest>& own = this->goal->digests.digests;
  const Digest actual = Digest::Of(bytes);
  if (number == own.size() || !received ||
      received->digests.size() != own.size() ||
      received->digests[number] != actual) {
    this->chunk_planner.OnChunk(action.chunk.digest, action.source,
                                FetchOutcome::kCorrupt, now);
    this->Fetch();
    return;
  }
  size_t corrected = 0;
  for (size_t i = 0; i < own.size(); ++i) {
    // Bytes that are held prove their digest.
    if (own[i] != received->digests[i] &&
        (i == number || !this->chunk_planner.Holds(own[i]))) {
      own[i] = received->digests[i];
      this->staged_copy.OnChanged(i, now);
      ++corrected;
    }
  }
  this->corrected_digests.Add(corrected);
  this->dependencies.log.Warn(
      "digests_corrected",
      "a chunk and the digests of its source agree against those received "
      "before",
      {{"chunk", number},
       {"corrected", corrected},
       {"from_origin", action.source.origin},
       {"version", this->goal->version}});
  this->digests = this->goal->digests;
  this->checked_at.reset();
  this->chunk_planner.SetGoal(this->MakeChunkGoal(), now);
  FetchAction proven = action;
  proven.chunk.digest = actual;
  this->Stage(proven, bytes);
}

std::vector<size_t> Stager::NumbersOf(const Digest& digest) const {
  std::vector<size_t> numbers;
  const auto& known = this->goal->digests.digests;
  for (size_t i = 0; i < known.size(); ++i) {
    if (known[i] == digest) {
      numbers.push_back(i);
    }
  }
  return numbers;
}

size_t Stager::NumberOf(const Digest& digest) const {
  const auto& known = this->goal->digests.digests;
  return static_cast<size_t>(std::find(known.begin(), known.end(), digest) -
                             known.begin());
}

void Stager::Stage(const FetchAction& action, const std::string& bytes) {
  (action.source.origin ? this->chunks_from_origin : this->chunks_from_peers)
      .Add();
  this->chunk_bytes = bytes.size();
  this->StageNextNumber(std::make_shared<StagedBytes>(
      StagedBytes{action, bytes, this->NumbersOf(action.chunk.digest)}));
}

void Stager::StageNextNumber(const std::shared_ptr<StagedBytes>& staged) {
  const size_t number = staged->numbers[staged->next];
  const LoadProof::State proof_before = this->load_proof.state();
  this->load_proof.OnCopyInvalid();
  this->staged_copy.OnChanged(number, this->dependencies.loop.Now());
  ++this->running_writes;
  this->target.PutChunk(
      this->model, number, staged->bytes,
      [this, staged, number,
       generation = this->goal_generation](const Result<void>& put) {
        --this->running_writes;
        const TimePoint now = this->dependencies.loop.Now();
        if (!put && put.error().verdict != Verdict::kNotRun) {
          this->staged_copy.OnWriteUnanswered(now);
        }
        if (generation != this->goal_generation) {
          this->staged_copy.OnChanged(number, now);
          return;
        }
        if (put && ++staged->next < staged->numbers.size()) {
          this->StageNextNumber(staged);
        } else {
          this->OnStaged(staged->action, put);
        }
      });
  this->OnLoadProofChanged(proof_before);
}

void Stager::OnStaged(const FetchAction& action, const Result<void>& put) {
  this->chunk_planner.OnChunk(
      action.chunk.digest, action.source,
      put ? FetchOutcome::kStored : FetchOutcome::kFailed,
      this->dependencies.loop.Now());
  if (!put) {
    this->dependencies.log.Warn("staging_failed", put.error().message);
  }
  this->load_planner.OnProgress(this->dependencies.loop.Now());
  if (action.source.origin || action.crosses_regions) {
    this->beats.NoteFarNews();
  }
  if (this->chunk_planner.complete()) {
    this->dependencies.log.Info("weights_staged", "every chunk is staged",
                                {{"version", this->goal->version}});
  }
  this->ScheduleBeat(/*to_all=*/false);
  this->Fetch();
  this->MaybeOrderLoad();
}

void Stager::StartCheck(std::vector<size_t> numbers, TimePoint since) {
  this->valid_copies.clear();
  this->copy_check.Start(this->model, std::move(numbers), since);
}

void Stager::OnChunkRead(size_t number,
                         TimePoint started,
                         const Result<std::string>& bytes) {
  const Digest& digest = this->goal->digests.digests[number];
  if (bytes && Digest::Of(*bytes) == digest) {
    this->staged_copy.OnGood(number, started);
    this->chunk_bytes = bytes->size();
    if (this->check_adds_chunks &&
        ++this->valid_copies[digest] == this->NumbersOf(digest).size()) {
      this->chunk_planner.OnHeld(digest, this->dependencies.loop.Now());
    }
    return;
  }
  // A read that failed otherwise says nothing about the chunk.
  if (bytes || bytes.error().code == ErrorCode::kNotFound) {
    this->OnBadChunk(number);
  }
}

void Stager::OnCheckDone() {
  const bool added = std::exchange(this->check_adds_chunks, false);
  const LoadProof::State proof_before = this->load_proof.state();
  this->load_proof.OnRead(this->staged_copy);
  this->OnLoadProofChanged(proof_before);
  const bool good =
      this->chunk_planner.complete() &&
      this->staged_copy.NotGoodSince(this->copy_check.since()).empty();
  if (good) {
    this->checked_at = this->dependencies.loop.Now();
  }
  if (added) {
    this->ScheduleBeat(/*to_all=*/false);
  }
  this->Fetch();
  // A check that failed is repeated after the next report of the target.
  if (good) {
    this->MaybeOrderLoad();
  }
}

std::optional<TimePoint> Stager::SupersededAt() const {
  const KnownWeights* const weights = this->core.view().Weights(this->model);
  if (weights == nullptr) {
    return std::nullopt;
  }
  return weights->FirstNamedAbove(
      this->loading
          ? std::max(this->serving_version, this->orders.accepted_version())
          : this->serving_version);
}

TimePoint Stager::PlannedLoadTime() {
  return this->load_planner.LoadTime(this->FactsOfLoad(),
                                     this->dependencies.loop.Now());
}

void Stager::MaybeOrderLoad() {
  if (this->stopping) {
    return;
  }
  const TimePoint now = this->dependencies.loop.Now();
  if (!this->goal || this->copy_check.running() || this->orders.in_flight() ||
      this->running_writes > 0 || !this->target_report || this->ResolveLoad() ||
      !this->chunk_planner.complete() || this->target_report->busy ||
      !this->orders.MaySend()) {
    return;
  }
  const TimePoint planned = this->PlannedLoadTime();
  if (now < planned - this->options.check_lead) {
    return;
  }
  if (!this->checked_at ||
      now - *this->checked_at > this->options.check_lifetime) {
    const TimePoint since = now - this->options.check_lifetime;
    this->StartCheck(this->staged_copy.NotGoodSince(since), since);
    return;
  }
  if (now < planned) {
    this->order_timer.StartOnce(std::chrono::ceil<milliseconds>(planned - now));
    return;
  }
  this->OrderLoad();
}

LoadOrder Stager::MakeOrder(int64_t version) const {
  const ServiceConfig* const service = this->Service();
  return {this->model, version, this->target_report->sequence,
          service != nullptr && service->interruptible
              ? LoadMode::kInterrupt
              : LoadMode::kAfterRunning};
}

void Stager::OrderLoad() {
  const TimePoint now = this->dependencies.loop.Now();
  const LoadOrder order = this->MakeOrder(this->goal->version);
  const TimePoint good_since =
      this->staged_copy.GoodSince().value_or(TimePoint());
  this->dependencies.log.Info(
      "order", "ordering the target to load",
      {{"version", order.version},
       {"sequence", order.sequence},
       {"serving_version", this->serving_version},
       {"checked_ms_ago", MillisecondsBetween(*this->checked_at, now)},
       {"oldest_read_ms_ago", MillisecondsBetween(good_since, now)}});
  this->load_proof.OnOrder(order.version, order.sequence);
  this->orders.Load(
      order, [this, version = order.version, now](const Result<void>& taken) {
        this->OnLoadAnswer(version, now, taken);
      });
}

void Stager::OnLoadAnswer(int64_t version,
                          TimePoint ordered_at,
                          const Result<void>& taken) {
  const TimePoint now = this->dependencies.loop.Now();
  if (!taken) {
    if (taken.error().verdict == Verdict::kNotRun) {
      this->load_proof.OnRefused();
    }
    return;
  }
  this->loading = true;
  this->NoteOrderAccepted();
  const LoadProof::State proof_before = this->load_proof.state();
  this->load_proof.OnAccepted(this->staged_copy, now);
  this->dependencies.log.Info(
      "order_accepted", "the target loads the staged chunks",
      {{"version", version},
       {"answer_ms", MillisecondsBetween(ordered_at, now)},
       {"proven", this->load_proof.state() == LoadProof::State::kProven}});
  this->OnLoadProofChanged(proof_before);
  this->ScheduleBeat(/*to_all=*/true);
  this->MaybeOrderLoad();
}

bool Stager::ResolveLoad() {
  const TimePoint now = this->dependencies.loop.Now();
  if (this->load_proof.state() == LoadProof::State::kVerifying) {
    auto unread = this->load_proof.ChunksToRead(this->staged_copy);
    if (!unread.empty()) {
      this->StartCheck(std::move(unread), now);
    }
    return true;
  }
  if (this->load_proof.state() != LoadProof::State::kDisproven ||
      this->held_version != this->goal->version) {
    return false;
  }
  if (!this->target_report->busy && this->orders.MaySend()) {
    this->orders.Unload(this->MakeOrder(this->held_version),
                        [this](const Result<void>& taken) {
                          if (taken) {
                            this->NoteOrderAccepted();
                          }
                        });
  }
  return true;
}

void Stager::NoteOrderAccepted() {
  if (this->target_report) {
    this->target_report->busy = true;
  }
}

void Stager::OnLoadProofChanged(LoadProof::State before) {
  const LoadProof::State state = this->load_proof.state();
  if (state == before) {
    return;
  }
  const int64_t version = this->load_proof.version();
  if (state == LoadProof::State::kVerifying) {
    this->unproven_loads.Add();
    this->dependencies.log.Warn(
        "load_unproven",
        "chunks may have changed between their check and the load; the target "
        "gets no requests until they have been read again",
        {{"version", version},
         {"chunks", this->load_proof.ChunksToRead(this->staged_copy).size()}});
  } else if (state == LoadProof::State::kDisproven) {
    this->disproven_loads.Add();
    this->dependencies.log.Warn("load_disproven",
                                "the target may have loaded a bad chunk",
                                {{"version", version}});
  } else if (before == LoadProof::State::kVerifying &&
             state == LoadProof::State::kProven) {
    this->dependencies.log.Info("load_proven",
                                "the target has loaded verified chunks",
                                {{"version", version}});
  }
  this->UpdateServingVersion();
  this->UpdateGoal();
}

HaveAnnouncement Stager::HeldChunks() const {
  if (this->goal) {
    return this->chunk_planner.Have();
  }
  HaveAnnouncement have;
  const ServiceConfig* const service = this->Service();
  if (this->serving_version == 0 || service == nullptr) {
    return have;
  }
  // Assumes that everything the target serves is also staged. Peers verify the
  // chunks that they receive.
  for (size_t i = 0; i < service->engine->chunks; ++i) {
    SetBit(have.bitmap, i);
  }
  return have;
}

void Stager::ScheduleBeat(bool to_all) {
  this->beat_to_all = this->beat_to_all || to_all;
  if (this->beat_planned) {
    return;
  }
  this->beat_planned = true;
  const auto since = std::chrono::duration_cast<milliseconds>(
      this->dependencies.loop.Now() - this->last_beat);
  const auto gap =
      this->beats.MinGap(this->core.exchange().CountNear(NodeRole::kStager));
  this->beat_timer.StartOnce(std::max(milliseconds(0), gap - since));
}

void Stager::SendBeat(bool to_all) {
  this->last_beat = this->dependencies.loop.Now();
  if (to_all) {
    this->last_full_beat = this->last_beat;
  }
  wire::Beat beat = this->core.MakeBeat(
      this->serving_version > 0 && !this->loading ? NodeState::kReady
                                                  : NodeState::kNotReady);
  beat.target_address = this->dependencies.settings.target_address->ToString();
  beat.model = this->model;
  beat.staged_version = this->StagedVersion();
  const HaveAnnouncement have = this->HeldChunks();
  beat.held_chunks = have.bitmap;
  beat.fetching = have.fetching;
  beat.digests_version = this->digests ? this->digests->version : 0;
  beat.serving_version = this->serving_version;
  if (this->goal && this->serving_version > 0 && this->SupersededAt() &&
      this->chunk_planner.complete()) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        this->PlannedLoadTime() - this->dependencies.loop.Now());
    beat.__set_loads_in_ms(
        static_cast<int32_t>(std::max<int64_t>(0, left.count())));
  }
  beat.loading = this->loading;
  beat.target_leaving = this->target_report && this->target_report->leaving;
  if (const auto pace = this->pace_watch.Tell(to_all)) {
    beat.__set_target_pace(*pace);
  }
  this->beats.Begin(to_all, this->goal.has_value(), this->last_beat);
  this->core.exchange().Send(beat, [this](const BeatPeer& peer) {
    return this->beats.ShouldSendTo(peer);
  });
  if (this->beats.ReachesFarFetchers()) {
    this->core.exchange().SendTo(beat, this->FarNewsReceivers());
  }
}

bool Stager::HandleInternalRequest(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const auto path = PathWithoutQuery(request.path);
  const int64_t version =
      ParseInteger(FindQueryParameter(request.path, "version"));
  if (path == kDigestsPath) {
    this->ServeDigests(version, responder);
    return true;
  }
  if (path == kChunkPath) {
    const int64_t number =
        ParseInteger(FindQueryParameter(request.path, "number"));
    const int64_t turn = ParseInteger(FindQueryParameter(request.path, "turn"));
    this->ServeChunk({static_cast<size_t>(std::max<int64_t>(0, number)),
                      version, turn, responder});
    return true;
  }
  return false;
}

void Stager::ServeDigests(int64_t version,
                          const std::shared_ptr<HttpResponder>& responder) {
  if (!this->digests || this->digests->version != version) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    return;
  }
  responder->SendJson(200, EncodeDigests(*this->digests));
}

// Queues an upload. Peers whose targets load first are served first, so that
// some targets can load while weights are still being staged for others.
void Stager::ServeChunk(Upload upload) {
  if (this->waiting_uploads.size() >= this->options.uploads.max_waiting) {
    upload.responder->SendJson(kUnavailable,
                               R"({"error":{"code":"overloaded"}})");
    return;
  }
  const auto after = std::upper_bound(
      this->waiting_uploads.begin(), this->waiting_uploads.end(), upload,
      [](const Upload& a, const Upload& b) { return a.turn < b.turn; });
  this->waiting_uploads.insert(after, std::move(upload));
  this->UploadNext();
}

void Stager::UploadNext() {
  while (this->active_uploads < this->options.uploads.max_concurrent &&
         !this->waiting_uploads.empty()) {
    const Upload next = this->waiting_uploads.front();
    this->waiting_uploads.pop_front();
    if (next.responder->closed()) {
      continue;
    }
    if (this->StagedVersion() != next.version) {
      next.responder->SendJson(404, R"({"error":{"code":"not_found"}})");
      continue;
    }
    ++this->active_uploads;
    this->target.GetChunk(this->model, next.number,
                          [this, next](const Result<std::string>& bytes) {
                            this->SendChunk(next, bytes);
                          });
  }
}

void Stager::SendChunk(const Upload& upload, const Result<std::string>& bytes) {
  const bool known = this->goal && this->goal->version == upload.version &&
                     upload.number < this->goal->digests.digests.size();
  if (!bytes || (known && Digest::Of(*bytes) !=
                              this->goal->digests.digests[upload.number])) {
    if (known) {
      this->OnBadChunk(upload.number);
    }
    upload.responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    --this->active_uploads;
    this->UploadNext();
    return;
  }
  upload.responder->Send(200, {{"content-type", "application/octet-stream"}},
                         *bytes);
  // The chunk still occupies the link after it was handed to the kernel.
  const milliseconds interval =
      UploadInterval(this->options.uploads, bytes->size(),
                     this->dependencies.settings.link_rate);
  this->upload_end_times.push_back(this->dependencies.loop.Now() + interval);
  if (this->upload_end_times.size() == 1) {
    this->upload_timer.StartOnce(interval);
  }
}

void Stager::OnUploadTimer() {
  const TimePoint now = this->dependencies.loop.Now();
  while (!this->upload_end_times.empty() &&
         this->upload_end_times.front() <= now) {
    this->upload_end_times.pop_front();
    --this->active_uploads;
  }
  if (!this->upload_end_times.empty()) {
    this->upload_timer.StartOnce(
        std::chrono::ceil<milliseconds>(this->upload_end_times.front() - now));
  }
  this->UploadNext();
}

void Stager::OnBadChunk(size_t number) {
  const TimePoint now = this->dependencies.loop.Now();
  const Digest& digest = this->goal->digests.digests[number];
  if (this->chunk_planner.Holds(digest)) {
    this->chunks_bad.Add();
    this->dependencies.log.Warn(
        "staged_chunk_bad",
        "a staged chunk is missing or has a wrong digest; fetching it again",
        {{"chunk", number},
         {"version", this->goal->version},
         {"check_ms",
          MillisecondsBetween(this->copy_check.started_at(), now)}});
    this->chunk_planner.OnDropped(digest, now);
  }
  const LoadProof::State proof_before = this->load_proof.state();
  this->load_proof.OnCopyInvalid();
  // May end the goal.
  this->OnLoadProofChanged(proof_before);
}

int64_t Stager::StagedVersion() const {
  return this->goal ? this->goal->version : this->serving_version;
}

}  // namespace celerypost
