#ifndef SRC_PROCESS_RUNTIME_H_
#define SRC_PROCESS_RUNTIME_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "celerypost/random.h"
#include "src/connection/loop.h"
#include "src/process/audit_trail.h"
#include "src/process/gossip_task.h"
#include "src/process/log.h"
#include "src/process/loop_scheduler.h"
#include "src/process/membership_client.h"
#include "src/process/metrics.h"
#include "src/process/peer_mesh.h"
#include "src/process/settings.h"
#include "src/process/shared_peer_key.h"

namespace celerypost {

// The components that entries and agents share: the event loop, connections to
// peers, gossip and the client of the membership list.
class Runtime {
 public:
  struct Handlers {
    // Receives all frames other than those of gossip.
    std::function<void(PeerConnection&, Frame)> on_frame;
    std::function<void(PeerConnection&)> on_open;
    std::function<void(PeerConnection&)> on_closed;
    std::function<void(const VersionedDocument&)> on_document;
    std::function<void()> on_members_changed;
  };

  // Fails when the audit file cannot be opened.
  static Result<std::unique_ptr<Runtime>> Make(const CommonSettings& settings,
                                               Role role,
                                               ServiceName service);

  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  // Listens on the peer address and starts gossip. `key_value` is null at
  // agents. Fails when the address is in use.
  Result<void> Start(KeyValueClient* key_value, Handlers handlers);

  Loop loop;
  LoopScheduler scheduler;
  const InstanceId instance;
  PeerIdentity identity;
  Log log;
  Metrics metrics;
  SplitMixRandom random;
  std::unique_ptr<AuditTrail> audit;
  std::unique_ptr<PeerMesh> mesh;
  std::unique_ptr<GossipTask> gossip;

 private:
  Runtime(const CommonSettings& settings, Role role, ServiceName service);

  void OnFrame(PeerConnection& from, Frame frame);
  void OnOpen(PeerConnection& connection);
  void OnClosed(PeerConnection& connection, bool last, std::string_view reason);
  void OnDocument(const VersionedDocument& document);
  void OnPlatformList(std::vector<PlatformMember> list);
  void UpdateMetrics();
  // Logs that the event loop did not run for a while, with the processor time
  // that this process used meanwhile: little of it shows that the process was
  // not scheduled or waited in a system call.
  void CheckForPause();

  const CommonSettings settings;
  SharedPeerKey peer_key;
  Handlers handlers;
  std::unique_ptr<MembershipClient> membership_client;
  std::unique_ptr<Timer> metrics_timer;
  std::optional<TimePoint> last_update;
  std::chrono::milliseconds processor_time{0};
  bool membership_unavailable = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_RUNTIME_H_
