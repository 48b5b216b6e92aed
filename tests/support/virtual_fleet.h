#ifndef TESTS_SUPPORT_VIRTUAL_FLEET_H_
#define TESTS_SUPPORT_VIRTUAL_FLEET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/process/commit_task.h"
#include "src/process/gossip_task.h"
#include "tests/support/virtual_store.h"
#include "tests/support/virtual_time.h"

namespace celerypost {

struct FleetOptions {
  size_t regions = 2;
  size_t zones_per_region = 2;
  size_t entries = 60;
  size_t agents = 240;
  uint64_t seed = 1;
  // Share of frames between processes that are lost.
  double loss = 0;
  GossipTaskOptions task;
  CommitOptions commit;
  // Every process starts with the whole member table, which shortens the start
  // of a large fleet.
  bool preload = false;
  // How far the platform's list lags behind.
  std::chrono::milliseconds platform_lag{10000};
};

// One process of the fleet and its environment.
struct FleetNode {
  size_t index = 0;
  Member self;
  bool running = false;
  TimePoint started_at;
  // Events of a paused process wait until it runs again.
  TimePoint paused_until;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<KeyValueClient> key_value;
  std::unique_ptr<Scheduler> scheduler;
  std::unique_ptr<GossipTask> gossip;
  std::unique_ptr<CommitTask> commits;
  std::vector<PeerEndpoint> wanted;
};

// Many processes that run the real GossipTask and CommitTask over a network and
// a key-value service under virtual time. Frames have their real bytes.
class VirtualFleet {
 public:
  explicit VirtualFleet(FleetOptions options);
  ~VirtualFleet();

  void RunFor(Duration span) { this->time.RunFor(span); }

  // Takes effect at once. A started process is a new instance.
  void Stop(size_t node);
  void Start(size_t node);
  void Pause(size_t node, Duration span);
  // Frames between this region and others are lost; only region 0 reaches the
  // key-value service.
  void CutRegion(size_t region, bool cut);
  // The same for a single node.
  void CutNode(size_t node, bool cut);

  // Checks the promises every 50 ms of virtual time from now on.
  void CheckPromises();
  void Fail(const std::string& what);

  // Submits a change at an entry and records its outcome.
  void Submit(size_t node,
              ChangeRequest request,
              std::function<void(CommitResult)> done);

  bool IsCut(size_t node) const;
  FleetNode& node(size_t index) { return *this->nodes[index]; }
  size_t size() const { return this->nodes.size(); }
  std::string ZoneName(size_t index) const;

  const FleetOptions options;
  VirtualTime time;
  VirtualStore store;
  std::mt19937_64 random;
  // Broken promises, the first ones.
  std::vector<std::string> violations;
  // Most processes that were isolated at once although they ran for 10 s and
  // were neither cut off nor paused.
  size_t most_isolated = 0;
  // Accepted changes: number to regions and time.
  struct Accepted {
    std::string id;
    std::set<RegionName> regions;
    TimePoint at;
  };
  std::map<uint64_t, Accepted> accepted;
  std::map<CommitOutcome, uint64_t> outcomes;
  // Configuration number to the processes that took it and the last time.
  std::map<uint64_t, std::pair<size_t, TimePoint>> adopted;

 private:
  friend class FleetTransport;
  struct Link {
    // Nodes that want the link, and until when a probe keeps it.
    std::set<size_t> wanted_by;
    TimePoint probe_until;
    bool open = false;
  };

  bool Reaches(size_t a, size_t b) const;
  void Wanted(size_t node, const std::vector<PeerEndpoint>& targets);
  void Connect(size_t a, size_t b);
  void Close(size_t a, size_t b);
  void Deliver(size_t from, size_t to, const std::string& frame);
  void Maintain();
  void SendPlatformList();
  void Check();

  std::vector<std::unique_ptr<FleetNode>> nodes;
  std::map<uint64_t, size_t> by_instance;
  std::map<std::string, size_t> by_address;
  std::map<std::pair<size_t, size_t>, Link> links;
  std::set<size_t> cut;
  std::set<size_t> cut_nodes;
  std::map<size_t, TimePoint> listed_until;
};

}  // namespace celerypost

#endif  // TESTS_SUPPORT_VIRTUAL_FLEET_H_
