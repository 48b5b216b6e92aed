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

struct DocumentHead {
  std::string key;
  uint64_t number = 0;
};

// What peers tell each other (wire::Heartbeat).
struct GossipHeartbeat {
  std::vector<AgedStamp> stamps;
  std::vector<Member> members;
  std::vector<DocumentHead> documents;
  uint64_t members_digest = 0;
};

// Asks for a document (wire::PullDocument). The key kMembersKey asks for the
// whole member table, which comes as heartbeats.
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
  // Bounds of one heartbeat.
  size_t max_stamps = 10;
  size_t max_members = 16;
  size_t max_documents = 16;
  // Members per message when the whole table is sent.
  size_t table_part = 128;
  // A peer whose digest has differed for this long, while neither table
  // changed, is asked for its table: changes alone would have arrived by then.
  std::chrono::milliseconds digest_patience{2000};
  // The same while tables keep changing.
  std::chrono::milliseconds digest_patience_in_churn{6000};
  // All document numbers are announced again after this many heartbeats, in
  // case an announcement was lost.
  uint64_t announce_every = 40;
  // Shortest time between two requests for a table.
  std::chrono::milliseconds table_pull_gap{5000};
  // A pull without an answer is repeated at another peer after this time.
  std::chrono::milliseconds pull_timeout{300};
};

// Decides what to tell which peer (section 4.5). Each change of a member, a
// stamp or a document number crosses a connection at most once per direction.
class Gossip {
 public:
  Gossip(GossipOptions options,
         Membership& membership,
         Freshness& freshness,
         ConfigState& config);

  void OnConnected(InstanceId peer, TimePoint now);
  void OnDisconnected(InstanceId peer);

  // `transit` is an upper bound of the time that the heartbeat travelled;
  // without it the stamps are ignored. The answers go out with the next Flush.
  void OnHeartbeat(InstanceId from,
                   const GossipHeartbeat& heartbeat,
                   std::optional<Duration> transit,
                   TimePoint now);
  void OnPull(InstanceId from, const GossipPull& pull, TimePoint now);
  void OnDocument(InstanceId from,
                  const VersionedDocument& document,
                  TimePoint now);

  // A document that did not come from a peer. Returns whether it was newer.
  bool Offer(const VersionedDocument& document, TimePoint now);
  // A stamp that this process issued.
  void OnOwnStamp(const AgedStamp& stamp, TimePoint now);

  // Heartbeats for all peers; call once per heartbeat_period.
  std::vector<GossipMessage> Heartbeats(TimePoint now);
  // Answers, pulls and urgent news: documents, stamps with a new number, and
  // changes of member states. Call soon after each event.
  std::vector<GossipMessage> Flush(TimePoint now);
  // Whether Flush would return anything.
  bool HasUrgent() const;

  // Documents taken since the last call, for the owner to act on.
  std::vector<VersionedDocument> TakeNewDocuments();

 private:
  struct Peer {
    uint64_t sent_revision = 0;
    // Newest sequence per witness that was sent to or received from the peer.
    std::map<InstanceId, uint64_t> stamps;
    std::map<std::string, uint64_t, std::less<>> documents;
    // Document numbers that the peer announced.
    std::map<std::string, uint64_t, std::less<>> offers;
    uint64_t digest = 0;
    uint64_t own_digest = 0;
    uint64_t beats = 0;
    std::optional<TimePoint> differs_since;
    TimePoint stable_since;
  };
  struct Pull {
    InstanceId peer;
    uint64_t number = 0;
    TimePoint asked_at;
  };

  // `stamps` are those of Freshness::Stamps.
  GossipHeartbeat Build(InstanceId id,
                        Peer& peer,
                        const std::vector<AgedStamp>& stamps);
  bool Adopt(const VersionedDocument& document);
  void StartPulls(TimePoint now);
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
