#include "src/process/state/service_availability.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "celerypost/random.h"
#include "tests/support/virtual_time.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(ServiceAvailabilityTest) {
  ServiceAvailability own{{}};
  ServiceAvailability peer{{}};
  TimePoint now{std::chrono::seconds(1000)};

  void Answer(ServiceAvailability & process, int64_t era = 1) const {
    process.NoteAnswer(era, this->now, this->now);
  }
  void Tell(const ServiceAvailability& from, ServiceAvailability& to) const {
    to.ApplyReport(*from.Report(this->now), this->now);
  }
  // Lets `answered` get an answer every half second for `span`, while the calls
  // of `lost` fail.
  void Pass(milliseconds span, std::vector<ServiceAvailability*> answered,
            std::vector<ServiceAvailability*> lost) {
    for (const TimePoint end = this->now + span; this->now < end;) {
      this->now += milliseconds(500);
      for (ServiceAvailability* const process : answered) {
        this->Answer(*process);
      }
      for (ServiceAvailability* const process : lost) {
        process->NoteFailure(this->now - milliseconds(100));
      }
    }
  }
};

// Guards against an outage that is missed although no process was answered.
TEST(ServiceAvailabilityTest, SilenceForAllIsAnOutage) {
  this->Answer(this->own);
  const TimePoint lost_at = this->now;
  this->Pass(milliseconds(3000), {}, {&this->own});
  CHECK_FALSE(this->own.last_outage().has_value());
  this->Answer(this->own);
  CHECK_TRUE(this->own.last_outage()->began_at == lost_at);
  CHECK_TRUE(this->own.last_outage()->ended_at == this->now);
}

// Guards against taking the failed calls of one process for an outage, whether
// its peers tell of their answers meanwhile or only afterwards.
TEST(ServiceAvailabilityTest, AnswersOfAPeerShowThatThereWasNoOutage) {
  this->Answer(this->own);
  this->Answer(this->peer);
  this->Pass(milliseconds(3500), {&this->peer}, {&this->own});
  this->Answer(this->own);
  CHECK_TRUE(this->own.last_outage().has_value());
  this->Tell(this->peer, this->own);
  CHECK_FALSE(this->own.last_outage().has_value());
  CHECK_FALSE(this->own.Report(this->now)->after_outage);
}

// Guards against an outage that a calm process believes because a peer's calls
// had failed.
TEST(ServiceAvailabilityTest, FailedCallsOfAPeerAreNotBelieved) {
  this->Answer(this->own);
  this->Answer(this->peer);
  this->Pass(milliseconds(3500), {&this->peer}, {&this->own});
  this->Answer(this->own);
  this->Tell(this->own, this->peer);
  CHECK_FALSE(this->peer.last_outage().has_value());
}

// Guards against an outage that is made of a pause in which nobody called, such
// as after the end of the only process that did.
TEST(ServiceAvailabilityTest, PauseWithoutAFailedCallIsNoOutage) {
  this->Answer(this->own);
  this->now += milliseconds(3000);
  this->Answer(this->own);
  CHECK_FALSE(this->own.last_outage().has_value());
}

// Guards against a process that started during an outage and hides it from the
// others, or doesn't learn of it.
TEST(ServiceAvailabilityTest, ProcessThatHasJustStartedDoesNotHideAnOutage) {
  this->Answer(this->own);
  this->Pass(milliseconds(4000), {}, {&this->own});
  this->Answer(this->peer);
  const TimePoint returned_at = this->now;
  this->now += milliseconds(200);
  this->Answer(this->own);
  this->Tell(this->peer, this->own);
  CHECK_TRUE(this->own.last_outage()->ended_at == returned_at);
  this->Tell(this->own, this->peer);
  CHECK_TRUE(this->peer.last_outage()->ended_at == returned_at);
}

// Guards against a restored service that was away too briefly to be missed.
TEST(ServiceAvailabilityTest, NewEraFollowsAnOutage) {
  this->Answer(this->own, 1);
  this->now += milliseconds(300);
  this->Answer(this->own, 2);
  CHECK_TRUE(this->own.last_outage()->ended_at == this->now);
  // A late answer or report of the older era doesn't end it.
  this->own.NoteAnswer(1, this->now, this->now);
  CHECK_EQUAL(2, this->own.Report(this->now)->era);
  CHECK_TRUE(this->own.last_outage()->ended_at == this->now);
}

// Guards against answers that seem younger each time they are passed on, which
// would hide the begin of an outage.
TEST(ServiceAvailabilityTest, ReportsThatArePassedOnDoNotGrowYounger) {
  this->Answer(this->own);
  const TimePoint answered_at = this->now;
  for (int i = 0; i < 40; ++i) {
    for (auto [from, to] : {std::pair(&this->own, &this->peer),
                            std::pair(&this->peer, &this->own)}) {
      auto report = *from->Report(this->now);
      this->now += milliseconds(50);
      report.AddTransit(milliseconds(50));
      to->ApplyReport(report, this->now);
      CHECK_TRUE(this->now - to->Report(this->now)->until_ago <= answered_at);
    }
  }
}

// Guards against periods of peers that are kept without a bound, and against
// ages out of range.
TEST(ServiceAvailabilityTest, KeepsABoundedNumberOfPeriods) {
  this->Answer(this->own);
  for (int64_t era = 2; era < 5000; ++era) {
    const ReportedAnswers report{era, milliseconds(-5), milliseconds(1) * era,
                                 true};
    this->own.ApplyReport(report, this->now);
    this->own.ApplyReport({1, milliseconds::max(), milliseconds::max(), true},
                          this->now);
  }
  CHECK_EQUAL(4999, this->own.Report(this->now)->era);
  CHECK_TRUE(this->own.Report(this->now)->since_ago == milliseconds(0));
}

// Processes whose calls are answered or not, and that tell some others.
class Fleet {
 public:
  Fleet(uint64_t seed, size_t size) : random(seed) {
    for (size_t i = 0; i < size; ++i) {
      this->processes.push_back(
          std::make_unique<ServiceAvailability>(ServiceAvailabilityOptions{}));
      this->turned_away_until.push_back(TimePoint());
      this->Call(i);
      this->Gossip(i);
    }
  }

  TimePoint Now() { return this->time.Now(); }
  void RunFor(milliseconds span) { this->time.RunFor(span); }
  void TurnAway(size_t process, milliseconds span) {
    this->turned_away_until[process] = this->Now() + span;
  }
  void TakeDown(milliseconds span) { this->down_until = this->Now() + span; }
  void Restart(size_t process) {
    this->processes[process] =
        std::make_unique<ServiceAvailability>(ServiceAvailabilityOptions{});
  }
  // Returns the number of processes that take a removal that they read now for
  // a lapse.
  size_t CountLapses(milliseconds grace) {
    return static_cast<size_t>(
        std::count_if(this->processes.begin(), this->processes.end(),
                      [&](const auto& process) {
                        const auto outage = process->last_outage();
                        return outage && this->Now() < outage->ended_at + grace;
                      }));
  }

  SplitMixRandom random;

 private:
  void Call(size_t process) {
    const TimePoint sent_at = this->Now();
    const bool answered = sent_at >= this->down_until &&
                          sent_at >= this->turned_away_until[process];
    const milliseconds delay(answered ? 1 + this->random.Below(30)
                                      : this->random.Below(1000));
    this->time.At(sent_at + delay, [this, process, sent_at, answered] {
      ServiceAvailability& availability = *this->processes[process];
      if (answered) {
        availability.NoteAnswer(1, this->Now(), this->Now());
      } else {
        availability.NoteFailure(sent_at);
      }
      this->time.At(this->Now() + milliseconds(500),
                    [this, process] { this->Call(process); });
    });
  }
  // Tells a few processes, as a beat does.
  void Gossip(size_t process) {
    const auto report = this->processes[process]->Report(this->Now());
    for (int i = 0; report && i < 4; ++i) {
      const size_t to = this->random.Below(this->processes.size());
      const milliseconds transit(this->random.Below(100));
      this->time.At(this->Now() + transit, [this, to, report = *report] {
        ReportedAnswers arrived = report;
        arrived.AddTransit(milliseconds(100));
        this->processes[to]->ApplyReport(arrived, this->Now());
      });
    }
    this->time.At(this->Now() + milliseconds(200),
                  [this, process] { this->Gossip(process); });
  }

  VirtualTime time;
  std::vector<std::unique_ptr<ServiceAvailability>> processes;
  std::vector<TimePoint> turned_away_until;
  TimePoint down_until{};
};

constexpr milliseconds kGrace{2200};
constexpr size_t kFleetSizes[] = {3, 7, 40, 400};

// Guards against departed targets that are used past the drain bound since some
// processes, also most of them, were turned away while others were served, and
// some of those have restarted since.
TEST(ServiceAvailabilityTest, FleetBelievesInNoOutageWhileSomeAreServed) {
  for (const size_t size : kFleetSizes) {
    for (uint64_t seed = 1; seed <= (size > 100 ? 2 : 10); ++seed) {
      Fleet fleet(seed, size);
      fleet.RunFor(milliseconds(5000));
      for (int round = 0; round < 4; ++round) {
        for (size_t i = 1; i < size; ++i) {
          if (fleet.random.Below(4) != 0) {
            fleet.TurnAway(i, milliseconds(500 + fleet.random.Below(5000)));
          }
        }
        fleet.RunFor(milliseconds(fleet.random.Below(6000)));
        // The first one was served all the while.
        fleet.Restart(0);
        for (int step = 0; step < 10; ++step) {
          fleet.RunFor(milliseconds(300));
          CHECK_EQUAL(0u, fleet.CountLapses(kGrace));
        }
        fleet.RunFor(milliseconds(4000));
      }
    }
  }
}

// Guards against the loss of all targets after an outage in which their
// registrations lapse: all processes know of it a moment after it.
TEST(ServiceAvailabilityTest, FleetNoticesAnOutageForAll) {
  for (const size_t size : kFleetSizes) {
    for (uint64_t seed = 1; seed <= (size > 100 ? 2 : 10); ++seed) {
      Fleet fleet(seed, size);
      fleet.RunFor(milliseconds(5000));
      for (int round = 0; round < 4; ++round) {
        const milliseconds away(2400 + fleet.random.Below(3000));
        fleet.TakeDown(away);
        fleet.RunFor(away / 2);
        fleet.Restart(fleet.random.Below(size));
        fleet.RunFor(away - away / 2 + milliseconds(1800));
        CHECK_EQUAL(size, fleet.CountLapses(kGrace));
        fleet.RunFor(milliseconds(1500));
        CHECK_EQUAL(0u, fleet.CountLapses(kGrace));
        fleet.RunFor(milliseconds(5000));
      }
    }
  }
}

}  // namespace
}  // namespace celerypost
