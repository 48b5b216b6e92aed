#include "src/request/fair_queue.h"

#include <algorithm>
#include <tuple>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

// Most idle workspaces whose `served` is kept. Beyond it, values that no longer
// have an effect are dropped, and all values if that is not enough, so that a
// large number of workspace names cannot exhaust memory.
constexpr size_t kMaxIdleWorkspaces = 1024;

}  // namespace

FairQueue::FairQueue(FairQueueOptions options) : options(options) {}

PushOutcome FairQueue::Push(QueuedRequest request) {
  PushOutcome outcome;
  if (this->requests.contains(request.id)) {
    return outcome;
  }
  if (this->requests.size() >= this->options.max_requests) {
    const auto displaced = this->FindDisplaced(request);
    if (!displaced) {
      return outcome;
    }
    outcome.displaced = this->Take(*displaced);
  }
  auto [workspace, is_new] = this->active.try_emplace(request.workspace);
  if (is_new) {
    workspace->second.served = this->virtual_time;
    const auto known = this->idle.find(request.workspace);
    if (known != this->idle.end()) {
      workspace->second.served = std::max(known->second, this->virtual_time);
      this->idle.erase(known);
    }
  }
  const Position position{request.priority, request.deadline,
                          this->next_sequence++, request.id};
  workspace->second.waiting.insert(position);
  ++workspace->second.count_by_priority[static_cast<size_t>(request.priority)];
  this->deadlines.emplace(request.deadline, request.id);
  const uint64_t id = request.id;
  this->requests.emplace(id, Waiting{std::move(request), position});
  outcome.accepted = true;
  return outcome;
}

std::optional<uint64_t> FairQueue::FindDisplaced(
    const QueuedRequest& request) const {
  const Workspace* longest = nullptr;
  for (const auto& [name, workspace] : this->active) {
    if (longest == nullptr ||
        workspace.waiting.size() > longest->waiting.size()) {
      longest = &workspace;
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  const auto own = this->active.find(request.workspace);
  const size_t own_size =
      own == this->active.end() ? 0 : own->second.waiting.size();
  if (own_size + 1 < longest->waiting.size()) {
    return longest->waiting.rbegin()->id;
  }
  // The workspace already has its share of the queue. A request of a higher
  // priority class replaces the last one in its workspace's own order.
  if (own_size > 0 &&
      own->second.waiting.rbegin()->priority > request.priority) {
    return own->second.waiting.rbegin()->id;
  }
  return std::nullopt;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  if (this->active.empty()) {
    return std::nullopt;
  }
  double least = this->active.begin()->second.served;
  for (const auto& [name, workspace] : this->active) {
    least = std::min(least, workspace.served);
  }
  this->virtual_time = std::max(this->virtual_time, least);
  Workspace* best = nullptr;
  for (auto& [name, workspace] : this->active) {
    if (workspace.served > least + this->options.priority_lead) {
      continue;
    }
    const auto rank = [](const Workspace& candidate) {
      const Position& head = *candidate.waiting.begin();
      return std::tuple(head.priority, candidate.served, head.deadline);
    };
    if (best == nullptr || rank(workspace) < rank(*best)) {
      best = &workspace;
    }
  }
  best->served += 1.0;
  return this->Take(best->waiting.begin()->id);
}

QueuedRequest FairQueue::Take(uint64_t id) {
  const auto found = this->requests.find(id);
  CELERYPOST_ASSERT(found != this->requests.end(),
                    "P4: every caller receives the response to its request");
  QueuedRequest request = std::move(found->second.request);
  const auto workspace = this->active.find(request.workspace);
  workspace->second.waiting.erase(found->second.position);
  --workspace->second.count_by_priority[static_cast<size_t>(request.priority)];
  if (workspace->second.waiting.empty()) {
    if (workspace->second.served > this->virtual_time) {
      this->idle[request.workspace] = workspace->second.served;
    }
    this->active.erase(workspace);
    if (this->idle.size() > kMaxIdleWorkspaces) {
      std::erase_if(this->idle, [this](const auto& entry) {
        return entry.second <= this->virtual_time;
      });
      if (this->idle.size() > kMaxIdleWorkspaces) {
        this->idle.clear();
      }
    }
  }
  this->deadlines.erase({request.deadline, id});
  this->requests.erase(found);
  return request;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    expired.push_back(this->Take(this->deadlines.begin()->second));
  }
  return expired;
}

bool FairQueue::Remove(uint64_t id) {
  if (!this->requests.contains(id)) {
    return false;
  }
  this->Take(id);
  return true;
}

size_t FairQueue::CappedLength(size_t max_per_workspace) const {
  size_t length = 0;
  for (const auto& [name, workspace] : this->active) {
    length += std::min(workspace.waiting.size(), max_per_workspace);
  }
  return length;
}

size_t FairQueue::Ahead(const WorkspaceName& name, Priority priority) const {
  const auto found = this->active.find(name);
  if (found == this->active.end()) {
    return 0;
  }
  size_t count = 0;
  for (size_t index = 0; index <= static_cast<size_t>(priority); ++index) {
    count += found->second.count_by_priority[index];
  }
  return count;
}

}  // namespace celerypost
