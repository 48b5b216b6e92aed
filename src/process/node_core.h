#ifndef SRC_PROCESS_NODE_CORE_H_
#define SRC_PROCESS_NODE_CORE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "celerypost/random.h"
#include "src/connection/http1_client.h"
#include "src/connection/http1_server.h"
#include "src/connection/memory_budget.h"
#include "src/process/log.h"
#include "src/process/metrics.h"
#include "src/process/node_registry.h"
#include "src/process/node_settings.h"
#include "src/process/peer_exchange.h"
#include "src/process/state/cluster_view.h"
#include "src/process/state/region_directory.h"
#include "src/process/store_sync.h"

namespace celerypost {

// The objects that a gateway or stager and its NodeCore use; those held by
// reference must outlive them.
struct NodeDependencies {
  Loop& loop;
  Log& log;
  Metrics& metrics;
  Random& random;
  KeyValueClient& store;
  LeaseClient& leases;
  MemoryBudget& memory;
  const DocumentDecoder& decoder;
  const NodeSettings& settings;
  InstanceId instance;
  // Port that serves /metrics besides the internal port; 0 opens none.
  uint16_t metrics_port = 0;
};

// Returns the bound of what a process with these settings keeps for callers.
MemoryBudgetOptions CallerMemory(const NodeSettings& settings);

// The parts that gateways and stagers share: a copy of the documents in the
// key-value service, beats to and from peers, this process's registration, and
// the internal HTTP server, from which processes that do not read the key-value
// service fetch the documents.
class NodeCore {
 public:
  NodeCore(NodeDependencies dependencies, NodeRole role);

  // Binds the internal ports, registers this process and begins to read the
  // documents. Fails with kUnavailable.
  Result<void> Start();
  // Sets the callback that runs after documents have changed.
  void OnViewChanged(std::function<void()> callback) {
    this->on_view_changed = std::move(callback);
  }
  // Handles requests to the internal port other than those for documents and
  // metrics. Returns false for an unknown path, which is answered with 404.
  using InternalHandler =
      std::function<bool(const HttpRequest&,
                         const std::shared_ptr<HttpResponder>&)>;
  void OnInternalRequest(InternalHandler handler) {
    this->internal_handler = std::move(handler);
  }
  // Sets the callback that runs for each beat that arrives.
  void OnBeat(std::function<void(const Peer&)> callback);
  // Returns a beat with this process's identity, `state`, the revisions that it
  // has and whether the key-value service answers it.
  wire::Beat MakeBeat(NodeState state) const;
  // Removes this process's registration. `done` runs when the key-value service
  // has answered or there is nothing to remove.
  void Leave(std::function<void()> done);
  // What the connections of the internal HTTP server are at.
  Http1ServerWork internal_work() const {
    return this->internal_server->work();
  }

  const ClusterView& view() const { return this->cluster_view; }
  PeerExchange& exchange() { return this->peer_exchange; }
  const PeerExchange& exchange() const { return this->peer_exchange; }
  // Summaries of the other regions, which gateways exchange.
  RegionDirectory& regions() { return this->region_directory; }
  const RegionDirectory& regions() const { return this->region_directory; }
  // The processes that are registered in the key-value service, as far as this
  // process knows, by IP address. A process that ended without notice stays
  // registered until its lease has ended.
  const std::map<std::string, RegisteredNode>& registered_nodes() const {
    return this->nodes;
  }
  // Returns the HTTP client for `address`, which is made at the first call.
  Http1Client& ClientOf(const SocketAddress& address);
  // The address of the internal HTTP server of the process on the VM `ip`.
  SocketAddress InternalAddress(const std::string& ip) const;

 private:
  // Logs changes of documents and runs the callback unless all were older than
  // what is known; registrations are left out. `source` is "read", "watch" or a
  // peer's IP address.
  void ReportChanges(const std::vector<ViewChange>& changes,
                     std::string_view source);
  // Whether a change is to be logged: a document that stays unreadable for the
  // same reason is logged once.
  bool IsNewsForLog(const ViewChange& change);
  // Brings `nodes` in line with the registrations in `cluster_view` and adds
  // the processes of this region to the peers.
  void UpdateRegisteredNodes();
  void HandleInternal(const HttpRequest& request,
                      const std::shared_ptr<HttpResponder>& responder);
  // Returns the encoded answer to a request for documents. The processes of a
  // region ask for the same changes at the same moment, so the last answer is
  // kept.
  const std::string& EncodedDelta(const DocumentQuery& query);
  void Tick();
  // Reads the registrations of other processes, which tell whether gateways of
  // this region can supply the documents.
  void FindPeers();
  // A peer knows `era`. Only a response of the key-value service itself begins
  // it here; a process that watches the service reads it again.
  void OnEraOfPeer(int64_t era);
  void OnPeersFound(const std::vector<KeyValue>& registrations);
  void StartSync();
  bool StoreAnswers() const;
  // Whether this process should watch the key-value service itself instead of
  // relying on gateways of its region.
  bool ShouldReadStore() const;
  void UpdateStoreReading();
  // All that `peer` knows is known, so this process is as current as the peer.
  void NoteCurrentPeer(const Peer& peer);
  // The key-value service has answered a call.
  void NoteAnswer();
  // Takes over when the key-value service answered `peer`, and others that the
  // peer knows of.
  void NoteAnswersOfPeer(const Peer& peer);
  // Logs a new outage of the key-value service, or that there was none.
  void ReportOutage();
  // Fetches documents from a peer or restarts the watch if a live peer has had
  // newer ones for too long.
  void CatchUp();
  // How long this process waits for its peers when it relies on them.
  std::chrono::milliseconds MaxLagOverPeers() const;
  // Whether a process with `progress` has seen a change that concerns this
  // process and that this process has not seen. `is_gateway`: it holds all
  // documents.
  bool HasNewerDocuments(const DocumentProgress& progress,
                         bool is_gateway) const;
  bool HasNewerDocuments(const Peer& peer) const;
  // Whether a gateway has a newer configuration, which the key-value service
  // may lack after a restore, and may be asked for it.
  bool HasNewerConfig(const DocumentProgress& progress) const;
  // A response of the key-value service has named `era`.
  void OnEra(int64_t era);
  // Chooses a gateway to ask for newer documents: one of this region, or after
  // a delay one of another region. Returns its IP address, empty when there is
  // none to ask yet.
  std::string ChooseDocumentSource() const;
  void PullDocuments();
  void OnPulled(const std::string& ip, const Result<HttpResponse>& response);

  NodeDependencies dependencies;
  NodeRole role;
  ClusterView cluster_view;
  RegionDirectory region_directory;
  // By IP address, and the positions of the registrations, by key.
  std::map<std::string, RegisteredNode> nodes;
  std::map<std::string, StorePosition> node_positions;
  PeerExchange peer_exchange;
  StoreSync sync;
  NodeRegistry registry;
  Gauge& documents_age;
  Timer tick;
  std::unique_ptr<Http1Server> internal_server;
  std::unique_ptr<Http1Server> metrics_server;
  std::function<void()> on_view_changed;
  InternalHandler internal_handler;
  std::map<SocketAddress, std::unique_ptr<Http1Client>> clients;
  struct CachedDelta {
    DocumentQuery query;
    // ClusterView::changes of the documents in the answer.
    uint64_t changes = 0;
    TimePoint made_at{};
    std::string bytes;
  };
  CachedDelta last_delta;
  std::unique_ptr<HttpCall> pull;
  TimePoint last_pull{};
  Timer start_timer;
  bool sync_started = false;
  bool reads_store = false;
  // The newest era that a peer has told of.
  int64_t heard_era = 0;
  // While `behind`: when a peer first had a newer revision; set anew whenever
  // the own revision changes or CatchUp restarts the read.
  TimePoint behind_since{};
  bool behind = false;
  // The own position at `behind_since`.
  StorePosition behind_position;
  // When documents were last pulled for a newer configuration alone.
  TimePoint last_config_pull{};
  // The position at the last report of changes.
  StorePosition reported;
  // The outage at the last ReportOutage.
  std::optional<ServiceOutage> reported_outage;
  // Why documents could not be read, by key, as it was logged.
  std::map<std::string, std::string> unreadable_reasons;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_NODE_CORE_H_
