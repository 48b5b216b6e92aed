#include "review/standins-2/callers.h"

#include <algorithm>

namespace review {

namespace {

constexpr double kPauseMs = 10;
constexpr int kTimeoutMs = 1500;
constexpr int kOk = 200;

}  // namespace

void Callers::Start(size_t count, const std::vector<size_t>& gateways) {
  this->by_caller.resize(count);
  for (size_t i = 0; i < count; ++i) {
    this->threads.emplace_back(
        [this, i, gateway = gateways[i % gateways.size()]] {
          this->by_caller[i] = this->Run(i, gateway);
        });
  }
}

double Callers::Stop(std::ostream& record) {
  this->stop = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  std::map<int, int> statuses;
  for (const auto& of_caller : this->by_caller) {
    for (const Sent& request : of_caller) {
      this->requests[request.id] = request;
      ++statuses[request.status];
    }
  }
  record << "requests sent: " << this->requests.size() << "\n";
  for (const auto& [status, count] : statuses) {
    record << "answered " << status << ": " << count << "\n";
  }
  return static_cast<double>(statuses[kOk]) /
         static_cast<double>(std::max<size_t>(1, this->requests.size()));
}

std::vector<Sent> Callers::Run(size_t caller, size_t gateway) const {
  std::vector<Sent> sent;
  while (!this->stop) {
    Sent request;
    request.id =
        "c" + std::to_string(caller) + "-" + std::to_string(sent.size());
    request.gateway = gateway;
    request.at_ms = NowMs();
    request.status = this->SendOnce(gateway, request.id);
    sent.push_back(request);
    SleepMs(kPauseMs);
  }
  return sent;
}

int Callers::SendOnce(size_t gateway, const std::string& id) const {
  const int descriptor = Connect(this->deployment.GatewayIp(gateway),
                                 this->deployment.front_port(), kTimeoutMs);
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

size_t CountLate(const std::vector<Left>& left,
                 const std::map<std::string, Sent>& sent,
                 double drain_ms,
                 std::ostream& record) {
  size_t late = 0;
  for (const Left& leaving : left) {
    size_t runs = 0;
    size_t late_runs = 0;
    double latest = 0;
    for (const Run& run : leaving.replica.runs()) {
      const auto found = sent.find(run.id);
      if (found == sent.end()) {
        continue;
      }
      ++runs;
      const Sent& request = found->second;
      const double after = request.at_ms - leaving.at_ms;
      latest = std::max(latest, after);
      if (after <= drain_ms) {
        continue;
      }
      ++late_runs;
      record << "late: " << run.id << " sent to gateway " << request.gateway
             << " " << after << " ms after " << leaving.replica.id
             << " was removed, runs there " << run.at_ms - leaving.at_ms
             << " ms after it, answered " << request.status << "\n";
    }
    record << leaving.replica.id << ": " << runs << " runs, the last one sent "
           << latest << " ms after its removal, " << late_runs << " later than "
           << drain_ms << " ms\n";
    late += late_runs;
  }
  return late;
}

}  // namespace review
