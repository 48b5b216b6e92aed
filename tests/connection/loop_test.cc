#include "src/connection/loop.h"

#include <csignal>

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

}  // namespace
}  // namespace celerypost
