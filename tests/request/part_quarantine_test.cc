#include "src/request/part_quarantine.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;
using Admission = PartQuarantine::Admission;

constexpr PartHash kPart = 7;

TEST_GROUP(PartQuarantineTest) {
  QuarantineOptions options;
  PartQuarantine quarantine{options};
  TimePoint now{milliseconds(1000000)};

  Admission Admit(bool may_probe) {
    return this->quarantine.Admit({kPart}, {{kPart, may_probe}}, this->now);
  }
};

// Guards against several probes at once, each of which may cost a target.
TEST(PartQuarantineTest, SendsOneProbeWhenThePeriodHasPassed) {
  CHECK_TRUE(this->Admit(true) == Admission::kFree);
  this->quarantine.Add(kPart, this->now);
  CHECK_TRUE(this->Admit(true) == Admission::kQuarantined);
  this->now += this->options.first_period;
  CHECK_TRUE(this->Admit(false) == Admission::kQuarantined);
  CHECK_TRUE(this->Admit(true) == Admission::kProbe);
  CHECK_TRUE(this->Admit(true) == Admission::kQuarantined);
  this->now += this->options.first_period;
  CHECK_TRUE(this->Admit(true) == Admission::kQuarantined);
  this->now += this->options.first_period;
  CHECK_TRUE(this->Admit(true) == Admission::kProbe);
}

// Guards against a quarantine that stays although the part does no harm.
TEST(PartQuarantineTest, ASurvivingRequestLiftsTheQuarantine) {
  this->quarantine.Add(kPart, this->now);
  CHECK_FALSE(this->quarantine.OnSurvived(kPart, this->now, this->now));
  this->now += milliseconds(1);
  CHECK_TRUE(this->quarantine.OnSurvived(kPart, this->now, this->now));
  CHECK_TRUE(this->Admit(false) == Admission::kFree);
}

// Guards against a second probe when nobody learns the result of the first: the
// gateway that sent it was killed, or its target fell silent.
TEST(PartQuarantineTest, AProbeDoublesThePeriodBeforeItsResultIsKnown) {
  this->quarantine.Add(kPart, this->now);
  this->now += this->options.first_period;
  CHECK_TRUE(this->Admit(true) == Admission::kProbe);
  const auto record = this->quarantine.RecordOf(kPart, this->now);
  CHECK_TRUE(record.has_value());
  CHECK_EQUAL(2u, record->round);
  CHECK_EQUAL(2 * this->options.first_period.count(), record->left.count());
  this->now += milliseconds(1);
  CHECK_TRUE(this->quarantine.OnSurvived(kPart, this->now, this->now));
  CHECK_TRUE(this->Admit(false) == Admission::kFree);
}

// Guards against an older record that lifts or restores a quarantine.
TEST(PartQuarantineTest, TheHigherRoundHoldsWhateverTheOrder) {
  const QuarantineRecord first{kPart, 1, false, milliseconds(1000)};
  const QuarantineRecord lifted{kPart, 1, true, milliseconds(0)};
  const QuarantineRecord second{kPart, 2, false, milliseconds(1000)};
  CHECK_TRUE(this->quarantine.Merge(lifted, this->now));
  CHECK_FALSE(this->quarantine.Merge(first, this->now));
  CHECK_FALSE(this->quarantine.Contains({kPart}));
  CHECK_TRUE(this->quarantine.Merge(second, this->now));
  CHECK_FALSE(this->quarantine.Merge(lifted, this->now));
  CHECK_TRUE(this->quarantine.Contains({kPart}));
  CHECK_FALSE(this->quarantine.Merge({9, 0, false, {}}, this->now));
  CHECK_FALSE(this->quarantine.Contains({9}));
}

// Guards against memory that grows with the number of quarantined parts.
TEST(PartQuarantineTest, KeepsABoundedNumberOfRecords) {
  for (PartHash part = 1; part <= 1000; ++part) {
    this->now += milliseconds(1);
    this->quarantine.Merge({part, 1, false, milliseconds(1000)}, this->now);
  }
  this->quarantine.DropExpired(this->now);
  CHECK_EQUAL(this->options.max_parts,
              this->quarantine.Records(this->now).size());
  CHECK_TRUE(this->quarantine.Contains({1000}));
  this->now += this->options.lifetime + milliseconds(1);
  this->quarantine.DropExpired(this->now);
  CHECK_TRUE(this->quarantine.parts().empty());
}

}  // namespace
}  // namespace celerypost
