#include "src/process/state/gossip.h"

#include <algorithm>
#include <utility>

namespace celerypost {
namespace {

template <typename Body>
void Append(std::vector<GossipMessage>& messages, InstanceId to, Body body) {
  GossipMessage& message = messages.emplace_back();
  message.to = to;
  message.body.template emplace<Body>(std::move(body));
}

}  // namespace

Gossip::Gossip(GossipOptions options,
               Membership& membership,
               Freshness& freshness,
               ConfigState& config)
    : options(options),
      membership(membership),
      freshness(freshness),
      config(config) {}

void Gossip::OnConnected(InstanceId peer, TimePoint now) {
  Peer& state = this->peers[peer];
  state = Peer();
  // Older changes are not sent one by one: the digests show whether the tables
  // differ, and the whole table is then requested.
  state.sent_revision = this->membership.revision();
  state.unchanged_since = now;
  this->urgent = true;
}

void Gossip::OnDisconnected(InstanceId peer) {
  this->peers.erase(peer);
}

void Gossip::OnHeartbeat(InstanceId from,
                         const GossipHeartbeat& heartbeat,
                         std::optional<Duration> transit,
                         TimePoint now) {
  const auto found = this->peers.find(from);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  for (const AgedStamp& aged : heartbeat.stamps) {
    if (!transit) {
      break;
    }
    uint64_t& known = peer.known_stamps[aged.stamp.witness];
    known = std::max(known, aged.stamp.sequence);
    const uint64_t before = this->freshness.NumberOf(aged.stamp.witness);
    if (this->freshness.OnStamp(aged.stamp, aged.age + *transit, now) &&
        aged.stamp.config_number > before && before > 0) {
      this->urgent = true;
    }
  }
  // Only the parts of a whole table carry no digest. The sender of a table is
  // sent the newer records that it lacks, such as the death of a member that
  // still runs. It passes the record on to that member, which refutes it.
  GossipHeartbeat corrections;
  for (const Member& member : heartbeat.members) {
    if (!this->membership.OnGossip(member, from, now) &&
        heartbeat.members_digest == 0 && this->membership.KnowsNewer(member)) {
      corrections.members.push_back(*this->membership.Find(member.instance));
    }
  }
  if (!corrections.members.empty()) {
    Append(this->outgoing, from, std::move(corrections));
  }
  for (const DocumentHead& document : heartbeat.documents) {
    uint64_t& announced = peer.announced[document.key];
    announced = std::max(announced, document.number);
  }
  if (heartbeat.members_digest != 0) {
    peer.digest = heartbeat.members_digest;
    this->CheckDigest(from, peer, now);
  }
  this->StartPulls(now);
}

void Gossip::OnPull(InstanceId from, const GossipPull& pull, TimePoint) {
  if (pull.key == kMembersKey) {
    this->SendTable(from);
    return;
  }
  const VersionedDocument* const document = this->config.Find(pull.key);
  if (document != nullptr) {
    Append(this->outgoing, from, *document);
  }
}

void Gossip::OnDocument(InstanceId from,
                        const VersionedDocument& document,
                        TimePoint now) {
  const auto peer = this->peers.find(from);
  if (peer != this->peers.end()) {
    // A document is not announced to the peer that sent it.
    uint64_t& known = peer->second.known_documents[document.key];
    known = std::max(known, document.number);
  }
  if (!this->Adopt(document) && peer != this->peers.end() &&
      this->config.NumberOf(document.key) < document.number) {
    // The document is malformed. It is not requested from this peer again.
    peer->second.announced.erase(document.key);
  }
  this->pulls.erase(document.key);
  this->StartPulls(now);
}

bool Gossip::Offer(const VersionedDocument& document, TimePoint) {
  return this->Adopt(document);
}

void Gossip::OnOwnStamp(const AgedStamp&, TimePoint) {
  this->urgent = true;
}

std::vector<GossipMessage> Gossip::Heartbeats(TimePoint now) {
  std::vector<GossipMessage> messages = this->Flush(now);
  const auto stamps = this->freshness.Stamps(now);
  for (auto& [id, peer] : this->peers) {
    if (++peer.heartbeats % this->options.reannounce_period == 0) {
      peer.known_documents.clear();
    }
    Append(messages, id, this->Build(id, peer, stamps));
  }
  return messages;
}

std::vector<GossipMessage> Gossip::Flush(TimePoint now) {
  // Repeats pulls that timed out, as a pull or its answer may have been lost.
  this->StartPulls(now);
  std::vector<GossipMessage> messages;
  messages.swap(this->outgoing);
  const bool members_changed = this->membership.TakeUrgent();
  if (!std::exchange(this->urgent, false) && !members_changed) {
    return messages;
  }
  const auto stamps = this->freshness.Stamps(now);
  for (auto& [id, peer] : this->peers) {
    GossipHeartbeat heartbeat = this->Build(id, peer, stamps);
    if (!heartbeat.stamps.empty() || !heartbeat.members.empty() ||
        !heartbeat.documents.empty()) {
      Append(messages, id, std::move(heartbeat));
    }
  }
  return messages;
}

bool Gossip::HasUrgent() const {
  return this->urgent || !this->outgoing.empty() ||
         this->membership.HasUrgent();
}

std::vector<VersionedDocument> Gossip::TakeNewDocuments() {
  return std::exchange(this->new_documents, {});
}

GossipHeartbeat Gossip::Build(InstanceId id,
                              Peer& peer,
                              const std::vector<AgedStamp>& stamps) {
  GossipHeartbeat heartbeat;
  heartbeat.members_digest = this->membership.Digest();
  for (const AgedStamp& aged : stamps) {
    uint64_t& known = peer.known_stamps[aged.stamp.witness];
    if (aged.stamp.witness == id || known >= aged.stamp.sequence ||
        heartbeat.stamps.size() >= this->options.max_stamps) {
      continue;
    }
    known = aged.stamp.sequence;
    heartbeat.stamps.push_back(aged);
  }
  const auto changed = this->membership.ChangedSince(peer.sent_revision, id,
                                                     this->options.max_members);
  for (const auto& [revision, instance] : changed) {
    heartbeat.members.push_back(*this->membership.Find(instance));
  }
  peer.sent_revision = changed.size() < this->options.max_members
                           ? this->membership.revision()
                           : changed.back().first;
  // The remaining changes are sent with the next message.
  this->urgent = this->urgent || changed.size() == this->options.max_members;
  for (const auto& [key, document] : this->config.documents()) {
    uint64_t& known = peer.known_documents[key];
    if (known >= document.number ||
        heartbeat.documents.size() >= this->options.max_documents) {
      continue;
    }
    known = document.number;
    const auto announcement = peer.announced.find(key);
    if (announcement == peer.announced.end() ||
        announcement->second < document.number) {
      heartbeat.documents.push_back(DocumentHead{key, document.number});
    }
  }
  return heartbeat;
}

bool Gossip::Adopt(const VersionedDocument& document) {
  if (!this->config.Offer(document)) {
    return false;
  }
  this->freshness.SetNumber(this->config.number());
  this->new_documents.push_back(document);
  this->urgent = true;
  return true;
}

void Gossip::StartPulls(TimePoint now) {
  for (const auto& [id, peer] : this->peers) {
    for (const auto& [key, number] : peer.announced) {
      if (number <= this->config.NumberOf(key)) {
        continue;
      }
      const auto pull = this->pulls.find(key);
      if (pull != this->pulls.end() &&
          now - pull->second.asked_at < this->options.pull_timeout) {
        continue;
      }
      // After a timeout the document is requested from another peer that
      // announced it, if there is one.
      const bool another_announced_it =
          pull != this->pulls.end() && pull->second.peer == id &&
          std::any_of(
              this->peers.begin(), this->peers.end(),
              [&key = key, &id = id, &number = number](const auto& other) {
                const auto announcement = other.second.announced.find(key);
                return other.first != id &&
                       announcement != other.second.announced.end() &&
                       announcement->second >= number;
              });
      if (another_announced_it) {
        continue;
      }
      this->pulls[key] = Pull{id, number, now};
      Append(this->outgoing, id, GossipPull{key});
    }
  }
}

void Gossip::CheckDigest(InstanceId from, Peer& peer, TimePoint now) {
  const uint64_t own = this->membership.Digest();
  if (peer.digest == own) {
    peer.differs_since.reset();
    return;
  }
  const bool tables_changed =
      std::exchange(peer.digest_difference, own ^ peer.digest) !=
      (own ^ peer.digest);
  if (!peer.differs_since) {
    peer.differs_since = now;
  }
  if (tables_changed) {
    peer.unchanged_since = now;
  }
  const bool within_delay =
      now - peer.unchanged_since < this->options.digest_mismatch_delay &&
      now - *peer.differs_since < this->options.digest_mismatch_delay_in_churn;
  // A process that has just started requests the first peer's table at once.
  if (this->table_asked_at &&
      (within_delay ||
       now - *this->table_asked_at < this->options.min_table_pull_gap)) {
    return;
  }
  this->table_asked_at = now;
  peer.differs_since.reset();
  Append(this->outgoing, from, GossipPull{std::string(kMembersKey)});
}

void Gossip::SendTable(InstanceId to) {
  std::vector<Member> all;
  for (const Member* member : this->membership.NotDead()) {
    all.push_back(*member);
  }
  for (const InstanceId dead : this->membership.Dead()) {
    all.push_back(*this->membership.Find(dead));
  }
  for (size_t first = 0; first < all.size();
       first += this->options.max_members_per_table_part) {
    GossipHeartbeat part;
    const size_t last =
        std::min(first + this->options.max_members_per_table_part, all.size());
    part.members.assign(all.begin() + static_cast<std::ptrdiff_t>(first),
                        all.begin() + static_cast<std::ptrdiff_t>(last));
    Append(this->outgoing, to, std::move(part));
  }
}

}  // namespace celerypost
