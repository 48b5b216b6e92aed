#include "tests/support/virtual_fleet.h"

#include <algorithm>

#include "src/connection/frame_codec.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLatencyWithinRegion{1};
constexpr milliseconds kLatencyBetweenRegions{2};
constexpr milliseconds kLinkMaintenancePeriod{200};
constexpr milliseconds kProbeLinkLifetime{5000};
constexpr milliseconds kPlatformPeriod{2000};
constexpr milliseconds kCheckPeriod{50};
// An accepted change must be in force after this time (P3, P9).
constexpr milliseconds kInForceDeadline{2000};
constexpr std::chrono::seconds kSettleTime{10};
constexpr size_t kMaxViolations = 20;

Result<std::set<ZoneName>> AnyManifest(const nlohmann::json&,
                                       const ZoneMap& known) {
  std::set<ZoneName> zones;
  for (const auto& [zone, region] : known) {
    zones.insert(zone);
  }
  return zones;
}

// Defers the timers of a paused process.
class NodeScheduler : public Scheduler {
 public:
  NodeScheduler(VirtualTime& time, const FleetNode& node)
      : time(time), node(node) {}

  TimePoint Now() const override { return this->time.Now(); }
  milliseconds UnixTime() const override { return this->time.UnixTime(); }
  std::unique_ptr<ScheduledCall> After(milliseconds delay,
                                       std::function<void()> task) override {
    auto active = std::make_shared<bool>(true);
    this->Arm(this->time.Now() + delay, active, std::move(task));
    return std::make_unique<Call>(active);
  }

 private:
  struct Call : ScheduledCall {
    explicit Call(std::shared_ptr<bool> active) : active(std::move(active)) {}
    ~Call() override { *this->active = false; }
    std::shared_ptr<bool> active;
  };

  void Arm(TimePoint when,
           const std::shared_ptr<bool>& active,
           std::function<void()> task) {
    this->time.At(when, [this, active, task = std::move(task)]() mutable {
      if (!*active) {
        return;
      }
      if (this->node.paused_until > this->time.Now()) {
        this->Arm(this->node.paused_until, active, std::move(task));
        return;
      }
      task();
    });
  }

  VirtualTime& time;
  const FleetNode& node;
};

}  // namespace

class FleetTransport : public PeerTransport {
 public:
  FleetTransport(VirtualFleet& fleet, size_t self) : fleet(fleet), self(self) {}

  void SetNeighbours(const std::vector<PeerEndpoint>& neighbours) override {
    this->fleet.SetWantedPeers(this->self, neighbours);
  }
  void Probe(const std::string& address) override {
    const auto found = this->fleet.by_address.find(address);
    if (found == this->fleet.by_address.end() || found->second == this->self) {
      return;
    }
    const auto key = std::minmax(this->self, found->second);
    this->fleet.links[key].probe_until =
        this->fleet.time.Now() + kProbeLinkLifetime;
    this->fleet.Connect(this->self, found->second);
  }
  void Send(InstanceId peer, std::string frame) override {
    const auto found = this->fleet.by_instance.find(peer.value);
    if (found != this->fleet.by_instance.end()) {
      this->fleet.Deliver(this->self, found->second, frame);
    }
  }

 private:
  VirtualFleet& fleet;
  const size_t self;
};

VirtualFleet::VirtualFleet(FleetOptions fleet_options)
    : options(std::move(fleet_options)),
      store(time, options.seed + 1),
      random(options.seed) {
  const size_t zones = this->options.regions * this->options.zones_per_region;
  for (size_t i = 0; i < this->options.entries + this->options.agents; ++i) {
    auto node = std::make_unique<FleetNode>();
    node->index = i;
    const bool entry = i < this->options.entries;
    node->self.role = entry ? Role::kEntry : Role::kAgent;
    node->self.zone = celerypost::ZoneName(this->ZoneName(i % zones));
    node->self.region = RegionName(
        "region-" + std::to_string(i % zones / this->options.zones_per_region));
    node->self.service = ServiceName(entry ? "" : "summary-llm");
    node->self.address = "10.0." + std::to_string(i / 250) + "." +
                         std::to_string(i % 250) + ":7000";
    node->self.http_address = "10.0." + std::to_string(i / 250) + "." +
                              std::to_string(i % 250) + ":8000";
    this->by_address[node->self.address] = i;
    this->nodes.push_back(std::move(node));
  }
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    this->Start(i);
  }
  for (size_t i = 0; this->options.preload && i < this->nodes.size(); ++i) {
    for (const auto& other : this->nodes) {
      this->nodes[i]->gossip->OnPeerConnected(other->self);
      this->nodes[i]->gossip->OnPeerDisconnected(other->self.instance);
    }
  }
  this->MaintainLinks();
  this->SendPlatformList();
}

VirtualFleet::~VirtualFleet() {
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    this->nodes[i]->commits.reset();
    this->nodes[i]->gossip.reset();
  }
}

std::string VirtualFleet::ZoneName(size_t index) const {
  return "zone-" + std::to_string(index);
}

void VirtualFleet::Stop(size_t index) {
  FleetNode& node = *this->nodes[index];
  node.running = false;
  node.commits.reset();
  node.gossip.reset();
  node.wanted.clear();
  this->listed_until[index] = this->time.Now() + this->options.platform_lag;
  for (auto& [key, link] : this->links) {
    if (key.first == index || key.second == index) {
      link.wanted_by.clear();
      link.probe_until = TimePoint();
      this->Close(key.first, key.second);
    }
  }
  this->by_instance.erase(node.self.instance.value);
}

void VirtualFleet::Start(size_t index) {
  FleetNode& node = *this->nodes[index];
  node.self.instance = InstanceId{this->random()};
  node.self.incarnation = static_cast<uint64_t>(this->time.UnixTime().count());
  node.running = true;
  node.started_at = this->time.Now();
  node.paused_until = TimePoint();
  this->listed_until.erase(index);
  this->by_instance[node.self.instance.value] = index;
  GossipTaskOptions task = this->options.task;
  for (int i = 0; i < 3; ++i) {
    task.seeds.push_back(
        this->nodes[this->random() % this->nodes.size()]->self.address);
  }
  const size_t region =
      index % (this->options.regions * this->options.zones_per_region) /
      this->options.zones_per_region;
  // Callbacks that the store still holds outlive a stopped process.
  node.scheduler.reset();
  node.scheduler = std::make_unique<NodeScheduler>(this->time, node);
  node.transport = std::make_unique<FleetTransport>(*this, index);
  const bool entry = node.self.role == Role::kEntry;
  if (entry) {
    node.key_value = this->store.MakeClient([this, region, &node] {
      return (region == 0 || !this->cut_regions.contains(region)) &&
             !this->cut_nodes.contains(node.index) &&
             node.paused_until <= this->time.Now();
    });
  }
  node.gossip = std::make_unique<GossipTask>(
      task, node.self, *node.scheduler, *node.transport, node.key_value.get());
  node.gossip->OnDocument([this, index, last = uint64_t{0}](
                              const VersionedDocument& document) mutable {
    if (document.key == kConfigKey) {
      if (document.number <= last) {
        this->Fail("node " + std::to_string(index) +
                   " went from configuration number " + std::to_string(last) +
                   " to " + std::to_string(document.number));
      }
      last = document.number;
      ++this->adopted[document.number].first;
      this->adopted[document.number].second = this->time.Now();
    }
  });
  if (entry) {
    node.commits = std::make_unique<CommitTask>(
        this->options.commit, *node.scheduler, *node.key_value, *node.gossip,
        AnyManifest);
  }
  // Staggers the starts of the processes.
  this->time.At(this->time.Now() + milliseconds(this->random() % 500),
                [this, index, instance = node.self.instance] {
                  FleetNode& target = *this->nodes[index];
                  if (target.running && target.self.instance == instance) {
                    target.gossip->Start();
                  }
                });
}

void VirtualFleet::Pause(size_t index, Duration span) {
  this->nodes[index]->paused_until = this->time.Now() + span;
}

void VirtualFleet::CutRegion(size_t region, bool is_cut) {
  if (is_cut) {
    this->cut_regions.insert(region);
  } else {
    this->cut_regions.erase(region);
  }
}

void VirtualFleet::CutNode(size_t node, bool is_cut) {
  if (is_cut) {
    this->cut_nodes.insert(node);
  } else {
    this->cut_nodes.erase(node);
  }
}

void VirtualFleet::Submit(size_t index,
                          ChangeRequest request,
                          std::function<void(CommitResult)> done) {
  std::set<RegionName> regions;
  for (const auto& node : this->nodes) {
    if (request.kind == ChangeKind::kManifest ||
        node->self.zone == request.zone) {
      regions.insert(node->self.region);
    }
  }
  const std::string id = request.id;
  this->nodes[index]->commits->Submit(
      std::move(request),
      [this, id, regions, done = std::move(done)](const CommitResult& result) {
        ++this->outcomes[result.outcome];
        if (result.outcome == CommitOutcome::kAccepted) {
          const auto known = this->accepted.find(result.number);
          if (known != this->accepted.end() && known->second.id != id) {
            this->Fail("two accepted changes have number " +
                       std::to_string(result.number));
          }
          this->accepted.try_emplace(result.number,
                                     Accepted{id, regions, this->time.Now()});
        }
        if (done) {
          done(result);
        }
      });
}

bool VirtualFleet::IsCut(size_t index) const {
  const size_t region =
      index % (this->options.regions * this->options.zones_per_region) /
      this->options.zones_per_region;
  return this->cut_nodes.contains(index) || this->cut_regions.contains(region);
}

bool VirtualFleet::Reaches(size_t a, size_t b) const {
  const RegionName& region_a = this->nodes[a]->self.region;
  const RegionName& region_b = this->nodes[b]->self.region;
  if (this->cut_nodes.contains(a) || this->cut_nodes.contains(b)) {
    return false;
  }
  if (region_a == region_b) {
    return true;
  }
  return std::none_of(
      this->cut_regions.begin(), this->cut_regions.end(), [&](size_t region) {
        const RegionName name("region-" + std::to_string(region));
        return name == region_a || name == region_b;
      });
}

void VirtualFleet::SetWantedPeers(size_t index,
                                  const std::vector<PeerEndpoint>& targets) {
  FleetNode& node = *this->nodes[index];
  for (const PeerEndpoint& target : node.wanted) {
    const auto found = this->by_address.find(target.address);
    this->links[std::minmax(index, found->second)].wanted_by.erase(index);
  }
  node.wanted = targets;
  for (const PeerEndpoint& target : targets) {
    const auto found = this->by_address.find(target.address);
    if (found->second != index) {
      this->links[std::minmax(index, found->second)].wanted_by.insert(index);
      this->Connect(index, found->second);
    }
  }
}

void VirtualFleet::Connect(size_t a, size_t b) {
  // The handshake takes two round trips.
  const Duration delay =
      4 * (this->nodes[a]->self.region == this->nodes[b]->self.region
               ? kLatencyWithinRegion
               : kLatencyBetweenRegions);
  this->time.At(this->time.Now() + delay, [this, a, b] {
    Link& link = this->links[std::minmax(a, b)];
    FleetNode& left = *this->nodes[a];
    FleetNode& right = *this->nodes[b];
    if (link.open || !left.running || !right.running || !this->Reaches(a, b) ||
        left.paused_until > this->time.Now() ||
        right.paused_until > this->time.Now() ||
        (link.wanted_by.empty() && link.probe_until < this->time.Now())) {
      return;
    }
    link.open = true;
    left.gossip->OnPeerConnected(right.gossip->membership().Self());
    right.gossip->OnPeerConnected(left.gossip->membership().Self());
  });
}

void VirtualFleet::Close(size_t a, size_t b) {
  Link& link = this->links[std::minmax(a, b)];
  if (!std::exchange(link.open, false)) {
    return;
  }
  for (const auto& [one, other] : {std::pair(a, b), std::pair(b, a)}) {
    if (this->nodes[one]->gossip != nullptr) {
      this->nodes[one]->gossip->OnPeerDisconnected(
          this->nodes[other]->self.instance);
    }
  }
}

void VirtualFleet::Deliver(size_t from, size_t to, const std::string& frame) {
  const auto found = this->links.find(std::minmax(from, to));
  if (found == this->links.end() || !found->second.open ||
      !this->Reaches(from, to) ||
      std::uniform_real_distribution<double>()(this->random) <
          this->options.loss) {
    return;
  }
  Duration delay =
      this->nodes[from]->self.region == this->nodes[to]->self.region
          ? kLatencyWithinRegion
          : kLatencyBetweenRegions;
  const TimePoint arrival =
      std::max(this->time.Now() + delay, this->nodes[to]->paused_until);
  this->time.At(
      arrival, [this, from, to, sender = this->nodes[from]->self.instance,
                receiver = this->nodes[to]->self.instance, frame] {
        FleetNode& target = *this->nodes[to];
        const auto link = this->links.find(std::minmax(from, to));
        if (!target.running || target.self.instance != receiver ||
            link == this->links.end() || !link->second.open) {
          return;
        }
        FrameReader reader;
        const auto read = reader.Append(frame, [&](const Frame& decoded) {
          target.gossip->OnFrame(sender, decoded);
        });
        if (!read) {
          this->Fail("malformed frame: " + read.error().message);
        }
      });
}

void VirtualFleet::MaintainLinks() {
  const TimePoint now = this->time.Now();
  std::vector<std::pair<size_t, size_t>> close;
  std::erase_if(this->links, [now](const auto& item) {
    const Link& link = item.second;
    return !link.open && link.wanted_by.empty() && link.probe_until < now;
  });
  for (auto& [key, link] : this->links) {
    const bool wanted = !link.wanted_by.empty() || link.probe_until >= now;
    if (link.open && (!wanted || !this->Reaches(key.first, key.second))) {
      close.push_back(key);
    } else if (!link.open && !link.wanted_by.empty()) {
      this->Connect(key.first, key.second);
    }
  }
  for (const auto& [a, b] : close) {
    this->Close(a, b);
  }
  this->time.At(now + kLinkMaintenancePeriod,
                [this] { this->MaintainLinks(); });
}

void VirtualFleet::SendPlatformList() {
  std::vector<PlatformMember> list;
  for (const auto& node : this->nodes) {
    const auto until = this->listed_until.find(node->index);
    if (until != this->listed_until.end() && until->second < this->time.Now()) {
      continue;
    }
    list.push_back(PlatformMember{"vm-" + std::to_string(node->index),
                                  node->self.role, node->self.address,
                                  node->self.zone, node->self.region,
                                  node->self.service, false});
  }
  for (const auto& node : this->nodes) {
    if (node->running && node->paused_until <= this->time.Now()) {
      node->gossip->OnPlatformList(list);
    }
  }
  this->time.At(this->time.Now() + kPlatformPeriod,
                [this] { this->SendPlatformList(); });
}

void VirtualFleet::CheckPromises() {
  this->time.At(this->time.Now() + kCheckPeriod, [this] {
    this->Check();
    this->CheckPromises();
  });
}

void VirtualFleet::Check() {
  const TimePoint now = this->time.Now();
  // Newest configuration number that must be in force, per region.
  std::map<RegionName, uint64_t> required_numbers;
  for (const auto& [number, change] : this->accepted) {
    if (now - change.at > kInForceDeadline) {
      for (const RegionName& region : change.regions) {
        required_numbers[region] = std::max(required_numbers[region], number);
      }
    }
  }
  size_t isolated = 0;
  for (const auto& node : this->nodes) {
    if (!node->running || node->paused_until > now) {
      continue;
    }
    if (!node->gossip->MayGiveNewWork()) {
      isolated += !this->IsCut(node->index) &&
                  now - node->started_at > kSettleTime &&
                  now - node->paused_until > kSettleTime;
      continue;
    }
    const uint64_t number = node->gossip->config().number();
    if (number < required_numbers[node->self.region]) {
      this->Fail(
          "node " + std::to_string(node->index) + " gives new work under " +
          "configuration number " + std::to_string(number) + ", accepted is " +
          std::to_string(required_numbers[node->self.region]) + ", at " +
          std::to_string(now.time_since_epoch().count() / 1000000) + " ms");
    }
  }
  this->most_isolated = std::max(this->most_isolated, isolated);
  // A stored number belongs to the same change permanently.
  const auto& history = this->store.history[std::string(kConfigKey)];
  for (const auto& [number, change] : this->accepted) {
    const bool stored = number <= history.size() &&
                        history[number - 1].find("\"id\":\"" + change.id +
                                                 "\"") != std::string::npos;
    if (!stored) {
      this->Fail("accepted change " + change.id + " is not number " +
                 std::to_string(number) + " of the key-value service");
    }
  }
}

void VirtualFleet::Fail(const std::string& what) {
  if (this->violations.size() < kMaxViolations) {
    this->violations.push_back(what);
  }
}

}  // namespace celerypost
