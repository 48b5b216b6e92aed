#include "tests/process/weight_swarm.h"

namespace celerypost {
namespace {

LinkPacerOptions PacerOptions(const SwarmSetup& setup) {
  LinkPacerOptions options;
  options.link_rate = setup.vm_rate;
  options.region_rate = setup.region_rate * (setup.regions.size() - 1.0);
  return options;
}

RegionName Region(size_t region) {
  return RegionName("r" + std::to_string(region));
}

ZoneName Zone(size_t region) {
  return ZoneName("z" + std::to_string(region));
}

}  // namespace

Swarm::Node::Node(Swarm& swarm, InstanceId instance, size_t region)
    : swarm(swarm),
      instance(instance),
      region(region),
      random(instance.value),
      engine(swarm.timeline, "e" + std::to_string(instance.value)),
      pacer(PacerOptions(swarm.setup)),
      sent_switch_state{instance, Zone(region), 0, false} {
  this->in.rate = swarm.setup.vm_rate;
  this->out.rate = swarm.setup.vm_rate;
  if (swarm.setup.verify) {
    this->store = std::make_unique<MemoryChunkStore>(
        MemoryChunkStoreOptions{swarm.setup.store_bytes});
  } else {
    this->store = std::make_unique<UnverifiedStore>();
  }
  WeightTaskOptions options;
  options.planner.self = instance;
  options.planner.region = Region(region);
  options.planner.origin_region = Region(0);
  options.switching.zone = Zone(region);
  options.swarm = swarm.setup.swarm;
  if (swarm.setup.adjust) {
    swarm.setup.adjust(options);
  }
  this->task = std::make_unique<WeightTask>(
      options, *this, this->engine, *this->store, this->pacer, this->random,
      [&swarm] { return swarm.timeline.Now(); },
      [this] {
        const auto& state = this->task->state();
        if (state.phase == WeightPhase::kServing && !this->served_at) {
          this->served_at = this->swarm.timeline.Now();
        }
      },
      swarm.setup.strategy ? swarm.setup.strategy() : nullptr);
}

Swarm::Node& Swarm::Add(size_t region) {
  const InstanceId instance{this->random()};
  auto& entry = this->nodes[instance];
  entry = std::make_unique<Node>(*this, instance, region);
  Node& node = *entry;
  for (Node* other : this->Live()) {
    if (other != &node) {
      this->ReportPeer(node, *other);
      this->ReportPeer(*other, node);
    }
  }
  if (this->goal) {
    node.task->SetGoal(this->goal->set, this->rollout, this->setup.min_serving);
  }
  // Nodes tick at different times, as processes do.
  this->timeline.After(std::chrono::microseconds(this->random() % 10000),
                       [this, instance] { this->Tick(instance); });
  return node;
}

void Swarm::ReportPeer(Node& a, Node& b) {
  a.task->OnPeer({b.instance, Zone(b.region), Region(b.region)});
  a.task->OnPeerSwitch(b.sent_switch_state);
  if (b.task->Have().bitmap.size() > 0) {
    a.task->OnHave(b.instance, b.task->Have());
  }
}

void Swarm::Tick(InstanceId instance) {
  Node& node = *this->nodes.at(instance);
  if (!node.alive) {
    return;
  }
  node.task->OnTick();
  const PeerSwitchState state{instance, Zone(node.region),
                              node.task->state().switched,
                              node.task->state().serving.has_value()};
  if (state.switched != node.sent_switch_state.switched ||
      state.warm_and_serving != node.sent_switch_state.warm_and_serving) {
    node.sent_switch_state = state;
    for (Node* other : this->Live()) {
      if (other != &node) {
        this->timeline.After(milliseconds(20), [other, state] {
          other->task->OnPeerSwitch(state);
        });
      }
    }
  }
  this->timeline.After(milliseconds(10),
                       [this, instance] { this->Tick(instance); });
}

void Swarm::Kill(InstanceId instance) {
  Node& dead = *this->nodes.at(instance);
  dead.alive = false;
  // Each peer notices the death after a random delay.
  for (Node* other : this->Live()) {
    this->timeline.After(
        milliseconds(500 + this->random() % 1000),
        [other, instance] { other->task->OnPeerGone(instance); });
  }
}

void Swarm::SetGoal(const FakeSet& set) {
  this->goal = set;
  ++this->rollout;
  this->origin.insert(set.artefacts.begin(), set.artefacts.end());
  this->origin.insert(set.indices.begin(), set.indices.end());
  for (Node* node : this->Live()) {
    node->served_at.reset();
    node->task->SetGoal(set.set, this->rollout, this->setup.min_serving);
  }
}

std::vector<Swarm::Node*> Swarm::Live() {
  std::vector<Node*> live;
  for (const auto& [instance, node] : this->nodes) {
    if (node->alive) {
      live.push_back(node.get());
    }
  }
  return live;
}

bool Swarm::Finished() const {
  const Digest digest = this->goal->set.SetDigest();
  return std::all_of(
      this->nodes.begin(), this->nodes.end(), [&digest](const auto& entry) {
        const Node& node = *entry.second;
        const auto& serving = node.task->state().serving;
        return !node.alive || (serving && serving->set == digest);
      });
}

double Swarm::LowerBoundSeconds(uint64_t bytes) const {
  const size_t count = this->setup.regions.size();
  FlowLinks links;
  links.origin_out = this->setup.origin_rate;
  for (const uint32_t replicas : this->setup.regions) {
    links.regions.push_back(
        {replicas, this->setup.vm_rate, this->setup.vm_rate});
  }
  links.between.assign(count,
                       std::vector<double>(count, this->setup.region_rate));
  return FlowBound(links, bytes).count();
}

std::string Swarm::MaybeCorrupt(std::string content) {
  if (!content.empty() && std::uniform_real_distribution<double>(
                              0, 1)(this->random) < this->setup.corrupt) {
    content[this->random() % content.size()] ^= 1;
  }
  return content;
}

void Swarm::Deliver(TimePoint sent,
                    size_t from,
                    Node& to,
                    uint64_t bytes,
                    std::function<void()> arrived) {
  // A transfer enters each link only after it has passed the one before, so
  // that every link carries transfers in the order of their arrival.
  this->timeline.At(sent, [this, from, &to, bytes, arrived] {
    TimePoint at = this->timeline.Now();
    if (from != to.region) {
      FakeLink& link = this->region_links[from * 16 + to.region];
      link.rate = this->setup.region_rate;
      this->region_bytes[from * 16 + to.region] += bytes;
      at = link.Carry(at, bytes);
    }
    this->timeline.At(at, [this, &to, bytes, arrived] {
      this->timeline.At(
          to.in.Carry(this->timeline.Now(), bytes) + this->setup.latency,
          arrived);
    });
  });
}

std::unique_ptr<Transfer> Swarm::FromPeer(Node& node,
                                          InstanceId peer,
                                          const Digest& digest,
                                          TransferCallback done) {
  auto transfer = std::make_unique<FakeTransfer>();
  const auto finish = [this, &node, done, running = transfer->running](
                          TimePoint when, const TransferResult& result) {
    this->timeline.At(when, [&node, done, running, result] {
      if (*running && node.alive) {
        done(result);
      }
    });
  };
  this->timeline.After(
      this->setup.latency, [this, &node, peer, digest, finish] {
        Node& holder = *this->nodes.at(peer);
        const TimePoint back = this->timeline.Now() + this->setup.latency;
        if (!holder.alive) {
          finish(back, tl::unexpected(TransferFailure{}));
          return;
        }
        if (holder.stalled) {
          return;
        }
        holder.task->ServeChunk(
            digest, holder.region != node.region,
            [this, &node, &holder, finish](TransferResult result) {
              const TimePoint now = this->timeline.Now();
              if (!result) {
                finish(now + this->setup.latency, result);
                return;
              }
              std::string content = this->MaybeCorrupt(std::move(*result));
              if (holder.sends_wrong_bytes) {
                content = std::string(content.size(), 'o');
              }
              if (holder.sends_truncated) {
                content.resize(content.size() / 2);
              }
              const uint64_t bytes = content.size();
              this->Deliver(holder.out.Carry(now, bytes), holder.region, node,
                            bytes, [this, finish, content] {
                              finish(this->timeline.Now(), content);
                            });
            });
      });
  return transfer;
}

std::unique_ptr<Transfer> Swarm::FromOrigin(Node& node,
                                            const Digest& digest,
                                            uint64_t offset,
                                            uint64_t length,
                                            TransferCallback done) {
  auto transfer = std::make_unique<FakeTransfer>();
  ++this->origin_requests;
  TransferResult result;
  if (this->origin_down) {
    result = tl::unexpected(TransferFailure{});
  } else if (this->origin_refuses) {
    result = tl::unexpected(
        TransferFailure{ErrorCode::kOverloaded, "429", milliseconds(1000)});
  } else {
    const std::string& content = this->origin.at(digest);
    result =
        this->MaybeCorrupt(length ? content.substr(offset, length) : content);
    this->origin_bytes += result->size();
  }
  const auto finish = [&node, done, running = transfer->running, result] {
    if (*running && node.alive) {
      done(result);
    }
  };
  const TimePoint asked = this->timeline.Now() + this->setup.latency;
  if (!result) {
    this->timeline.At(asked + this->setup.latency, finish);
    return transfer;
  }
  this->Deliver(
      this->origin_link.Carry(asked + this->origin_delay, result->size()), 0,
      node, result->size(), finish);
  return transfer;
}

void Swarm::Announce(Node& node, const HaveAnnouncement& have) {
  std::vector<Node*> live = this->Live();
  const uint32_t wanted = this->setup.neighbours;
  while (wanted > 0 &&
         node.neighbours.size() < std::min<size_t>(wanted, live.size() - 1)) {
    Node* other = live[this->random() % live.size()];
    if (other != &node) {
      node.neighbours.insert(other->instance);
      other->neighbours.insert(node.instance);
    }
  }
  for (Node* other : live) {
    if (other == &node ||
        (wanted > 0 && !node.neighbours.contains(other->instance))) {
      continue;
    }
    this->timeline.After(this->setup.latency, [&node, other, have] {
      if (node.alive && other->alive) {
        other->task->OnHave(node.instance, have);
      }
    });
  }
}

}  // namespace celerypost
