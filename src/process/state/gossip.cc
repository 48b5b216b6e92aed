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
  // Older changes are part of the table, which the digests compare.
  state.sent_revision = this->membership.revision();
  state.stable_since = now;
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
    uint64_t& known = peer.stamps[aged.stamp.witness];
    known = std::max(known, aged.stamp.sequence);
    const uint64_t before = this->freshness.NumberOf(aged.stamp.witness);
    if (this->freshness.OnStamp(aged.stamp, aged.age + *transit, now) &&
        aged.stamp.config_number > before && before > 0) {
      this->urgent = true;
    }
  }
  // Only parts of a whole table carry no digest. The sender of a table learns
  // what it does not know yet, such as the death of a member that still runs:
  // it passes that on, and the member itself contradicts.
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
    uint64_t& offered = peer.offers[document.key];
    offered = std::max(offered, document.number);
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
    // The peer need not be told of a document that it sent.
    uint64_t& known = peer->second.documents[document.key];
    known = std::max(known, document.number);
  }
  if (!this->Adopt(document) && peer != this->peers.end() &&
      this->config.NumberOf(document.key) < document.number) {
    // Malformed here; do not ask this peer for it again.
    peer->second.offers.erase(document.key);
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
    if (++peer.beats % this->options.announce_every == 0) {
      peer.documents.clear();
    }
    Append(messages, id, this->Build(id, peer, stamps));
  }
  return messages;
}

std::vector<GossipMessage> Gossip::Flush(TimePoint now) {
  // An announcement or its answer may have been lost.
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
    uint64_t& known = peer.stamps[aged.stamp.witness];
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
  // The rest goes out with the next message.
  this->urgent = this->urgent || changed.size() == this->options.max_members;
  for (const auto& [key, document] : this->config.documents()) {
    uint64_t& known = peer.documents[key];
    if (known >= document.number ||
        heartbeat.documents.size() >= this->options.max_documents) {
      continue;
    }
    known = document.number;
    const auto offer = peer.offers.find(key);
    if (offer == peer.offers.end() || offer->second < document.number) {
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
    for (const auto& [key, number] : peer.offers) {
      if (number <= this->config.NumberOf(key)) {
        continue;
      }
      const auto pull = this->pulls.find(key);
      if (pull != this->pulls.end() &&
          now - pull->second.asked_at < this->options.pull_timeout) {
        continue;
      }
      // After a timeout another peer is asked, if there is one.
      const bool other_offers =
          pull != this->pulls.end() && pull->second.peer == id &&
          std::any_of(
              this->peers.begin(), this->peers.end(),
              [&key = key, &id = id, &number = number](const auto& other) {
                const auto offer = other.second.offers.find(key);
                return other.first != id &&
                       offer != other.second.offers.end() &&
                       offer->second >= number;
              });
      if (other_offers) {
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
  const bool moved =
      std::exchange(peer.own_digest, own ^ peer.digest) != (own ^ peer.digest);
  if (!peer.differs_since) {
    peer.differs_since = now;
  }
  if (moved) {
    peer.stable_since = now;
  }
  const bool patient =
      now - peer.stable_since < this->options.digest_patience &&
      now - *peer.differs_since < this->options.digest_patience_in_churn;
  // A process that has just started asks the first peer at once.
  if (this->table_asked_at &&
      (patient || now - *this->table_asked_at < this->options.table_pull_gap)) {
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
       first += this->options.table_part) {
    GossipHeartbeat part;
    const size_t last = std::min(first + this->options.table_part, all.size());
    part.members.assign(all.begin() + static_cast<std::ptrdiff_t>(first),
                        all.begin() + static_cast<std::ptrdiff_t>(last));
    Append(this->outgoing, to, std::move(part));
  }
}

}  // namespace celerypost
