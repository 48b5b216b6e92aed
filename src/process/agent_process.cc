#include "src/process/agent_process.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "src/process/build_info.h"
#include "src/process/process_http.h"
#include "src/process/roles.h"
#include "src/process/service_directory.h"
#include "src/process/state/rendezvous.h"
#include "src/version/bounded_json.h"

namespace celerypost {

namespace {

constexpr std::chrono::milliseconds kTick{20};
constexpr size_t kMaxHealthBytes = 64u << 10;
// Agents of the same service to which an agent opens connections for chunks and
// slot hand-offs. Other agents open connections to it as well, so it has about
// twice as many. Chunks still reach every agent within a few hops.
constexpr size_t kMaxServicePeers = 16;
// Shortest time that a leaving agent keeps running, so that every entry has
// learnt that it leaves and none sends work to a closed port.
constexpr std::chrono::milliseconds kMinLeaveTime{2000};

InstanceId HashStartId(std::string_view start_id) {
  return InstanceId{XXH3_64bits(start_id.data(), start_id.size()) | 1};
}

}  // namespace

AgentProcess::AgentProcess(const AgentSettings& settings,
                           std::unique_ptr<Runtime> made_runtime)
    : settings(settings),
      runtime(std::move(made_runtime)),
      target(runtime->loop, settings.target_address, HttpClientOptions{}),
      weight_random(runtime->random.Next()) {}

Result<std::unique_ptr<AgentProcess>> AgentProcess::Make(
    const AgentSettings& settings) {
  auto runtime = Runtime::Make(settings, Role::kAgent, settings.service);
  if (!runtime) {
    return tl::unexpected<Failure>(runtime.error());
  }
  // The constructor is private, so std::make_unique cannot be used.
  std::unique_ptr<AgentProcess> process(
      new AgentProcess(settings, std::move(*runtime)));
  if (const auto started = process->Start(); !started) {
    return tl::unexpected<Failure>(started.error());
  }
  return process;
}

Result<void> AgentProcess::Start() {
  Runtime& run = *this->runtime;
  WorkServiceOptions work_options;
  work_options.service = this->settings.service;
  WorkServiceHandlers work_handlers;
  work_handlers.target_alive = [this] { return this->sentinel->Check(); };
  work_handlers.on_start_id = [this](std::string_view id) {
    this->OnStartId(id);
  };
  this->work = std::make_unique<WorkService>(
      std::move(work_options), run.instance, run.loop, this->target,
      run.metrics, run.log, std::move(work_handlers));

  // The peer address is bound before any order goes to the target: the
  // operating system gives it to one agent per VM slot.
  Runtime::Handlers handlers;
  handlers.on_frame = [this](PeerConnection& from, Frame frame) {
    this->OnFrame(from, std::move(frame));
  };
  handlers.on_open = [this](PeerConnection& connection) {
    this->OnOpen(connection);
  };
  handlers.on_closed = [this](PeerConnection& connection) {
    this->OnClosed(connection);
  };
  handlers.on_document = [this](const VersionedDocument& document) {
    this->OnDocument(document);
  };
  handlers.on_members_changed = [this] { this->OnMembersChanged(); };
  if (const auto started = run.Start(nullptr, std::move(handlers)); !started) {
    return started;
  }
  this->hand_off =
      std::make_unique<SlotHandOff>(this->settings.service, run.instance,
                                    this->work->ledger(), *run.mesh, run.log);
  if (this->settings.target_kind == TargetKind::kEngine) {
    this->MakeWeights();
  }
  this->sentinel = std::make_unique<Sentinel>(
      run.loop, this->settings.target_address, SentinelOptions{},
      [this] { this->OnTargetOpened(); }, [this] { this->OnTargetClosed(); });

  HttpServerOptions http_options;
  http_options.address = this->settings.http_address.ip;
  http_options.port = this->settings.http_address.port;
  auto server = HttpServer::Make(
      run.loop, http_options,
      MakeProcessHandler(
          run.metrics,
          [this] {
            Health state;
            state.config_number = this->runtime->gossip->config().number();
            state.reason = this->FindStopReason();
            state.ready = state.reason.empty();
            return state;
          },
          HttpHandler()));
  if (!server) {
    return tl::unexpected<Failure>(server.error());
  }
  this->http_server = std::move(*server);
  this->tick = std::make_unique<Timer>(run.loop, [this] { this->OnTick(); });
  this->tick->StartRepeating(kTick);
  return {};
}

void AgentProcess::MakeWeights() {
  Runtime& run = *this->runtime;
  this->weights = std::make_unique<Weights>();
  Weights& components = *this->weights;
  components.engine = std::make_unique<HttpEngineClient>(
      run.loop, this->settings.target_address, HttpEngineClientOptions{});
  if (this->settings.origin_address) {
    components.origin = std::make_unique<OriginClient>(
        run.loop, *this->settings.origin_address, OriginClientOptions{});
  }
  components.store = std::make_unique<MemoryChunkStore>(
      MemoryChunkStoreOptions{this->settings.weights_memory_bytes});
  LinkPacerOptions pacer_options;
  pacer_options.link_rate =
      static_cast<double>(this->settings.link_bytes_per_second);
  pacer_options.region_rate =
      static_cast<double>(this->settings.region_link_bytes_per_second);
  components.pacer = std::make_unique<LinkPacer>(pacer_options);
  ChunkExchangeHandlers exchange_handlers;
  exchange_handlers.serve = [this](const Digest& digest, bool crosses_regions,
                                   TransferCallback done) {
    this->weights->task->ServeChunk(digest, crosses_regions, std::move(done));
  };
  exchange_handlers.on_have = [this](InstanceId peer,
                                     const HaveAnnouncement& have) {
    this->weights->task->OnHave(peer, have);
  };
  components.exchange = std::make_unique<ChunkExchange>(
      run.loop, run.identity, *run.mesh, components.origin.get(),
      std::move(exchange_handlers));
  WeightTaskOptions options;
  options.planner.self = run.instance;
  options.planner.region = this->settings.region;
  options.planner.origin_region = this->settings.origin_region;
  options.switching.zone = this->settings.zone;
  components.task = std::make_unique<WeightTask>(
      options, *components.exchange, *components.engine, *components.store,
      *components.pacer, this->weight_random,
      [this] { return this->runtime->loop.Now(); },
      [this] { this->OnWeightsChanged(); });
}

void AgentProcess::Run() {
  this->runtime->loop.OnTerminate([this] { this->Drain(); });
  this->runtime->log.Info(
      "started", "the agent is running",
      {{"commit", ThisBuild().commit}, {"sources", ThisBuild().sources}});
  this->runtime->loop.Run();
  this->runtime->log.Info("stopped",
                          "all requests have ended; the agent stops");
}

void AgentProcess::OnFrame(PeerConnection& from, Frame frame) {
  switch (frame.header.kind) {
    case wire::Kind::WORK:
    case wire::Kind::CANCEL_WORK:
      this->work->OnFrame(from.shared_from_this(), frame);
      return;
    case wire::Kind::HAND_OFF:
    case wire::Kind::HAND_OFF_DONE:
      if (this->hand_off) {
        this->hand_off->OnFrame(from, frame, this->runtime->loop.Now());
      }
      return;
    case wire::Kind::PULL_CHUNK:
    case wire::Kind::CHUNK:
    case wire::Kind::HAVE_CHUNKS:
      if (this->weights) {
        this->weights->exchange->OnFrame(from.shared_from_this(), frame);
      }
      return;
    default:
      this->runtime->log.Warn("unknown_message", "a message of unknown kind",
                              {{"kind", static_cast<int>(frame.header.kind)},
                               {"peer", from.peer().address}});
  }
}

void AgentProcess::OnOpen(PeerConnection& connection) {
  if (this->weights) {
    this->weights->exchange->OnConnected(connection);
  }
}

void AgentProcess::OnClosed(PeerConnection& connection) {
  this->work->OnConnectionClosed(connection);
  if (this->weights) {
    this->weights->exchange->OnDisconnected(connection.peer().instance);
  }
}

void AgentProcess::OnTargetOpened() {
  // Requests the start id of the process that listens now. Work is held back
  // until the sentinel and this answer agree on the target's identity.
  HttpRequest request;
  request.path = "/health";
  this->health_call = this->target.Fetch(
      std::move(request), kMaxHealthBytes, [this](Result<HttpResponse> answer) {
        if (!answer || answer->status != 200) {
          return;
        }
        const auto body =
            ParseBoundedJson(answer->body, /*ignore_comments=*/true);
        if (body.is_object() && body.contains("start_id") &&
            body["start_id"].is_string()) {
          this->OnStartId(body["start_id"].get<std::string>());
        }
      });
}

void AgentProcess::OnStartId(std::string_view id) {
  if (this->start_id != id) {
    this->runtime->log.Info("target_started",
                            "the target reported a new start id",
                            {{"start_id", id}});
    const bool known_before = !this->start_id.empty();
    this->start_id = std::string(id);
    if (known_before && this->weights) {
      this->weights->task->OnTargetRestarted();
    }
  }
  this->work->OnTargetStarted(HashStartId(id));
}

void AgentProcess::OnTargetClosed() {
  this->runtime->log.Warn("target_closed", "the target's process has ended");
  this->work->OnSentinelClosed();
  if (this->weights) {
    this->weights->task->OnTargetRestarted();
  }
}

void AgentProcess::OnWeightsChanged() {
  const WeightState& state = this->weights->task->state();
  const std::string serving_digest =
      state.serving ? state.serving->set.ToHex() : std::string();
  if (serving_digest != this->weights->serving_digest) {
    this->runtime->log.Info(
        "weights_changed",
        serving_digest.empty() ? "serves nothing" : "serves a set",
        {{"set", serving_digest},
         {"version", state.serving ? state.serving->version : std::string()},
         {"phase", WeightPhaseName(state.phase)}});
    if (!serving_digest.empty()) {
      this->work->OnSwitchCompleted();
    }
    this->weights->serving_digest = serving_digest;
  }
  if (!state.start_id.empty()) {
    this->OnStartId(state.start_id);
  }
  this->UpdateMember();
}

void AgentProcess::OnDocument(const VersionedDocument& document) {
  if (document.key == kConfigKey) {
    this->ReadManifest();
  } else {
    this->ReadSlots(document);
  }
}

void AgentProcess::ReadSlots(const VersionedDocument& document) {
  if (document.key !=
      std::string(kSlotsPrefix) + this->settings.service.value()) {
    return;
  }
  const auto table = SlotTable::Parse(document.bytes);
  if (!table) {
    this->runtime->log.Error("bad_slot_table", table.error().message);
    return;
  }
  this->work->ledger().ApplyTable(*table);
}

void AgentProcess::ReadManifest() {
  const ConfigDocument& config = this->runtime->gossip->config().Current();
  const auto manifest = ManifestOf(config);
  if (!manifest) {
    return;
  }
  const ManifestService* service = manifest->Find(this->settings.service);
  this->placed =
      service != nullptr && IsPlacedIn(*service, this->settings.zone);
  if (!this->placed) {
    return;
  }
  this->work->SetLimits(service->limits);
  if (this->weights && service->set) {
    this->weights->task->SetGoal(*service->set, config.manifest_number,
                                 service->limits.min_serving);
  }
}

void AgentProcess::OnMembersChanged() {
  Runtime& run = *this->runtime;
  const Membership& members = run.gossip->membership();
  std::vector<InstanceId> present;
  for (const Member* member :
       members.Live(Role::kAgent, this->settings.service)) {
    if (member->instance != run.instance) {
      present.push_back(member->instance);
    }
  }
  std::vector<PeerEndpoint> wanted;
  for (const InstanceId instance : RendezvousSelect(
           std::to_string(run.instance.value), present, kMaxServicePeers)) {
    wanted.push_back({instance, members.Find(instance)->address});
  }
  run.mesh->SetWanted("service", wanted);
  if (!this->weights) {
    return;
  }
  uint32_t in_region = 1;
  for (const InstanceId instance : present) {
    const Member* member = members.Find(instance);
    in_region += member->region == this->settings.region ? 1 : 0;
    this->weights->task->OnPeer(
        {member->instance, member->zone, member->region});
    this->weights->task->OnPeerSwitch(
        {member->instance, member->zone,
         static_cast<uint64_t>(std::max<int64_t>(member->switched, 0)),
         member->warm && !member->serving.empty()});
  }
  // All agents of the region share its link.
  this->weights->pacer->SetRegionRate(
      static_cast<double>(this->settings.region_link_bytes_per_second) /
          in_region,
      run.loop.Now());
  for (const InstanceId peer : this->chunk_peers) {
    if (std::find(present.begin(), present.end(), peer) == present.end()) {
      this->weights->task->OnPeerGone(peer);
    }
  }
  this->chunk_peers = std::move(present);
}

std::string AgentProcess::FindStopReason() const {
  const ConfigDocument& config = this->runtime->gossip->config().Current();
  if (this->leaving) {
    return "the agent is leaving";
  }
  if (!config.ZoneIsIn(this->settings.zone)) {
    return "the availability zone is out";
  }
  if (!this->placed) {
    return "the manifest does not place the service in this zone";
  }
  if (!this->runtime->gossip->MayGiveNewWork()) {
    return "the agent has no current configuration";
  }
  if (this->start_id.empty()) {
    return "the target has not answered yet";
  }
  if (this->weights && !this->weights->task->state().serving) {
    return "the target serves no verified weights";
  }
  return "";
}

std::vector<InstanceId> AgentProcess::HandOffCandidates() const {
  const GossipTask& gossip = *this->runtime->gossip;
  std::vector<InstanceId> candidates;
  for (const Member* member :
       gossip.membership().Live(Role::kAgent, this->settings.service)) {
    if (gossip.config().Current().ZoneIsIn(member->zone)) {
      candidates.push_back(member->instance);
    }
  }
  return candidates;
}

void AgentProcess::OnTick() {
  const std::string reason = this->FindStopReason();
  const bool was_stopped = this->work->stopped();
  const bool must_release_slots =
      this->leaving ||
      !this->runtime->gossip->config().Current().ZoneIsIn(this->settings.zone);
  const std::vector<InstanceId> candidates = must_release_slots
                                                 ? this->HandOffCandidates()
                                                 : std::vector<InstanceId>();
  // Before the hand-off, which sends the records of waiting requests as "may
  // have run".
  this->work->SetStopReason(reason, this->hand_off->HasReceiver(candidates));
  if (must_release_slots) {
    this->hand_off->Drain(candidates);
  } else if (was_stopped && reason.empty()) {
    this->hand_off->Reset();
  }
  this->work->OnTick();
  if (this->weights) {
    this->weights->pacer->OnLiveRequests(this->work->running(),
                                         this->runtime->loop.Now());
    this->weights->task->OnTick();
    this->UpdateWeightMetrics();
  }
  this->UpdateMember();
  const TimePoint now = this->runtime->loop.Now();
  const bool has_unsent_output = this->runtime->mesh->queued_bytes() > 0 ||
                                 this->http_server->requests() > 0;
  if (this->leaving && now - this->leaving_since > kMinLeaveTime &&
      this->drain_policy.ShouldExit(this->work->in_flight(), has_unsent_output,
                                    now)) {
    this->runtime->loop.Stop();
  }
}

void AgentProcess::UpdateMember() {
  const Member& self = this->runtime->gossip->membership().Self();
  const bool warm = this->work->accepts_full_load();
  std::string serving;
  int64_t switched = 0;
  if (this->weights) {
    const WeightState& state = this->weights->task->state();
    serving = state.serving ? state.serving->set.ToHex() : "";
    switched = static_cast<int64_t>(state.switched);
  }
  // Every change of the record is sent to all members, so an equal record is
  // not written again.
  if (self.warm == warm && self.serving == serving &&
      self.switched == switched) {
    return;
  }
  this->runtime->gossip->UpdateSelf([&](Member& member) {
    member.warm = warm;
    member.serving = serving;
    member.switched = switched;
  });
}

void AgentProcess::UpdateWeightMetrics() {
  const WeightState& state = this->weights->task->state();
  Metrics& metrics = this->runtime->metrics;
  metrics.AddGauge("celerypost_chunks_held", "Verified chunks of the goal.")
      .Set(static_cast<double>(state.chunks_held));
  metrics.AddGauge("celerypost_chunks_total", "Chunks of the goal.")
      .Set(static_cast<double>(state.chunks_total));
  metrics.AddGauge("celerypost_origin_bytes", "Bytes fetched from the origin.")
      .Set(static_cast<double>(state.origin_bytes));
  metrics
      .AddGauge("celerypost_corrupt_chunks",
                "Chunks received that did not have their digest.")
      .Set(static_cast<double>(state.corrupt_chunks));
}

void AgentProcess::Drain() {
  if (std::exchange(this->leaving, true)) {
    return;
  }
  this->runtime->log.Info("leaving",
                          "refuses new work, finishes running requests and "
                          "hands off its slots");
  this->leaving_since = this->runtime->loop.Now();
  this->runtime->gossip->SetLeaving();
}

int RunAgent(const AgentSettings& settings) {
  auto process = AgentProcess::Make(settings);
  if (!process) {
    fprintf(stderr, "celerypost agent: %s\n", process.error().message.c_str());
    return 1;
  }
  (*process)->Run();
  return 0;
}

}  // namespace celerypost
