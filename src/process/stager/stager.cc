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

ChunkPlannerOptions PlannerOptions(const NodeDependencies& parts) {
  ChunkPlannerOptions options;
  options.self = parts.instance;
  options.region = parts.settings.region;
  // Two chunks in flight fill the VM's link without a queue that would hold up
  // the events of running streams, which share it.
  options.max_fetches = 3;
  options.max_fetches_per_peer = 1;
  options.max_origin_fetches = 1;
  options.max_cross_fetches = 2;
  options.timeout.initial = std::chrono::milliseconds(1500);
  options.timeout.least = std::chrono::milliseconds(700);
  options.timeout.most = std::chrono::seconds(3);
  options.blame = std::chrono::seconds(2);
  return options;
}

SwarmOptions StrategyOptions() {
  SwarmOptions options;
  // New weights are due within seconds, so an agent that makes no progress is
  // replaced within a fraction of one.
  options.takeover = std::chrono::milliseconds(600);
  options.settle = std::chrono::milliseconds(0);
  return options;
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
      planner(PlannerOptions(parts),
              MakeSwarmStrategy(StrategyOptions()),
              this->random),
      switches(SwitchOptions{parts.settings.zone, options.loading_share, 0},
               parts.instance),
      step_timer(parts.loop, [this] { this->Step(); }),
      beat_timer(parts.loop,
                 [this] {
                   this->beat_planned = false;
                   this->SendBeat(std::exchange(this->beat_to_all, false));
                 }),
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
  this->core.exchange().OnBeat([this](const Peer& peer) {
    this->OnBeat(peer);
  });
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
  const auto& config = const_cast<Stager*>(this)->core.view().config();
  if (!config) {
    return nullptr;
  }
  const auto found =
      config->services.find(this->parts.settings.target_service);
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
  const auto weights =
      const_cast<Stager*>(this)->core.view().Weights(this->model);
  return weights ? weights->version : kFirstVersion;
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
  if (!this->asking_report) {
    this->asking_report = true;
    this->target.Report([this](const Result<TargetReport>& fresh) {
      this->asking_report = false;
      this->OnReport(fresh);
    });
  }
  if (this->parts.loop.Now() - this->last_beat >= this->options.beat_period) {
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
      this->parts.log.Info("target_found", "the target answers",
                           {{"sequence", fresh->sequence},
                            {"models", fresh->models.size()}});
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
  if (!this->asking_digests) {
    this->AskForDigests(wanted);
  }
}

void Stager::AskForDigests(int64_t version) {
  this->asking_digests = true;
  const auto done = [this, version](Result<ChunkDigests> digests) {
    this->asking_digests = false;
    if (!digests) {
      this->parts.log.Warn("digests_failed", digests.error().message,
                           {{"version", version}});
      return;
    }
    if (version == this->WantedVersion()) {
      this->SetGoal(std::move(*digests));
    }
  };
  // A peer that works on the same version spares the origin the answer.
  for (const auto& [ip, peer] : this->core.exchange().peers()) {
    if (!this->core.exchange().Live(peer) ||
        peer.beat.staged_version != version ||
        peer.beat.role != static_cast<int32_t>(NodeRole::kStager) ||
        peer.beat.held_chunks.empty() || peer.beat.sequence < 0) {
      continue;
    }
    HttpRequest request;
    request.path =
        std::string(kDigestsPath) + "?version=" + std::to_string(version);
    this->fetches.push_back(
        this->core.ClientOf(this->core.InternalAddress(ip))
            .Fetch(std::move(request), kDigestsTimeout,
                   [this, version, done](const Result<HttpResponse>& response) {
                     ChunkDigests digests{this->model, version, {}};
                     if (response && response->status == 200) {
                       const auto json = ParseJson(response->body, "digests");
                       if (json && json->is_array()) {
                         for (const Json& item : *json) {
                           const auto digest =
                               item.is_string()
                                   ? Digest::FromHex(
                                         item.get_ref<const std::string&>())
                                   : std::nullopt;
                           if (digest) {
                             digests.digests.push_back(*digest);
                           }
                         }
                       }
                     }
                     if (digests.digests.empty()) {
                       WeightOrigin* const source = this->Origin();
                       if (source == nullptr) {
                         this->asking_digests = false;
                         return;
                       }
                       source->Digests(this->model, version, done);
                       return;
                     }
                     done(std::move(digests));
                   }));
    return;
  }
  WeightOrigin* const source = this->Origin();
  if (source == nullptr) {
    this->asking_digests = false;
    return;
  }
  source->Digests(this->model, version, done);
}

void Stager::SetGoal(ChunkDigests digests) {
  const TimePoint now = this->parts.loop.Now();
  Goal next;
  next.version = digests.version;
  next.digests = std::move(digests);
  const auto weights = this->core.view().Weights(this->model);
  if (weights) {
    next.due = weights->named_at + this->parts.settings.version_bound;
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
  this->planner.OnPeer(
      {instance, ZoneName(beat.zone), RegionName(beat.region)}, now);
  HaveAnnouncement have;
  have.set = this->SetDigest(beat.staged_version);
  have.bitmap = beat.held_chunks;
  this->planner.OnHave(instance, have, now);
  PeerSwitchState state;
  state.instance = instance;
  state.zone = ZoneName(beat.zone);
  state.switched = static_cast<uint64_t>(std::max<int64_t>(
      0, beat.loading ? 0 : beat.serving_version));
  state.warm_and_serving = beat.serving_version > 0 && !beat.loading;
  this->switches.OnPeer(state);
}

void Stager::OnBeat(const Peer& peer) {
  this->NotePeer(peer);
  if (this->goal) {
    this->Fetch();
  }
}

void Stager::Fetch() {
  if (!this->goal || (this->checking && this->check_adds)) {
    return;
  }
  std::erase_if(this->fetches, [](const auto& call) { return !call; });
  const PlannerActions actions =
      this->planner.Next(this->parts.loop.Now(), {});
  for (const FetchAction& action : actions.fetch) {
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
    source->Chunk(this->model, version, number,
                  [this, action, number_of_goal](
                      const Result<std::string>& bytes) {
                    if (number_of_goal == this->goal_number) {
                      this->OnBytes(action, bytes);
                    }
                  });
    return;
  }
  std::string ip;
  for (const auto& [address, peer] : this->core.exchange().peers()) {
    if (peer.beat.instance ==
        static_cast<int64_t>(action.source.peer.value)) {
      ip = address;
    }
  }
  if (ip.empty()) {
    this->planner.OnPeerGone(action.source.peer, this->parts.loop.Now());
    return;
  }
  HttpRequest request;
  request.path = std::string(kChunkPath) +
                 "?version=" + std::to_string(version) +
                 "&number=" + std::to_string(number);
  this->fetches.push_back(
      this->core.ClientOf(this->core.InternalAddress(ip))
          .Fetch(std::move(request), kChunkTimeout,
                 [this, action,
                  number_of_goal](Result<HttpResponse> response) {
                   if (number_of_goal != this->goal_number) {
                     return;
                   }
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
                 }));
}

void Stager::OnBytes(const FetchAction& action,
                     const Result<std::string>& bytes) {
  const TimePoint now = this->parts.loop.Now();
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
        this->planner.OnChunk(action.chunk.digest, action.source,
                              put ? FetchOutcome::kStored
                                  : FetchOutcome::kFailed,
                              this->parts.loop.Now());
        if (!put) {
          this->parts.log.Warn("staging_failed", put.error().message);
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
            this->parts.log.Warn("staged_chunk_bad",
                                 "a staged chunk is missing or has another "
                                 "digest; fetching it again",
                                 {{"chunk", number},
                                  {"version", this->goal->version}});
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

bool Stager::MayOrder() const {
  const TimePoint now = this->parts.loop.Now();
  if (this->serving_version == 0) {
    return true;
  }
  if (this->goal->due && now >= *this->goal->due - this->options.order_margin) {
    return true;
  }
  return this->switches.MaySwitch(static_cast<uint64_t>(this->goal->version),
                                  now);
}

void Stager::MaybeOrder() {
  const TimePoint now = this->parts.loop.Now();
  if (!this->goal || !this->planner.complete() || this->checking ||
      this->ordering || !this->report || this->report->busy ||
      now < this->order_again || !this->MayOrder()) {
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

std::string Stager::Held() const {
  if (this->goal) {
    return this->planner.Have().bitmap;
  }
  const ServiceConfig* const service = this->Service();
  if (this->serving_version == 0 || service == nullptr) {
    return {};
  }
  // What the target serves is also staged, as far as is known; chunks are
  // checked when they are passed on and when they are received.
  std::string bitmap((service->engine->chunks + 7) / 8, '\0');
  for (size_t i = 0; i < service->engine->chunks; ++i) {
    SetBit(bitmap, i);
  }
  return bitmap;
}

void Stager::BeatSoon(bool to_all) {
  this->beat_to_all = this->beat_to_all || to_all;
  if (this->beat_planned) {
    return;
  }
  this->beat_planned = true;
  const auto since = std::chrono::duration_cast<milliseconds>(
      this->parts.loop.Now() - this->last_beat);
  this->beat_timer.StartOnce(
      std::max(milliseconds(0), this->options.least_beat_gap - since));
}

void Stager::SendBeat(bool to_all) {
  this->last_beat = this->parts.loop.Now();
  wire::Beat beat = this->core.MakeBeat(
      this->serving_version > 0 && !this->loading ? NodeState::kReady
                                                  : NodeState::kNotReady);
  beat.target_address = this->parts.settings.target_address->ToString();
  beat.model = this->model;
  beat.staged_version =
      this->goal ? this->goal->version : this->serving_version;
  beat.held_chunks = this->Held();
  beat.serving_version = this->serving_version;
  beat.loading = this->loading;
  if (to_all) {
    beat.known = this->core.exchange().LiveAddresses();
  }
  this->core.exchange().Send(beat, [to_all](const Peer& peer) {
    return to_all || peer.beat.instance == 0 ||
           peer.beat.role == static_cast<int32_t>(NodeRole::kStager);
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
    this->ServeChunk(static_cast<size_t>(std::max<int64_t>(0, number)), version,
                     responder);
    return true;
  }
  return false;
}

void Stager::ServeDigests(int64_t version,
                          const std::shared_ptr<HttpResponder>& responder) {
  if (!this->goal || this->goal->version != version) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    return;
  }
  Json list = Json::array();
  for (const Digest& digest : this->goal->digests.digests) {
    list.push_back(digest.ToHex());
  }
  responder->SendJson(200, list.dump());
}

void Stager::ServeChunk(size_t number,
                        int64_t version,
                        const std::shared_ptr<HttpResponder>& responder) {
  const TimePoint now = this->parts.loop.Now();
  while (!this->upload_ends.empty() && this->upload_ends.front() <= now) {
    this->upload_ends.pop_front();
    --this->uploads;
  }
  const int64_t staged =
      this->goal ? this->goal->version : this->serving_version;
  if (staged != version) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
    return;
  }
  if (this->uploads >= this->options.most_uploads) {
    responder->SendJson(kBusy, R"({"error":{"code":"overloaded"}})");
    return;
  }
  ++this->uploads;
  this->target.GetChunk(
      this->model, number,
      [this, number, version, responder](const Result<std::string>& bytes) {
        // The link still carries the chunk for a while after it was handed to
        // the system.
        this->upload_ends.push_back(this->parts.loop.Now() +
                                    this->options.upload_time);
        const bool known = this->goal && this->goal->version == version &&
                           number < this->goal->digests.digests.size();
        if (!bytes || (known && Digest::Of(*bytes) !=
                                    this->goal->digests.digests[number])) {
          if (known && this->planner.Holds(
                           this->goal->digests.digests[number])) {
            this->chunks_bad.Add();
            this->parts.log.Warn("staged_chunk_bad",
                                 "a staged chunk is missing or has another "
                                 "digest; fetching it again",
                                 {{"chunk", number}, {"version", version}});
            this->planner.OnDropped(this->goal->digests.digests[number],
                                    this->parts.loop.Now());
          }
          responder->SendJson(404, R"({"error":{"code":"not_found"}})");
          return;
        }
        responder->Send(200, {{"content-type", "application/octet-stream"}},
                        *bytes);
      });
}

}  // namespace celerypost
