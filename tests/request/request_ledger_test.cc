#include "src/request/request_ledger.h"

#include <initializer_list>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr InstanceId kA{1};
constexpr InstanceId kB{2};
constexpr InstanceId kC{3};
constexpr AttemptNumber kFirst = 1;
constexpr AttemptNumber kRetry = 2;

SlotTable TableOf(uint64_t version, InstanceId owner, uint64_t since) {
  SlotTable table;
  table.version = version;
  table.slots.fill({owner, since});
  return table;
}

RequestId Id(uint64_t version, int64_t issued = 1000) {
  return {version, milliseconds(issued), "u" + std::to_string(issued)};
}

TEST_GROUP(RequestLedgerTest) {
  TimePoint now{};
  RequestLedger a{{}, kA};
  RequestLedger b{{}, kB};

  void setup() override {
    this->a.ApplyTable(TableOf(5, kA, 3));
    this->b.ApplyTable(TableOf(5, kA, 3));
  }

  BeginResult Begin(RequestLedger & ledger, const RequestId& id,
                    AttemptNumber attempt = kFirst) {
    return ledger.Begin(id, attempt, this->now).result;
  }

  void Expect(BeginResult expected, BeginResult result) {
    LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(result));
  }
};

// Guards against a repeated request that runs again or gets a different
// response (P6).
TEST(RequestLedgerTest, RunsAnIdOnceAndAnswersRepeats) {
  Expect(BeginResult::kRun, Begin(a, Id(4)));
  Expect(BeginResult::kDuplicateRunning, Begin(a, Id(4), kRetry));
  a.Finish(Id(4), {201, "text/plain", "booked"}, now);
  const BeginOutcome repeat = a.Begin(Id(4), kFirst, now);
  Expect(BeginResult::kAnswered, repeat.result);
  CHECK(repeat.answer->body == "booked");
  LONGS_EQUAL(201, repeat.answer->status);
}

// Guards against running an id outside the range that this instance owns; an
// earlier or later owner may run it.
TEST(RequestLedgerTest, RunsOnlyItsOwnVersions) {
  Expect(BeginResult::kMayHaveRun, Begin(a, Id(2)));
  Expect(BeginResult::kRun, Begin(a, Id(3, 1)));
  Expect(BeginResult::kRun, Begin(a, Id(5, 2)));
  Expect(BeginResult::kBehind, Begin(a, Id(6)));
  Expect(BeginResult::kMoved, Begin(b, Id(5)));
  CHECK(b.Begin(Id(5), kRetry, now).moved_to == kA);
}

// Guards against a paused former owner that runs ids of its successor, and
// against a former owner that no longer runs the ids that only it may run.
TEST(RequestLedgerTest, FormerOwnerKeepsItsVersions) {
  b.ApplyTable(TableOf(6, kB, 6));
  Expect(BeginResult::kBehind, Begin(a, Id(6)));
  Expect(BeginResult::kRun, Begin(b, Id(6)));
  Expect(BeginResult::kMayHaveRun, Begin(b, Id(5)));
  a.ApplyTable(TableOf(6, kB, 6));
  Expect(BeginResult::kRun, Begin(a, Id(5)));
  Expect(BeginResult::kMoved, Begin(a, Id(6), kRetry));
  CHECK_FALSE(a.ApplyTable(TableOf(5, kA, 3)));
}

// Guards against a late copy of an attempt that runs after its caller was told
// "not run" (P5), and against a retry that is refused for good.
TEST(RequestLedgerTest, RefusedAttemptNeverRuns) {
  Expect(BeginResult::kRun, Begin(a, Id(4)));
  a.ReleaseNotRun(Id(4));
  Expect(BeginResult::kNotRun, Begin(a, Id(4)));
  Expect(BeginResult::kRun, Begin(a, Id(4), kRetry));
  Expect(BeginResult::kDuplicateRunning, Begin(a, Id(4)));
}

// As above, for an attempt that arrives while an earlier one is queued.
TEST(RequestLedgerTest, RefusalClosesAttemptsThatJoined) {
  Expect(BeginResult::kRun, Begin(a, Id(4)));
  Expect(BeginResult::kDuplicateRunning, Begin(a, Id(4), kRetry));
  a.ReleaseNotRun(Id(4));
  Expect(BeginResult::kNotRun, Begin(a, Id(4), kRetry));
}

// As above, for a refusal by an instance that becomes the holder afterwards.
// Only the entry that generated an id calls such a refusal "not run".
TEST(RequestLedgerTest, AttemptRefusedWhileBehindNeverRuns) {
  const AttemptNumber first = MakeAttempt(kGeneratedId, 1);
  const AttemptNumber second = MakeAttempt(kGeneratedId, 2);
  Expect(BeginResult::kBehind, Begin(a, Id(6, 1), first));
  Expect(BeginResult::kBehind, Begin(a, Id(6, 2), kFirst));
  a.ApplyTable(TableOf(6, kA, 3));
  Expect(BeginResult::kNotRun, Begin(a, Id(6, 1), first));
  Expect(BeginResult::kRun, Begin(a, Id(6, 1), second));
  Expect(BeginResult::kRun, Begin(a, Id(6, 2), kFirst));
}

// Guards against two holders of a version after a hand-off whose message is
// lost, delayed or duplicated.
TEST(RequestLedgerTest, HandOffMovesTheRightToRun) {
  const RequestId done = Id(4, 1);
  const size_t slot = done.Slot();
  Begin(a, done);
  a.Finish(done, {200, "", "x"}, now);
  const SlotRecords records = a.HandOff(slot, kB);
  LONGS_EQUAL(3, records.since);
  LONGS_EQUAL(5, records.until);
  CHECK_FALSE(a.Holds(slot, 5));
  CHECK_TRUE(b.Accept(records, now));
  CHECK_TRUE(b.Holds(slot, 5));
  Expect(BeginResult::kAnswered, Begin(b, done));
  // Another hand-off to the same receiver contains the range; one to a
  // different receiver does not.
  LONGS_EQUAL(5, a.HandOff(slot, kB).until);
  RequestLedger c{{}, kC};
  CHECK_FALSE(c.Accept(a.HandOff(slot, kC), now));
  CHECK_FALSE(c.Holds(slot, 5));
  // A delayed copy does not restore a right that was handed on.
  CHECK_TRUE(c.Accept(b.HandOff(slot, kC), now));
  CHECK_FALSE(b.Accept(records, now));
  CHECK_FALSE(b.Holds(slot, 5));
  // Nor does a newer table in which the sender is still the owner.
  a.ApplyTable(TableOf(6, kA, 3));
  CHECK_FALSE(a.Holds(slot, 5));
  CHECK_TRUE(a.Holds(slot, 6));
}

// Guards against the receiver running a request that still runs at the sender.
TEST(RequestLedgerTest, RunningRequestStaysWithTheSender) {
  Begin(a, Id(4));
  const size_t slot = Id(4).Slot();
  b.Accept(a.HandOff(slot, kB), now);
  Expect(BeginResult::kMayHaveRun, Begin(b, Id(4), kRetry));
  Expect(BeginResult::kDuplicateRunning, Begin(a, Id(4), kRetry));
  a.Finish(Id(4), {200, "", "late"}, now);
  b.Accept(a.HandOff(slot, kB), now);
  Expect(BeginResult::kAnswered, Begin(b, Id(4), kRetry));
}

// Guards against running an id again whose record was discarded to stay within
// `max_records`.
TEST(RequestLedgerTest, FloorCoversDiscardedRecords) {
  RequestLedger small({.max_records = 2}, kA);
  small.ApplyTable(TableOf(5, kA, 3));
  RequestId first = Id(4, 1);
  for (const int64_t issued : {1, 2, 3}) {
    RequestId id = first;
    id.issued_at = milliseconds(issued);
    Expect(BeginResult::kRun, Begin(small, id));
    small.Finish(id, {200, "", "x"}, now);
  }
  LONGS_EQUAL(2, small.record_count());
  Expect(BeginResult::kMayHaveRun, Begin(small, first));
  const SlotRecords records = small.HandOff(first.Slot(), kB);
  b.Accept(records, now);
  Expect(BeginResult::kMayHaveRun, Begin(b, first));
}

// Guards against records and answers that use memory without bound, and against
// returning an answer whose body was discarded.
TEST(RequestLedgerTest, BoundsStoredAnswers) {
  RequestLedger small({.max_answer_bytes = 4, .max_total_answer_bytes = 6}, kA);
  small.ApplyTable(TableOf(5, kA, 3));
  const auto run = [&](int64_t issued, const std::string& body) {
    Begin(small, Id(4, issued));
    small.Finish(Id(4, issued), {200, "", body}, now);
  };
  run(1, "12345");
  CHECK_TRUE(small.Begin(Id(4, 1), kRetry, now).ran);
  run(2, "1234");
  run(3, "1234");
  LONGS_EQUAL(4, small.answer_bytes());
  CHECK_TRUE(small.Begin(Id(4, 2), kRetry, now).ran);
  Expect(BeginResult::kAnswered, Begin(small, Id(4, 3)));
  now += std::chrono::hours(1);
  small.OnTick(now);
  LONGS_EQUAL(0, small.record_count());
  LONGS_EQUAL(0, small.answer_bytes());
  Expect(BeginResult::kMayHaveRun, Begin(small, Id(4, 3)));
}

// Guards against a request with an unknown outcome that runs again.
TEST(RequestLedgerTest, UnknownOutcomeNeverRunsAgain) {
  Begin(a, Id(4));
  a.FinishUnknown(Id(4), now);
  Expect(BeginResult::kMayHaveRun, Begin(a, Id(4), kRetry));
  LONGS_EQUAL(0, a.running());
}

}  // namespace
}  // namespace celerypost
