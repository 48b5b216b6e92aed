// watch_cut RECORD FOLDER
//
// Replicas leave one after the other: their entries are removed from the
// platform's store, and they go on serving. With TROUBLE=0 in the environment
// the store lets its watches wait; otherwise it cuts those that wait, once,
// shortly before each replica leaves. Checks that no gateway sends a replica a
// request that its caller sent later than the drain bound after the removal.
// Exits with 0 if that held, 1 if not and 2 if it could not be checked.

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "review/standins-2/callers.h"
#include "review/standins-2/deployment.h"

namespace {

using review::Deployment;
using review::NowMs;
using review::SleepMs;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotChecked = 2;

constexpr size_t kReplicas = 9;
constexpr size_t kGateways = 3;
constexpr size_t kLeaving = 6;
constexpr size_t kCallers = 6;
// `drain_ms` of the settings.
constexpr double kDrainMs = 2000;
// Between a cut and the removal that follows it.
constexpr double kCutLeadMs = 100;
// `touch_ms` of the settings is 3000; gateways run for longer before a replica
// leaves.
constexpr double kCalmMs = 5000;
// A replica that has left serves for `drain_ms` and a little longer.
constexpr double kServesMs = 2150;
constexpr double kBetweenLeavesMs = 2500;
// Of the requests; fewer answers mean that the deployment did not work.
constexpr double kMinAnswered = 0.9;

int Check(const std::string& record_file, const std::string& folder) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::ofstream record(record_file);
  record << (with_trouble
                 ? "waiting watches are cut 100 ms before each removal\n"
                 : "no watch is cut\n");
  static Deployment deployment(folder);
  if (!deployment.Start(kReplicas, kGateways)) {
    deployment.StopGateways();
    record << "the deployment did not start\n";
    return kNotChecked;
  }
  review::Callers callers(deployment);
  callers.Start(kCallers, {0, 1, 2});
  SleepMs(kCalmMs);
  std::vector<review::Left> left;
  for (size_t i = 0; i < kLeaving; ++i) {
    if (with_trouble) {
      deployment.store.CutWaitingWatches();
      SleepMs(kCutLeadMs);
    }
    review::Replica& replica = *deployment.replicas[i];
    deployment.store.Delete(replica.key());
    left.push_back({replica, NowMs()});
    SleepMs(kServesMs);
    replica.Exit();
    SleepMs(kBetweenLeavesMs);
  }
  const double answered = callers.Stop(record);
  const bool all_run = deployment.GatewaysRun();
  deployment.StopGateways();
  record << "watches cut: " << deployment.store.cuts() << "\n";
  size_t lost = 0;
  for (const review::Left& leaving : left) {
    lost += leaving.replica.lost_runs();
  }
  record << "runs that the exit of a replica cut off: " << lost << "\n";
  const size_t late = review::CountLate(left, callers.sent(), kDrainMs, record);
  if (!all_run || answered < kMinAnswered) {
    record << "not checked: a gateway ended or too few requests were answered"
           << "\n";
    return kNotChecked;
  }
  record << (late > 0 ? "broken\n" : "held\n");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kNotChecked;
  }
  const int outcome = Check(argv[1], argv[2]);
  // Threads of the stand-ins still run.
  std::_Exit(outcome);
}
