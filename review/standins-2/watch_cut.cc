// watch_cut RECORD FOLDER
//
// Replicas leave one after the other: their entries are removed from the
// platform's store, and they go on serving. With TROUBLE=0 in the environment
// the store lets its watches wait; otherwise it cuts those that wait, once,
// shortly before each replica leaves. Checks that no gateway sends a replica a
// request that its caller sent later than the drain bound after the removal.
// Exits with 0 if that held, 1 if not and 2 if it could not be checked.

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/deployment.h"

namespace {

using review::Connection;
using review::Deployment;
using review::Message;
using review::NowMs;
using review::SleepMs;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotChecked = 2;

constexpr size_t kReplicas = 6;
constexpr size_t kGateways = 3;
constexpr size_t kLeaving = 3;
constexpr size_t kCallers = 6;
// `drain_ms` of the settings.
constexpr double kDrainMs = 2000;
// Between a cut and the removal that follows it.
constexpr double kCutLeadMs = 100;
// `touch_ms` of the settings is 3000; gateways run for longer before a replica
// leaves.
constexpr double kCalmMs = 5000;
constexpr double kBetweenLeavesMs = 5000;
constexpr double kCallerPauseMs = 10;
constexpr int kCallerTimeoutMs = 1500;
// Of the requests; fewer answers mean that the deployment did not work.
constexpr double kMinAnswered = 0.9;

struct Sent {
  std::string id;
  size_t gateway = 0;
  double at_ms = 0;
  // 0 without an answer.
  int status = 0;
};

int SendOnce(const Deployment& deployment,
             size_t gateway,
             const std::string& id) {
  const int descriptor = review::Connect(
      deployment.GatewayIp(gateway), deployment.front_port(), kCallerTimeoutMs);
  if (descriptor < 0) {
    return 0;
  }
  Connection connection(descriptor);
  Message answer;
  return connection.Write(
             "POST /record/one HTTP/1.1\r\nHost: desk.example\r\n"
             "X-Attempt-Id: " +
             id +
             "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n"
             "Connection: close\r\n\r\nsign") &&
                 connection.Read(answer)
             ? answer.Status()
             : 0;
}

std::vector<Sent> RunCaller(const Deployment& deployment,
                            size_t caller,
                            const std::atomic<bool>& stop) {
  std::vector<Sent> sent;
  while (!stop) {
    Sent request;
    request.id =
        "c" + std::to_string(caller) + "-" + std::to_string(sent.size());
    request.gateway = caller % kGateways;
    request.at_ms = NowMs();
    request.status = SendOnce(deployment, request.gateway, request.id);
    sent.push_back(request);
    SleepMs(kCallerPauseMs);
  }
  return sent;
}

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
  std::atomic<bool> stop{false};
  std::vector<std::vector<Sent>> by_caller(kCallers);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(
        [&, i] { by_caller[i] = RunCaller(deployment, i, stop); });
  }
  SleepMs(kCalmMs);
  std::vector<double> left_at;
  for (size_t i = 0; i < kLeaving; ++i) {
    if (with_trouble) {
      deployment.store.CutWaitingWatches();
      SleepMs(kCutLeadMs);
    }
    deployment.store.Delete(deployment.replicas[i]->key());
    left_at.push_back(NowMs());
    SleepMs(kBetweenLeavesMs);
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  const bool all_run = deployment.GatewaysRun();
  deployment.StopGateways();

  std::map<std::string, Sent> sent;
  std::map<int, int> statuses;
  for (const auto& requests : by_caller) {
    for (const Sent& request : requests) {
      sent[request.id] = request;
      ++statuses[request.status];
    }
  }
  record << "requests sent: " << sent.size() << "\n";
  for (const auto& [status, count] : statuses) {
    record << "answered " << status << ": " << count << "\n";
  }
  record << "watches cut: " << deployment.store.cuts() << "\n";
  size_t late = 0;
  for (size_t i = 0; i < kLeaving; ++i) {
    review::Replica& replica = *deployment.replicas[i];
    size_t runs = 0;
    size_t late_runs = 0;
    double latest = 0;
    for (const review::Run& run : replica.runs()) {
      ++runs;
      const Sent& request = sent[run.id];
      const double after = request.at_ms - left_at[i];
      latest = std::max(latest, after);
      if (after <= kDrainMs) {
        continue;
      }
      ++late_runs;
      record << "late: " << run.id << " sent to gateway " << request.gateway
             << " " << after << " ms after " << replica.id
             << " was removed, runs there " << run.at_ms - left_at[i]
             << " ms after it, answered " << request.status << "\n";
    }
    record << replica.id << ": " << runs << " runs, the last one sent "
           << latest << " ms after its removal, " << late_runs << " later than "
           << kDrainMs << " ms\n";
    late += late_runs;
  }
  const double answered = statuses[200];
  if (!all_run || answered < kMinAnswered * static_cast<double>(sent.size())) {
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
