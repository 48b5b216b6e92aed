#ifndef TESTS_PROCESS_WEIGHT_SWARM_H_
#define TESTS_PROCESS_WEIGHT_SWARM_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/process/weight_task.h"
#include "src/version/flow_bound.h"
#include "src/version/memory_chunk_store.h"

namespace celerypost {

using std::chrono::milliseconds;

// Virtual time and the events that wait for it.
class Timeline {
 public:
  TimePoint Now() const { return this->now; }
  void At(TimePoint when, std::function<void()> run) {
    this->events.push(
        {std::max(when, this->now), ++this->serial, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    this->At(this->now + delay, std::move(run));
  }
  // Runs events until `done` or until `limit` of virtual time has passed.
  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const TimePoint end = this->now + limit;
    while (!done()) {
      if (this->events.empty() || this->events.top().when > end) {
        this->now = end;
        return false;
      }
      Event event = this->events.top();
      this->events.pop();
      this->now = event.when;
      event.run();
    }
    return true;
  }
  void RunFor(Duration time) {
    this->RunUntil([] { return false; }, time);
  }

 private:
  struct Event {
    TimePoint when;
    uint64_t serial;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(this->when, this->serial) >
             std::pair(other.when, other.serial);
    }
  };
  TimePoint now = TimePoint(std::chrono::hours(1));
  uint64_t serial = 0;
  std::priority_queue<Event> events;
};

// A link that carries one transfer after the other; rate 0 is unlimited.
struct FakeLink {
  double rate = 0;
  TimePoint free{};

  TimePoint Carry(TimePoint at, uint64_t bytes) {
    if (this->rate <= 0) {
      return at;
    }
    this->free =
        std::max(at, this->free) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes) / this->rate));
    return this->free;
  }
};

// A weight set with its bytes. Chunk i has the content of generation
// `generations[i]`, so versions share the chunks whose generations are equal.
struct FakeSet {
  WeightSet set;
  std::map<Digest, std::string> artefacts;
  std::map<Digest, std::string> indices;

  static FakeSet Make(const std::string& version,
                      const std::vector<uint32_t>& generations,
                      size_t chunk_size) {
    FakeSet result;
    result.set.version = version;
    std::string content;
    std::string chunks;
    for (size_t i = 0; i < generations.size(); ++i) {
      std::mt19937_64 random(i * 1000003 + generations[i]);
      std::string chunk(chunk_size, '\0');
      for (char& byte : chunk) {
        byte = static_cast<char>(random());
      }
      chunks += (i ? ",\"" : "\"") + Digest::Of(chunk).ToHex() + "\"";
      content += chunk;
    }
    const std::string index = "{\"size\":" + std::to_string(content.size()) +
                              ",\"chunk_size\":" + std::to_string(chunk_size) +
                              ",\"chunks\":[" + chunks + "]}";
    Artefact artefact{"base", ArtefactKind::kModel, Digest::Of(content),
                      content.size(), Digest::Of(index)};
    result.indices[artefact.index] = index;
    result.artefacts[artefact.digest] = content;
    result.set.artefacts.push_back(artefact);
    return result;
  }
};

// An engine that keeps its objects in memory and checks what it loads.
class FakeEngine : public EngineClient {
 public:
  FakeEngine(Timeline& timeline, std::string name)
      : timeline(timeline), name(std::move(name)) {
    this->Restart();
  }

  void Restart() {
    this->health = {};
    this->health.start_id = this->name + "." + std::to_string(++this->restarts);
    this->health.warm = true;
    this->objects.clear();
    this->assembled.clear();
  }

  void Health(std::function<void(Result<EngineHealth>)> done) override {
    this->Answer(milliseconds(1), [this, done](bool up) {
      done(up ? Result<EngineHealth>(this->health) : Down());
    });
  }
  void PutObject(const Digest& digest,
                 std::string content,
                 std::function<void(Result<void>)> done) override {
    this->Answer(milliseconds(1), [this, digest, content, done](bool up) {
      if (!up) {
        done(Down());
      } else if (Digest::Of(content) != digest) {
        done(NotRun(ErrorCode::kInvalidArgument, "digest differs"));
      } else {
        this->objects[digest] = content;
        done({});
      }
    });
  }
  void GetObject(const Digest& digest,
                 std::function<void(Result<std::string>)> done) override {
    this->Answer(milliseconds(1), [this, digest, done](bool up) {
      const auto found = this->objects.find(digest);
      if (!up || found == this->objects.end()) {
        done(NotRun(ErrorCode::kNotFound, "no such object"));
      } else {
        done(found->second);
      }
    });
  }
  void DeleteObject(const Digest& digest,
                    std::function<void(Result<void>)> done) override {
    this->Answer(milliseconds(1), [this, digest, done](bool up) {
      this->objects.erase(digest);
      done(up ? Result<void>() : Down());
    });
  }
  void Load(const EngineLoadOrder& order,
            std::function<void(Result<void>)> done) override {
    ++this->loads;
    this->Answer(this->load_time, [this, order, done](bool up) {
      done(up ? this->DoLoad(order) : Down());
    });
  }
  void Switch(const Digest& set,
              uint64_t fencing,
              std::function<void(Result<void>)> done) override {
    this->Answer(milliseconds(2), [this, set, fencing, done](bool up) {
      if (!up || !this->Fence(fencing) || !this->assembled.contains(set)) {
        done(NotRun(ErrorCode::kConflict, "set is not loaded"));
        return;
      }
      this->health.serving = EngineServing{this->assembled[set], set};
      done({});
    });
  }
  void Unload(const Digest& set,
              uint64_t fencing,
              std::function<void(Result<void>)> done) override {
    this->Answer(milliseconds(1), [this, set, fencing, done](bool up) {
      if (up && this->Fence(fencing)) {
        this->assembled.erase(set);
        std::erase(this->health.loaded, set);
      }
      done({});
    });
  }

  EngineHealth health;
  std::map<Digest, std::string> objects;
  // Version by set digest.
  std::map<Digest, std::string> assembled;
  Duration load_time = milliseconds(50);
  bool down = false;
  uint32_t loads = 0;
  uint32_t restarts = 0;
  uint32_t stale_orders = 0;

 private:
  static tl::unexpected<Failure> Down() {
    return NotRun(ErrorCode::kUnavailable, "engine is down");
  }
  // Answers later; an engine that has restarted meanwhile fails the request.
  void Answer(Duration delay, std::function<void(bool)> run) {
    this->timeline.After(delay, [this, run, start = this->restarts] {
      run(start == this->restarts && !this->down);
    });
  }
  bool Fence(uint64_t fencing) {
    if (fencing <= this->health.highest_fencing) {
      ++this->stale_orders;
      return false;
    }
    this->health.highest_fencing = fencing;
    return true;
  }
  Result<void> DoLoad(const EngineLoadOrder& order) {
    if (!this->Fence(order.fencing)) {
      return NotRun(ErrorCode::kConflict, "old fencing number");
    }
    for (const EngineLoadArtefact& entry : order.artefacts) {
      std::string content;
      for (const Digest& chunk : entry.chunks) {
        const auto found = this->objects.find(chunk);
        if (found == this->objects.end()) {
          return NotRun(ErrorCode::kNotFound, "chunk is missing");
        }
        content += found->second;
      }
      if (Digest::Of(content) != entry.artefact.digest) {
        return NotRun(ErrorCode::kCorrupt, "artefact digest differs");
      }
    }
    if (!this->assembled.contains(order.set)) {
      this->assembled[order.set] = order.version;
      this->health.loaded.push_back(order.set);
    }
    return {};
  }

  Timeline& timeline;
  std::string name;
};

// A store that does not verify, to see the product's own assertions fail.
class UnverifiedStore : public ChunkStore {
 public:
  Result<void> Put(const Digest& digest, std::string content) override {
    this->chunks[digest] = std::move(content);
    return {};
  }
  Result<std::string> Get(const Digest& digest, uint64_t, uint64_t) override {
    const auto found = this->chunks.find(digest);
    if (found == this->chunks.end()) {
      return NotRun(ErrorCode::kNotFound, "not held");
    }
    return found->second;
  }
  bool Has(const Digest& digest) const override {
    return this->chunks.contains(digest);
  }
  void Drop(const Digest& digest) override { this->chunks.erase(digest); }
  uint64_t BytesHeld() const override { return 0; }

 private:
  std::map<Digest, std::string> chunks;
};

struct SwarmSetup {
  // Replicas per region; the first region is the origin's.
  std::vector<uint32_t> regions = {8};
  double origin_rate = 0;
  double vm_rate = 0;
  // Each pair of regions, each direction.
  double region_rate = 0;
  // 0 announces to all, otherwise to this many random peers.
  uint32_t neighbours = 0;
  // Share of peers' and the origin's answers that are corrupt.
  double corrupt = 0;
  Duration latency = milliseconds(1);
  uint32_t min_serving = 0;
  bool verify = true;
  uint64_t store_bytes = 64u << 20;
  uint64_t seed = 1;
  std::function<std::unique_ptr<FetchStrategy>()> strategy;
  SwarmOptions swarm;
  std::function<void(WeightTaskOptions&)> adjust;
};

// Many weight tasks, an origin and the links between them under virtual time.
class Swarm {
 public:
  struct Node : public ChunkTransport {
    Node(Swarm& swarm, InstanceId instance, size_t region);

    std::unique_ptr<Transfer> RequestFromPeer(InstanceId peer,
                                              const Digest& digest,
                                              TransferCallback done) override {
      return this->swarm.FromPeer(*this, peer, digest, std::move(done));
    }
    std::unique_ptr<Transfer> RequestRange(const Digest& artefact,
                                           uint64_t offset,
                                           uint64_t length,
                                           TransferCallback done) override {
      return this->swarm.FromOrigin(*this, artefact, offset, length,
                                    std::move(done));
    }
    std::unique_ptr<Transfer> RequestIndex(const Digest& index,
                                           TransferCallback done) override {
      return this->swarm.FromOrigin(*this, index, 0, 0, std::move(done));
    }
    void Announce(const HaveAnnouncement& have) override {
      this->swarm.Announce(*this, have);
    }

    Swarm& swarm;
    InstanceId instance;
    size_t region;
    bool alive = true;
    bool stalled = false;
    // Answers every request of a peer with bytes of another chunk.
    bool old_bytes = false;
    bool truncates = false;
    FakeLink in;
    FakeLink out;
    std::mt19937_64 random;
    FakeEngine engine;
    std::unique_ptr<ChunkStore> store;
    LinkPacer pacer;
    // The switch state that peers have been told.
    PeerSwitchState told;
    std::set<InstanceId> neighbours;
    std::unique_ptr<WeightTask> task;
    std::optional<TimePoint> served_at;
  };

  explicit Swarm(SwarmSetup setup)
      : setup(std::move(setup)), random(this->setup.seed) {
    this->origin_link.rate = this->setup.origin_rate;
    for (size_t region = 0; region < this->setup.regions.size(); ++region) {
      for (uint32_t i = 0; i < this->setup.regions[region]; ++i) {
        this->Add(region);
      }
    }
  }

  Node& Add(size_t region);
  void Kill(InstanceId instance);
  void SetGoal(const FakeSet& set);
  // All live nodes serve the goal.
  bool Finished() const;
  bool Run(Duration limit) {
    return this->timeline.RunUntil([this] { return this->Finished(); }, limit);
  }
  std::vector<Node*> Live();
  Node& At(size_t place) { return *this->Live().at(place); }
  // Lower bound of the time to all replicas, in seconds.
  double Bound(uint64_t bytes) const;

  SwarmSetup setup;
  Timeline timeline;
  std::mt19937_64 random;
  std::map<InstanceId, std::unique_ptr<Node>> nodes;
  FakeLink origin_link;
  // Bytes by direction, from region * 16 + to.
  std::map<size_t, FakeLink> region_links;
  std::map<size_t, uint64_t> region_bytes;
  std::map<Digest, std::string> origin;
  uint64_t origin_bytes = 0;
  uint64_t origin_requests = 0;
  bool origin_down = false;
  bool origin_refuses = false;
  Duration origin_delay{};
  std::optional<FakeSet> goal;
  uint64_t rollout = 0;

 private:
  struct FakeTransfer : public Transfer {
    std::shared_ptr<bool> running = std::make_shared<bool>(true);
    ~FakeTransfer() override { *this->running = false; }
  };
  std::unique_ptr<Transfer> FromPeer(Node& node,
                                     InstanceId peer,
                                     const Digest& digest,
                                     TransferCallback done);
  std::unique_ptr<Transfer> FromOrigin(Node& node,
                                       const Digest& digest,
                                       uint64_t offset,
                                       uint64_t length,
                                       TransferCallback done);
  void Announce(Node& node, const HaveAnnouncement& have);
  void Introduce(Node& a, Node& b);
  void Tick(InstanceId instance);
  void Deliver(TimePoint sent,
               size_t from,
               Node& to,
               uint64_t bytes,
               std::function<void()> arrived);
  std::string Damage(std::string content);
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_WEIGHT_SWARM_H_
