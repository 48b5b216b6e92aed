#include "src/process/state/cluster_view.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Reads values of the form "config 3", "target t1 ready", "weights m 2" and
// "zone z".
class FakeDecoder : public DocumentDecoder {
 public:
  std::string OperatorPrefix() const override { return "o/"; }
  std::string TargetPrefix() const override { return "t/"; }
  Result<ClusterDocument> Decode(std::string_view key,
                                 std::string_view value) const override {
    const std::string text(value);
    if (text.starts_with("config ")) {
      auto config = std::make_shared<GatewayConfig>();
      config->version = std::stoll(text.substr(7));
      return std::shared_ptr<const GatewayConfig>(config);
    }
    if (text.starts_with("target ")) {
      TargetRegistration target;
      target.id = std::string(key.substr(2));
      target.draining = text == "target draining";
      return target;
    }
    if (text.starts_with("weights ")) {
      return NamedWeights{"m", std::stoll(text.substr(8))};
    }
    if (text.starts_with("zone ")) {
      return ZoneOut{ZoneName(text.substr(5))};
    }
    return NotRun(ErrorCode::kInvalidArgument, "unreadable");
  }
  std::string ReduceForStagers(std::string_view,
                               const std::string& value) const override {
    return value.substr(0, value.find(" many routes"));
  }
};

TEST_GROUP(ClusterViewTest) {
  FakeDecoder decoder;
  ClusterView view{decoder, {}};
  TimePoint now{std::chrono::seconds(1000)};

  void Change(const std::string& key, const std::string& value, int64_t at) {
    this->view.ApplyChanges({{key, value, at}}, this->now);
  }
  bool Usable(const std::string& target) const {
    const auto found = this->view.targets().find(target);
    return found != this->view.targets().end() &&
           (!found->second.usable_until ||
            this->now < *found->second.usable_until);
  }
};

// Guards against a configuration that reverts, through an older revision of its
// key or through an older version in a newer revision.
TEST(ClusterViewTest, ConfigurationNeverGoesBack) {
  this->Change("o/config", "config 7", 10);
  this->Change("o/config", "config 5", 11);
  CHECK_EQUAL(7, this->view.config()->version);
  this->view.ApplySnapshot({{"o/config", "config 6", 9}}, 9, false, this->now);
  CHECK_EQUAL(7, this->view.config()->version);
}

// Guards against a later naming that replaces the time of an earlier one: the
// use of versions below the first is still bounded by the first naming.
TEST(ClusterViewTest, EachNamingKeepsItsOwnTime) {
  this->Change("o/config", "config 1", 1);
  const TimePoint first = this->now;
  this->Change("o/w", "weights 2", 2);
  this->now += milliseconds(2000);
  this->Change("o/w", "weights 3", 3);
  const KnownWeights* const weights = this->view.Weights("m");
  CHECK_EQUAL(3, weights->version());
  CHECK_EQUAL(2, weights->NewestNamedAt(first + milliseconds(1999)));
  CHECK_EQUAL(3, weights->NewestNamedAt(first + milliseconds(2000)));
  CHECK_EQUAL(0, weights->NewestNamedAt(first - milliseconds(1)));
  CHECK_TRUE(weights->FirstNamedAbove(1) == first);
}

// Guards against a process that treats a version found in its first snapshot as
// named just now.
TEST(ClusterViewTest, NamingBeforeTheStartCountsAsOld) {
  this->view.ApplySnapshot({{"o/w", "weights 2", 2}}, 5, false, this->now);
  CHECK_EQUAL(2, this->view.Weights("m")->NewestNamedAt(this->now -
                                                        milliseconds(3000)));
}

// Guards against work on superseded weights by processes that learn late of a
// naming, each of which counted the bound from its own learning.
TEST(ClusterViewTest, NamingThatIsLearnedLateFromAPeerIsNotYounger) {
  ClusterView late{this->decoder, {}};
  this->Change("o/config", "config 1", 1);
  late.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  this->view.NoteCurrent(this->now);
  const TimePoint named_at = this->now;
  this->Change("o/w", "weights 2", 2);
  this->now += milliseconds(500);
  this->Change("o/w", "weights 3", 3);
  this->now += milliseconds(1000);
  late.ApplyDelta(this->view.MakeDelta({1, false}, this->now), this->now);
  CHECK_EQUAL(3, late.Weights("m")->version());
  CHECK_EQUAL(2, late.Weights("m")->NewestNamedAt(named_at));
  CHECK_TRUE(late.Weights("m")->FirstNamedAbove(1) == named_at);
}

// Guards against a naming that is dated after the silence, or the pause of the
// process, in which it was made.
TEST(ClusterViewTest, NamingAfterASilenceCountsFromItsBegin) {
  this->Change("o/config", "config 1", 1);
  this->view.NoteCurrent(this->now);
  const TimePoint current_at = this->now;
  this->now += milliseconds(2400);
  this->view.ApplySnapshot(
      {{"o/config", "config 1", 1}, {"o/w", "weights 2", 2}}, 2, false,
      this->now);
  CHECK_TRUE(this->view.Weights("m")->FirstNamedAbove(1) == current_at);
}

// Guards against an assumed time that replaces the one that a peer has seen, or
// that spreads to peers.
TEST(ClusterViewTest, AssumedTimeOfANamingGivesWayToAnObservedOne) {
  ClusterView restarted{this->decoder, {}};
  this->Change("o/config", "config 1", 1);
  this->Change("o/w", "weights 2", 2);
  const TimePoint named_at = this->now;
  this->now += milliseconds(700);
  restarted.ApplySnapshot({{"o/w", "weights 2", 2}}, 2, false, this->now);
  CHECK_EQUAL(0u, restarted.MakeDelta({}, this->now).namings.size());
  restarted.ApplyDelta(this->view.MakeDelta({2, false}, this->now), this->now);
  CHECK_TRUE(restarted.Weights("m")->FirstNamedAbove(1) == named_at);
}

// Guards against requests to a target after its registration was removed and
// the grace period has passed.
TEST(ClusterViewTest, RemovedTargetIsUsedForTheGraceOnly) {
  this->Change("t/a", "target ready", 1);
  this->Change("t/a", "", 2);
  CHECK_TRUE(this->Usable("a"));
  this->now += milliseconds(250);
  CHECK_FALSE(this->Usable("a"));
  CHECK_TRUE(this->view.DropExpired(this->now));
  CHECK_EQUAL(0u, this->view.targets().size());
}

// Guards against requests to a target past its drain bound of two seconds when
// its removal is learned late over a silent connection: work was given 45 ms
// past the bound.
TEST(ClusterViewTest, LateNewsOfALeavingTargetKeepsTheDrainBound) {
  this->Change("t/a", "target ready", 1);
  const TimePoint left = this->now;
  this->now = left + milliseconds(1400);
  this->Change("t/a", "", 2);
  this->now = left + milliseconds(2000);
  CHECK_FALSE(this->Usable("a"));
}

// Guards against the loss of all targets when their registrations lapse during
// an outage: those that still run register again within two seconds of its end.
TEST(ClusterViewTest, TargetsThatLapsedInAnOutageGetLongerToReturn) {
  this->Change("t/a", "target ready", 1);
  this->Change("t/b", "target ready", 2);
  this->view.OnServiceRegained(this->now);
  this->view.ApplySnapshot({}, 9, true, this->now);
  this->now += milliseconds(1900);
  CHECK_TRUE(this->Usable("a"));
  this->Change("t/a", "target ready", 10);
  this->now += milliseconds(400);
  CHECK_TRUE(this->Usable("a"));
  CHECK_FALSE(this->Usable("b"));
}

// Guards against an older copy of a key that restores a removed target.
TEST(ClusterViewTest, RemovedKeyIsNotRevivedByAnOlderCopy) {
  this->Change("t/a", "target ready", 5);
  this->Change("t/a", "", 8);
  this->Change("t/a", "target ready", 6);
  this->now += milliseconds(1500);
  CHECK_FALSE(this->Usable("a"));
}

// Guards against an unreadable registration that keeps its target in use or
// affects other targets.
TEST(ClusterViewTest, UnreadableEntryNamesNoTarget) {
  this->Change("t/a", "target ready", 1);
  this->Change("t/b", "target ready", 2);
  this->Change("t/a", "???", 3);
  CHECK_FALSE(this->Usable("a"));
  CHECK_TRUE(this->Usable("b"));
}

// Guards against a zone that stays out after operators took it in again.
TEST(ClusterViewTest, ZoneIsOutUntilItsKeyIsRemoved) {
  this->Change("o/z", "zone north", 1);
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("south")));
  this->Change("o/z", "", 2);
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("north")));
}

// Guards against pulls that carry every document for a single change: with 83
// processes, of which a third could not reach the key-value service, they
// filled the links between regions.
TEST(ClusterViewTest, DeltaHoldsWhatChangedSince) {
  this->view.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, 5, false,
      this->now);
  this->Change("t/b", "target ready", 6);
  this->Change("t/a", "", 7);
  const DocumentDelta delta = this->view.MakeDelta({5, false}, this->now);
  CHECK_TRUE(delta.partial);
  CHECK_EQUAL(7, delta.revision);
  CHECK_EQUAL(2u, delta.items.size());

  ClusterView behind{this->decoder, {}};
  behind.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, 5, false,
      this->now);
  behind.ApplyDelta(delta, this->now);
  CHECK_EQUAL(7, behind.revision());
  CHECK_TRUE(behind.targets().contains("b"));
  CHECK_TRUE(behind.targets().at("a").usable_until.has_value());
}

// Guards against a removed target that a process keeps because the peer that it
// asked started after the removal and does not know of it.
TEST(ClusterViewTest, DeltaIsWholeWhenRemovalsAreNotKnown) {
  this->view.ApplySnapshot({{"o/config", "config 1", 3}}, 8, false, this->now);
  const DocumentDelta delta = this->view.MakeDelta({5, false}, this->now);
  CHECK_FALSE(delta.partial);

  ClusterView behind{this->decoder, {}};
  behind.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, 5, false,
      this->now);
  behind.ApplyDelta(delta, this->now);
  CHECK_TRUE(behind.targets().at("a").usable_until.has_value());
}

// Guards against registrations of all targets on the slow links of stagers.
TEST(ClusterViewTest, DeltaForStagersHoldsOperatorsDocumentsOnly) {
  this->view.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, 5, false,
      this->now);
  const DocumentDelta delta = this->view.MakeDelta({0, true}, this->now);
  CHECK_EQUAL(1u, delta.items.size());
  STRCMP_EQUAL("o/config", delta.items.front().key.c_str());
}

// Guards against large configurations that fill the slow links of stagers while
// these fetch weights: 920 additional routes delayed new weights on 88 stagers
// by two seconds.
TEST(ClusterViewTest, StagersGetReducedDocuments) {
  this->view.ApplySnapshot({{"o/config", "config 1", 3}}, 5, false, this->now);
  this->Change("o/config", "config 2 many routes", 6);
  const auto delta = this->view.MakeDelta({5, true}, this->now);
  CHECK_EQUAL(1u, delta.items.size());
  STRCMP_EQUAL("config 2", delta.items.front().value.c_str());
  STRCMP_EQUAL(
      "config 2 many routes",
      this->view.MakeDelta({5, false}, this->now).items.front().value.c_str());
}

// Guards against a process that drops all targets after an outage because it
// learned from a peer, without the outage grace, that their registrations
// lapsed.
TEST(ClusterViewTest, DeltaTellsOfAnOutage) {
  this->view.ApplySnapshot({{"t/a", "target ready", 4}}, 5, false, this->now);
  ClusterView other{this->decoder, {}};
  other.ApplyDelta(this->view.MakeDelta({0, false}, this->now), this->now);
  this->view.OnServiceRegained(this->now);
  this->now += milliseconds(300);
  this->Change("t/a", "", 8);
  other.ApplyDelta(this->view.MakeDelta({5, false}, this->now), this->now);
  CHECK_TRUE(*other.targets().at("a").usable_until >
             this->now + milliseconds(1500));
}

}  // namespace
}  // namespace celerypost
