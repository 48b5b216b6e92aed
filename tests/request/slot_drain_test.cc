#include "src/request/slot_drain.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr InstanceId kLeaving{1};
constexpr InstanceId kNext{2};
constexpr InstanceId kOther{3};

SlotTable TableOf(uint64_t version, InstanceId owner, uint64_t since) {
  SlotTable table;
  table.version = version;
  table.slots.fill({owner, since});
  return table;
}

TEST_GROUP(SlotDrainTest) {
  TimePoint now{};
  RequestLedger leaving{{}, kLeaving};
  RequestLedger next{{}, kNext};
  SlotDrain drain{leaving, kLeaving};

  void setup() override {
    this->Apply(TableOf(1, kLeaving, 1));
  }

  void Apply(const SlotTable& table) {
    this->leaving.ApplyTable(table);
    this->next.ApplyTable(table);
  }

  // Delivers all pending transfers to `next` and their confirmations; returns
  // their number.
  size_t HandOff() {
    const auto pending = this->drain.Pending({kNext});
    for (const SlotTransfer& transfer : pending) {
      CHECK(transfer.receiver == kNext);
      this->next.Accept(this->leaving.HandOff(transfer.slot, kNext), this->now);
      this->drain.OnConfirmed(transfer.slot, kNext);
    }
    return pending.size();
  }

  BeginResult Begin(RequestLedger & ledger, uint64_t table_version) {
    const RequestId id{table_version, milliseconds(1000), "u1"};
    return ledger.Begin(id, 1, this->now).result;
  }
};

// Guards against ids that no agent runs because the table with the next owner
// arrived before the former owner heard that its zone is out (issue 20).
TEST(SlotDrainTest, HandsOffAfterTheNextTableArrived) {
  Apply(TableOf(2, kNext, 2));
  CHECK(HandOff() == kSlotCount);
  CHECK(Begin(leaving, 1) == BeginResult::kMoved);
  CHECK(Begin(next, 1) == BeginResult::kRun);
}

// Guards against a slot that a late table grants again to an agent that has
// handed it off.
TEST(SlotDrainTest, HandsOffWhatALaterTableGrants) {
  CHECK(HandOff() == kSlotCount);
  Apply(TableOf(2, kLeaving, 1));
  CHECK(HandOff() == kSlotCount);
  CHECK(Begin(leaving, 2) == BeginResult::kMoved);
  CHECK(Begin(next, 2) == BeginResult::kRun);
}

// Guards against transfers that are sent without end, and against a
// confirmation by an agent that is not the receiver.
TEST(SlotDrainTest, RepeatsUntilConfirmed) {
  CHECK(drain.Pending({}).empty());
  CHECK(drain.Pending({kNext}).size() == kSlotCount);
  drain.OnConfirmed(0, kOther);
  CHECK(drain.Pending({kNext}).size() == kSlotCount);
  CHECK(drain.unconfirmed() == kSlotCount);
  CHECK(HandOff() == kSlotCount);
  CHECK(HandOff() == 0);
  CHECK(drain.unconfirmed() == 0);
}

// Guards against a refusal of a request that waits at a stopping agent: it has
// to run at the next holder with the same attempt number (issue 20).
TEST(SlotDrainTest, WaitingRequestsRunAtTheNextHolder) {
  const RequestId waiting{1, milliseconds(1000), "u1"};
  const RequestId refused{1, milliseconds(1000), "u2"};
  CHECK(leaving.Begin(waiting, 1, now).result == BeginResult::kRun);
  CHECK(leaving.Begin(refused, 1, now).result == BeginResult::kRun);
  leaving.ReleaseNotRun(refused);
  CHECK(leaving.Begin(refused, 2, now).result == BeginResult::kRun);
  leaving.Withdraw(waiting);
  leaving.Withdraw(refused);
  CHECK(leaving.running() == 0);
  CHECK(HandOff() == kSlotCount);
  CHECK(next.Begin(waiting, 1, now).result == BeginResult::kRun);
  // The attempt that was refused as "not run" stays closed.
  CHECK(next.Begin(refused, 1, now).result == BeginResult::kNotRun);
  CHECK(next.Begin(refused, 2, now).result == BeginResult::kRun);
}

// Guards against slots that stay with the agent because their receiver ended
// before they were sent.
TEST(SlotDrainTest, ChoosesAnotherReceiverBeforeTheTransfer) {
  CHECK(drain.Pending({kOther}).front().receiver == kOther);
  CHECK(drain.Pending({kNext}).front().receiver == kNext);
}

}  // namespace
}  // namespace celerypost
