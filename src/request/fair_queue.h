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
  // Capacity: the most requests that may wait, over all workspaces.
  size_t max_requests = 256;
  // Number of served requests by which a workspace may be ahead of the least
  // served waiting one because of its higher priority class. Bounds what a
  // workspace gains by marking all its requests interactive.
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
  // The waiting request that was removed to make room: it belongs to the
  // workspace with the longest queue, or to the workspace of the pushed
  // request. It has not run.
  std::optional<QueuedRequest> displaced;
};

// A bounded queue that serves workspaces in equal shares (design 4.14). Within
// a workspace, requests are ordered by priority class, then by deadline. Among
// workspaces, a request of a higher class goes first as long as its workspace
// is not more than `priority_lead` requests ahead of the least served one.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options);

  PushOutcome Push(QueuedRequest request);
  // Removes and returns the next request; the caller checks its deadline.
  std::optional<QueuedRequest> Pop();
  // Removes and returns the requests with a deadline at or before `now`.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);
  // Removes a request that its caller cancelled. Returns whether it was
  // waiting.
  bool Remove(uint64_t id);

  size_t size() const { return this->requests.size(); }
  bool empty() const { return this->requests.empty(); }
  // Number of waiting requests of `workspace` with at least this priority.
  size_t Ahead(const WorkspaceName& workspace, Priority priority) const;
  // Number of waiting requests, of which at most `max_per_workspace` count for
  // each workspace. Approximates the queue that a request sees whose workspace
  // has not used more than its share.
  size_t CappedLength(size_t max_per_workspace) const;
  // Number of workspaces with waiting requests.
  size_t ActiveWorkspaces() const { return this->active.size(); }

 private:
  // Order of service inside a workspace.
  struct Position {
    Priority priority;
    TimePoint deadline;
    uint64_t sequence;
    uint64_t id;
    // clang-tidy takes the literal 0 in the generated comparison for a null
    // pointer.
    auto operator<=>(const Position&) const =
        default;  // NOLINT(modernize-use-nullptr)
  };

  struct Workspace {
    std::set<Position> waiting;
    // Number of waiting requests by priority class.
    std::array<size_t, 3> count_by_priority{};
    // Virtual time of the workspace: one unit for each request served. When the
    // workspace becomes active, it starts at its earlier value or at the
    // virtual time of the queue, whichever is larger.
    double served = 0;
  };

  struct Waiting {
    QueuedRequest request;
    Position position;
  };

  QueuedRequest Take(uint64_t id);
  // Finds the waiting request to remove in favour of `request`. Returns nothing
  // when `request` itself must be refused.
  std::optional<uint64_t> FindDisplaced(const QueuedRequest& request) const;

  const FairQueueOptions options;
  std::map<WorkspaceName, Workspace> active;
  // `served` of workspaces that have no waiting requests.
  std::unordered_map<WorkspaceName, double> idle;
  std::unordered_map<uint64_t, Waiting> requests;
  std::set<std::pair<TimePoint, uint64_t>> deadlines;
  uint64_t next_sequence = 0;
  // Virtual time of the queue: the lowest `served` among the active workspaces
  // at the last Pop; it never decreases. A workspace that becomes active starts
  // at this value or higher, so that idle time earns no credit.
  double virtual_time = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_FAIR_QUEUE_H_
