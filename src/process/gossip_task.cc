#include "src/process/gossip_task.h"

#include <algorithm>
#include <utility>

#include "src/process/gossip_wire.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Delay before urgent messages are sent, so that events that arrive close
// together share one message.
constexpr milliseconds kFlushDelay{20};
// Heartbeats echo a clock reading of 31 bits in Header.attempt; 0 means none.
constexpr int64_t kEchoMask = 0x7fffffff;

// Returns the encoded size of `value` in bytes as a zigzag varint of Thrift.
size_t VarintBytes(int64_t value) {
  auto zigzag =
      (static_cast<uint64_t>(value) << 1) ^ static_cast<uint64_t>(value >> 63);
  size_t bytes = 1;
  for (; zigzag >= 0x80; zigzag >>= 7) {
    ++bytes;
  }
  return bytes;
}

// Returns the encoded size of a frame in bytes: 4 bytes of length, 5 bytes for
// the types of the four header fields and the end of the header, the fields'
// values, and the payload.
size_t FrameBytes(const Frame& frame) {
  return 4 + 5 + VarintBytes(frame.header.version) +
         VarintBytes(frame.header.kind) + VarintBytes(frame.header.request) +
         VarintBytes(frame.header.attempt) + frame.payload.size();
}

FreshnessOptions WithSelf(FreshnessOptions options, const Member& self) {
  options.self = self.instance;
  options.region = self.region;
  return options;
}

}  // namespace

GossipTask::GossipTask(GossipTaskOptions task_options,
                       Member self,
                       Scheduler& scheduler,
                       PeerTransport& transport,
                       KeyValueClient* key_value)
    : options(std::move(task_options)),
      scheduler(scheduler),
      transport(transport),
      key_value(key_value),
      clock_origin(scheduler.Now()),
      freshness_state(WithSelf(options.freshness, self)),
      members(options.membership, std::move(self)),
      gossip(options.gossip, members, freshness_state, config_state),
      alive(std::make_shared<bool>(true)) {}

GossipTask::~GossipTask() = default;

void GossipTask::Start() {
  this->OnMemberTableChanged();
  this->Tick();
  this->SendHeartbeats();
  this->Probe();
  if (this->key_value != nullptr) {
    this->StoreTick();
  }
}

void GossipTask::OnPeerConnected(const Member& peer) {
  const TimePoint now = this->scheduler.Now();
  this->echoes.erase(peer.instance);
  this->gossip.OnConnected(peer.instance, now);
  this->members.OnPeerConnected(peer, now);
  this->AfterEvent();
}

void GossipTask::OnPeerDisconnected(InstanceId peer) {
  this->echoes.erase(peer);
  this->gossip.OnDisconnected(peer);
  this->members.OnPeerDisconnected(peer, this->scheduler.Now());
}

void GossipTask::OnPeerHeard(InstanceId peer) {
  this->members.OnPeerHeard(peer, this->scheduler.Now());
}

Result<void> GossipTask::OnFrame(InstanceId from, const Frame& frame) {
  const TimePoint now = this->scheduler.Now();
  ++this->counts.frames_received;
  this->counts.bytes_received += FrameBytes(frame);
  this->members.OnPeerHeard(from, now);
  switch (frame.header.kind) {
    case wire::Kind::HEARTBEAT: {
      auto message = DecodeMessage<wire::Heartbeat>(frame);
      auto heartbeat =
          message ? FromWire(*message)
                  : Result<GossipHeartbeat>(tl::unexpected(message.error()));
      if (!heartbeat) {
        ++this->counts.bad_frames;
        return tl::unexpected<Failure>(heartbeat.error());
      }
      this->echoes[from] = Echo{frame.header.request, now};
      std::optional<Duration> transit;
      if (frame.header.attempt != 0) {
        // Adds 1 ms for the rounding of both clock readings.
        transit = milliseconds(
            ((this->WireClock() - frame.header.attempt) & kEchoMask) + 1);
      }
      this->gossip.OnHeartbeat(from, *heartbeat, transit, now);
      break;
    }
    case wire::Kind::PULL_DOCUMENT: {
      const auto message = DecodeMessage<wire::PullDocument>(frame);
      if (!message) {
        ++this->counts.bad_frames;
        return tl::unexpected<Failure>(message.error());
      }
      this->gossip.OnPull(from, GossipPull{message->key}, now);
      break;
    }
    case wire::Kind::DOCUMENT: {
      const auto message = DecodeMessage<wire::Document>(frame);
      if (!message || message->number < 0) {
        ++this->counts.bad_frames;
        return message ? NotRun(ErrorCode::kInvalidArgument,
                                "Document.number is below 0")
                       : tl::unexpected<Failure>(message.error());
      }
      this->gossip.OnDocument(
          from,
          VersionedDocument{message->key,
                            static_cast<uint64_t>(message->number),
                            message->bytes},
          now);
      break;
    }
    default:
      ++this->counts.bad_frames;
      return NotRun(ErrorCode::kInvalidArgument, "no message of gossip");
  }
  this->AfterEvent();
  return {};
}

void GossipTask::OnPlatformList(const std::vector<PlatformMember>& list) {
  this->members.OnPlatformList(list, this->scheduler.Now());
  this->freshness_state.SetListedEntries(
      this->members.ListedEntries(this->members.Self().region));
  this->AfterEvent();
}

void GossipTask::Offer(const VersionedDocument& document) {
  this->gossip.Offer(document, this->scheduler.Now());
  this->AfterEvent();
}

bool GossipTask::MayGiveNewWork() {
  return this->freshness_state.MayGiveNewWork(this->scheduler.Now());
}

void GossipTask::UpdateSelf(const std::function<void(Member&)>& change) {
  this->members.UpdateSelf(change);
  this->AfterEvent();
}

void GossipTask::SetLeaving() {
  this->members.SetLeaving();
  this->AfterEvent();
}

void GossipTask::OnDocument(
    std::function<void(const VersionedDocument&)> callback) {
  this->on_document = std::move(callback);
}

void GossipTask::OnMembersChanged(std::function<void()> callback) {
  this->on_members_changed = std::move(callback);
}

void GossipTask::Tick() {
  this->members.OnTick(this->scheduler.Now());
  // Handled once per tick: changes come in bursts, and choosing neighbours and
  // witnesses takes a pass over the whole table.
  if (this->seen_members_revision != this->members.revision()) {
    this->OnMemberTableChanged();
    if (this->on_members_changed) {
      this->on_members_changed();
    }
  }
  this->RefreshWitnesses();
  // Updates the admission state, which must not depend on whether another
  // component calls this.
  this->MayGiveNewWork();
  if (this->members.Self().role == Role::kEntry &&
      this->freshness_state.admitted()) {
    this->members.UpdateSelf([](Member& own) { own.warm = true; });
  }
  this->AfterEvent();
  this->tick_call =
      this->scheduler.After(this->options.tick, [this] { this->Tick(); });
}

void GossipTask::SendHeartbeats() {
  this->Deliver(this->gossip.Heartbeats(this->scheduler.Now()));
  this->heartbeat_call =
      this->scheduler.After(this->options.gossip.heartbeat_period,
                            [this] { this->SendHeartbeats(); });
}

void GossipTask::Probe() {
  auto addresses = this->members.UnknownAddresses();
  for (const std::string& seed : this->options.seeds) {
    if (this->members.FindByAddress(seed) == nullptr) {
      addresses.push_back(seed);
    }
  }
  if (!addresses.empty()) {
    this->transport.Probe(addresses[this->next_probe++ % addresses.size()]);
  }
  this->probe_call = this->scheduler.After(this->options.probe_period,
                                           [this] { this->Probe(); });
}

void GossipTask::OnMemberTableChanged() {
  this->seen_members_revision = this->members.revision();
  std::vector<PeerEndpoint> neighbours;
  for (const InstanceId instance : this->members.Neighbours()) {
    neighbours.push_back(
        PeerEndpoint{instance, this->members.Find(instance)->address});
  }
  this->transport.SetNeighbours(neighbours);
  this->proposed_witnesses.clear();
  for (const RegionName& region : this->members.Regions()) {
    this->proposed_witnesses[region] = this->members.Witnesses(region);
  }
  this->silent_members = this->members.MayStillRun();
  this->RefreshWitnesses();
}

void GossipTask::RefreshWitnesses() {
  for (const auto& [region, proposed] : this->proposed_witnesses) {
    this->freshness_state.SetWitnesses(region, proposed, this->silent_members,
                                       this->scheduler.Now());
  }
}

void GossipTask::ScheduleFlush() {
  if (this->flush_call != nullptr || !this->gossip.HasUrgent()) {
    return;
  }
  this->flush_call = this->scheduler.After(kFlushDelay, [this] {
    this->flush_call.reset();
    this->Deliver(this->gossip.Flush(this->scheduler.Now()));
    this->ScheduleFlush();
  });
}

void GossipTask::Deliver(std::vector<GossipMessage> messages) {
  const TimePoint now = this->scheduler.Now();
  for (const GossipMessage& message : messages) {
    std::string frame;
    if (const auto* heartbeat = std::get_if<GossipHeartbeat>(&message.body)) {
      int64_t echo = 0;
      if (const auto found = this->echoes.find(message.to);
          found != this->echoes.end()) {
        // Rounded down, so that the peer does not underestimate the travel
        // time.
        echo = (found->second.peer_clock + std::chrono::floor<milliseconds>(
                                               now - found->second.received_at)
                                               .count()) &
               kEchoMask;
        echo = echo == 0 ? kEchoMask : echo;
      }
      frame = EncodeFrame(wire::Kind::HEARTBEAT, this->WireClock(),
                          static_cast<int32_t>(echo), ToWire(*heartbeat));
    } else if (const auto* pull = std::get_if<GossipPull>(&message.body)) {
      wire::PullDocument out;
      out.key = pull->key;
      frame = EncodeFrame(wire::Kind::PULL_DOCUMENT, 0, 0, out);
    } else {
      const auto& document = std::get<VersionedDocument>(message.body);
      wire::Document out;
      out.key = document.key;
      out.number = static_cast<int64_t>(document.number);
      out.bytes = document.bytes;
      frame = EncodeFrame(wire::Kind::DOCUMENT, 0, 0, out);
    }
    ++this->counts.frames_sent;
    this->counts.bytes_sent += frame.size();
    this->transport.Send(message.to, std::move(frame));
  }
}

void GossipTask::AfterEvent() {
  for (const VersionedDocument& document : this->gossip.TakeNewDocuments()) {
    if (this->on_document) {
      this->on_document(document);
    }
  }
  if (this->config_state.number() > this->stamped_config_number &&
      this->freshness_state.IsWitness()) {
    // Other processes wait for this witness's confirmation of the new
    // configuration. The last answered read still bounds the age of its
    // information.
    const TimePoint now = this->scheduler.Now();
    const bool recent =
        this->answered_read &&
        now - *this->answered_read < this->options.freshness.max_age;
    this->IssueStamp(recent,
                     recent ? now - *this->answered_read : Duration::zero());
  }
  this->ScheduleFlush();
}

int64_t GossipTask::WireClock() const {
  // Never 0, which an echo uses for "none".
  return (std::chrono::floor<milliseconds>(this->scheduler.Now() -
                                           this->clock_origin)
              .count() +
          1) &
         kEchoMask;
}

}  // namespace celerypost
