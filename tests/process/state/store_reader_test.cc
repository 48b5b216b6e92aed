#include "src/process/state/store_reader.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(StoreReaderTest) {
  // Gateways of a region; each hears all others.
  std::vector<ReaderCandidate> gateways;

  void setup() override {
    for (uint64_t i = 1; i <= 10; ++i) {
      this->gateways.push_back({InstanceId{i}, true});
    }
  }
  size_t Readers() const {
    size_t readers = 0;
    for (const ReaderCandidate& self : this->gateways) {
      std::vector<ReaderCandidate> others;
      for (const ReaderCandidate& other : this->gateways) {
        if (!(other.instance == self.instance)) {
          others.push_back(other);
        }
      }
      readers += ReadsStore({}, self, others) ? 1 : 0;
    }
    return readers;
  }
};

// Guards against sending a configuration over a link between regions once per
// VM: with 28 VMs and a hundred kilobytes each change filled the links for more
// than a second.
TEST(StoreReaderTest, TwoGatewaysOfARegionWatch) {
  CHECK_EQUAL(2u, this->Readers());
}

// Guards against a region that learns of no changes while the service does not
// answer some of its VMs.
TEST(StoreReaderTest, OthersTakeOverFromThoseWithoutAnswers) {
  this->gateways[0].store_answers = false;
  this->gateways[1].store_answers = false;
  CHECK_EQUAL(2u, this->Readers());
  this->gateways.resize(3);
  CHECK_EQUAL(1u, this->Readers());
}

// Guards against a region that does not notice the end of an outage, and
// against one in which every VM keeps trying.
TEST(StoreReaderTest, AFewKeepTryingInAnOutage) {
  for (ReaderCandidate& gateway : this->gateways) {
    gateway.store_answers = false;
  }
  CHECK_EQUAL(3u, this->Readers());
}

// Guards against a gateway that hears no others and still waits for them to
// read.
TEST(StoreReaderTest, AGatewayAloneReads) {
  this->gateways.resize(1);
  CHECK_EQUAL(1u, this->Readers());
  this->gateways.front().store_answers = false;
  CHECK_EQUAL(1u, this->Readers());
}

}  // namespace
}  // namespace celerypost
