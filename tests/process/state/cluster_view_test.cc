#include "src/process/state/cluster_view.h"

#include <sstream>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Reads values of the form "config 3", "target ready", "target ready 900 4"
// (with start and sequence), "weights 2" and "zone z".
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
      std::istringstream words(text);
      std::string word;
      int64_t started_at = 0;
      words >> word >> word >> started_at >> target.sequence;
      target.draining = word == "draining";
      target.started_at = milliseconds(started_at);
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
  // Applies the whole content of `era`, in which all items were read.
  void Read(int64_t era, int64_t revision, std::vector<KeyValue> items) {
    for (KeyValue& item : items) {
      item.era = era;
    }
    this->view.ApplySnapshot(items, {era, revision}, this->now);
  }
  bool Usable(const std::string& target) const {
    return this->Usable(this->view, target);
  }
  bool Usable(const ClusterView& other, const std::string& target) const {
    const auto found = other.targets().find(target);
    return found != other.targets().end() && !found->second.entry.draining &&
           (!found->second.usable_until ||
            this->now < *found->second.usable_until);
  }
  void Answer(ClusterView & other, int64_t era = 0) const {
    other.NoteAnswer(era, this->now, this->now);
  }
  // The calls of `other` are not answered for `span`; then one is.
  void LoseCalls(ClusterView & other, milliseconds span) {
    this->Answer(other);
    for (const TimePoint end = this->now + span; this->now < end;
         this->now += milliseconds(100)) {
      other.NoteFailure(this->now);
    }
    this->Answer(other);
  }
  // `from` tells `to` when the service answered.
  std::vector<ViewChange> Tell(const ClusterView& from, ClusterView& to) const {
    return to.ApplyAnswers(*from.availability().Report(this->now), this->now);
  }
};

// Guards against a configuration that reverts, through an older revision of its
// key or through an older version in a newer revision.
TEST(ClusterViewTest, ConfigurationNeverGoesBack) {
  this->Change("o/config", "config 7", 10);
  this->Change("o/config", "config 5", 11);
  CHECK_EQUAL(7, this->view.config()->version);
  this->view.ApplySnapshot({{"o/config", "config 6", 9}}, {0, 9}, this->now);
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
  this->view.ApplySnapshot({{"o/w", "weights 2", 2}}, {0, 5}, this->now);
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
  this->view.NoteCurrent(this->now);
  this->Change("o/w", "weights 3", 3);
  this->now += milliseconds(1000);
  late.ApplyDelta(this->view.MakeDelta({{0, 1}, false}, this->now), this->now);
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
      {{"o/config", "config 1", 1}, {"o/w", "weights 2", 2}}, {0, 2},
      this->now);
  CHECK_TRUE(this->view.Weights("m")->FirstNamedAbove(1) == current_at);
}

// Guards against ages that shrink with each process that passes them on.
TEST(ClusterViewTest, NamingPassedOnSlowlyIsNotYounger) {
  ClusterView late{this->decoder, {}};
  this->Change("o/config", "config 1", 1);
  this->view.NoteCurrent(this->now);
  late.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  const TimePoint named_at = this->now;
  this->Change("o/w", "weights 2", 2);
  for (int i = 0; i < 20; ++i) {
    for (auto [from, to] :
         {std::pair(&this->view, &late), std::pair(&late, &this->view)}) {
      DocumentDelta delta = from->MakeDelta({{0, 1}, false}, this->now);
      this->now += milliseconds(60);
      delta.AddToAges(milliseconds(60));
      to->ApplyDelta(delta, this->now);
    }
  }
  CHECK_TRUE(*late.Weights("m")->FirstNamedAbove(1) <= named_at);
  CHECK_TRUE(*this->view.Weights("m")->FirstNamedAbove(1) <= named_at);
}

// Guards against a process that alone could not reach the service and replaces
// the time that its peers have seen.
TEST(ClusterViewTest, NamingLearnedAfterAnOutageGivesWayToAnObservedOne) {
  ClusterView cut_off{this->decoder, {}};
  this->Change("o/config", "config 1", 1);
  this->view.NoteCurrent(this->now);
  cut_off.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  const TimePoint named_at = this->now;
  this->Change("o/w", "weights 2", 2);
  this->now += milliseconds(3000);
  cut_off.NoteAway(this->now);
  cut_off.ApplySnapshot({{"o/config", "config 1", 1}, {"o/w", "weights 2", 2}},
                        {0, 2}, this->now);
  CHECK_TRUE(cut_off.Weights("m")->FirstNamedAbove(1) == this->now);
  CHECK_EQUAL(0u, cut_off.MakeDelta({}, this->now).namings.size());
  cut_off.ApplyDelta(this->view.MakeDelta({{0, 2}, false}, this->now),
                     this->now);
  CHECK_TRUE(cut_off.Weights("m")->FirstNamedAbove(1) == named_at);
}

// Guards against work on superseded weights past their bound, since one process
// that could not reach the service took it for away for all, where no naming is
// made.
TEST(ClusterViewTest, LostCallsOfOneProcessDoNotDateANamingLater) {
  ClusterView calm{this->decoder, {}};
  const auto read_naming = [this, &calm](bool told_before) {
    ClusterView cut_off{this->decoder, {}};
    cut_off.ApplyChanges({{"o/config", "config 1", 1}}, this->now);
    this->Answer(cut_off);
    this->Answer(calm);
    cut_off.NoteCurrent(this->now);
    const TimePoint current_at = this->now;
    for (int i = 0; i < 30; ++i) {
      this->now += milliseconds(100);
      this->Answer(calm);
      cut_off.NoteAway(this->now);
      cut_off.NoteFailure(this->now);
    }
    this->now += milliseconds(100);
    if (told_before) {
      this->Tell(calm, cut_off);
    }
    this->Answer(cut_off);
    cut_off.ApplySnapshot(
        {{"o/config", "config 1", 1}, {"o/w", "weights 2", 2}}, {0, 2},
        this->now);
    if (!told_before) {
      this->Tell(calm, cut_off);
    }
    return cut_off.Weights("m")->FirstNamedAbove(1) == current_at;
  };
  CHECK_TRUE(read_naming(/*told_before=*/true));
  CHECK_TRUE(read_naming(/*told_before=*/false));
}

// Guards against an assumed time that replaces the one that a peer has seen, or
// that spreads to peers.
TEST(ClusterViewTest, AssumedTimeOfANamingGivesWayToAnObservedOne) {
  ClusterView restarted{this->decoder, {}};
  this->Change("o/config", "config 1", 1);
  this->view.NoteCurrent(this->now);
  this->Change("o/w", "weights 2", 2);
  const TimePoint named_at = this->now;
  this->now += milliseconds(700);
  restarted.ApplySnapshot({{"o/w", "weights 2", 2}}, {0, 2}, this->now);
  CHECK_EQUAL(0u, restarted.MakeDelta({}, this->now).namings.size());
  restarted.ApplyDelta(this->view.MakeDelta({{0, 2}, false}, this->now),
                       this->now);
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
  this->LoseCalls(this->view, milliseconds(4000));
  this->view.ApplySnapshot({}, {0, 9}, this->now);
  this->now += milliseconds(1900);
  CHECK_TRUE(this->Usable("a"));
  this->Change("t/a", "target ready", 10);
  this->now += milliseconds(400);
  CHECK_TRUE(this->Usable("a"));
  CHECK_FALSE(this->Usable("b"));
}

// Guards against the loss of targets whose registrations lapse just after an
// outage, before they were heard again.
TEST(ClusterViewTest, TargetThatLapsesJustAfterAnOutageGetsLongerToReturn) {
  this->Change("t/a", "target ready", 1);
  this->LoseCalls(this->view, milliseconds(4000));
  this->now += milliseconds(300);
  this->Answer(this->view);
  this->Change("t/a", "", 2);
  this->now += milliseconds(1400);
  CHECK_TRUE(this->Usable("a"));
}

// Guards against requests past the drain bound to a target that left when a
// watch had just been cut: its removal was taken for a lapse.
TEST(ClusterViewTest, RemovalAfterACutWatchIsALeaving) {
  this->Change("t/a", "target ready", 1);
  this->LoseCalls(this->view, milliseconds(300));
  this->Change("t/a", "", 2);
  this->now += milliseconds(250);
  CHECK_FALSE(this->Usable("a"));
}

// Guards against the same when the service turned this process away and served
// its peers.
TEST(ClusterViewTest, RemovalAfterLostCallsOfOneProcessIsALeaving) {
  ClusterView calm{this->decoder, {}};
  this->Change("t/a", "target ready", 1);
  this->Answer(this->view);
  for (int i = 0; i < 35; ++i) {
    this->now += milliseconds(100);
    this->Answer(calm);
    this->view.NoteFailure(this->now);
    this->Tell(calm, this->view);
  }
  this->now += milliseconds(100);
  this->Answer(this->view);
  this->Change("t/a", "", 2);
  this->now += milliseconds(250);
  CHECK_FALSE(this->Usable("a"));
}

// Guards against a calm process that uses a departed target for longer because
// of the trouble of the peer that told it of the removal.
TEST(ClusterViewTest, TroubleOfOneProcessDoesNotSpreadWithItsDocuments) {
  ClusterView troubled{this->decoder, {}};
  this->Change("t/a", "target ready", 1);
  troubled.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  this->Answer(this->view);
  const TimePoint lost_at = this->now;
  this->LoseCalls(troubled, milliseconds(3500));
  for (TimePoint time = lost_at; time < this->now; time += milliseconds(500)) {
    this->view.NoteAnswer(0, time, time);
  }
  troubled.ApplyChanges({{"t/a", "", 2}}, this->now);
  this->view.ApplyDelta(troubled.MakeDelta({{0, 1}, false}, this->now),
                        this->now);
  this->now += milliseconds(250);
  CHECK_FALSE(this->Usable("a"));
  // Its first report to the troubled process ends the use there, too.
  CHECK_TRUE(this->Usable(troubled, "a"));
  CHECK_EQUAL(1u, this->Tell(this->view, troubled).size());
  CHECK_FALSE(this->Usable(troubled, "a"));
}

// Guards against a second outage that extends the use of a target whose
// removal was read after the first.
TEST(ClusterViewTest, LaterOutageDoesNotExtendTheUseOfARemovedTarget) {
  this->Change("t/a", "target ready", 1);
  this->LoseCalls(this->view, milliseconds(4000));
  this->view.ApplySnapshot({}, {0, 9}, this->now);
  this->LoseCalls(this->view, milliseconds(2100));
  ClusterView peer{this->decoder, {}};
  this->Tell(this->view, peer);
  this->Tell(peer, this->view);
  this->now += milliseconds(100);
  CHECK_FALSE(this->Usable("a"));
}

// Guards against a process that started during an outage, does not know of it
// and drops the targets that its peers have told it of.
TEST(ClusterViewTest, ProcessThatStartedInAnOutageLearnsOfItFromPeers) {
  this->Change("t/a", "target ready", 1);
  this->LoseCalls(this->view, milliseconds(4000));
  ClusterView started{this->decoder, {}};
  this->Answer(started);
  started.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  started.ApplyChanges({{"t/a", "", 2}}, this->now);
  this->now += milliseconds(1900);
  CHECK_TRUE(this->Usable(started, "a"));
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
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, {0, 5},
      this->now);
  this->Change("t/b", "target ready", 6);
  this->Change("t/a", "", 7);
  const DocumentDelta delta = this->view.MakeDelta({{0, 5}, false}, this->now);
  CHECK_TRUE(delta.partial);
  CHECK_EQUAL(7, delta.revision);
  CHECK_EQUAL(2u, delta.items.size());

  ClusterView behind{this->decoder, {}};
  behind.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, {0, 5},
      this->now);
  behind.ApplyDelta(delta, this->now);
  CHECK_EQUAL(7, behind.position().revision);
  CHECK_TRUE(behind.targets().contains("b"));
  CHECK_TRUE(behind.targets().at("a").usable_until.has_value());
}

// Guards against a removed target that a process keeps because the peer that it
// asked started after the removal and does not know of it.
TEST(ClusterViewTest, DeltaIsWholeWhenRemovalsAreNotKnown) {
  this->view.ApplySnapshot({{"o/config", "config 1", 3}}, {0, 8}, this->now);
  const DocumentDelta delta = this->view.MakeDelta({{0, 5}, false}, this->now);
  CHECK_FALSE(delta.partial);

  ClusterView behind{this->decoder, {}};
  behind.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, {0, 5},
      this->now);
  behind.ApplyDelta(delta, this->now);
  CHECK_TRUE(behind.targets().at("a").usable_until.has_value());
}

// Guards against a target that a process keeps because the peer that it asked
// read everything after the target had come and gone.
TEST(ClusterViewTest, DeltaIsWholeWhenASnapshotHidesRemovals) {
  this->view.ApplySnapshot({{"o/config", "config 1", 3}}, {0, 5}, this->now);
  ClusterView behind{this->decoder, {}};
  behind.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 6}}, {0, 6},
      this->now);
  this->view.ApplySnapshot({{"o/config", "config 1", 3}}, {0, 8}, this->now);
  behind.ApplyDelta(this->view.MakeDelta({behind.position(), false}, this->now),
                    this->now);
  CHECK_TRUE(behind.targets().at("a").usable_until.has_value());
}

// Guards against registrations of all targets on the slow links of stagers.
TEST(ClusterViewTest, DeltaForStagersHoldsOperatorsDocumentsOnly) {
  this->view.ApplySnapshot(
      {{"o/config", "config 1", 3}, {"t/a", "target ready", 4}}, {0, 5},
      this->now);
  const DocumentDelta delta = this->view.MakeDelta({{0, 0}, true}, this->now);
  CHECK_EQUAL(1u, delta.items.size());
  STRCMP_EQUAL("o/config", delta.items.front().key.c_str());
}

// Guards against large configurations that fill the slow links of stagers while
// these fetch weights: 920 additional routes delayed new weights on 88 stagers
// by two seconds.
TEST(ClusterViewTest, StagersGetReducedDocuments) {
  this->view.ApplySnapshot({{"o/config", "config 1", 3}}, {0, 5}, this->now);
  this->Change("o/config", "config 2 many routes", 6);
  const auto delta = this->view.MakeDelta({{0, 5}, true}, this->now);
  CHECK_EQUAL(1u, delta.items.size());
  STRCMP_EQUAL("config 2", delta.items.front().value.c_str());
  STRCMP_EQUAL("config 2 many routes",
               this->view.MakeDelta({{0, 5}, false}, this->now)
                   .items.front()
                   .value.c_str());
}

// Guards against a process that drops all targets after an outage because it
// learned from a peer, without the outage grace, that their registrations
// lapsed.
TEST(ClusterViewTest, DeltaTellsOfAnOutage) {
  this->view.ApplySnapshot({{"t/a", "target ready", 4}}, {0, 5}, this->now);
  ClusterView other{this->decoder, {}};
  other.ApplyDelta(this->view.MakeDelta({{0, 0}, false}, this->now), this->now);
  this->LoseCalls(this->view, milliseconds(4000));
  this->now += milliseconds(300);
  this->Change("t/a", "", 8);
  other.ApplyDelta(this->view.MakeDelta({{0, 5}, false}, this->now), this->now);
  CHECK_TRUE(*other.targets().at("a").usable_until >
             this->now + milliseconds(1500));
}

// Guards against changes that are dropped as older after the key-value service
// came back from a copy and hands out revisions again: added routes got 404.
TEST(ClusterViewTest, ReusedRevisionOfANewEraIsNotOlder) {
  this->Read(1, 44,
             {{"o/config", "config 5", 44}, {"t/a", "target ready", 30}});
  this->Read(2, 43,
             {{"o/config", "config 5", 43}, {"t/a", "target ready", 30}});
  this->view.ApplyChanges({{"o/config", "config 6", 44, 2}}, this->now);
  CHECK_EQUAL(6, this->view.config()->version);
  CHECK_TRUE(this->view.position() == (StorePosition{2, 44}));
  CHECK_TRUE(this->view.progress().operator_position == (StorePosition{2, 44}));
}

// Guards against a configuration that comes back older from a copy, in this
// process or in one that gets the documents from it.
TEST(ClusterViewTest, CopyDoesNotBringBackAnOlderConfiguration) {
  this->Read(1, 44, {{"o/config", "config 5", 44}, {"o/w", "weights 3", 40}});
  this->Read(2, 41, {{"o/config", "config 2", 30}, {"o/w", "weights 2", 20}});
  CHECK_EQUAL(5, this->view.config()->version);
  CHECK_EQUAL(3, this->view.Weights("m")->version());
  STRCMP_EQUAL("config 5", this->view.stored().at("o/config").value.c_str());

  // Both for a process without documents and for one that has read the copy.
  ClusterView started{this->decoder, {}};
  started.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  CHECK_EQUAL(5, started.config()->version);
  CHECK_EQUAL(3, started.Weights("m")->version());
  ClusterView reader{this->decoder, {}};
  reader.ApplySnapshot({{"o/config", "config 2", 30, 2}}, {2, 41}, this->now);
  CHECK_EQUAL(2, reader.config()->version);
  const DocumentDelta delta =
      this->view.MakeDelta({reader.position(), false}, this->now);
  CHECK_TRUE(delta.partial);
  reader.ApplyDelta(delta, this->now);
  CHECK_EQUAL(5, reader.config()->version);
  STRCMP_EQUAL("config 5", reader.stored().at("o/config").value.c_str());
}

// Guards against the loss of the configuration when the copy has none.
TEST(ClusterViewTest, CopyWithoutAConfigurationKeepsTheKnownOne) {
  this->Read(1, 44, {{"o/config", "config 5", 44}});
  this->Read(2, 3, {});
  this->now += milliseconds(60000);
  this->view.Settle(this->now);
  CHECK_EQUAL(5, this->view.config()->version);
  ClusterView started{this->decoder, {}};
  started.ApplySnapshot({}, {2, 3}, this->now);
  started.ApplyDelta(
      this->view.MakeDelta({started.position(), false}, this->now), this->now);
  CHECK_EQUAL(5, started.config()->version);
}

// Guards against an unreadable document that replaces a valid one.
TEST(ClusterViewTest, UnreadableConfigurationReplacesNoValidOne) {
  this->Read(1, 44, {{"o/config", "config 5", 44}});
  this->Read(2, 41, {{"o/config", "???", 30}});
  this->view.ApplyChanges({{"o/config", "???", 42, 2}}, this->now);
  CHECK_EQUAL(5, this->view.config()->version);
  STRCMP_EQUAL("config 5", this->view.stored().at("o/config").value.c_str());
  this->view.ApplyChanges({{"o/config", "config 6", 43, 2}}, this->now);
  CHECK_EQUAL(6, this->view.config()->version);
}

// Guards against a zone that is used again because the copy lacks the key that
// takes it out.
TEST(ClusterViewTest, ZoneThatTheCopyLacksStaysOutForTheGrace) {
  this->Read(1, 44, {{"o/z", "zone north", 44}});
  this->Read(2, 41, {});
  this->Read(2, 41, {});
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
  this->now += milliseconds(4900);
  CHECK_EQUAL(0u, this->view.Settle(this->now).size());
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
  this->now += milliseconds(100);
  CHECK_EQUAL(1u, this->view.Settle(this->now).size());
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("north")));
}

// Guards against the end of a zone's removal that operators have written again.
TEST(ClusterViewTest, ZoneWrittenAgainStaysOutAfterTheGrace) {
  this->Read(1, 44, {{"o/z", "zone north", 44}});
  this->Read(2, 41, {});
  this->view.ApplyChanges({{"o/z", "zone north", 42, 2}}, this->now);
  this->now += milliseconds(60000);
  this->view.Settle(this->now);
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
}

// Guards against a zone that is out again because the copy has a key that
// operators removed; afterwards the service's content holds.
TEST(ClusterViewTest, RemovedZoneInTheCopyStaysInForTheGrace) {
  this->Read(1, 40, {{"o/z", "zone north", 30}});
  this->view.ApplyChanges({{"o/z", "", 44, 1}}, this->now);
  this->Read(2, 41, {{"o/z", "zone north", 30}});
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("north")));
  this->now += milliseconds(5000);
  this->view.Settle(this->now);
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
}

// Guards against requests to a zone that operators took out anew in the new
// era, before this process read it.
TEST(ClusterViewTest, ZoneTakenOutAnewInTheNewEraIsOutAtOnce) {
  this->Read(1, 40, {{"o/z", "zone north", 30}});
  this->view.ApplyChanges({{"o/z", "", 44, 1}}, this->now);
  this->Read(2, 42, {{"o/z", "zone north", 42}});
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
}

// Guards against requests to a target that was draining or gone before the
// restore and is listed as ready in the copy.
TEST(ClusterViewTest, CopyDoesNotReviveADrainingOrGoneTarget) {
  this->Read(
      1, 40,
      {{"t/a", "target ready 900 4", 30}, {"t/b", "target ready 900 4", 31}});
  this->view.ApplyChanges(
      {{"t/a", "target draining 900 9", 41, 1}, {"t/b", "", 42, 1}}, this->now);
  this->now += milliseconds(1000);
  this->Read(
      2, 39,
      {{"t/a", "target ready 900 4", 30}, {"t/b", "target ready 900 4", 31}});
  CHECK_FALSE(this->Usable("a"));
  CHECK_FALSE(this->Usable("b"));
  this->now += milliseconds(6000);
  this->view.Settle(this->now);
  CHECK_FALSE(this->Usable("a"));
  CHECK_FALSE(this->Usable("b"));
  // A new start is another target.
  this->view.ApplyChanges({{"t/b", "target ready 5000 1", 45, 2}}, this->now);
  CHECK_TRUE(this->Usable("b"));
}

// Guards against a zone that is out again and still gets requests, since the
// new era gives out the revision anew with which it was taken out before.
TEST(ClusterViewTest, ZoneTakenOutAtAReusedRevisionIsOutAtOnce) {
  this->Read(1, 43, {});
  this->view.ApplyChanges({{"o/z", "zone north", 44, 1}}, this->now);
  this->view.ApplyChanges({{"o/z", "", 46, 1}}, this->now);
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("north")));
  this->Read(2, 43, {});
  this->view.ApplyChanges({{"o/z", "zone north", 44, 2}}, this->now);
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
}

// Guards against a process that learns late of a new era and lets its peers use
// targets that have left in the meantime.
TEST(ClusterViewTest, EraLearnedLateDoesNotRenewTheOutageGrace) {
  ClusterView late{this->decoder, {}};
  this->Answer(this->view, 1);
  this->Read(1, 40, {{"t/a", "target ready 900 4", 39}});
  late.ApplyDelta(this->view.MakeDelta({}, this->now), this->now);
  this->now += milliseconds(500);
  this->Answer(this->view, 2);
  this->Read(2, 30, {{"t/a", "target ready 900 4", 29}});
  for (int i = 0; i < 20; ++i) {
    this->now += milliseconds(1000);
    this->Answer(this->view, 2);
  }
  this->view.Settle(this->now);
  late.ApplyDelta(this->view.MakeDelta({{1, 40}, false}, this->now), this->now);
  CHECK_TRUE(late.availability().Report(this->now)->since_ago >=
             milliseconds(20000));
  late.ApplyChanges({{"t/a", "", 31, 2}}, this->now);
  this->now += milliseconds(250);
  CHECK_FALSE(this->Usable(late, "a"));
}

// Guards against the loss of targets that the copy lacks: those that run
// register again within two seconds.
TEST(ClusterViewTest, TargetThatTheCopyLacksIsUsableForTheOutageGrace) {
  this->Read(
      1, 40,
      {{"t/a", "target ready 900 4", 39}, {"t/b", "target ready 900 4", 40}});
  this->Read(2, 30, {});
  this->now += milliseconds(2000);
  CHECK_TRUE(this->Usable("a"));
  this->view.ApplyChanges({{"t/a", "target ready 900 8", 31, 2}}, this->now);
  this->now += milliseconds(300);
  this->view.DropExpired(this->now);
  CHECK_TRUE(this->Usable("a"));
  CHECK_FALSE(this->Usable("b"));
  this->now += milliseconds(10000);
  this->view.Settle(this->now);
  CHECK_TRUE(this->Usable("a"));
  CHECK_EQUAL(0u, this->view.CountOlderEras());
}

// Guards against a target that stays limited because the copy lists it with an
// earlier or the same statement.
TEST(ClusterViewTest, TargetInTheCopyStaysInUse) {
  this->Read(
      1, 40,
      {{"t/a", "target ready 900 9", 39}, {"t/b", "target ready 900 4", 20}});
  this->Read(
      2, 30,
      {{"t/a", "target ready 900 4", 22}, {"t/b", "target ready 900 4", 20}});
  this->now += milliseconds(12000);
  this->view.Settle(this->now);
  this->view.DropExpired(this->now);
  CHECK_TRUE(this->Usable("a"));
  CHECK_TRUE(this->Usable("b"));
}

// Guards against peers of an older era, such as a process that was paused, that
// take the view back.
TEST(ClusterViewTest, DeltaOfAnOlderEraAddsOnlyWhatIsNewer) {
  this->Read(1, 40,
             {{"o/config", "config 5", 30}, {"t/a", "target ready 900 4", 31}});
  this->Read(2, 35,
             {{"o/config", "config 5", 30}, {"t/a", "target ready 900 4", 31}});
  this->now += milliseconds(60000);
  this->view.Settle(this->now);

  ClusterView paused{this->decoder, {}};
  paused.ApplySnapshot({{"o/config", "config 7", 50, 1},
                        {"o/z", "zone north", 48, 1},
                        {"t/a", "target draining 900 7", 51, 1},
                        {"t/b", "target ready 900 1", 49, 1}},
                       {1, 60}, this->now);
  const DocumentDelta delta =
      paused.MakeDelta({this->view.position(), false}, this->now);
  CHECK_FALSE(delta.partial);
  this->view.ApplyDelta(delta, this->now);
  CHECK_TRUE(this->view.position() == (StorePosition{2, 35}));
  CHECK_EQUAL(7, this->view.config()->version);
  CHECK_FALSE(this->Usable("a"));
  CHECK_FALSE(this->Usable("b"));
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("north")));

  // The paused process takes the new era over, and keeps what has a version.
  paused.ApplyDelta(this->view.MakeDelta({paused.position(), false}, this->now),
                    this->now);
  CHECK_TRUE(paused.position() == (StorePosition{2, 35}));
  CHECK_EQUAL(7, paused.config()->version);
}

// Guards against a second restore that ends the grace of the first or loses
// what the first one kept.
TEST(ClusterViewTest, TwoRestoresInARowKeepTheConfiguration) {
  this->Read(1, 44, {{"o/config", "config 5", 44}, {"o/z", "zone north", 43}});
  this->Read(2, 20, {{"o/config", "config 2", 18}});
  this->now += milliseconds(3000);
  this->Read(3, 15, {{"o/config", "config 1", 11}});
  this->now += milliseconds(3000);
  this->view.Settle(this->now);
  CHECK_TRUE(this->view.ZoneIsOut(ZoneName("north")));
  CHECK_EQUAL(5, this->view.config()->version);
  this->now += milliseconds(2000);
  this->view.Settle(this->now);
  CHECK_FALSE(this->view.ZoneIsOut(ZoneName("north")));
  CHECK_EQUAL(5, this->view.config()->version);
}

// Guards against an answer to a read that was sent before the restore.
TEST(ClusterViewTest, SnapshotOfAnOlderEraRemovesNothing) {
  this->Read(1, 44, {{"o/config", "config 5", 44}});
  this->Read(2, 46,
             {{"o/config", "config 5", 42}, {"t/a", "target ready 900 4", 45}});
  this->Read(1, 90, {{"o/config", "config 5", 44}});
  CHECK_TRUE(this->Usable("a"));
  CHECK_TRUE(this->view.position() == (StorePosition{2, 46}));
}

// Guards against a target that left in the new era before this process read it
// and that an answer of a peer from before then lists.
TEST(ClusterViewTest, EarlierSnapshotOfTheEraRevivesNothing) {
  this->Read(1, 40, {{"t/a", "target ready 900 4", 19}});
  this->Read(2, 28, {});
  this->Read(2, 26, {{"t/a", "target ready 900 4", 19}});
  this->now += milliseconds(2200);
  CHECK_FALSE(this->Usable("a"));
}

// Guards against processes that are forgotten because the copy lacks their
// registrations: the shares of a cold target's bound depend on their number.
TEST(ClusterViewTest, RegistrationsThatTheCopyLacksStayKnownForTheirGrace) {
  ClusterViewOptions options;
  options.registration_prefix = "n/";
  ClusterView gateway{this->decoder, options};
  gateway.ApplySnapshot({{"n/10.0.0.1", "zone x", 3, 1}}, {1, 5}, this->now);
  gateway.ApplySnapshot({}, {2, 2}, this->now);
  this->now += milliseconds(9900);
  gateway.Settle(this->now);
  CHECK_TRUE(gateway.stored().contains("n/10.0.0.1"));
  this->now += milliseconds(100);
  gateway.Settle(this->now);
  CHECK_FALSE(gateway.stored().contains("n/10.0.0.1"));
}

// Guards against memory that grows with every target that has ever left, and
// against deltas that lack a removal that was forgotten.
TEST(ClusterViewTest, ForgottenRemovalsMakeADeltaWhole) {
  ClusterViewOptions options;
  options.max_removals = 10;
  ClusterView gateway{this->decoder, options};
  gateway.ApplySnapshot({}, {1, 1}, this->now);
  int64_t revision = 1;
  for (int i = 0; i < 100; ++i) {
    const std::string key = "t/" + std::to_string(i);
    gateway.ApplyChanges({{key, "target ready 900 1", ++revision, 1}},
                         this->now);
    gateway.ApplyChanges({{key, "", ++revision, 1}}, this->now);
  }
  CHECK_FALSE(gateway.MakeDelta({{1, 100}, false}, this->now).partial);
  const DocumentDelta recent = gateway.MakeDelta({{1, 199}, false}, this->now);
  CHECK_TRUE(recent.partial);
  CHECK_EQUAL(1u, recent.items.size());
}

}  // namespace
}  // namespace celerypost
