#include "src/process/node_core.h"

#include <charconv>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/connection/base64.h"
#include "src/process/state/store_reader.h"
#include "src/version/json_fields.h"

namespace celerypost {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr char kDocumentsPath[] = "/v1/documents";
constexpr char kMetricsPath[] = "/metrics";
// How often expired targets and late documents are looked at.
constexpr milliseconds kTickPeriod{200};
// A process that is connected but this far behind a peer asks the service on a
// new connection: its own has gone silent.
constexpr milliseconds kMostBehind{500};
// The same for a process that relies on its peers: one pull may fail.
constexpr milliseconds kMostBehindPeers{1200};
constexpr milliseconds kPullTimeout{1000};
// How long a process waits for a peer of its region to know a newer revision
// before it asks one of another region: two beats of those.
constexpr milliseconds kNearPatience{400};
// Changes that come in quick succession are pulled together.
constexpr milliseconds kPullGap{100};
// How long a process that starts waits for documents from the gateways of its
// region before it reads the key-value service: a few of their beats.
constexpr milliseconds kStartPatience{700};
// Weights that were named before this process started count as named so long
// ago that their bound is this far away: a process that has just started is
// given about this time to learn where they are.
constexpr milliseconds kLearningTime{2000};
// Targets and peers are a few milliseconds away. A connection that takes longer
// than this is lost, and the request can still be on time elsewhere.
constexpr milliseconds kConnectTimeout{400};

// A revision that cannot be read asks for everything.
int64_t ParseRevision(const std::string& text) {
  int64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

DocumentQuery ParseQuestion(const std::string& path) {
  DocumentQuery question;
  question.since = ParseRevision(FindQueryParameter(path, "since"));
  question.for_stager = FindQueryParameter(path, "for") == "stager";
  return question;
}

std::string EncodeDelta(const DocumentDelta& delta) {
  Json items = Json::array();
  for (const KeyValue& item : delta.items) {
    items.push_back({item.key, EncodeBase64(item.value), item.mod_revision});
  }
  Json json{{"partial", delta.partial},
            {"revision", delta.revision},
            {"items", std::move(items)}};
  if (delta.regained_ago) {
    json["regained_ms_ago"] = delta.regained_ago->count();
  }
  return json.dump();
}

Result<DocumentDelta> DecodeDelta(const std::string& text) {
  const auto json = ParseJson(text, "documents of a peer");
  if (!json) {
    return tl::unexpected<Failure>(json.error());
  }
  DocumentDelta delta;
  if (!json->is_object() || !json->contains("revision") ||
      !(*json)["revision"].is_number_integer() || !json->contains("items") ||
      !json->contains("partial") || !(*json)["partial"].is_boolean()) {
    return NotRun(ErrorCode::kCorrupt, "a peer's documents lack a field");
  }
  delta.partial = (*json)["partial"].get<bool>();
  delta.revision = (*json)["revision"].get<int64_t>();
  if (json->contains("regained_ms_ago") &&
      (*json)["regained_ms_ago"].is_number_integer()) {
    delta.regained_ago =
        milliseconds((*json)["regained_ms_ago"].get<int64_t>());
  }
  for (const Json& item : (*json)["items"]) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
        !item[1].is_string() || !item[2].is_number_integer()) {
      return NotRun(ErrorCode::kCorrupt, "a peer's document is malformed");
    }
    auto value = DecodeBase64(item[1].get_ref<const std::string&>());
    if (!value) {
      return tl::unexpected<Failure>(value.error());
    }
    delta.items.push_back({item[0].get<std::string>(), std::move(*value),
                           item[2].get<int64_t>()});
  }
  return delta;
}

// Stagers need the operators' documents and, to find each other at once, the
// registrations.
StoreSyncOptions SyncOptions(NodeRole role, const DocumentDecoder& decoder) {
  StoreSyncOptions options;
  if (role == NodeRole::kStager) {
    options.read_prefixes = {decoder.OperatorPrefix(),
                             std::string(NodeRegistry::Prefix())};
    options.watch_prefix = decoder.OperatorPrefix();
  }
  return options;
}

}  // namespace

NodeCore::NodeCore(NodeDependencies dependencies, NodeRole role)
    : parts(dependencies),
      role(role),
      cluster_view(
          parts.decoder,
          ClusterViewOptions{.assumed_naming_age =
                                 parts.settings.version_bound - kLearningTime}),
      peer_exchange(
          parts.loop,
          parts.log,
          PeerExchangeOptions{.ip = parts.settings.ip,
                              .port = static_cast<uint16_t>(
                                  parts.settings.first_internal_port + 1),
                              .region = parts.settings.region}),
      sync(parts.loop,
           parts.store,
           parts.log,
           parts.random,
           SyncOptions(role, parts.decoder),
           {[this](const std::vector<KeyValue>& items,
                   int64_t revision,
                   bool after_outage) {
              this->NoteNodes(items);
              this->LogChanges(
                  this->cluster_view.ApplySnapshot(
                      items, revision, after_outage, this->parts.loop.Now()),
                  "read");
            },
            [this](const std::vector<KeyValue>& changes) {
              this->NoteNodes(changes);
              this->LogChanges(this->cluster_view.ApplyChanges(
                                   changes, this->parts.loop.Now()),
                               "watch");
            },
            [this] {
              this->cluster_view.OnServiceRegained(this->parts.loop.Now());
            }}),
      registry(parts.loop,
               parts.store,
               parts.leases,
               parts.log,
               NodeRegistryOptions{.ip = parts.settings.ip,
                                   .region = parts.settings.region,
                                   .role = role}),
      tick(parts.loop, [this] { this->Tick(); }),
      start_timer(parts.loop, [this] {
        if (this->cluster_view.config() == nullptr) {
          this->StartSync();
        }
      }) {}

Result<void> NodeCore::Start() {
  for (const std::string& ip : this->parts.settings.seed_ips) {
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
      Http1Server::Make(this->parts.loop, this->parts.settings.ip,
                        this->parts.settings.first_internal_port, handler);
  if (!server) {
    return tl::unexpected<Failure>(server.error());
  }
  this->internal_server = std::move(*server);
  if (this->parts.metrics_port != 0) {
    auto metrics = Http1Server::Make(this->parts.loop, this->parts.settings.ip,
                                     this->parts.metrics_port, handler);
    if (!metrics) {
      return tl::unexpected<Failure>(metrics.error());
    }
    this->metrics_server = std::move(*metrics);
  }
  this->registry.OnRegained(
      [this] { this->cluster_view.OnServiceRegained(this->parts.loop.Now()); });
  this->FindPeers();
  this->registry.Start();
  this->tick.StartRepeating(kTickPeriod);
  return {};
}

void NodeCore::Leave() {
  this->registry.Leave();
}

void NodeCore::FindPeers() {
  KeyRange keys;
  keys.first = std::string(NodeRegistry::Prefix());
  this->parts.store.GetRange(
      keys, /*keys_only=*/false, [this](const Result<KeyValueRange>& range) {
        if (range) {
          this->OnPeersFound(range->items);
        } else {
          this->parts.log.Info("peers_unknown", range.error().message);
          this->StartSync();
        }
      });
}

void NodeCore::OnPeersFound(const std::vector<KeyValue>& registrations) {
  this->NoteNodes(registrations);
  size_t gateways = 0;
  size_t before = 0;
  for (const KeyValue& item : registrations) {
    const auto node = NodeRegistry::Read(item);
    if (node && node->role == NodeRole::kGateway &&
        node->region == this->parts.settings.region &&
        node->ip != this->parts.settings.ip) {
      ++gateways;
      before += node->ip < this->parts.settings.ip ? 1 : 0;
    }
  }
  const bool first = this->role == NodeRole::kGateway &&
                     before < ReaderOptions{}.readers_in_outage;
  if (gateways == 0 || first) {
    this->StartSync();
  } else {
    this->start_timer.StartOnce(kStartPatience);
  }
}

void NodeCore::StartSync() {
  if (!this->sync_started) {
    this->sync_started = true;
    this->reads = true;
    this->sync.Start();
  }
}

void NodeCore::OnBeat(std::function<void(const Peer&)> callback) {
  this->peer_exchange.OnBeat(
      [this, callback = std::move(callback)](const Peer& peer) {
        callback(peer);
        if (!this->reads && this->Knows(peer)) {
          this->CatchUp();
        }
      });
}

bool NodeCore::StoreAnswers() const {
  return this->registry.answers() && !(this->reads && this->sync.failing());
}

bool NodeCore::ChooseToRead() const {
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
  return ReadsStore({}, {this->parts.instance, this->StoreAnswers()}, gateways);
}

void NodeCore::UpdateReading() {
  if (!this->sync_started && this->cluster_view.config() == nullptr) {
    return;
  }
  this->sync_started = true;
  const bool reads = this->ChooseToRead();
  if (reads != this->reads) {
    this->reads = reads;
    this->parts.log.Info(
        "store_reader",
        reads ? "this process watches the key-value service"
              : "gateways of the region watch the key-value service",
        {{"revision", this->cluster_view.revision()},
         {"store_answers", this->registry.answers()}});
  }
  this->sync.SetWatching(
      reads || this->cluster_view.config() == nullptr,
      this->role == NodeRole::kGateway ? this->cluster_view.revision() : 0);
  this->registry.SetReader(reads && this->role == NodeRole::kGateway);
}

wire::Beat NodeCore::MakeBeat(NodeState state) const {
  const NodeSettings& settings = this->parts.settings;
  wire::Beat beat;
  beat.instance = static_cast<int64_t>(this->parts.instance.value);
  beat.role = static_cast<int32_t>(this->role);
  beat.ip = settings.ip;
  beat.zone = settings.zone.value();
  beat.region = settings.region.value();
  if (settings.caller_address) {
    beat.caller_address = settings.caller_address->ToString();
  }
  beat.state = static_cast<int32_t>(state);
  beat.revision = this->cluster_view.revision();
  beat.operator_revision = this->cluster_view.operator_revision();
  beat.store_answers = this->StoreAnswers();
  return beat;
}

Http1Client& NodeCore::ClientOf(const SocketAddress& address) {
  auto& client = this->clients[address];
  if (!client) {
    client = std::make_unique<Http1Client>(
        this->parts.loop, address,
        Http1ClientOptions{.connect_timeout = kConnectTimeout});
  }
  return *client;
}

SocketAddress NodeCore::InternalAddress(const std::string& ip) const {
  return {ip, this->parts.settings.first_internal_port};
}

void NodeCore::NoteNodes(const std::vector<KeyValue>& items) {
  for (const KeyValue& item : items) {
    const auto address = NodeRegistry::AddressOf(item.key);
    if (address && !item.value.empty()) {
      this->peer_exchange.AddAddress(*address);
    }
  }
}

void NodeCore::LogChanges(const std::vector<ViewChange>& changes,
                          std::string_view source) {
  bool changed = false;
  for (const ViewChange& change : changes) {
    if (NodeRegistry::AddressOf(change.key)) {
      continue;
    }
    changed = changed || change.outcome != "older";
    this->parts.log.Info("document", change.outcome,
                         {{"key", change.key},
                          {"revision", change.revision},
                          {"source", source},
                          {"detail", change.detail}});
  }
  if (changed && this->on_view_changed) {
    this->on_view_changed();
  }
}

void NodeCore::HandleInternal(const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
  const auto path = PathWithoutQuery(request.path);
  if (path == kDocumentsPath) {
    responder->SendJson(
        200, EncodeDelta(this->cluster_view.MakeDelta(
                 ParseQuestion(request.path), this->parts.loop.Now())));
  } else if (path == kMetricsPath) {
    responder->Send(200, {{"content-type", "text/plain; version=0.0.4"}},
                    this->parts.metrics.Expose());
  } else if (!this->internal_handler ||
             !this->internal_handler(request, responder)) {
    responder->SendJson(404, R"({"error":{"code":"not_found"}})");
  }
}

void NodeCore::Tick() {
  const TimePoint now = this->parts.loop.Now();
  if (this->cluster_view.DropExpired(now) && this->on_view_changed) {
    this->on_view_changed();
  }
  this->UpdateReading();
  this->CatchUp();
}

void NodeCore::CatchUp() {
  const TimePoint now = this->parts.loop.Now();
  bool newer = false;
  for (const auto& [ip, peer] : this->peer_exchange.peers()) {
    newer = newer || (this->peer_exchange.Live(peer) && this->Knows(peer));
  }
  if (!newer) {
    this->behind = false;
    return;
  }
  if (!this->behind || this->behind_at != this->cluster_view.revision()) {
    this->behind = true;
    this->behind_at = this->cluster_view.revision();
    this->behind_since = now;
  }
  const bool relies_on_peers = !this->reads || this->sync.failing();
  if (relies_on_peers) {
    this->PullDocuments();
  }
  // Neither a silent watch nor peers that do not answer may keep this process
  // from news that others have.
  if (now - this->behind_since >
      (relies_on_peers ? kMostBehindPeers : kMostBehind)) {
    this->parts.log.Info("store_silent",
                         "peers know a newer revision; asking again",
                         {{"revision", this->cluster_view.revision()}});
    this->behind_since = now;
    this->sync.Restart();
    this->PullDocuments();
  }
}

// Whether `peer` has seen a change that concerns this process and that it has
// not seen.
bool NodeCore::Knows(const Peer& peer) const {
  if (peer.beat.operator_revision > this->cluster_view.operator_revision()) {
    return true;
  }
  return this->role == NodeRole::kGateway &&
         peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
         peer.beat.revision > this->cluster_view.revision();
}

const Peer* NodeCore::ChooseInformant() const {
  // Gateways hold all documents, stagers only the operators'.
  std::vector<const Peer*> near;
  std::vector<const Peer*> far;
  for (const auto& [ip, peer] : this->peer_exchange.peers()) {
    if (this->peer_exchange.Live(peer) &&
        peer.beat.role == static_cast<int32_t>(NodeRole::kGateway) &&
        this->Knows(peer)) {
      (this->peer_exchange.Near(peer) ? near : far).push_back(&peer);
    }
  }
  const bool waited =
      this->parts.loop.Now() - this->behind_since >= kNearPatience;
  const auto& choice = !near.empty() || !waited ? near : far;
  return choice.empty() ? nullptr
                        : choice[this->parts.random.Below(choice.size())];
}

void NodeCore::PullDocuments() {
  const TimePoint now = this->parts.loop.Now();
  if (this->pull || now - this->last_pull < kPullGap) {
    return;
  }
  const Peer* const informant = this->ChooseInformant();
  if (informant == nullptr) {
    return;
  }
  this->last_pull = now;
  HttpRequest request;
  request.path = std::string(kDocumentsPath) +
                 "?since=" + std::to_string(this->cluster_view.revision());
  if (this->role == NodeRole::kStager) {
    request.path += "&for=stager";
  }
  this->pull =
      this->ClientOf(this->InternalAddress(informant->ip))
          .Fetch(
              std::move(request), kPullTimeout,
              [this, ip = informant->ip](const Result<HttpResponse>& response) {
                const auto call = std::move(this->pull);
                this->OnPulled(ip, response);
              });
}

void NodeCore::OnPulled(const std::string& ip,
                        const Result<HttpResponse>& response) {
  if (!response || response->status != 200) {
    // Asked again with the next tick.
    this->parts.log.Debug(
        "peer_documents_failed",
        response ? "the peer refused" : response.error().message,
        {{"peer", ip}});
    return;
  }
  const auto delta = DecodeDelta(response->body);
  if (!delta) {
    this->parts.log.Warn("peer_documents_unreadable", delta.error().message,
                         {{"peer", ip}});
    return;
  }
  this->LogChanges(
      this->cluster_view.ApplyDelta(*delta, this->parts.loop.Now()), ip);
}

}  // namespace celerypost
