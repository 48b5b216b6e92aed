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
  // Fraction (0 to 1) of the frames between processes that are lost.
  double loss = 0;
  GossipTaskOptions task;
  CommitOptions commit;
  // Whether the processes that the constructor starts know the whole member
  // table, which shortens the start of a large fleet. Restarted ones do not.
  bool preload = false;
  // Time for which the platform's list still has a stopped process.
  std::chrono::milliseconds platform_lag{10000};
};

// One process of the fleet and its environment.
struct FleetNode {
  size_t index = 0;
  Member self;
  bool running = false;
  TimePoint started_at;
  // Events of a paused process are deferred until this time.
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

  // Take effect at once. Each started process is a new instance.
  void Stop(size_t node);
  void Start(size_t node);
  void Pause(size_t node, Duration span);
  // Frames between this region and others are lost; only region 0 reaches the
  // key-value service.
  void CutRegion(size_t region, bool cut);
  // The same for a single node, and for its path to the key-value service.
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
  // The first violations of the promises.
  std::vector<std::string> violations;
  // Largest number of processes that were isolated at the same time although
  // they had run for 10 s since their start or last pause and were not cut off.
  size_t most_isolated = 0;
  // An accepted change: its id, the regions that it concerns and when it was
  // accepted.
  struct Accepted {
    std::string id;
    std::set<RegionName> regions;
    TimePoint at;
  };
  // Accepted changes by configuration number.
  std::map<uint64_t, Accepted> accepted;
  std::map<CommitOutcome, uint64_t> outcomes;
  // Configuration number to the count of processes that adopted it and the time
  // of the last adoption.
  std::map<uint64_t, std::pair<size_t, TimePoint>> adopted;

 private:
  friend class FleetTransport;
  struct Link {
    // Nodes that request the link, and the time until which a probe keeps it
    // open.
    std::set<size_t> wanted_by;
    TimePoint probe_until;
    bool open = false;
  };

  bool Reaches(size_t a, size_t b) const;
  void SetWantedPeers(size_t node, const std::vector<PeerEndpoint>& targets);
  void Connect(size_t a, size_t b);
  void Close(size_t a, size_t b);
  void Deliver(size_t from, size_t to, const std::string& frame);
  void MaintainLinks();
  void SendPlatformList();
  void Check();

  std::vector<std::unique_ptr<FleetNode>> nodes;
  std::map<uint64_t, size_t> by_instance;
  std::map<std::string, size_t> by_address;
  std::map<std::pair<size_t, size_t>, Link> links;
  std::set<size_t> cut_regions;
  std::set<size_t> cut_nodes;
  std::map<size_t, TimePoint> listed_until;
};

}  // namespace celerypost

#endif  // TESTS_SUPPORT_VIRTUAL_FLEET_H_
