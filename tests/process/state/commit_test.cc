#include "src/process/state/commit.h"

#include <optional>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;
using Kind = CommitAction::Kind;

const TimePoint kStart{std::chrono::hours(1)};

Result<std::set<ZoneName>> NoManifest(const nlohmann::json&, const ZoneMap&) {
  return std::set<ZoneName>();
}

ChangeRequest ZoneOut() {
  ChangeRequest request;
  request.id = "c1";
  request.kind = ChangeKind::kZoneOut;
  request.who = "asha";
  request.why = "power work";
  request.zone = ZoneName("dar-a");
  return request;
}

tl::unexpected<Failure> Lost(Verdict verdict) {
  return tl::unexpected<Failure>(
      Failure{verdict, ErrorCode::kUnavailable, "no answer"});
}

TEST_GROUP(CommitTest) {
  Commit commit{CommitOptions{}, ZoneOut(), "now", NoManifest};
  bool reachable = true;
  bool confirmed = false;
  TimePoint now = kStart;

  CommitContext Context() const {
    return CommitContext{
        0,
        {{ZoneName("dar-a"), RegionName("dar")}},
        [this](const RegionName&) { return this->reachable; },
        [this](uint64_t, const RegionName&) { return this->confirmed; }};
  }
  // Runs the commit up to the write and returns the actions.
  std::vector<CommitAction> Prepare() {
    this->commit.Start(this->now);
    const auto context = this->Context();
    this->commit.OnConfigRead(StoredValue{}, context, this->now);
    return this->commit.OnChangeRead(StoredValue{}, context, this->now);
  }
  std::vector<CommitAction> Written(const Result<bool>& written) {
    return this->commit.OnWritten(written, this->Context(), this->now);
  }
  std::vector<CommitAction> TickAfter(milliseconds span) {
    this->now += span;
    return this->commit.OnTick(this->Context(), this->now);
  }
};

// Guards against the outcome "accepted" before the witnesses have confirmed the
// number.
TEST(CommitTest, AcceptsOnlyAfterConfirmation) {
  const auto write = this->Prepare();
  CHECK(write[0].kind == Kind::kWrite);
  LONGS_EQUAL(2, write[0].extra_puts.size());
  CHECK(write[0].extra_puts[0].first == "celerypost/audit/1");
  CHECK(this->Written(true)[0].kind == Kind::kPublish);
  CHECK_TRUE(this->TickAfter(milliseconds(50)).empty());
  this->confirmed = true;
  const auto end = this->TickAfter(milliseconds(50));
  CHECK(end[0].result.outcome == CommitOutcome::kAccepted);
  LONGS_EQUAL(1, end[0].result.number);
}

// Guards against writing a change that a concerned region cannot receive.
TEST(CommitTest, RefusesUnreachableRegionBeforeWriting) {
  this->reachable = false;
  const auto end = this->Prepare();
  LONGS_EQUAL(1, end.size());
  CHECK(end[0].result.outcome == CommitOutcome::kRegionUnreachable);
}

// Guards against a change that is applied twice or reported as refused after
// the answer to its write was lost.
TEST(CommitTest, LostAnswerIsReadBack) {
  this->Prepare();
  CHECK_TRUE(this->Written(Lost(Verdict::kMayHaveRun)).empty());
  const auto again = this->TickAfter(milliseconds(100));
  CHECK(again[0].kind == Kind::kWrite);
  LONGS_EQUAL(0, again[0].expected_revision);
  CHECK(this->Written(false)[0].kind == Kind::kReadChange);
  this->commit.OnChangeRead(StoredValue{R"({"number":1})", 7}, this->Context(),
                            this->now);
  this->confirmed = true;
  const auto end = this->TickAfter(milliseconds(50));
  CHECK(end[0].result.outcome == CommitOutcome::kAccepted);
}

// Guards against the outcome "refused_newer" for a change that took effect:
// only a failed comparison together with a missing change id shows that it did
// not.
TEST(CommitTest, LostRaceIsRefused) {
  this->Prepare();
  CHECK(this->Written(false)[0].kind == Kind::kReadChange);
  const auto end =
      this->commit.OnChangeRead(StoredValue{}, this->Context(), this->now);
  CHECK(end[0].result.outcome == CommitOutcome::kRefusedNewer);
}

// Guards against a definite outcome while a write may still take effect.
TEST(CommitTest, SilenceAfterAWriteIsUnknown) {
  this->Prepare();
  this->Written(Lost(Verdict::kMayHaveRun));
  const auto end = this->TickAfter(milliseconds(4000));
  CHECK(end[0].result.outcome == CommitOutcome::kUnknown);
}

// Guards against the outcome "unknown" for a change that was not sent.
TEST(CommitTest, UnsentWriteIsUnavailable) {
  this->Prepare();
  const auto end = this->Written(Lost(Verdict::kNotRun));
  CHECK(end[0].result.outcome == CommitOutcome::kUnavailable);
}

// Guards against applying a change again when its id is repeated after other
// changes.
TEST(CommitTest, RepeatedIdIsNotWrittenAgain) {
  this->commit.Start(this->now);
  this->commit.OnConfigRead(StoredValue{}, this->Context(), this->now);
  CHECK_TRUE(this->commit
                 .OnChangeRead(StoredValue{R"({"number":3})", 9},
                               this->Context(), this->now)
                 .empty());
  this->confirmed = true;
  LONGS_EQUAL(3, this->TickAfter(milliseconds(50))[0].result.number);
}

// Guards against writing on top of a key-value service that lost newer changes,
// which would revert the configuration (P9).
TEST(CommitTest, RefusesAStoreThatLostChanges) {
  this->commit.Start(this->now);
  auto context = this->Context();
  context.own_number = 4;
  this->commit.OnConfigRead(StoredValue{}, context, this->now);
  const auto end = this->commit.OnChangeRead(StoredValue{}, context, this->now);
  CHECK(end[0].result.outcome == CommitOutcome::kUnavailable);
}

}  // namespace
}  // namespace celerypost
