#ifndef SRC_PROCESS_STATE_GOSSIP_H_
#define SRC_PROCESS_STATE_GOSSIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "celerypost/types.h"
#include "src/process/state/config_state.h"
#include "src/process/state/freshness.h"
#include "src/process/state/membership.h"

namespace celerypost {

// The key and the newest number of a document, without its content.
struct DocumentHead {
  std::string key;
  uint64_t number = 0;
};

// Changes that are sent to a peer, or a part of the member table
// (wire::Heartbeat).
struct GossipHeartbeat {
  std::vector<AgedStamp> stamps;
  std::vector<Member> members;
  std::vector<DocumentHead> documents;
  // Membership::Digest of the sender; 0 in parts of a whole member table.
  uint64_t members_digest = 0;
};

// Requests a document (wire::PullDocument). The key kMembersKey requests the
// whole member table, which is sent as heartbeats.
struct GossipPull {
  std::string key;
};

inline constexpr std::string_view kMembersKey = "celerypost/members";

// A message to one connected peer.
struct GossipMessage {
  InstanceId to;
  std::variant<GossipHeartbeat, GossipPull, VersionedDocument> body;
};

struct GossipOptions {
  std::chrono::milliseconds heartbeat_period{500};
  // Maximum numbers of items in one heartbeat.
  size_t max_stamps = 10;
  size_t max_members = 16;
  size_t max_documents = 16;
  // Maximum number of members per message when the whole table is sent.
  size_t max_members_per_table_part = 128;
  // The table of a peer is requested when its digest has differed for this long
  // without a change of either table; pending changes would have arrived by
  // then.
  std::chrono::milliseconds digest_mismatch_delay{2000};
  // The same while the tables keep changing.
  std::chrono::milliseconds digest_mismatch_delay_in_churn{6000};
  // All document numbers are announced again after this many heartbeats, in
  // case an announcement was lost.
  uint64_t reannounce_period = 40;
  // Minimum time between two requests for a table.
  std::chrono::milliseconds min_table_pull_gap{5000};
  // A pull without an answer is sent to another peer after this time.
  std::chrono::milliseconds pull_timeout{300};
};

// Decides what to send to which peer (section 4.5). Each change of a member, a
// stamp or a document number crosses a connection at most once per direction,
// apart from the repetitions in case of loss (see GossipOptions).
class Gossip {
 public:
  Gossip(GossipOptions options,
         Membership& membership,
         Freshness& freshness,
         ConfigState& config);

  void OnConnected(InstanceId peer, TimePoint now);
  void OnDisconnected(InstanceId peer);

  // `transit` is an upper bound of the time that the heartbeat was in transit;
  // without it the stamps are ignored. Answers are returned by the next Flush.
  void OnHeartbeat(InstanceId from,
                   const GossipHeartbeat& heartbeat,
                   std::optional<Duration> transit,
                   TimePoint now);
  void OnPull(InstanceId from, const GossipPull& pull, TimePoint now);
  void OnDocument(InstanceId from,
                  const VersionedDocument& document,
                  TimePoint now);

  // Takes a document that did not come from a peer. Returns whether it was
  // stored (see ConfigState::Offer).
  bool Offer(const VersionedDocument& document, TimePoint now);
  // Call when this process has issued a stamp.
  void OnOwnStamp(const AgedStamp& stamp, TimePoint now);

  // Returns what Flush returns and a heartbeat for each peer. Call once per
  // heartbeat_period.
  std::vector<GossipMessage> Heartbeats(TimePoint now);
  // Returns answers, pulls and urgent changes: documents, stamps with a new
  // number and changes of member states. Call soon after each event.
  std::vector<GossipMessage> Flush(TimePoint now);
  // Returns whether Flush has something to send.
  bool HasUrgent() const;

  // Returns the documents stored since the last call, for the owner to act on.
  std::vector<VersionedDocument> TakeNewDocuments();

 private:
  struct Peer {
    // Revision of the member table up to which changes were sent to the peer.
    uint64_t sent_revision = 0;
    // Newest sequence per witness that was sent to or received from the peer.
    std::map<InstanceId, uint64_t> known_stamps;
    // Newest number per document that was sent to or received from the peer.
    std::map<std::string, uint64_t, std::less<>> known_documents;
    // Newest number per document that the peer announced.
    std::map<std::string, uint64_t, std::less<>> announced;
    // Digest of the peer's member table.
    uint64_t digest = 0;
    // XOR of both member table digests; it changes when either table does.
    uint64_t digest_difference = 0;
    uint64_t heartbeats = 0;
    std::optional<TimePoint> differs_since;
    // When `digest_difference` last changed.
    TimePoint unchanged_since;
  };
  struct Pull {
    InstanceId peer;
    uint64_t number = 0;
    TimePoint asked_at;
  };

  // Builds a heartbeat of the changes that `peer` lacks and notes them as sent.
  // `stamps` are those of Freshness::Stamps.
  GossipHeartbeat Build(InstanceId id,
                        Peer& peer,
                        const std::vector<AgedStamp>& stamps);
  bool Adopt(const VersionedDocument& document);
  // Requests announced documents that are newer than the known ones.
  void StartPulls(TimePoint now);
  // Requests the peer's member table if the digests have differed for too long.
  void CheckDigest(InstanceId from, Peer& peer, TimePoint now);
  void SendTable(InstanceId to);

  const GossipOptions options;
  Membership& membership;
  Freshness& freshness;
  ConfigState& config;
  std::map<InstanceId, Peer> peers;
  std::map<std::string, Pull, std::less<>> pulls;
  std::vector<GossipMessage> outgoing;
  std::vector<VersionedDocument> new_documents;
  std::optional<TimePoint> table_asked_at;
  bool urgent = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_GOSSIP_H_
