#ifndef SRC_PROCESS_AGENT_PROCESS_H_
#define SRC_PROCESS_AGENT_PROCESS_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/connection/http_client.h"
#include "src/connection/http_server.h"
#include "src/connection/sentinel.h"
#include "src/process/drain_policy.h"
#include "src/process/engine_client.h"
#include "src/process/origin_client.h"
#include "src/process/runtime.h"
#include "src/process/weight_task.h"
#include "src/request/task/slot_hand_off.h"
#include "src/request/task/work_service.h"
#include "src/version/link_pacer.h"
#include "src/version/memory_chunk_store.h"
#include "src/version/task/chunk_exchange.h"

namespace celerypost {

// The process of `celerypost agent`: the only one that sends work or orders to
// its target.
class AgentProcess {
 public:
  // Fails when an address is in use or the audit file cannot be opened.
  static Result<std::unique_ptr<AgentProcess>> Make(
      const AgentSettings& settings);

  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  // Returns after SIGTERM or SIGINT, once the requests in flight have ended.
  void Run();

 private:
  // Components that only an agent of a model engine has.
  struct Weights {
    std::unique_ptr<HttpEngineClient> engine;
    std::unique_ptr<OriginClient> origin;
    std::unique_ptr<MemoryChunkStore> store;
    std::unique_ptr<LinkPacer> pacer;
    std::unique_ptr<ChunkExchange> exchange;
    std::unique_ptr<WeightTask> task;
    // Hexadecimal digest of the weight set that the target served when its
    // state last changed; empty when it served none.
    std::string serving_digest;
  };

  AgentProcess(const AgentSettings& settings, std::unique_ptr<Runtime> runtime);

  Result<void> Start();
  void MakeWeights();
  void OnFrame(PeerConnection& from, Frame frame);
  void OnOpen(PeerConnection& connection);
  void OnClosed(PeerConnection& connection);
  void OnDocument(const VersionedDocument& document);
  void OnMembersChanged();
  void OnTargetOpened();
  void OnTargetClosed();
  void OnStartId(std::string_view start_id);
  void OnWeightsChanged();
  void ReadManifest();
  void ReadSlots(const VersionedDocument& document);
  void OnTick();
  std::string FindStopReason() const;
  std::vector<InstanceId> HandOffCandidates() const;
  void UpdateMember();
  void UpdateWeightMetrics();
  void Drain();

  const AgentSettings settings;
  std::unique_ptr<Runtime> runtime;
  HttpClient target;
  std::mt19937_64 weight_random;
  std::unique_ptr<WorkService> work;
  std::unique_ptr<SlotHandOff> hand_off;
  std::unique_ptr<Weights> weights;
  std::unique_ptr<Sentinel> sentinel;
  std::unique_ptr<HttpCall> health_call;
  std::unique_ptr<HttpServer> http_server;
  std::unique_ptr<Timer> tick;
  std::vector<InstanceId> chunk_peers;
  std::string start_id;
  // Whether the manifest places the service in this agent's zone.
  bool placed = false;
  bool leaving = false;
  DrainPolicy drain_policy;
  TimePoint leaving_since;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_AGENT_PROCESS_H_
