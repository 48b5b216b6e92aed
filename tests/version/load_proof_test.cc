#include "src/version/load_proof.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;
using State = LoadProof::State;

// The target holds version 1 and is ordered to load version 2 at 10 s.
TEST_GROUP(LoadProofTest) {
  TimePoint start{std::chrono::seconds(100)};
  StagedCopy copy{{}, this->start};
  LoadProof proof;

  void setup() override {
    this->copy.Reset(2, this->start);
  }
  TimePoint At(int64_t ms) const {
    return this->start + milliseconds(ms);
  }
  void ReadAll(int64_t ms) {
    this->copy.OnGood(0, this->At(ms));
    this->copy.OnGood(1, this->At(ms));
  }
  void Report(int64_t held, bool busy, int64_t sequence, int64_t asked,
              int64_t now) {
    this->proof.OnReport({held, busy, sequence, this->At(asked)}, this->copy,
                         this->At(now));
  }
  void Check(State state, bool serves) const {
    CHECK_TRUE(state == this->proof.state());
    CHECK_EQUAL(serves, this->proof.MayServe(2));
  }
};

TEST(LoadProofTest, AnOrderThatIsAcceptedSoonIsProvenByTheCheck) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->Check(State::kOrdered, false);
  this->proof.OnAccepted(this->copy, this->At(10010));
  this->Check(State::kProven, true);
}

TEST(LoadProofTest, AnOrderThatIsAcceptedLateIsProvenByReadsAfterIt) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->proof.OnAccepted(this->copy, this->At(12500));
  this->Check(State::kVerifying, false);
  CHECK_EQUAL(2u, this->proof.ChunksToRead(this->copy).size());
  this->copy.OnGood(0, this->At(12510));
  this->proof.OnRead(this->copy);
  this->Check(State::kVerifying, false);
  this->copy.OnGood(1, this->At(12510));
  this->proof.OnRead(this->copy);
  this->Check(State::kProven, true);
}

TEST(LoadProofTest, ABadChunkDisprovesALoadUntilTheTargetHoldsNothing) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->proof.OnAccepted(this->copy, this->At(12500));
  this->proof.OnCopyInvalid();
  this->Check(State::kDisproven, false);
  this->ReadAll(12600);
  this->proof.OnRead(this->copy);
  this->Report(2, false, 8, 12600, 12610);
  this->Check(State::kDisproven, false);
  this->Report(0, true, 9, 12700, 12710);
  this->Check(State::kDisproven, false);
  this->Report(0, false, 9, 12800, 12810);
  this->Check(State::kNone, true);
}

// Guards against an acceptance that is overlooked, and a report that was on its
// way at the acceptance.
TEST(LoadProofTest, ReportsShowAnAcceptanceWithoutAnAnswer) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->Report(1, false, 7, 10010, 10020);
  this->Check(State::kOrdered, false);
  this->Report(1, true, 8, 12400, 12500);
  this->Check(State::kVerifying, false);
  this->Report(0, false, 7, 12300, 12510);
  this->Check(State::kVerifying, false);
}

TEST(LoadProofTest, ARefusedOrderLeavesNoDoubt) {
  this->proof.OnOrder(2, 7);
  this->proof.OnRefused();
  this->Check(State::kNone, true);
}

// Guards against a chunk that is written again while it is not known whether
// the target has loaded the bad one.
TEST(LoadProofTest, ABadChunkBetweenTwoOrdersDisprovesTheLoad) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->proof.OnCopyInvalid();
  this->copy.OnChanged(0, this->At(11200));
  this->ReadAll(11300);
  this->proof.OnOrder(2, 7);
  this->proof.OnRefused();
  this->Check(State::kOrdered, false);
  this->Report(2, false, 8, 11400, 11410);
  this->Check(State::kDisproven, false);
}

// Guards against a late acceptance of the order for the version before, whose
// chunks have been replaced since.
TEST(LoadProofTest, TheVersionOfAnEarlierOrderIsNotTrusted) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->proof.OnCopyInvalid();
  this->copy.Reset(2, this->At(11000));
  this->ReadAll(14000);
  this->proof.OnOrder(3, 7);
  this->Report(1, false, 7, 14010, 14020);
  this->Report(2, false, 8, 14200, 14210);
  CHECK_FALSE(this->proof.MayServe(2));
  CHECK_TRUE(this->proof.MayServe(1));
  this->proof.OnOrder(3, 8);
  this->proof.OnAccepted(this->copy, this->At(14500));
  this->Report(3, false, 9, 14900, 14910);
  CHECK_TRUE(this->proof.MayServe(3));
  CHECK_TRUE(this->proof.MayServe(2));
}

// Guards against a disproven load that is trusted again since a further order,
// which a report from before the load had led to, was refused.
TEST(LoadProofTest, ARefusedOrderDoesNotProveADisprovenLoad) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->proof.OnAccepted(this->copy, this->At(12500));
  this->proof.OnCopyInvalid();
  this->Report(0, false, 7, 12400, 13200);
  this->proof.OnOrder(2, 7);
  this->proof.OnRefused();
  this->Check(State::kDisproven, false);
}

// Guards against the same when the further order gets no answer.
TEST(LoadProofTest, AnUnansweredOrderDoesNotProveADisprovenLoad) {
  this->ReadAll(9900);
  this->proof.OnOrder(2, 7);
  this->proof.OnAccepted(this->copy, this->At(12500));
  this->proof.OnCopyInvalid();
  this->proof.OnOrder(2, 7);
  this->ReadAll(14000);
  this->Report(2, false, 8, 14100, 14110);
  this->Check(State::kDisproven, false);
}

// Guards against a load that is trusted since the process that ordered it was
// killed, before or after the chunks have been read again.
TEST(LoadProofTest, ABadChunkDisprovesALoadThatAnEarlierProcessOrdered) {
  this->Report(0, true, 8, 9800, 9810);
  this->proof.OnCopyInvalid();
  this->Report(2, false, 8, 11000, 11010);
  this->Check(State::kDisproven, false);
}

TEST(LoadProofTest, ALoadThatAnEarlierProcessOrderedIsProvenByReads) {
  this->Report(0, true, 8, 9800, 9810);
  this->Report(2, false, 8, 11000, 11010);
  this->Check(State::kVerifying, false);
  this->ReadAll(11100);
  this->proof.OnRead(this->copy);
  this->Check(State::kProven, true);
}

}  // namespace
}  // namespace celerypost
