#include "review/standins-2/replica.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr double kWorkMs = 15;
constexpr int kOtherReplica = 421;
// A Unix millisecond of 2026.
constexpr int64_t kBorn = 1'790'000'000'000;

}  // namespace

Replica::Replica(std::string id, std::string ip, uint16_t port)
    : id(std::move(id)), ip(std::move(ip)), port(port) {}

bool Replica::Start() {
  this->listener = Serve(this->ip, this->port, [this](Connection& connection) {
    this->Handle(connection);
  });
  return this->listener >= 0;
}

void Replica::Exit() {
  this->exited = true;
  StopListening(this->listener);
}

std::string Replica::Entry() const {
  return nlohmann::json{
      {"service", "ledger"},
      {"address", this->ip + ":" + std::to_string(this->port)},
      {"zone", "north-a"},
      {"version", "1"},
      {"slots", 16},
      {"state", "ready"},
      {"sequence", 1},
      {"cold_remaining_ms", 0},
      {"born", kBorn}}
      .dump();
}

std::vector<Run> Replica::runs() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->began;
}

void Replica::Handle(Connection& connection) {
  Message request;
  while (!this->exited && connection.Read(request) && !this->exited) {
    const std::string attempt = request.Header("x-attempt-id");
    const std::string expected = request.Header("x-expect-instance");
    const std::string names =
        "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + this->id + "\r\n";
    if (!expected.empty() && expected != this->id) {
      if (!connection.Write(MakeResponse(kOtherReplica, names, ""))) {
        return;
      }
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->began.push_back({attempt, NowMs()});
    }
    SleepMs(kWorkMs);
    if (this->exited) {
      ++this->lost;
      return;
    }
    if (!connection.Write(MakeResponse(
            200, names + "X-Response-Seal: seal-" + this->id + "\r\n",
            "done " + attempt))) {
      return;
    }
  }
}

}  // namespace review
