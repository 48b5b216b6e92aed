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

// Virtual time and the events that are scheduled for it.
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
  // Runs events until `done` returns true or `limit` of virtual time has
  // passed; returns whether it was `done`.
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

// A link that carries one transfer after the other.
struct FakeLink {
  // Bytes per second; 0 is unlimited.
  double rate = 0;
  // When the last transfer ends.
  TimePoint free_at{};

  // Queues a transfer at the time `at`; returns when it ends.
  TimePoint Carry(TimePoint at, uint64_t bytes) {
    if (this->rate <= 0) {
      return at;
    }
    this->free_at =
        std::max(at, this->free_at) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes) / this->rate));
    return this->free_at;
  }
};

// A weight set with its bytes. The content of chunk i depends only on i and
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
  // Versions of the loaded sets by set digest.
  std::map<Digest, std::string> assembled;
  Duration load_time = milliseconds(50);
  bool down = false;
  uint32_t loads = 0;
  uint32_t restarts = 0;
  // Orders whose fencing number was too old.
  uint32_t stale_orders = 0;

 private:
  static tl::unexpected<Failure> Down() {
    return NotRun(ErrorCode::kUnavailable, "engine is down");
  }
  // Calls `run` after `delay` with whether the engine is up and has not
  // restarted meanwhile.
  void Answer(Duration delay, std::function<void(bool)> run) {
    this->timeline.After(delay, [this, run, start = this->restarts] {
      run(start == this->restarts && !this->down);
    });
  }
  // Whether `fencing` is higher than all numbers before it.
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

// A store that does not verify what it stores, so that a test can show that the
// assertions of the product fail then.
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

struct OrderByValue {
  bool operator()(InstanceId a, InstanceId b) const {
    return a.value < b.value;
  }
};

struct SwarmSetup {
  // Replicas per region; the first region is the origin's.
  std::vector<uint32_t> regions = {8};
  // Rates of links in bytes per second; 0 is unlimited.
  double origin_rate = 0;
  double vm_rate = 0;
  // Of each pair of regions in each direction.
  double region_rate = 0;
  // Number of random peers that receive an agent's announcements; 0 stands for
  // all.
  uint32_t neighbours = 0;
  // Fraction of the answers of peers and the origin that are corrupted.
  double corrupt = 0;
  Duration latency = milliseconds(1);
  uint32_t min_serving = 0;
  // Whether the stores verify digests.
  bool verify = true;
  uint64_t store_bytes = 64u << 20;
  uint64_t seed = 1;
  std::function<std::unique_ptr<FetchStrategy>()> strategy;
  SwarmOptions swarm;
  // Changes the options of each weight task.
  std::function<void(WeightTaskOptions&)> adjust;
};

// Simulates weight tasks, an origin and the links between them in virtual time.
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
    // Never answers requests of peers.
    bool stalled = false;
    // Answers requests of peers with bytes that do not have the digest.
    bool sends_wrong_bytes = false;
    // Answers requests of peers with the first half of the bytes.
    bool sends_truncated = false;
    FakeLink in;
    FakeLink out;
    std::mt19937_64 random;
    FakeEngine engine;
    std::unique_ptr<ChunkStore> store;
    LinkPacer pacer;
    // The switch state that was last sent to the peers.
    PeerSwitchState sent_switch_state;
    std::set<InstanceId, OrderByValue> neighbours;
    std::unique_ptr<WeightTask> task;
    // When the target first served the goal.
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
  // Whether all live nodes serve the goal.
  bool Finished() const;
  bool Run(Duration limit) {
    return this->timeline.RunUntil([this] { return this->Finished(); }, limit);
  }
  std::vector<Node*> Live();
  // The live node number `index`, in the order of instance ids.
  Node& At(size_t index) { return *this->Live().at(index); }
  // Lower bound of the time in seconds to copy `bytes` to all replicas.
  double LowerBoundSeconds(uint64_t bytes) const;

  SwarmSetup setup;
  Timeline timeline;
  std::mt19937_64 random;
  std::map<InstanceId, std::unique_ptr<Node>, OrderByValue> nodes;
  FakeLink origin_link;
  // Links and bytes by direction; the key is 16 * source region + destination
  // region.
  std::map<size_t, FakeLink> region_links;
  std::map<size_t, uint64_t> region_bytes;
  // Content of artefacts and index documents at the origin.
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
  // Reports `b` to `a` as a new peer.
  void ReportPeer(Node& a, Node& b);
  void Tick(InstanceId instance);
  // Calls `arrived` when `bytes` that leave the region `from` at `sent` have
  // passed all links to `to`.
  void Deliver(TimePoint sent,
               size_t from,
               Node& to,
               uint64_t bytes,
               std::function<void()> arrived);
  // Flips a bit with the probability `corrupt` of the setup.
  std::string MaybeCorrupt(std::string content);
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_WEIGHT_SWARM_H_
