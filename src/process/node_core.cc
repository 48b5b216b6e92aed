#include "src/process/node_core.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "src/process/delta_codec.h"
#include "src/process/state/store_reader.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr char kDocumentsPath[] = "/v1/documents";
constexpr char kMetricsPath[] = "/metrics";
// The rest is for the process itself and for what the allocator does not return
// to the operating system.
constexpr double kCallerShareOfMemory = 0.6;
// How often expired targets are dropped and peers are checked for newer
// documents.
constexpr milliseconds kTickPeriod{200};
// A process that watches the key-value service and has been behind a peer for
// this long reads it again on a new connection, since its watch has gone
// silent.
constexpr milliseconds kMaxLag{500};
// The same for a process that relies on its peers; leaves time for one pull to
// fail. Each process that ranks before it in its region and role adds
// kLagPerRank: if all read the service at once, what they read would fill the
// links between regions.
constexpr milliseconds kMaxLagOverPeers{1200};
constexpr milliseconds kLagPerRank{100};
constexpr size_t kMaxLagRank = 30;
constexpr milliseconds kPullTimeout{1000};
// How long a process waits for a gateway of its region to have a newer revision
// before it asks one of another region: two beats between regions.
constexpr milliseconds kSameRegionWait{400};
// Shortest time between two pulls, so that changes in quick succession are
// pulled together.
constexpr milliseconds kMinPullInterval{100};
// How long an encoded answer is sent again. The ages in it are too low by up to
// this time, which receivers allow for.
constexpr milliseconds kDeltaCacheTime{100};
// Largest time between the sending of a beat and its arrival that is allowed
// for when its ages are read.
constexpr milliseconds kMaxTransit{100};
// Processes learn of the end of an outage within this time of each other.
constexpr milliseconds kOutageEndSlack{1000};
// Peers show within this time that there was no outage.
constexpr milliseconds kOutageReviewTime{10000};
// A registration lapses three periods after the last heartbeat of its target. A
// shorter outage than this swallows two heartbeats at most, so that the third
// comes about when the registration would lapse.
constexpr double kMaxPauseInHeartbeats = 1.5;
// A process that watches the key-value service is answered at least once a
// second.
constexpr milliseconds kShortestMaxPause{1500};
// Largest age that a beat reports.
constexpr milliseconds kMaxReportedAge{1000000};
// Shortest time between two pulls for a newer configuration alone.
constexpr milliseconds kConfigPullInterval{1000};
// After the key-value service has begun a new era all processes register again.
// They do so within this time for each process, between the two limits.
constexpr milliseconds kRegistrationSpreadPerNode{10};
constexpr milliseconds kMinRegistrationSpread{300};
constexpr milliseconds kMaxRegistrationSpread{5000};
// Number of other regions that are heard from which on one gateway of this
// region watches the key-value service instead of two.
constexpr size_t kRegionsThatReplaceAReader = 2;
// How long the summary of another region is used: several periods of its
// senders, and little enough that the directory drops gateways that have died
// (SummaryOptions, GatewayOptions::directory_ttl).
constexpr milliseconds kSummaryLifetime{3000};
// How long a starting process waits for documents from the gateways of its
// region before it reads the key-value service: a few of their beats.
constexpr milliseconds kStartupWait{700};
// Weights that were configured before this process started are treated as if
// `version_bound` ended this long after the start, which gives the process time
// to learn which targets have them.
constexpr milliseconds kWeightDiscoveryTime{2000};
// Targets and peers are a few milliseconds away. A connection that takes longer
// to open is given up, so that the request can still be on time elsewhere.
constexpr milliseconds kConnectTimeout{400};

// Returns 0, which asks for all documents, if `text` is not a number.
int64_t ParseRevision(const std::string& text) {
  int64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

DocumentQuery ParseQuestion(const std::string& path) {
  DocumentQuery question;
  question.since = {ParseRevision(FindQueryParameter(path, "era")),
                    ParseRevision(FindQueryParameter(path, "since"))};
  question.for_stager = FindQueryParameter(path, "for") == "stager";
  return question;
}

// Stagers read only the operators' documents and the registrations, from which
// they find each other without waiting for beats. Gateways read everything.
StoreSyncOptions SyncOptions(NodeRole role, const DocumentDecoder& decoder) {
  StoreSyncOptions options;
  if (role == NodeRole::kStager) {
    options.read_prefixes = {decoder.OperatorPrefix(),
                             std::string(NodeRegistry::Prefix())};
    options.watch_prefix = decoder.OperatorPrefix();
  }
  return options;
}

DocumentProgress ProgressOf(const wire::Beat& beat) {
  return {{beat.era, beat.revision},
          {beat.era, beat.operator_revision},
          beat.config_version};
}

milliseconds MaxPause(const NodeSettings& settings) {
  return std::max(kShortestMaxPause,
                  std::chrono::duration_cast<milliseconds>(
                      settings.target_heartbeat * kMaxPauseInHeartbeats));
}

bool IsGateway(const wire::Beat& beat) {
  return beat.role == static_cast<int32_t>(NodeRole::kGateway);
}

}  // namespace

MemoryBudgetOptions CallerMemory(const NodeSettings& settings) {
  return {.max_bytes =
              static_cast<size_t>(static_cast<double>(settings.memory_limit) *
                                  kCallerShareOfMemory)};
}

NodeCore::NodeCore(NodeDependencies dependencies, NodeRole role)
    : dependencies(dependencies),
      role(role),
      cluster_view(
          dependencies.decoder,
          ClusterViewOptions{
              .assumed_naming_age =
                  dependencies.settings.version_bound - kWeightDiscoveryTime,
              .registration_prefix = std::string(NodeRegistry::Prefix()),
              .availability = {.max_pause = MaxPause(dependencies.settings)}}),
      region_directory(kSummaryLifetime),
      peer_exchange(dependencies.loop,
                    dependencies.log,
                    PeerExchangeOptions{
                        .ip = dependencies.settings.ip,
                        .port = static_cast<uint16_t>(
                            dependencies.settings.first_internal_port + 1),
                        .region = dependencies.settings.region}),
      sync(dependencies.loop,
           dependencies.store,
           dependencies.log,
           dependencies.random,
           SyncOptions(role, dependencies.decoder),
           {[this](const std::vector<KeyValue>& items, StorePosition position) {
              this->ReportChanges(
                  this->cluster_view.ApplySnapshot(
                      items, position, this->dependencies.loop.Now()),
                  "read");
            },
            [this](const std::vector<KeyValue>& changes) {
              this->ReportChanges(this->cluster_view.ApplyChanges(
                                      changes, this->dependencies.loop.Now()),
                                  "watch");
            },
            [this] { this->NoteAnswer(); },
            [this](TimePoint time) { this->cluster_view.NoteCurrent(time); },
            [this](TimePoint time) {
              this->cluster_view.NoteAway(time);
              this->cluster_view.NoteFailure(time);
            }}),
      registry(dependencies.loop,
               dependencies.store,
               dependencies.leases,
               dependencies.log,
               dependencies.random,
               NodeRegistryOptions{.ip = dependencies.settings.ip,
                                   .zone = dependencies.settings.zone,
                                   .region = dependencies.settings.region,
                                   .instance = dependencies.instance,
                                   .role = role}),
      documents_age(dependencies.metrics.AddGauge(
          "celerypost_documents_age_seconds",
          "Time since this process knew of all changes of documents")),
      tick(dependencies.loop, [this] { this->Tick(); }),
      start_timer(dependencies.loop, [this] {
        if (this->cluster_view.config() == nullptr) {
          this->StartSync();
        }
      }) {}

Result<void> NodeCore::Start() {
  for (const std::string& ip : this->dependencies.settings.seed_ips) {
    this->peer_exchange.AddAddress(ip);
  }
  auto listening = this->peer_exchange.Listen();
  if (!listening) {
    return listening;
  }
  const HttpHandler handler =
      [this](HttpRequest request,
             const std::shared_ptr<HttpResponder>& responder) {
        this->HandleInternal(request, responder);
      };
  auto server =
      Http1Server::Make(this->dependencies.loop, this->dependencies.settings.ip,
                        this->dependencies.settings.first_internal_port,
                        this->dependencies.memory, handler);
  if (!server) {
    return tl::unexpected<Failure>(server.error());
  }
  this->internal_server = std::move(*server);
  this->internal_server->SetLimits(kShortBodyLimits);
  if (this->dependencies.metrics_port != 0) {
    auto metrics = Http1Server::Make(
        this->dependencies.loop, this->dependencies.settings.ip,
        this->dependencies.metrics_port, this->dependencies.memory, handler);
    if (!metrics) {
      return tl::unexpected<Failure>(metrics.error());
    }
    this->metrics_server = std::move(*metrics);
    this->metrics_server->SetLimits(kShortBodyLimits);
  }
  this->registry.OnCall([this](bool answered, TimePoint sent_at) {
    if (answered) {
      this->NoteAnswer();
    } else {
      this->cluster_view.NoteFailure(sent_at);
    }
  });
  this->registry.OnRegained(
      [this](TimePoint lost_at) { this->sync.OnServiceRegained(lost_at); });
  this->dependencies.store.OnEra([this](int64_t era) { this->OnEra(era); });
  this->FindPeers();
  this->registry.Start();
  this->tick.StartRepeating(kTickPeriod);
  return {};
}

void NodeCore::Leave(std::function<void()> done) {
  this->registry.Leave(std::move(done));
}

void NodeCore::OnEra(int64_t era) {
  this->sync.OnEra(era);
  this->registry.OnEra(
      era, std::clamp(kRegistrationSpreadPerNode *
                          static_cast<int64_t>(this->nodes.size()),
                      kMinRegistrationSpread, kMaxRegistrationSpread));
}

void NodeCore::OnEraOfPeer(int64_t era) {
  if (era <= std::max(this->cluster_view.position().era, this->heard_era)) {
    return;
  }
  this->heard_era = era;
  if (this->reads_store) {
    this->sync.Restart();
  }
}

void NodeCore::FindPeers() {
  KeyRange keys;
  keys.first = NodeRegistry::GroupPrefix(this->dependencies.settings.region,
                                         NodeRole::kGateway);
  this->dependencies.store.GetRange(
      keys, /*keys_only=*/false, [this](const Result<KeyValueRange>& range) {
        if (range) {
          this->OnPeersFound(range->items);
        } else {
          this->dependencies.log.Info("peers_unknown", range.error().message);
          this->StartSync();
        }
      });
}

void NodeCore::OnPeersFound(const std::vector<KeyValue>& registrations) {
  size_t gateways = 0;
  size_t lower_addresses = 0;
  for (const KeyValue& item : registrations) {
    const auto node = NodeRegistry::Parse(item);
    if (!node || node->region != this->dependencies.settings.region ||
        node->ip == this->dependencies.settings.ip) {
      continue;
    }
    this->peer_exchange.AddAddress(node->ip);
    if (node->role == NodeRole::kGateway) {
      ++gateways;
      lower_addresses += node->ip < this->dependencies.settings.ip ? 1 : 0;
    }
  }
  const bool reads_at_once =
      this->role == NodeRole::kGateway &&
      lower_addresses < ReaderOptions{}.readers_in_outage;
  if (gateways == 0 || reads_at_once) {
    this->StartSync();
  } else {
    this->start_timer.StartOnce(kStartupWait);
  }
}

void NodeCore::StartSync() {
  if (!this->sync_started) {
    this->sync_started = true;
    this->reads_store = true;
    this->sync.Start();
  }
}

void NodeCore::OnBeat(std::function<void(const Peer&)> callback) {
  this->peer_exchange.OnBeat(
      [this, callback = std::move(callback)](const Peer& peer) {
        callback(peer);
        this->NoteCurrentPeer(peer);
        this->NoteAnswersOfPeer(peer);
        this->OnEraOfPeer(peer.beat.era);
        if (!this->reads_store && this->HasNewerDocuments(peer)) {
          this->CatchUp();
        }
      });
}

void NodeCore::NoteCurrentPeer(const Peer& peer) {
  if (peer.beat.__isset.current_ms_ago && !this->HasNewerDocuments(peer)) {
    this->cluster_view.NoteCurrent(
        this->dependencies.loop.ArrivedAfter() - kMaxTransit -
        milliseconds(std::max(0, peer.beat.current_ms_ago)));
  }
}

void NodeCore::NoteAnswer() {
  const Loop& loop = this->dependencies.loop;
  this->cluster_view.NoteAnswer(this->dependencies.store.Era(),
                                loop.ArrivedAfter(), loop.Now());
}

void NodeCore::NoteAnswersOfPeer(const Peer& peer) {
  if (!peer.beat.__isset.answers) {
    return;
  }
  const TimePoint now = this->dependencies.loop.Now();
  ReportedAnswers answers = DecodeAnswers(peer.beat.answers);
  answers.AddTransit(kMaxTransit +
                     std::chrono::ceil<milliseconds>(
                         now - this->dependencies.loop.ArrivedAfter()));
  const auto removals = this->cluster_view.ApplyAnswers(answers, now);
  if (!removals.empty()) {
    this->ReportChanges(removals, peer.ip);
  }
}

void NodeCore::ReportOutage() {
  const auto outage = this->cluster_view.availability().last_outage();
  const auto known = std::exchange(this->reported_outage, outage);
  const auto ends_later = [](const std::optional<ServiceOutage>& a,
                             const std::optional<ServiceOutage>& b) {
    return a && (!b || a->ended_at > b->ended_at + kOutageEndSlack);
  };
  const auto to_ms = [](Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
  };
  const TimePoint now = this->dependencies.loop.Now();
  if (ends_later(outage, known)) {
    this->dependencies.log.Warn(
        "store_outage",
        "the key-value service answered no process for a time; registrations "
        "may have lapsed",
        {{"away_ms", outage->began_at
                         ? to_ms(outage->ended_at - *outage->began_at)
                         : int64_t{0}},
         {"returned_ms_ago", to_ms(now - outage->ended_at)}});
  } else if (ends_later(known, outage) &&
             now - known->ended_at < kOutageReviewTime) {
    this->dependencies.log.Info(
        "store_outage_disproved",
        "peers were answered during what was taken for an outage",
        {{"taken_for_return_ms_ago", to_ms(now - known->ended_at)}});
  }
}

bool NodeCore::StoreAnswers() const {
  return this->registry.answers() &&
         !(this->reads_store && this->sync.failing());
}

bool NodeCore::ShouldReadStore() const {
  std::vector<ReaderCandidate> gateways;
  for (const auto& [ip, peer] : this->peer_exchange.peers()) {
    if (peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
        peer.beat.state != static_cast<int32_t>(NodeState::kLeaving) &&
        this->peer_exchange.Near(peer) && this->peer_exchange.Live(peer)) {
      gateways.push_back({InstanceId{static_cast<uint64_t>(peer.beat.instance)},
                          peer.beat.store_answers});
    }
  }
  if (this->role == NodeRole::kStager) {
    return gateways.empty();
  }
  // The gateways of other regions tell of changes that the only reader of this
  // one misses.
  ReaderOptions options;
  if (this->region_directory.Fresh(this->dependencies.loop.Now()).size() >=
      kRegionsThatReplaceAReader) {
    options.readers = 1;
  }
  return ReadsStore(
      options, {this->dependencies.instance, this->StoreAnswers()}, gateways);
}

void NodeCore::UpdateStoreReading() {
  if (!this->sync_started && this->cluster_view.config() == nullptr) {
    return;
  }
  this->sync_started = true;
  const bool should_read = this->ShouldReadStore();
  if (should_read != this->reads_store) {
    this->reads_store = should_read;
    this->dependencies.log.Info(
        "store_reader",
        should_read ? "this process watches the key-value service"
                    : "gateways of the region watch the key-value service",
        {{"revision", this->cluster_view.position().revision},
         {"era", this->cluster_view.position().era},
         {"store_answers", this->registry.answers()}});
  }
  this->sync.SetWatching(should_read || this->cluster_view.config() == nullptr,
                         this->role == NodeRole::kGateway
                             ? this->cluster_view.position()
                             : StorePosition());
  this->registry.SetReader(should_read && this->role == NodeRole::kGateway);
}

wire::Beat NodeCore::MakeBeat(NodeState state) const {
  const NodeSettings& settings = this->dependencies.settings;
  wire::Beat beat;
  beat.instance = static_cast<int64_t>(this->dependencies.instance.value);
  beat.role = static_cast<int32_t>(this->role);
  beat.ip = settings.ip;
  beat.zone = settings.zone.value();
  beat.region = settings.region.value();
  if (settings.caller_address) {
    beat.caller_address = settings.caller_address->ToString();
  }
  beat.state = static_cast<int32_t>(state);
  const DocumentProgress progress = this->cluster_view.progress();
  beat.era = progress.position.era;
  beat.revision = progress.position.revision;
  beat.operator_revision = progress.operator_position.revision;
  beat.config_version = progress.config_version;
  beat.store_answers = this->StoreAnswers();
  if (const auto& current_at = this->cluster_view.current_at()) {
    const auto age = std::chrono::ceil<milliseconds>(
        this->dependencies.loop.Now() - *current_at);
    if (age <= kMaxReportedAge) {
      beat.__set_current_ms_ago(static_cast<int32_t>(age.count()));
    }
  }
  if (const auto answers = this->cluster_view.availability().Report(
          this->dependencies.loop.Now())) {
    beat.__set_answers(EncodeAnswers(*answers));
  }
  return beat;
}

Http1Client& NodeCore::ClientOf(const SocketAddress& address) {
  auto& client = this->clients[address];
  if (!client) {
    client = std::make_unique<Http1Client>(
        this->dependencies.loop, address,
        Http1ClientOptions{.connect_timeout = kConnectTimeout});
  }
  return *client;
}

SocketAddress NodeCore::InternalAddress(const std::string& ip) const {
  return {ip, this->dependencies.settings.first_internal_port};
}

void NodeCore::UpdateRegisteredNodes() {
  const auto& stored = this->cluster_view.stored();
  const std::string prefix(NodeRegistry::Prefix());
  std::erase_if(this->node_positions, [&](const auto& item) {
    const bool gone = !stored.contains(item.first);
    if (gone) {
      this->nodes.erase(NodeRegistry::AddressOf(item.first).value_or(""));
    }
    return gone;
  });
  for (auto it = stored.lower_bound(prefix);
       it != stored.end() && it->first.starts_with(prefix); ++it) {
    StorePosition& position = this->node_positions[it->first];
    if (position == it->second.position()) {
      continue;
    }
    position = it->second.position();
    const auto node = NodeRegistry::Parse(it->second);
    if (!node) {
      this->dependencies.log.Warn("registration_unreadable",
                                  "the registration of a process is malformed",
                                  {{"key", it->first}});
      continue;
    }
    this->nodes[node->ip] = *node;
    if (node->region == this->dependencies.settings.region) {
      this->peer_exchange.AddAddress(node->ip);
    }
  }
}

void NodeCore::ReportChanges(const std::vector<ViewChange>& changes,
                             std::string_view source) {
  const StorePosition position = this->cluster_view.position();
  // The peers are told of a new era even if no document is newer.
  bool changed =
      position.era > this->reported.era && this->reported.revision > 0;
  bool nodes_changed = false;
  if (changed) {
    const auto older = std::count_if(
        changes.begin(), changes.end(),
        [](const ViewChange& change) { return change.outcome == "older"; });
    this->dependencies.log.Warn(
        "store_era",
        "the key-value service has begun a new era; it may lack changes",
        {{"source", source},
         {"era", position.era},
         {"revision", position.revision},
         {"old_era", this->reported.era},
         {"old_revision", this->reported.revision},
         {"applied", changes.size() - static_cast<size_t>(older)},
         {"older", older},
         {"missing", this->cluster_view.CountOlderEras()}});
  }
  this->reported = position;
  for (const ViewChange& change : changes) {
    if (NodeRegistry::AddressOf(change.key)) {
      nodes_changed = true;
      continue;
    }
    if (change.outcome == "older" &&
        !change.key.starts_with(this->dependencies.decoder.OperatorPrefix())) {
      continue;
    }
    changed = changed || change.outcome != "older";
    if (!this->IsNewsForLog(change)) {
      continue;
    }
    this->dependencies.log.Info("document", change.outcome,
                                {{"key", change.key},
                                 {"revision", change.position.revision},
                                 {"era", change.position.era},
                                 {"source", source},
                                 {"detail", change.detail}});
  }
  if (nodes_changed) {
    this->UpdateRegisteredNodes();
  }
  if (changed && this->on_view_changed) {
    this->on_view_changed();
  }
}

bool NodeCore::IsNewsForLog(const ViewChange& change) {
  if (change.outcome != "unreadable") {
    this->unreadable_reasons.erase(change.key);
    return true;
  }
  std::string& logged = this->unreadable_reasons[change.key];
  if (logged == change.detail) {
    return false;
  }
  logged = change.detail;
  return true;
}

void NodeCore::HandleInternal(const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
  const auto path = PathWithoutQuery(request.path);
  if (path != kMetricsPath && !this->dependencies.memory.Accepts(0)) {
    responder->SendJson(503, R"({"error":{"code":"out_of_memory"}})");
  } else if (path == kDocumentsPath) {
    responder->Send(200, {{"content-type", "application/octet-stream"}},
                    this->EncodedDelta(ParseQuestion(request.path)));
  } else if (path == kMetricsPath) {
    responder->Send(200, {{"content-type", "text/plain; version=0.0.4"}},
                    this->dependencies.metrics.Expose());
  } else if (!this->internal_handler ||
             !this->internal_handler(request, responder)) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
  }
}

const std::string& NodeCore::EncodedDelta(const DocumentQuery& query) {
  const TimePoint now = this->dependencies.loop.Now();
  const bool cached =
      now - this->last_delta.made_at < kDeltaCacheTime &&
      this->last_delta.changes == this->cluster_view.changes() &&
      this->last_delta.query.since == query.since &&
      this->last_delta.query.for_stager == query.for_stager;
  if (!cached) {
    this->last_delta = {query, this->cluster_view.changes(), now,
                        EncodeDelta(this->cluster_view.MakeDelta(query, now))};
  }
  return this->last_delta.bytes;
}

void NodeCore::Tick() {
  const TimePoint now = this->dependencies.loop.Now();
  if (this->cluster_view.DropExpired(now) && this->on_view_changed) {
    this->on_view_changed();
  }
  this->ReportChanges(this->cluster_view.Settle(now), "restore grace");
  // Registered processes stay peers while they are silent.
  for (const auto& [ip, node] : this->nodes) {
    if (node.region == this->dependencies.settings.region) {
      this->peer_exchange.AddAddress(ip);
    }
  }
  this->UpdateStoreReading();
  this->CatchUp();
  this->ReportOutage();
  if (const auto& current_at = this->cluster_view.current_at()) {
    this->documents_age.Set(
        std::chrono::duration<double>(now - *current_at).count());
  }
}

void NodeCore::CatchUp() {
  const TimePoint now = this->dependencies.loop.Now();
  bool newer = false;
  for (const auto& [ip, peer] : this->peer_exchange.peers()) {
    newer = newer ||
            (this->peer_exchange.Live(peer) && this->HasNewerDocuments(peer));
  }
  for (const RegionSummary* summary : this->region_directory.Fresh(now)) {
    newer = newer ||
            this->HasNewerDocuments(summary->documents, /*is_gateway=*/true);
    this->OnEraOfPeer(summary->documents.position.era);
  }
  if (!newer) {
    this->behind = false;
    this->PullDocuments();
    return;
  }
  if (!this->behind || this->behind_position != this->cluster_view.position()) {
    this->behind = true;
    this->behind_position = this->cluster_view.position();
    this->behind_since = now;
  }
  const bool relies_on_peers = !this->reads_store || this->sync.failing();
  if (relies_on_peers) {
    this->PullDocuments();
  }
  // Reads the key-value service again if the watch is silent or the peers do
  // not answer, so that this process gets the changes that others have.
  const milliseconds max_lag =
      relies_on_peers ? this->MaxLagOverPeers() : kMaxLag;
  if (now - this->behind_since > max_lag) {
    this->dependencies.log.Info(
        "store_silent",
        "peers know a newer revision; reading the key-value service again",
        {{"revision", this->cluster_view.position().revision},
         {"era", this->cluster_view.position().era}});
    this->behind_since = now;
    this->sync.Restart();
    this->PullDocuments();
  }
}

milliseconds NodeCore::MaxLagOverPeers() const {
  size_t rank = 0;
  for (const auto& [ip, peer] : this->peer_exchange.peers()) {
    const InstanceId instance{static_cast<uint64_t>(peer.beat.instance)};
    rank += peer.beat.role == static_cast<int32_t>(this->role) &&
                    this->peer_exchange.Near(peer) &&
                    this->peer_exchange.Live(peer) &&
                    instance.value < this->dependencies.instance.value
                ? 1
                : 0;
  }
  return kMaxLagOverPeers +
         kLagPerRank * static_cast<int>(std::min(rank, kMaxLagRank));
}

bool NodeCore::HasNewerDocuments(const DocumentProgress& progress,
                                 bool is_gateway) const {
  return LacksDocuments(this->cluster_view.progress(), progress,
                        this->role == NodeRole::kGateway && is_gateway);
}

bool NodeCore::HasNewerDocuments(const Peer& peer) const {
  return this->HasNewerDocuments(ProgressOf(peer.beat), IsGateway(peer.beat));
}

bool NodeCore::HasNewerConfig(const DocumentProgress& progress) const {
  return progress.config_version >
             this->cluster_view.progress().config_version &&
         this->dependencies.loop.Now() - this->last_config_pull >=
             kConfigPullInterval;
}

std::string NodeCore::ChooseDocumentSource() const {
  // Only gateways are asked: they hold all documents, stagers only the
  // operators'.
  const TimePoint now = this->dependencies.loop.Now();
  const auto wanted = [this](const DocumentProgress& progress) {
    return this->behind ? this->HasNewerDocuments(progress, /*is_gateway=*/true)
                        : this->HasNewerConfig(progress);
  };
  std::vector<std::string> same_region;
  std::vector<std::string> other_regions;
  for (const auto& [ip, peer] : this->peer_exchange.peers()) {
    if (this->peer_exchange.Live(peer) && this->peer_exchange.Near(peer) &&
        IsGateway(peer.beat) && wanted(ProgressOf(peer.beat))) {
      same_region.push_back(ip);
    }
  }
  for (const RegionSummary* summary : this->region_directory.Fresh(now)) {
    if (wanted(summary->documents)) {
      other_regions.push_back(summary->ip);
    }
  }
  const bool waited = now - this->behind_since >= kSameRegionWait;
  const auto& candidates =
      !same_region.empty() || !waited ? same_region : other_regions;
  return candidates.empty()
             ? std::string()
             : candidates[this->dependencies.random.Below(candidates.size())];
}

void NodeCore::PullDocuments() {
  const TimePoint now = this->dependencies.loop.Now();
  if (this->pull || now - this->last_pull < kMinPullInterval) {
    return;
  }
  const std::string source = this->ChooseDocumentSource();
  if (source.empty()) {
    return;
  }
  this->last_pull = now;
  if (!this->behind) {
    this->last_config_pull = now;
  }
  HttpRequest request;
  request.path = std::string(kDocumentsPath) + "?since=" +
                 std::to_string(this->cluster_view.position().revision) +
                 "&era=" + std::to_string(this->cluster_view.position().era);
  if (this->role == NodeRole::kStager) {
    request.path += "&for=stager";
  }
  this->pull = this->ClientOf(this->InternalAddress(source))
                   .Fetch(std::move(request), kPullTimeout,
                          [this, source](const Result<HttpResponse>& response) {
                            const auto call = std::move(this->pull);
                            this->OnPulled(source, response);
                          });
}

void NodeCore::OnPulled(const std::string& ip,
                        const Result<HttpResponse>& response) {
  if (!response || response->status != 200) {
    // The next tick asks again.
    this->dependencies.log.Debug(
        "peer_documents_failed",
        response ? "the peer answered with a status other than 200"
                 : response.error().message,
        {{"peer", ip}});
    return;
  }
  auto delta = DecodeDelta(response->body);
  if (!delta) {
    this->dependencies.log.Warn("peer_documents_unreadable",
                                delta.error().message, {{"peer", ip}});
    return;
  }
  const TimePoint now = this->dependencies.loop.Now();
  delta->AddToAges(kDeltaCacheTime +
                   std::chrono::ceil<milliseconds>(now - this->last_pull));
  this->ReportChanges(this->cluster_view.ApplyDelta(*delta, now), ip);
}

}  // namespace celerypost
