#ifndef SRC_PROCESS_GOSSIP_TASK_H_
#define SRC_PROCESS_GOSSIP_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/connection/frame_codec.h"
#include "src/process/key_value_client.h"
#include "src/process/peer_transport.h"
#include "src/process/scheduler.h"
#include "src/process/state/config_state.h"
#include "src/process/state/freshness.h"
#include "src/process/state/gossip.h"
#include "src/process/state/membership.h"

namespace celerypost {

struct GossipTaskOptions {
  MembershipOptions membership;
  FreshnessOptions freshness;
  GossipOptions gossip;
  // Addresses of the peers to contact first.
  std::vector<std::string> seeds;
  std::chrono::milliseconds tick{50};
  // Time between two attempts to reach a seed or an unknown listed address.
  std::chrono::milliseconds probe_period{1000};
  // How often a witness reads the key-value service. Shorter than a third of
  // the age at which a stamp expires.
  std::chrono::milliseconds store_read_period{500};
  // Delay before a broken watch is reopened.
  std::chrono::milliseconds watch_retry{500};
};

struct GossipCounters {
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  // Frames rejected as malformed or with values out of range.
  uint64_t bad_frames = 0;
  // Values in the key-value service that could not be parsed as documents.
  uint64_t bad_documents = 0;
  // Values from reads or the watch that were an older version of a document
  // than the one in force.
  uint64_t store_regressions = 0;
};

// Owns the configuration, freshness and member table of one process, and keeps
// them current through its peers and, at witnesses, the key-value service.
class GossipTask {
 public:
  // `scheduler`, `transport` and `key_value` must outlive the task. `key_value`
  // is null at agents. `self` describes this process; options.freshness.self
  // and options.freshness.region are taken from it.
  GossipTask(GossipTaskOptions options,
             Member self,
             Scheduler& scheduler,
             PeerTransport& transport,
             KeyValueClient* key_value);
  ~GossipTask();
  GossipTask(const GossipTask&) = delete;
  GossipTask& operator=(const GossipTask&) = delete;

  void Start();

  // Called by the transport; see PeerTransport.
  void OnPeerConnected(const Member& peer);
  void OnPeerDisconnected(InstanceId peer);
  // Records that `peer` sent a frame that is not passed to OnFrame. Has no
  // caller.
  void OnPeerHeard(InstanceId peer);
  // Fails with kInvalidArgument for a frame that is malformed or of another
  // kind; it is counted and changes nothing else.
  Result<void> OnFrame(InstanceId from, const Frame& frame);

  // Called with each membership list read from the platform.
  void OnPlatformList(const std::vector<PlatformMember>& list);

  // Accepts a document that this process read from or wrote to the key-value
  // service, unless it already has one at least as new.
  void Offer(const VersionedDocument& document);

  bool MayGiveNewWork();
  // Changes this process's own member record, which is then sent to peers.
  void UpdateSelf(const std::function<void(Member&)>& change);
  void SetLeaving();

  // Sets the callback that runs on the loop for each newly accepted document.
  void OnDocument(std::function<void(const VersionedDocument&)> callback);
  // Sets the callback that runs when the member table may have changed.
  void OnMembersChanged(std::function<void()> callback);

  const ConfigState& config() const { return this->config_state; }
  const Membership& membership() const { return this->members; }
  const Freshness& freshness() const { return this->freshness_state; }
  const GossipCounters& counters() const { return this->counts; }

 private:
  void Tick();
  void SendHeartbeats();
  void Probe();
  void OnMemberTableChanged();
  void RefreshWitnesses();
  void ScheduleFlush();
  void Deliver(std::vector<GossipMessage> messages);
  void AfterEvent();
  // Returns the clock reading in milliseconds that peers echo; see Echo.
  int64_t WireClock() const;

  // Reads of the key-value service; only witnesses make them.
  void StoreTick();
  void ReadStore(bool keys_only);
  void OnStoreRead(TimePoint asked_at,
                   bool keys_only,
                   const Result<KeyValueRange>& range);
  void OpenWatch(int64_t from_revision);
  void ApplyStoredValue(const KeyValue& item);
  void IssueStamp(bool store_reachable, Duration age);

  // The last clock reading that a peer sent in a heartbeat. It is echoed to the
  // peer, advanced by the time since its receipt. The peer subtracts the echo
  // from its own clock and gets the round-trip time, an upper bound of the time
  // that a frame travels.
  struct Echo {
    int64_t peer_clock = 0;
    TimePoint received_at;
  };

  GossipTaskOptions options;
  Scheduler& scheduler;
  PeerTransport& transport;
  KeyValueClient* const key_value;
  const TimePoint clock_origin;
  ConfigState config_state;
  Freshness freshness_state;
  Membership members;
  Gossip gossip;
  std::map<InstanceId, Echo> echoes;
  uint64_t seen_members_revision = 0;
  std::map<RegionName, std::vector<InstanceId>> proposed_witnesses;
  std::set<InstanceId> silent_members;
  size_t next_probe = 0;
  GossipCounters counts;
  std::function<void(const VersionedDocument&)> on_document;
  std::function<void()> on_members_changed;

  bool store_read_pending = false;
  // Last known revisions by key; empty until the first full read.
  std::map<std::string, int64_t, std::less<>> store_revisions;
  // Revision of the service at the last read.
  int64_t store_revision = 0;
  bool store_loaded = false;
  // Send time of the last read that was answered.
  std::optional<TimePoint> answered_read;
  uint64_t stamped_config_number = 0;
  // The stored configuration is malformed or newer than the one in force, so a
  // read does not prove that the one in force is current.
  bool store_ahead = false;
  std::unique_ptr<KeyValueWatch> watch;

  std::unique_ptr<ScheduledCall> tick_call;
  std::unique_ptr<ScheduledCall> heartbeat_call;
  std::unique_ptr<ScheduledCall> probe_call;
  std::unique_ptr<ScheduledCall> flush_call;
  std::unique_ptr<ScheduledCall> store_call;
  std::unique_ptr<ScheduledCall> watch_call;
  // Held weakly by callbacks of the key-value client, which may run after the
  // task is destroyed.
  std::shared_ptr<bool> alive;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GOSSIP_TASK_H_
