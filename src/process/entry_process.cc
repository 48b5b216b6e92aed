#include "src/process/entry_process.h"

#include <utility>

#include "src/process/build_info.h"
#include "src/process/process_http.h"
#include "src/process/roles.h"

namespace celerypost {

namespace {

constexpr std::chrono::milliseconds kTick{100};
// Time for the other entries to learn that this entry is leaving. Until then
// they still list it to callers.
constexpr std::chrono::milliseconds kLeaveSlack{2000};
constexpr std::chrono::milliseconds kDrainPoll{50};

// Validates `manifest` and returns the zones that its services use.
Result<std::set<ZoneName>> ValidateManifest(const nlohmann::json& manifest,
                                            const ZoneMap& known_zones) {
  std::set<ZoneName> names;
  for (const auto& [zone, region] : known_zones) {
    names.insert(zone);
  }
  const auto parsed = Manifest::Parse(manifest.dump(), names);
  if (!parsed) {
    return tl::unexpected<Failure>(parsed.error());
  }
  std::set<ZoneName> used;
  for (const ManifestService& service : parsed->services) {
    used.insert(service.zones.begin(), service.zones.end());
  }
  return used;
}

}  // namespace

EntryProcess::EntryProcess(const EntrySettings& settings,
                           std::unique_ptr<Runtime> made_runtime)
    : settings(settings),
      runtime(std::move(made_runtime)),
      key_value(runtime->loop,
                runtime->log,
                settings.key_value_address,
                EtcdClientOptions{}),
      verifier(settings.shared_key) {}

Result<std::unique_ptr<EntryProcess>> EntryProcess::Make(
    const EntrySettings& settings) {
  auto runtime = Runtime::Make(settings, Role::kEntry, ServiceName());
  if (!runtime) {
    return tl::unexpected<Failure>(runtime.error());
  }
  // The constructor is private, so std::make_unique cannot be used.
  std::unique_ptr<EntryProcess> process(
      new EntryProcess(settings, std::move(*runtime)));
  if (const auto started = process->Start(); !started) {
    return tl::unexpected<Failure>(started.error());
  }
  return process;
}

Result<void> EntryProcess::Start() {
  Runtime& run = *this->runtime;
  Runtime::Handlers handlers;
  handlers.on_frame = [this](PeerConnection& from, const Frame& frame) {
    this->forwarder->OnFrame(from, frame);
  };
  handlers.on_open = [](PeerConnection&) {};
  handlers.on_closed = [this](PeerConnection& connection) {
    if (this->forwarder) {
      this->forwarder->OnConnectionClosed(connection);
    }
  };
  handlers.on_document = [this](const VersionedDocument& document) {
    this->OnDocument(document);
  };
  handlers.on_members_changed = [this] { this->OnMembersChanged(); };
  if (const auto started = run.Start(&this->key_value, std::move(handlers));
      !started) {
    return started;
  }

  ServiceDirectoryOptions directory_options;
  directory_options.self = run.instance;
  directory_options.zone = this->settings.zone;
  directory_options.region = this->settings.region;
  this->services = std::make_unique<ServiceDirectory>(
      std::move(directory_options), *run.gossip, run.random);
  this->retry_budget =
      std::make_unique<RetryBudget>(RetryBudgetOptions{}, run.random);
  this->counters = std::unique_ptr<ForwardCounters>(new ForwardCounters{
      run.metrics.AddCounter("celerypost_entry_answered_total",
                             "Requests answered whole."),
      run.metrics.AddCounter("celerypost_entry_not_run_total",
                             "Requests refused that have not run."),
      run.metrics.AddCounter("celerypost_entry_may_have_run_total",
                             "Requests failed that may have run."),
      run.metrics.AddCounter("celerypost_entry_broken_streams_total",
                             "Answers that broke after their start."),
      run.metrics.AddCounter("celerypost_entry_retries_total",
                             "Attempts after the first."),
      run.metrics.AddHistogram("celerypost_entry_first_byte_seconds",
                               "Time to the head of the answer."),
      run.metrics.AddHistogram("celerypost_entry_request_seconds",
                               "Time to the end of the answer.")});
  this->context = std::unique_ptr<ForwardContext>(
      new ForwardContext{run.scheduler, *run.mesh, *this->services, *run.gossip,
                         run.random, *this->retry_budget, *this->counters,
                         run.log, [this] { return this->leaving; }});
  this->forwarder =
      std::make_unique<Forwarder>(ForwarderOptions{}, run.loop, *this->context);
  EntryListOptions list_options;
  list_options.max_age = this->settings.entry_max_age;
  this->entry_list = std::make_unique<EntryList>(
      list_options, run.gossip->membership(), run.gossip->config());
  this->slot_writer = std::make_unique<SlotTableWriter>(
      run.instance, *run.gossip, this->key_value, run.scheduler, run.log);
  this->commit_task = std::make_unique<CommitTask>(
      CommitOptions{}, run.scheduler, this->key_value, *run.gossip,
      ValidateManifest);
  OperatorApiOptions api_options;
  api_options.authenticate = [this](const HttpRequest& request) {
    return this->verifier.Verify(request, std::chrono::system_clock::now());
  };
  api_options.add_status = [this](nlohmann::json& status) {
    this->AddStatus(status);
  };
  api_options.on_change = [this](const ChangeRequest& change,
                                 const CommitResult& result) {
    this->runtime->log.Info("change_decided", result.message,
                            {{"change", change.id},
                             {"who", change.who},
                             {"kind", ChangeKindName(change.kind)},
                             {"outcome", CommitOutcomeName(result.outcome)},
                             {"number", result.number}});
  };
  this->operator_api = std::make_unique<OperatorApi>(
      std::move(api_options), *this->commit_task, *run.gossip);

  HttpServerOptions caller_options;
  caller_options.address = this->settings.http_address.ip;
  caller_options.port = this->settings.http_address.port;
  const auto health = [this] {
    Health state;
    state.config_number = this->runtime->gossip->config().number();
    state.ready = this->runtime->gossip->MayGiveNewWork() && !this->leaving;
    state.reason = this->leaving ? "leaving" : "no current configuration";
    return state;
  };
  auto callers = HttpServer::Make(
      run.loop, caller_options,
      MakeProcessHandler(
          run.metrics, health,
          [this](HttpRequest request,
                 const std::shared_ptr<HttpResponder>& responder) {
            this->OnCallerRequest(std::move(request), responder);
          }));
  if (!callers) {
    return tl::unexpected<Failure>(callers.error());
  }
  this->caller_server = std::move(*callers);
  HttpServerOptions operator_options;
  operator_options.address = this->settings.operator_address.ip;
  operator_options.port = this->settings.operator_address.port;
  auto operators =
      HttpServer::Make(run.loop, operator_options,
                       [this](const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
                         this->operator_api->Handle(request, responder);
                       });
  if (!operators) {
    return tl::unexpected<Failure>(operators.error());
  }
  this->operator_server = std::move(*operators);
  this->tick = std::make_unique<Timer>(run.loop, [this] { this->OnTick(); });
  this->tick->StartRepeating(kTick);
  return {};
}

void EntryProcess::Run() {
  this->runtime->loop.OnTerminate([this] { this->Drain(); });
  this->runtime->log.Info(
      "started", "the entry is running",
      {{"commit", ThisBuild().commit}, {"sources", ThisBuild().sources}});
  this->runtime->loop.Run();
  this->runtime->log.Info("stopped",
                          "all requests have ended; the entry stops");
}

void EntryProcess::OnCallerRequest(
    HttpRequest request,
    const std::shared_ptr<HttpResponder>& responder) {
  if (request.method == "GET" &&
      PathWithoutQuery(request.path) == "/v1/entries") {
    this->SendEntryList(request, responder);
    return;
  }
  this->forwarder->Handle(std::move(request), responder);
}

void EntryProcess::SendEntryList(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const ServiceName service(FindQueryParameter(request.path, "service"));
  const EntryAnswer answer = this->entry_list->ForCaller(
      service, this->settings.zone, this->runtime->scheduler.UnixTime());
  const nlohmann::json body = {{"addresses", answer.addresses},
                               {"max_age_ms", answer.max_age.count()},
                               {"request_id_prefix", answer.request_id_prefix}};
  responder->SendJson(
      200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EntryProcess::OnDocument(const VersionedDocument& document) {
  if (!this->services) {
    return;
  }
  this->services->OnDocument(document);
  std::set<ServiceName> services_with_slots;
  for (const auto& [name, view] : this->services->services()) {
    if (view.service.kind == ServiceKind::kPlain) {
      services_with_slots.insert(name);
    }
  }
  this->slot_writer->SetServices(services_with_slots);
  this->runtime->mesh->SetWanted("targets", this->services->WantedTargets());
}

void EntryProcess::OnMembersChanged() {
  if (!this->services) {
    return;
  }
  this->services->OnMembersChanged();
  this->runtime->mesh->SetWanted("targets", this->services->WantedTargets());
}

void EntryProcess::OnTick() {
  this->slot_writer->OnTick();
  const KeyValueCalls calls = this->key_value.Calls();
  const auto set = [this](const char* kind, uint64_t value) {
    this->runtime->metrics
        .AddGauge("celerypost_key_value_calls",
                  "Calls to the key-value service.", {{"kind", kind}})
        .Set(static_cast<double>(value));
  };
  set("read", calls.reads);
  set("write", calls.writes);
  set("watch", calls.watches);
}

void EntryProcess::AddStatus(nlohmann::json& status) const {
  nlohmann::json service_list = nlohmann::json::array();
  nlohmann::json rollouts = nlohmann::json::array();
  const GossipTask& gossip = *this->runtime->gossip;
  for (const auto& [name, view] : this->services->services()) {
    const bool engine = view.service.kind == ServiceKind::kEngine;
    const std::string goal_digest =
        view.service.set ? view.service.set->SetDigest().ToHex() : "";
    uint64_t replicas = 0;
    uint64_t ready = 0;
    uint64_t warm = 0;
    for (const Member* member : gossip.membership().Live(Role::kAgent, name)) {
      if (!IsPlacedIn(view.service, member->zone)) {
        continue;
      }
      ++replicas;
      ready += !engine || member->serving == goal_digest ? 1 : 0;
      warm += member->warm ? 1 : 0;
    }
    service_list.push_back({{"service", name.value()},
                            {"kind", engine ? "engine" : "plain"},
                            {"replicas", replicas},
                            {"warm", warm},
                            {"targets_here", view.targets.size()}});
    if (engine) {
      rollouts.push_back({{"service", name.value()},
                          {"version", view.service.set->version},
                          {"set", goal_digest},
                          {"replicas", replicas},
                          {"replicas_ready", ready}});
    }
  }
  status["services"] = std::move(service_list);
  status["rollouts"] = std::move(rollouts);
}

void EntryProcess::Drain() {
  if (std::exchange(this->leaving, true)) {
    return;
  }
  this->runtime->log.Info("leaving",
                          "no longer listed to callers; waits until the entry "
                          "lists that include it have expired");
  this->runtime->gossip->SetLeaving();
  this->leave_not_before =
      this->runtime->loop.Now() + this->settings.entry_max_age + kLeaveSlack;
  this->drain_timer = std::make_unique<Timer>(this->runtime->loop, [this] {
    if (this->runtime->loop.Now() < this->leave_not_before) {
      return;
    }
    this->caller_server->StopListening();
    const bool has_unsent_output = this->caller_server->requests() > 0 ||
                                   this->operator_server->requests() > 0;
    if (this->drain_policy.ShouldExit(this->forwarder->in_flight(),
                                      has_unsent_output,
                                      this->runtime->loop.Now())) {
      this->runtime->loop.Stop();
    }
  });
  this->drain_timer->StartRepeating(kDrainPoll);
}

int RunEntry(const EntrySettings& settings) {
  auto process = EntryProcess::Make(settings);
  if (!process) {
    fprintf(stderr, "celerypost entry: %s\n", process.error().message.c_str());
    return 1;
  }
  (*process)->Run();
  return 0;
}

}  // namespace celerypost
