#ifndef SRC_PROCESS_STATE_REGION_DIRECTORY_H_
#define SRC_PROCESS_STATE_REGION_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/process/state/document_progress.h"
#include "src/process/state/node_role.h"
#include "src/request/crash_evidence.h"
#include "src/request/rank_admission.h"
#include "src/request/target_tracker.h"

namespace celerypost {

// A gateway as other regions know it.
struct RegionGateway {
  std::string ip;
  // Where callers connect, as "ip:port".
  std::string caller_address;
  NodeState state = NodeState::kNotReady;
};

// A model target as other regions know it.
struct RegionTarget {
  // "ip:port".
  std::string address;
  // Version of the complete weights that the target has loaded, 0 for none.
  int64_t serving_version = 0;
  bool loading = false;
  std::optional<std::chrono::milliseconds> loads_in;
  // The target has told its stager that it leaves.
  bool leaving = false;
  // As the target reports it (TargetPace).
  std::optional<double> pace;
};

// What a gateway knows of its own region. Gateways of other regions get it in
// place of the beats of every process of the region, so that the traffic
// between regions does not grow with the product of their sizes.
struct RegionSummary {
  RegionName region;
  // The gateway that made the summary, which serves documents.
  std::string ip;
  std::vector<RegionGateway> gateways;
  std::vector<RegionTarget> targets;
  // Requests of all gateways of the region, by target.
  std::vector<ReportedLoad> loads;
  // Targets of any region that have lately said that they leave.
  std::vector<TargetStartHash> leaving_targets;
  // Of all gateways of the region.
  std::vector<RankCounts> rank_counts;
  DocumentProgress documents;
};

struct SummaryOptions {
  // Number of gateways of a region that send summaries of it: one more than may
  // fail at once.
  size_t senders = 2;
  // Shortest time between two summaries of one sender.
  std::chrono::milliseconds min_period{250};
  // Limit of the bytes that one sender sends to one region.
  size_t bytes_per_second = 4000;
};

// Returns whether `self` sends summaries of its region, given the other live
// gateways of the region.
bool SendsSummaries(const SummaryOptions& options,
                    InstanceId self,
                    const std::vector<InstanceId>& other_gateways);

// Returns the time between two summaries of `bytes` bytes.
std::chrono::milliseconds SummaryPeriod(const SummaryOptions& options,
                                        size_t bytes);

// The newest summary of each other region. Whichever gateway of this region
// receives a summary forwards it to the others.
class RegionDirectory {
 public:
  // A summary is ignored this long after it arrived.
  explicit RegionDirectory(std::chrono::milliseconds lifetime)
      : lifetime(lifetime) {}

  // Replaces the summary of its region. `forward`: it came from the region
  // itself, so that the gateways of this region have to be told.
  void OnSummary(RegionSummary summary, bool forward, TimePoint now);
  // Returns the summaries to forward and forgets that they have to be.
  std::vector<RegionSummary> TakeForwards();
  // Returns the summaries that have not expired.
  std::vector<const RegionSummary*> Fresh(TimePoint now) const;

 private:
  struct Entry {
    RegionSummary summary;
    TimePoint received_at{};
    bool forward = false;
  };

  std::chrono::milliseconds lifetime;
  std::map<RegionName, Entry> regions;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_REGION_DIRECTORY_H_
