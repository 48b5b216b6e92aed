#include "src/connection/loop.h"

#include <csignal>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(LoopTest) {
  Loop loop;
};

// Guards against output that is dropped because the loop is stopped by the
// event that produced it.
TEST(LoopTest, OutputOfTheLastIterationIsSent) {
  bool sent = false;
  this->loop.OnTerminate([this, &sent] {
    this->loop.BeforeWait([&sent] { sent = true; });
    this->loop.Stop();
  });
  // Keeps the loop running until the signal is handled.
  Timer timer(this->loop, [this] { this->loop.Stop(); });
  timer.StartOnce(std::chrono::seconds(2));
  std::raise(SIGTERM);
  this->loop.Run();
  CHECK_TRUE(sent);
}

// Guards against taking what waited in a socket during a pause of the process
// for news.
TEST(LoopTest, WhatArrivedInAPauseIsNotDatedAfterIt) {
  const TimePoint before = this->loop.Now();
  bool resumed = false;
  Timer pause(this->loop, [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
  });
  Timer next(this->loop, [&] {
    resumed = true;
    CHECK_TRUE(this->loop.Now() - before >= std::chrono::milliseconds(600));
    CHECK_TRUE(this->loop.ArrivedAfter() - before <
               std::chrono::milliseconds(300));
  });
  pause.StartOnce(std::chrono::milliseconds(30));
  next.StartOnce(std::chrono::milliseconds(100));
  for (int i = 0; i < 100 && !resumed; ++i) {
    this->loop.RunFor(std::chrono::milliseconds(20));
  }
  CHECK_TRUE(resumed);
}

// Guards against a timeout that has passed before its call is sent, since the
// call is made at the end of a long iteration.
TEST(LoopTest, ADelayCountsFromItsStartAfterALongIteration) {
  constexpr std::chrono::milliseconds kDelay{150};
  std::vector<Duration> waited;
  TimePoint started{};
  const auto fire = [&] { waited.push_back(this->loop.Now() - started); };
  Timer once(this->loop, fire);
  Timer repeating(this->loop, [&] {
    fire();
    repeating.Stop();
  });
  Timer work(this->loop, [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    started = this->loop.Now();
    once.StartOnce(kDelay);
    repeating.StartRepeating(kDelay);
  });
  work.StartOnce(std::chrono::milliseconds(0));
  for (int i = 0; i < 100 && waited.size() < 2; ++i) {
    this->loop.RunFor(std::chrono::milliseconds(20));
  }
  CHECK_EQUAL(2u, waited.size());
  for (const Duration& time : waited) {
    // The timers have a resolution of 1 ms.
    CHECK_TRUE(time >= kDelay - std::chrono::milliseconds(2));
  }
}

}  // namespace
}  // namespace celerypost
