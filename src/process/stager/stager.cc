#include "src/process/stager/stager.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/version/json_fields.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr char kDigestsPath[] = "/v1/weights/digests";
constexpr char kChunkPath[] = "/v1/weights/chunk";
// A chunk between two stagers on links of several Mbit/s that others share.
constexpr milliseconds kChunkTimeout{3000};
constexpr milliseconds kDigestsTimeout{1500};
constexpr int kBusy = 503;
// Version of the weights that targets hold before operators name one.
constexpr int64_t kFirstVersion = 1;

// Digests as another stager lists them.
Result<ChunkDigests> DecodeDigests(const std::string& model,
                                   int64_t version,
                                   const Result<HttpResponse>& response) {
  if (!response) {
    return tl::unexpected<Failure>(response.error());
  }
  if (response->status != 200) {
    return NotRun(ErrorCode::kNotFound, "the peer has no digests");
  }
  const auto json = ParseJson(response->body, "digests");
  if (!json) {
    return tl::unexpected<Failure>(json.error());
  }
  const auto list = json->find("digests");
  if (list == json->end() || !list->is_array()) {
    return NotRun(ErrorCode::kCorrupt, "a peer's digests lack their list");
  }
  ChunkDigests digests{model, version, {}};
  for (const Json& item : *list) {
    const auto digest =
        item.is_string() ? Digest::FromHex(item.get_ref<const std::string&>())
                         : std::nullopt;
    if (!digest) {
      return NotRun(ErrorCode::kCorrupt, "a peer's digest cannot be read");
    }
    digests.digests.push_back(*digest);
  }
  if (digests.digests.empty()) {
    return NotRun(ErrorCode::kCorrupt, "a peer's list of digests is empty");
  }
  return digests;
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
    : parts(dependencies),
      target(target),
      make_origin(std::move(make_origin)),
      options(options),
      core(dependencies, NodeRole::kStager),
      random(parts.random.Next()),
      planner(StagerPlannerOptions(parts.instance, parts.settings.region),
              MakeClaimStrategy({}),
              this->random),
      switches(SwitchOptions{.zone = parts.settings.zone}, parts.instance),
      beats(options.beats),
      step_timer(parts.loop, [this] { this->Step(); }),
      beat_timer(parts.loop,
                 [this] {
                   this->beat_planned = false;
                   this->SendBeat(std::exchange(this->beat_to_all, false));
                 }),
      upload_timer(parts.loop, [this] { this->OnUploadTime(); }),
      chunks_from_peers(parts.metrics.AddCounter("celerypost_chunks_total",
                                                 "Chunks fetched by source",
                                                 {{"source", "peer"}})),
      chunks_from_origin(parts.metrics.AddCounter("celerypost_chunks_total",
                                                  "Chunks fetched by source",
                                                  {{"source", "origin"}})),
      chunks_bad(parts.metrics.AddCounter("celerypost_chunks_bad_total",
                                          "Chunks with a wrong digest")),
      orders(parts.metrics.AddCounter("celerypost_orders_total",
                                      "Orders to load weights")) {}

Result<void> Stager::Start() {
  this->core.OnViewChanged([this] { this->UpdateGoal(); });
  this->core.OnBeat([this](const Peer& peer) { this->OnBeat(peer); });
  this->core.OnInternalRequest(
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder) {
        return this->HandleInternal(request, responder);
      });
  auto started = this->core.Start();
  if (started) {
    this->Step();
  }
  return started;
}

void Stager::Stop() {
  this->core.Leave();
  this->parts.log.Info("stopped", "SIGTERM received",
                       {{"serving_version", this->serving_version}});
  this->parts.loop.Stop();
}

const ServiceConfig* Stager::Service() const {
  const auto& config = this->core.view().config();
  if (!config) {
    return nullptr;
  }
  const auto found = config->services.find(this->parts.settings.target_service);
  return found == config->services.end() || !found->second.engine
             ? nullptr
             : &found->second;
}

WeightOrigin* Stager::Origin() {
  const auto& config = this->core.view().config();
  if (!config) {
    return nullptr;
  }
  for (const auto& [name, service] : config->services) {
    if (!service.weight_origin) {
      continue;
    }
    const auto address = SocketAddress::Parse(*service.weight_origin);
    if (!address) {
      this->parts.log.Warn("origin_unreadable", address.error().message);
      return nullptr;
    }
    if (this->origin_address != *service.weight_origin) {
      this->origin_address = *service.weight_origin;
      this->origin = this->make_origin(*address);
    }
    return this->origin.get();
  }
  return nullptr;
}

int64_t Stager::WantedVersion() const {
  const KnownWeights* const weights = this->core.view().Weights(this->model);
  return weights != nullptr ? weights->version() : kFirstVersion;
}

bool Stager::Serving(int64_t version) const {
  return this->serving_version >= version;
}

Digest Stager::SetDigest(int64_t version) const {
  return Digest::Of(this->model + "/" + std::to_string(version));
}

void Stager::Step() {
  const bool busy = this->goal.has_value() || this->loading;
  this->step_timer.StartOnce(busy ? this->options.busy_period
                                  : this->options.idle_period);
  if (this->Service() == nullptr) {
    return;
  }
  this->model = this->Service()->engine->model;
  this->layers = this->Service()->engine->layers;
  this->DropLapsedClaims();
  if (!this->asking_report) {
    this->asking_report = true;
    this->target.Report([this](const Result<TargetReport>& fresh) {
      this->asking_report = false;
      this->OnReport(fresh);
    });
  }
  // Beats to stagers alone do not count: gateways would take this process for
  // gone while it stages.
  if (this->parts.loop.Now() - this->last_full_beat >=
      this->options.beat_period) {
    this->BeatSoon(/*to_all=*/true);
  }
}

void Stager::OnReport(const Result<TargetReport>& fresh) {
  const int64_t before = this->serving_version;
  const bool was_loading = this->loading;
  if (!fresh) {
    if (this->report) {
      this->parts.log.Warn("target_lost", fresh.error().message,
                           {{"serving_version", before}});
    }
    this->report.reset();
    this->serving_version = 0;
    this->loading = false;
  } else {
    if (!this->report) {
      this->parts.log.Info(
          "target_found", "the target answers",
          {{"sequence", fresh->sequence}, {"models", fresh->models.size()}});
    }
    this->report = *fresh;
    this->serving_version = 0;
    for (const HeldModel& held : fresh->models) {
      const bool whole = !held.end_layer || (held.first_layer == 0 &&
                                             *held.end_layer >= this->layers);
      if (held.name == this->model && whole) {
        this->serving_version = std::max(this->serving_version, held.version);
      }
    }
    this->loading = fresh->busy;
  }
  this->switches.OnSelfServing(this->serving_version > 0);
  if (this->serving_version != before || this->loading != was_loading) {
    this->parts.log.Info("target_weights", "the target's weights changed",
                         {{"version", this->serving_version},
                          {"before", before},
                          {"loading", this->loading}});
    this->BeatSoon(/*to_all=*/true);
  }
  this->UpdateGoal();
  if (this->goal) {
    this->Fetch();
    this->MaybeOrder();
  }
}

void Stager::UpdateGoal() {
  if (this->Service() == nullptr || !this->report) {
    return;
  }
  const int64_t wanted = this->WantedVersion();
  if (this->goal && this->goal->version < wanted &&
      (this->Serving(this->goal->version) || this->loading)) {
    // What the target loads was taken when it accepted the order; its staged
    // chunks may be replaced now.
    this->goal.reset();
  }
  if (this->Serving(wanted)) {
    if (this->goal) {
      this->parts.log.Info("weights_loaded", "the target serves the weights",
                           {{"version", wanted}});
      this->goal.reset();
    }
    return;
  }
  if (this->goal && this->goal->version == wanted) {
    return;
  }
  if (this->FinishFirst()) {
    return;
  }
  if (!this->asking_digests && this->parts.loop.Now() >= this->ask_again) {
    this->AskForDigests(wanted);
  }
}

bool Stager::FinishFirst() const {
  if (!this->goal || this->goal->version <= this->serving_version) {
    return false;
  }
  const bool nearly = static_cast<double>(this->planner.chunks_held()) >=
                      this->options.finish_share *
                          static_cast<double>(this->planner.chunks_total());
  return nearly && (this->planner.complete() ||
                    this->parts.loop.Now() - this->last_progress <
                        this->options.progress_patience);
}

void Stager::AskForDigests(int64_t version) {
  const TimePoint now = this->parts.loop.Now();
  if (this->digests && this->digests->version == version &&
      this->digests->model == this->model) {
    this->SetGoal(*this->digests);
    return;
  }
  if (this->digests_wanted != version) {
    this->digests_wanted = version;
    this->digests_wanted_since = now;
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
  const DigestSource source =
      ChooseDigestSource(this->options.digest_source, this->SetDigest(version),
                         this->parts.instance, peers,
                         std::chrono::duration_cast<milliseconds>(
                             now - this->digests_wanted_since),
                         this->parts.random);
  if (source.wait) {
    return;
  }
  this->asking_digests = true;
  if (source.peer) {
    this->AskPeerForDigests(*source.peer, version);
  } else {
    this->AskOriginForDigests(version);
  }
}

void Stager::AskOriginForDigests(int64_t version) {
  WeightOrigin* const source = this->Origin();
  if (source == nullptr) {
    this->asking_digests = false;
    return;
  }
  source->Digests(this->model, version,
                  [this, version](const Result<ChunkDigests>& digests) {
                    this->OnDigests(version, digests);
                  });
}

void Stager::AskPeerForDigests(InstanceId instance, int64_t version) {
  const std::string ip = this->IpOf(instance);
  HttpRequest request;
  request.path =
      std::string(kDigestsPath) + "?version=" + std::to_string(version);
  this->digests_call =
      this->core.ClientOf(this->core.InternalAddress(ip))
          .Fetch(std::move(request), kDigestsTimeout,
                 [this, version](const Result<HttpResponse>& response) {
                   const auto call = std::move(this->digests_call);
                   this->OnDigests(
                       version, DecodeDigests(this->model, version, response));
                 });
}

void Stager::OnDigests(int64_t version, const Result<ChunkDigests>& digests) {
  this->asking_digests = false;
  if (!digests) {
    if (this->digests_failed_for != version) {
      this->digests_failed_for = version;
      this->parts.log.Warn("digests_failed", digests.error().message,
                           {{"version", version}});
    }
    this->ask_again = this->parts.loop.Now() + this->options.digests_pause;
    return;
  }
  this->digests = *digests;
  if (version == this->WantedVersion()) {
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
  const TimePoint now = this->parts.loop.Now();
  Goal next;
  next.version = digests.version;
  next.digests = std::move(digests);
  if (const KnownWeights* const weights =
          this->core.view().Weights(this->model)) {
    const auto named = weights->FirstNamedAbove(this->serving_version);
    if (named) {
      next.named_at = *named;
      next.due = *named + this->parts.settings.version_bound;
    }
  }
  this->parts.log.Info("weights_wanted", "new weights are to be staged",
                       {{"version", next.version},
                        {"chunks", next.digests.digests.size()},
                        {"serving_version", this->serving_version}});
  ChunkGoal chunks;
  chunks.set = this->SetDigest(next.version);
  chunks.whole = true;
  for (const Digest& digest : next.digests.digests) {
    ChunkRef chunk;
    chunk.digest = digest;
    chunks.chunks.push_back(chunk);
  }
  const bool first = !this->goal;
  this->goal = std::move(next);
  ++this->goal_number;
  this->fetches.clear();
  this->checked_at.reset();
  this->checking = false;
  this->planner.SetGoal(std::move(chunks), now);
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    this->NotePeer(peer);
  }
  if (first && this->serving_version == 0) {
    // A target that restarted may still have its chunks staged.
    this->check_adds = true;
    this->BeginCheck();
  }
  this->BeatSoon(/*to_all=*/false);
  this->Fetch();
}

void Stager::NotePeer(const Peer& peer) {
  const wire::Beat& beat = peer.beat;
  if (beat.role != static_cast<int32_t>(NodeRole::kStager) ||
      beat.instance == 0 || beat.model != this->model) {
    return;
  }
  const InstanceId instance{static_cast<uint64_t>(beat.instance)};
  const TimePoint now = this->parts.loop.Now();
  if (!this->core.exchange().Live(peer)) {
    this->planner.OnPeerGone(instance, now);
    this->switches.OnPeerGone(instance);
    return;
  }
  this->planner.OnPeer({instance, ZoneName(beat.zone), RegionName(beat.region)},
                       now);
  HaveAnnouncement have;
  have.set = this->SetDigest(beat.staged_version);
  have.bitmap = beat.held_chunks;
  have.fetching = beat.fetching;
  this->planner.OnHave(instance, have, now);
  PeerSwitchState state;
  state.instance = instance;
  state.zone = ZoneName(beat.zone);
  state.switched = static_cast<uint64_t>(
      std::max<int64_t>(0, beat.loading ? 0 : beat.serving_version));
  state.warm_and_serving = beat.serving_version > 0 && !beat.loading;
  this->switches.OnPeer(state);
}

void Stager::OnBeat(const Peer& peer) {
  this->NotePeer(peer);
  if (this->goal) {
    this->Fetch();
  }
}

void Stager::DropLapsedClaims() {
  if (!this->goal) {
    return;
  }
  const TimePoint now = this->parts.loop.Now();
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (!peer.beat.fetching.empty() &&
        now - peer.heard > this->options.claim_lifetime) {
      this->planner.OnClaimsLapsed(
          InstanceId{static_cast<uint64_t>(peer.beat.instance)});
    }
  }
}

void Stager::Fetch() {
  if (!this->goal || (this->checking && this->check_adds)) {
    return;
  }
  const PlannerActions actions = this->planner.Next(this->parts.loop.Now(), {});
  for (const FetchCancel& cancel : actions.cancel) {
    this->fetches.erase(cancel.digest);
  }
  for (const FetchAction& action : actions.fetch) {
    if (action.source.origin || action.crosses_regions) {
      this->beats.NoteFarNews();
      this->BeatSoon(/*to_all=*/false);
    }
    this->FetchChunk(action);
  }
}

void Stager::FetchChunk(const FetchAction& action) {
  const auto& digests = this->goal->digests.digests;
  const auto found =
      std::find(digests.begin(), digests.end(), action.chunk.digest);
  const auto number = static_cast<size_t>(found - digests.begin());
  const int64_t version = this->goal->version;
  const uint64_t number_of_goal = this->goal_number;
  if (action.source.origin) {
    WeightOrigin* const source = this->Origin();
    if (source == nullptr) {
      this->planner.OnChunk(action.chunk.digest, action.source,
                            FetchOutcome::kFailed, this->parts.loop.Now());
      return;
    }
    source->Chunk(
        this->model, version, number,
        [this, action, number_of_goal](const Result<std::string>& bytes) {
          if (number_of_goal == this->goal_number) {
            this->OnBytes(action, bytes);
          }
        });
    return;
  }
  const std::string ip = this->IpOf(action.source.peer);
  if (ip.empty()) {
    this->planner.OnPeerGone(action.source.peer, this->parts.loop.Now());
    return;
  }
  HttpRequest request;
  request.path =
      std::string(kChunkPath) + "?version=" + std::to_string(version) +
      "&number=" + std::to_string(number) + "&turn=" +
      std::to_string(
          this->switches.PeersBefore(static_cast<uint64_t>(version)));
  this->fetches[action.chunk.digest] =
      this->core.ClientOf(this->core.InternalAddress(ip))
          .Fetch(std::move(request), kChunkTimeout,
                 [this, action, number_of_goal](Result<HttpResponse> response) {
                   if (number_of_goal != this->goal_number) {
                     return;
                   }
                   // Keeps this closure alive while it runs.
                   const auto call = this->fetches.extract(action.chunk.digest);
                   if (!response) {
                     this->OnBytes(action,
                                   tl::unexpected<Failure>(response.error()));
                   } else if (response->status != 200) {
                     this->planner.OnChunk(action.chunk.digest, action.source,
                                           response->status == kBusy
                                               ? FetchOutcome::kRefused
                                               : FetchOutcome::kNotFound,
                                           this->parts.loop.Now());
                     this->Fetch();
                   } else {
                     this->OnBytes(action, std::move(response->body));
                   }
                 });
}

void Stager::OnBytes(const FetchAction& action,
                     const Result<std::string>& bytes) {
  const TimePoint now = this->parts.loop.Now();
  if (action.source.origin && bytes.has_value() != this->origin_answers) {
    this->origin_answers = bytes.has_value();
    if (bytes) {
      this->parts.log.Info("origin_found", "the origin hands out chunks again",
                           {{"address", this->origin_address}});
    } else {
      this->parts.log.Warn("origin_lost", bytes.error().message,
                           {{"address", this->origin_address},
                            {"held", this->planner.chunks_held()}});
    }
  }
  if (!bytes) {
    this->planner.OnChunk(action.chunk.digest, action.source,
                          FetchOutcome::kFailed, now);
    this->Fetch();
    return;
  }
  if (Digest::Of(*bytes) != action.chunk.digest) {
    this->chunks_bad.Add();
    this->parts.log.Warn("chunk_bad", "a chunk has another digest",
                         {{"from_origin", action.source.origin},
                          {"bytes", bytes->size()},
                          {"version", this->goal->version}});
    this->planner.OnChunk(action.chunk.digest, action.source,
                          FetchOutcome::kCorrupt, now);
    this->Fetch();
    return;
  }
  (action.source.origin ? this->chunks_from_origin : this->chunks_from_peers)
      .Add();
  const auto& digests = this->goal->digests.digests;
  const auto number = static_cast<size_t>(
      std::find(digests.begin(), digests.end(), action.chunk.digest) -
      digests.begin());
  const uint64_t number_of_goal = this->goal_number;
  this->target.PutChunk(
      this->model, number, *bytes,
      [this, action, number_of_goal](const Result<void>& put) {
        if (number_of_goal != this->goal_number) {
          return;
        }
        this->planner.OnChunk(
            action.chunk.digest, action.source,
            put ? FetchOutcome::kStored : FetchOutcome::kFailed,
            this->parts.loop.Now());
        if (!put) {
          this->parts.log.Warn("staging_failed", put.error().message);
        }
        this->last_progress = this->parts.loop.Now();
        if (action.source.origin || action.crosses_regions) {
          this->beats.NoteFarNews();
        }
        if (this->planner.complete()) {
          this->parts.log.Info("weights_staged", "every chunk is staged",
                               {{"version", this->goal->version}});
        }
        this->BeatSoon(/*to_all=*/false);
        this->Fetch();
        this->MaybeOrder();
      });
}

void Stager::BeginCheck() {
  this->checking = true;
  this->check_next = 0;
  this->checks_running = 0;
  this->check_found_bad = false;
  this->CheckNext();
}

// Reads staged chunks, a few at a time, and compares them with their digests.
void Stager::CheckNext() {
  const size_t count = this->goal->digests.digests.size();
  while (this->checks_running < this->options.checks_at_a_time &&
         this->check_next < count) {
    const size_t number = this->check_next++;
    ++this->checks_running;
    const uint64_t number_of_goal = this->goal_number;
    this->target.GetChunk(
        this->model, number,
        [this, number, number_of_goal](const Result<std::string>& bytes) {
          if (number_of_goal != this->goal_number || !this->goal) {
            return;
          }
          --this->checks_running;
          const Digest& digest = this->goal->digests.digests[number];
          const TimePoint now = this->parts.loop.Now();
          if (bytes && Digest::Of(*bytes) == digest) {
            if (this->check_adds) {
              this->planner.OnHeld(digest, now);
            }
          } else if (this->planner.Holds(digest)) {
            this->check_found_bad = true;
            this->chunks_bad.Add();
            this->parts.log.Warn(
                "staged_chunk_bad",
                "a staged chunk is missing or has another "
                "digest; fetching it again",
                {{"chunk", number}, {"version", this->goal->version}});
            this->planner.OnDropped(digest, now);
          }
          this->CheckNext();
        });
  }
  if (this->checks_running == 0 && this->check_next >= count) {
    this->OnCheckDone();
  }
}

void Stager::OnCheckDone() {
  if (!this->checking) {
    return;
  }
  this->checking = false;
  const bool added = std::exchange(this->check_adds, false);
  if (!this->check_found_bad && this->planner.complete()) {
    this->checked_at = this->parts.loop.Now();
  }
  if (added) {
    this->BeatSoon(/*to_all=*/false);
  }
  this->Fetch();
  this->MaybeOrder();
}

TimePoint Stager::PlannedOrder() const {
  if (this->serving_version == 0 || !this->goal->named_at) {
    return TimePoint::min();
  }
  const auto version = static_cast<uint64_t>(this->goal->version);
  return PlannedLoad(this->options.schedule, *this->goal->named_at,
                     this->goal->due, this->switches.PeersBefore(version),
                     this->switches.AgentsInZone());
}

void Stager::MaybeOrder() {
  const TimePoint now = this->parts.loop.Now();
  if (!this->goal || !this->planner.complete() || this->checking ||
      this->ordering || !this->report || this->report->busy ||
      now < this->order_again || now < this->PlannedOrder()) {
    return;
  }
  if (!this->checked_at ||
      now - *this->checked_at > this->options.check_lifetime) {
    this->BeginCheck();
    return;
  }
  this->ordering = true;
  this->orders.Add();
  const int64_t version = this->goal->version;
  this->parts.log.Info(
      "order", "ordering the target to load",
      {{"version", version},
       {"sequence", this->report->sequence},
       {"serving_version", this->serving_version},
       {"checked_ms_ago",
        std::chrono::duration_cast<milliseconds>(now - *this->checked_at)
            .count()}});
  this->target.Load(
      this->model, version, this->report->sequence,
      [this, version](const Result<void>& taken) {
        this->ordering = false;
        this->order_again = this->parts.loop.Now() + this->options.order_pause;
        if (!taken) {
          this->parts.log.Warn("order_failed", taken.error().message,
                               {{"version", version}});
          return;
        }
        this->loading = true;
        this->BeatSoon(/*to_all=*/true);
      });
}

HaveAnnouncement Stager::Held() const {
  if (this->goal) {
    return this->planner.Have();
  }
  HaveAnnouncement have;
  const ServiceConfig* const service = this->Service();
  if (this->serving_version == 0 || service == nullptr) {
    return have;
  }
  // What the target serves is also staged, as far as is known; chunks are
  // checked when they are passed on and when they are received.
  for (size_t i = 0; i < service->engine->chunks; ++i) {
    SetBit(have.bitmap, i);
  }
  return have;
}

void Stager::BeatSoon(bool to_all) {
  this->beat_to_all = this->beat_to_all || to_all;
  if (this->beat_planned) {
    return;
  }
  this->beat_planned = true;
  const auto since = std::chrono::duration_cast<milliseconds>(
      this->parts.loop.Now() - this->last_beat);
  const auto gap =
      this->beats.MinGap(this->core.exchange().CountNear(NodeRole::kStager));
  this->beat_timer.StartOnce(std::max(milliseconds(0), gap - since));
}

void Stager::SendBeat(bool to_all) {
  this->last_beat = this->parts.loop.Now();
  if (to_all) {
    this->last_full_beat = this->last_beat;
  }
  wire::Beat beat = this->core.MakeBeat(
      this->serving_version > 0 && !this->loading ? NodeState::kReady
                                                  : NodeState::kNotReady);
  beat.target_address = this->parts.settings.target_address->ToString();
  beat.model = this->model;
  beat.staged_version = this->StagedVersion();
  const HaveAnnouncement have = this->Held();
  beat.held_chunks = have.bitmap;
  beat.fetching = have.fetching;
  beat.digests_version = this->digests ? this->digests->version : 0;
  beat.serving_version = this->serving_version;
  if (this->goal && this->goal->named_at && this->serving_version > 0) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        this->PlannedOrder() - this->parts.loop.Now());
    beat.__set_loads_in_ms(
        static_cast<int32_t>(std::max<int64_t>(0, left.count())));
  }
  beat.loading = this->loading;
  this->beats.Begin(to_all, this->goal.has_value(), this->last_beat);
  this->core.exchange().Send(beat, [this](const BeatPeer& peer) {
    return this->beats.ShouldSendTo(peer);
  });
}

bool Stager::HandleInternal(const HttpRequest& request,
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
  Json list = Json::array();
  for (const Digest& digest : this->digests->digests) {
    list.push_back(digest.ToHex());
  }
  responder->SendJson(200, Json{{"digests", std::move(list)}}.dump());
}

// Peers whose targets load first are served first, so that some targets can
// load while others are still being staged.
void Stager::ServeChunk(Upload upload) {
  if (this->waiting_uploads.size() >= this->options.uploads.most_waiting) {
    upload.responder->SendJson(kBusy, R"({"error":{"code":"overloaded"}})");
    return;
  }
  const auto after = std::upper_bound(
      this->waiting_uploads.begin(), this->waiting_uploads.end(), upload,
      [](const Upload& a, const Upload& b) { return a.turn < b.turn; });
  this->waiting_uploads.insert(after, std::move(upload));
  this->UploadNext();
}

void Stager::UploadNext() {
  while (this->uploads < this->options.uploads.at_a_time &&
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
    ++this->uploads;
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
      this->DropChunk(upload.number);
    }
    upload.responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    --this->uploads;
    this->UploadNext();
    return;
  }
  upload.responder->Send(200, {{"content-type", "application/octet-stream"}},
                         *bytes);
  // The link still carries the chunk after it was handed to the system.
  this->upload_ends.push_back(this->parts.loop.Now() +
                              this->options.uploads.time);
  if (this->upload_ends.size() == 1) {
    this->upload_timer.StartOnce(this->options.uploads.time);
  }
}

void Stager::OnUploadTime() {
  const TimePoint now = this->parts.loop.Now();
  while (!this->upload_ends.empty() && this->upload_ends.front() <= now) {
    this->upload_ends.pop_front();
    --this->uploads;
  }
  if (!this->upload_ends.empty()) {
    this->upload_timer.StartOnce(
        std::chrono::ceil<milliseconds>(this->upload_ends.front() - now));
  }
  this->UploadNext();
}

// A staged chunk is missing or has another digest than it should.
void Stager::DropChunk(size_t number) {
  const Digest& digest = this->goal->digests.digests[number];
  if (!this->planner.Holds(digest)) {
    return;
  }
  this->chunks_bad.Add();
  this->parts.log.Warn(
      "staged_chunk_bad",
      "a staged chunk is missing or has another digest; fetching it again",
      {{"chunk", number}, {"version", this->goal->version}});
  this->planner.OnDropped(digest, this->parts.loop.Now());
}

int64_t Stager::StagedVersion() const {
  return this->goal ? this->goal->version : this->serving_version;
}

}  // namespace celerypost
