#ifndef SRC_REQUEST_FAIR_QUEUE_H_
#define SRC_REQUEST_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

struct FairQueueOptions {
  // Most requests that wait, of all workspaces together.
  size_t max_requests = 256;
  // How many requests a workspace may be ahead of the least served waiting one
  // because of its higher priority class. Bounds what a workspace gains by
  // marking everything interactive.
  double priority_lead = 8.0;
};

struct QueuedRequest {
  // Chosen by the caller; unique among waiting requests.
  uint64_t id = 0;
  WorkspaceName workspace;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

struct PushOutcome {
  bool accepted = false;
  // A waiting request of the workspace with the longest queue that was removed
  // to make room; it has not run.
  std::optional<QueuedRequest> displaced;
};

// A bounded queue that serves workspaces in equal shares (design 4.14). Within
// a workspace, requests leave by priority class, then deadline. Among
// workspaces, a higher class goes first as long as its workspace is not more
// than `priority_lead` requests ahead of the least served one.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options);

  PushOutcome Push(QueuedRequest request);
  // Removes and returns the next request; the caller checks its deadline.
  std::optional<QueuedRequest> Pop();
  // Removes and returns the requests with a deadline at or before `now`.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);
  // Removes a request that its caller cancelled. Returns whether it waited.
  bool Remove(uint64_t id);

  size_t size() const { return this->requests.size(); }
  bool empty() const { return this->requests.empty(); }
  // Waiting requests of `workspace` in the class `priority` or a higher one.
  size_t Ahead(const WorkspaceName& workspace, Priority priority) const;
  // Waiting requests as they matter to the next request of a workspace that is
  // not ahead of its share: at most `depth` of each workspace.
  size_t SharedLength(size_t depth) const;
  // Workspaces with waiting requests.
  size_t ActiveWorkspaces() const { return this->active.size(); }

 private:
  // Order of service inside a workspace.
  struct Position {
    Priority priority;
    TimePoint deadline;
    uint64_t sequence;
    uint64_t id;
    // The false positive of types.h.
    auto operator<=>(const Position&) const =
        default;  // NOLINT(modernize-use-nullptr)
  };

  struct Workspace {
    std::set<Position> waiting;
    // Waiting requests by priority class.
    std::array<size_t, 3> by_class{};
    // Requests served, in units of the virtual time of the queue.
    double served = 0;
  };

  struct Waiting {
    QueuedRequest request;
    Position position;
  };

  QueuedRequest Take(uint64_t id);
  // Finds the request to give up for `request`; nothing when that is `request`.
  std::optional<uint64_t> FindDisplaced(const QueuedRequest& request) const;

  const FairQueueOptions options;
  std::map<WorkspaceName, Workspace> active;
  // Served counts of workspaces without waiting requests.
  std::unordered_map<WorkspaceName, double> idle;
  std::unordered_map<uint64_t, Waiting> requests;
  std::set<std::pair<TimePoint, uint64_t>> deadlines;
  uint64_t next_sequence = 0;
  // The served count of the least served workspace when it was last served. A
  // workspace that becomes active starts here, so idle time earns no credit.
  double virtual_time = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_FAIR_QUEUE_H_
