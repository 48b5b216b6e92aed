#include "src/request/fair_queue.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(FairQueueTest) {
  FairQueue queue{{.max_requests = 40, .priority_lead = 4}};
  uint64_t next_id = 0;

  uint64_t Push(const char* workspace, Priority priority = Priority::kNormal,
                int deadline_ms = 1000) {
    QueuedRequest request{++this->next_id, WorkspaceName(workspace), priority,
                          TimePoint(std::chrono::milliseconds(deadline_ms))};
    return this->queue.Push(std::move(request)).accepted ? this->next_id : 0;
  }

  std::string PopWorkspace() {
    return this->queue.Pop().value().workspace.value();
  }
};

// Guards against a flood that delays the requests of other workspaces.
TEST(FairQueueTest, ServesWorkspacesInTurn) {
  for (int count = 0; count < 30; ++count) {
    Push("flood");
  }
  for (int count = 0; count < 3; ++count) {
    Push("small");
  }
  std::map<std::string, int> served;
  for (int count = 0; count < 6; ++count) {
    ++served[PopWorkspace()];
  }
  LONGS_EQUAL(3, served["small"]);
}

// Guards against credit for idle time, which would let a workspace block others
// after a pause.
TEST(FairQueueTest, IdleTimeEarnsNoCredit) {
  for (int count = 0; count < 20; ++count) {
    Push("busy");
    PopWorkspace();
  }
  for (int count = 0; count < 10; ++count) {
    Push("busy");
    Push("late");
  }
  std::map<std::string, int> served;
  for (int count = 0; count < 10; ++count) {
    ++served[PopWorkspace()];
  }
  CHECK(served["busy"] >= 4);
}

// Guards against a priority class or deadline that has no effect, and against a
// workspace that takes others' shares by marking all its requests interactive.
TEST(FairQueueTest, PriorityGoesFirstWithinABound) {
  const uint64_t later = Push("a", Priority::kNormal, 900);
  const uint64_t sooner = Push("a", Priority::kNormal, 500);
  const uint64_t batch = Push("a", Priority::kBatch, 100);
  LONGS_EQUAL(sooner, queue.Pop()->id);
  LONGS_EQUAL(later, queue.Pop()->id);
  LONGS_EQUAL(batch, queue.Pop()->id);
  for (int count = 0; count < 20; ++count) {
    Push("greedy", Priority::kInteractive);
  }
  Push("modest", Priority::kBatch);
  int before = 0;
  while (PopWorkspace() == "greedy") {
    ++before;
  }
  LONGS_EQUAL(5, before);
}

// Guards against a flood that fills the queue and locks out other workspaces.
TEST(FairQueueTest, FullQueueDisplacesTheLongestWorkspace) {
  for (int count = 0; count < 40; ++count) {
    CHECK(Push("flood") != 0);
  }
  LONGS_EQUAL(0, Push("flood"));
  const PushOutcome outcome =
      queue.Push({999, WorkspaceName("small"), Priority::kBatch, TimePoint{}});
  CHECK_TRUE(outcome.accepted);
  CHECK(outcome.displaced->workspace.value() == "flood");
  CHECK(Push("flood", Priority::kInteractive) != 0);
  LONGS_EQUAL(40, queue.size());
}

// Guards against expired and cancelled requests that stay in the queue.
TEST(FairQueueTest, RemovesExpiredAndCancelled) {
  const uint64_t expired = Push("a", Priority::kNormal, 10);
  const uint64_t cancelled = Push("a");
  const uint64_t kept = Push("b");
  const auto taken =
      queue.TakeExpired(TimePoint(std::chrono::milliseconds(10)));
  LONGS_EQUAL(1, taken.size());
  LONGS_EQUAL(expired, taken[0].id);
  CHECK_TRUE(queue.Remove(cancelled));
  CHECK_FALSE(queue.Remove(cancelled));
  LONGS_EQUAL(1, queue.ActiveWorkspaces());
  LONGS_EQUAL(kept, queue.Pop()->id);
  CHECK_FALSE(queue.Pop().has_value());
}

// Guards against load reports that are dominated by a flood of one workspace.
TEST(FairQueueTest, CappedLengthCountsEachWorkspaceUpToTheLimit) {
  for (int count = 0; count < 20; ++count) {
    Push("flood");
  }
  Push("small");
  LONGS_EQUAL(5, queue.CappedLength(4));
}

// Guards against two requests with the same id, of which one would get no
// response.
TEST(FairQueueTest, RefusesAnIdThatWaits) {
  Push("a");
  CHECK_FALSE(queue.Push({1, WorkspaceName("b"), {}, {}}).accepted);
  LONGS_EQUAL(1, queue.size());
}

}  // namespace
}  // namespace celerypost
