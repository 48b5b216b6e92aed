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
  // Peer addresses to ask first.
  std::vector<std::string> seeds;
  std::chrono::milliseconds tick{50};
  // Time between two attempts to reach a seed or an unknown listed address.
  std::chrono::milliseconds probe_period{1000};
  // A witness asks the key-value service this often; shorter than a third of
  // the age at which a stamp counts for nothing.
  std::chrono::milliseconds store_read_period{500};
  // Pause before a broken watch is opened again.
  std::chrono::milliseconds watch_retry{500};
};

struct GossipCounters {
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  // Frames that were refused: malformed, or with values out of range.
  uint64_t bad_frames = 0;
  // Values in the key-value service that are no documents.
  uint64_t bad_documents = 0;
  // Reads that showed an older document than the one in force.
  uint64_t store_went_back = 0;
};

// Owns the configuration, freshness and member table of one process, and keeps
// them current through its peers and, at witnesses, the key-value service.
class GossipTask {
 public:
  // `key_value` is null at agents; it must outlive the task, as must the
  // others. `self` is this process; options.freshness.self and region are
  // taken from it.
  GossipTask(GossipTaskOptions options,
             Member self,
             Scheduler& scheduler,
             PeerTransport& transport,
             KeyValueClient* key_value);
  ~GossipTask();
  GossipTask(const GossipTask&) = delete;
  GossipTask& operator=(const GossipTask&) = delete;

  void Start();

  // From the transport; see PeerTransport.
  void OnPeerConnected(const Member& peer);
  void OnPeerDisconnected(InstanceId peer);
  // Any frame or pong of another kind that came from `peer`.
  void OnPeerHeard(InstanceId peer);
  void OnFrame(InstanceId from, const Frame& frame);

  // From the membership client.
  void OnPlatformList(const std::vector<PlatformMember>& list);

  // A document that this process read from or wrote to the key-value service.
  void Offer(const VersionedDocument& document);

  bool MayGiveNewWork();
  // Changes this process's own record, which peers then learn.
  void UpdateSelf(const std::function<void(Member&)>& change);
  void SetLeaving();

  // Runs after each document that this process took, from the loop.
  void OnDocument(std::function<void(const VersionedDocument&)> callback);
  // Runs when the member table may have changed.
  void OnMembersChanged(std::function<void()> callback);

  const ConfigState& config() const { return this->config_state; }
  const Membership& membership() const { return this->members; }
  const Freshness& freshness() const { return this->fresh; }
  const GossipCounters& counters() const { return this->counts; }

 private:
  void Tick();
  void Beat();
  void Probe();
  void OnTableChanged();
  void RefreshWitnesses();
  void ScheduleFlush();
  void Deliver(std::vector<GossipMessage> messages);
  void AfterEvent();
  // Clock reading that peers echo; see Echo.
  int64_t WireClock() const;

  // Key-value service, at witnesses.
  void StoreTick();
  void ReadStore(bool keys_only);
  void OnStoreRead(TimePoint asked_at,
                   bool keys_only,
                   const Result<KeyValueRange>& range);
  void OpenWatch(int64_t from_revision);
  void TakeFromStore(const KeyValue& item);
  void IssueStamp(bool store_reachable, Duration age);

  // What a peer's heartbeats said about its clock, to bound the time that its
  // frames travel: an echo is its reading of our clock, moved on by the time it
  // held it, so the difference from our clock covers both directions.
  struct Echo {
    int64_t peer_clock = 0;
    TimePoint received_at;
  };

  GossipTaskOptions options;
  Scheduler& scheduler;
  PeerTransport& transport;
  KeyValueClient* const key_value;
  const TimePoint origin;
  ConfigState config_state;
  Freshness fresh;
  Membership members;
  Gossip gossip;
  std::map<InstanceId, Echo> echoes;
  uint64_t seen_revision = 0;
  std::map<RegionName, std::vector<InstanceId>> proposed_witnesses;
  std::set<InstanceId> silent_members;
  size_t next_probe = 0;
  GossipCounters counts;
  std::function<void(const VersionedDocument&)> on_document;
  std::function<void()> on_members_changed;

  // A read is under way.
  bool reading = false;
  // Last known revisions by key; empty until the first whole read.
  std::map<std::string, int64_t, std::less<>> store_revisions;
  bool loaded = false;
  // When the last answered read was sent.
  std::optional<TimePoint> answered_read;
  uint64_t stamped_number = 0;
  // The stored configuration is malformed or newer than the one in force, so a
  // read proves nothing about this process's number.
  bool store_ahead = false;
  std::unique_ptr<KeyValueWatch> watch;

  std::unique_ptr<ScheduledCall> tick_call;
  std::unique_ptr<ScheduledCall> beat_call;
  std::unique_ptr<ScheduledCall> probe_call;
  std::unique_ptr<ScheduledCall> flush_call;
  std::unique_ptr<ScheduledCall> store_call;
  std::unique_ptr<ScheduledCall> watch_call;
  // Callbacks of the key-value client that outlive the task check this.
  std::shared_ptr<bool> alive;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GOSSIP_TASK_H_
