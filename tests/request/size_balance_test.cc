#include "src/request/size_balance.h"

#include <chrono>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr double kNoRoom = -1000;
constexpr double kAllFit = 100000;

TEST_GROUP(SizeBalanceTest) {
  SizeBalance balance{{}};
  const ServiceName service{"s"};
  TimePoint now{std::chrono::seconds(1000)};

  // Records requests of 100 to 1,000 tokens in turn, five a second.
  void Decide(size_t count, double room_tokens, const char* kind = "k") {
    for (size_t i = 0; i < count; ++i) {
      this->now += milliseconds(200);
      this->balance.OnDecision(this->service, kind,
                               static_cast<double>(100 * (1 + i * 7 % 10)),
                               room_tokens, this->now);
    }
  }
  double Lean(const char* kind = "k") const {
    return this->balance.LeanOf(this->service, kind).weight;
  }
};

// Guards against a cost on days on which nothing is refused.
TEST(SizeBalanceTest, LeansNotWhileAllArePlaced) {
  this->Decide(1000, kAllFit);
  DOUBLES_EQUAL(0, this->Lean(), 0);
}

// Guards against a lean for refusals that hit all sizes alike.
TEST(SizeBalanceTest, LeansNotWhileAllAreRefused) {
  this->Decide(1000, kNoRoom);
  DOUBLES_EQUAL(0, this->Lean(), 0);
}

// Guards against long prompts that stay refused, for a gateway that sees five
// requests a second, and against a lean that outlasts the overload.
TEST(SizeBalanceTest, LeansWithinSecondsAndReturns) {
  // What is larger than the mean does not fit.
  this->Decide(25, 550);
  CHECK_TRUE(this->Lean() > 0.3);
  this->Decide(200, kAllFit);
  DOUBLES_EQUAL(0, this->Lean(), 0);
}

// Guards against a lean out of bounds.
TEST(SizeBalanceTest, StaysWithinItsBounds) {
  for (const double room : {550., 950., 150., kNoRoom, kAllFit}) {
    for (int i = 0; i < 200; ++i) {
      this->Decide(1, room);
      CHECK_TRUE(this->Lean() >= 0 && this->Lean() <= 1);
    }
  }
}

// Guards against a kind with few requests that has to learn alone, and against
// a service that is leaned on for another's refusals.
TEST(SizeBalanceTest, KindsOfAServiceShareTheLean) {
  this->Decide(10, kAllFit, "rare");
  this->Decide(25, 550);
  CHECK_TRUE(this->Lean("rare") > 0.3);
  DOUBLES_EQUAL(0, this->balance.LeanOf(ServiceName("t"), "k").weight, 0);
  CHECK_TRUE(this->balance.LargestLean() > 0.3);
}

// Guards against a reference of another site: it follows the sizes that arrive,
// and is none while few have.
TEST(SizeBalanceTest, MeasuresTheReference) {
  DOUBLES_EQUAL(0, this->balance.LeanOf(this->service, "k").reference_tokens,
                0);
  this->Decide(200, kAllFit);
  const double reference =
      this->balance.LeanOf(this->service, "k").reference_tokens;
  // The mean is 550, the deviation 287.
  CHECK_TRUE(reference > 1000 && reference < 1250);
}

// Guards against memory for each route that a configuration ever had.
TEST(SizeBalanceTest, ForgetsKindsThatAreNoLongerAskedFor) {
  for (int i = 0; i < 500; ++i) {
    this->Decide(10, kAllFit, ("route " + std::to_string(i)).c_str());
    this->balance.OnDecision(ServiceName("s" + std::to_string(i)), "k", 100,
                             kAllFit, this->now);
  }
  // A route every 2 s, and as many services, kept for a minute.
  CHECK_TRUE(this->balance.kinds() <= 64);
}

// Guards against requests without token counts that count as short.
TEST(SizeBalanceTest, LeavesOutUnknownSizes) {
  for (int i = 0; i < 100; ++i) {
    this->now += milliseconds(200);
    this->balance.OnDecision(this->service, "k", 0, 550, this->now);
  }
  DOUBLES_EQUAL(0, this->balance.LeanOf(this->service, "k").reference_tokens,
                0);
}

}  // namespace
}  // namespace celerypost
