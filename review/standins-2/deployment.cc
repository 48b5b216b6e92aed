#include "review/standins-2/deployment.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr int kPlacesToTry = 20;
constexpr double kReadyTimeoutMs = 15000;
constexpr int kReadTimeoutMs = 1000;

// Settings as in the sheet of a small deployment.
constexpr char kSettings[] =
    "role=gateway\n"
    "machine_class=edge\n"
    "serves=edge,directory\n"
    "zone=north-a\n"
    "region=north\n"
    "zones.north-a=north\n"
    "seed_nodes=\n"
    "bootstrap=true\n"
    "limits.cpu_share=0.25\n"
    "limits.cpu_cores=1\n"
    "limits.memory_mb=260\n"
    "limits.max_fds=4100\n"
    "limits.link_mbps=1000.0\n"
    "discovery=platform\n"
    "entry=directory\n"
    "heartbeat_ms=1200\n"
    "bounds.touch_ms=3000\n"
    "bounds.drain_ms=2000\n"
    "bounds.grace_s=8\n"
    "bounds.config_apply_ms=2000\n"
    "bounds.budget_ratio=0.2\n"
    "bounds.budget_window_s=10\n"
    "bounds.budget_slack=102\n"
    "bounds.cold_over=1.5\n"
    "bounds.cold_slack=5\n"
    "bounds.version_ms=8000\n"
    "bounds.ttl_max_s=5\n"
    "platform.form=kv\n"
    "platform.writes_per_s=400\n"
    "platform.reads_per_s=2000\n"
    "platform.history_s=20\n"
    "platform.ttl_min_ms=1000\n";

// The configuration that the operator has written.
std::string Configuration() {
  using Json = nlohmann::json;
  const Json route = {{"name", "record"},
                      {"host", "desk.example"},
                      {"prefix", "/record/"},
                      {"kind", "non_idempotent"},
                      {"service", "ledger"},
                      {"timeout_ms", 800},
                      {"target_latency_ms", 100},
                      {"max_attempts", 1},
                      {"priority", 2}};
  return Json{{"version", 3},
              {"routes", Json::array({route})},
              {"services", Json::array({Json{{"name", "ledger"},
                                             {"health_path", "/health"},
                                             {"max_conns", 100}}})},
              {"limits", Json{{"max_header_bytes", 16384},
                              {"max_body_bytes", 4194304},
                              {"header_timeout_ms", 5000},
                              {"idle_timeout_ms", 10000}}}}
      .dump();
}

}  // namespace

Deployment::Deployment(std::string folder) : folder(std::move(folder)) {}

void Deployment::StopGateways() {
  for (const pid_t gateway : this->gateways) {
    if (gateway > 0) {
      kill(gateway, SIGKILL);
      waitpid(gateway, nullptr, 0);
    }
  }
  this->gateways.clear();
  std::remove((this->folder + "/pids").c_str());
}

std::string Deployment::GatewayIp(size_t number) const {
  return this->network + std::to_string(10 + number);
}

bool Deployment::Start(size_t replica_count, size_t gateway_count) {
  std::random_device random;
  bool serves = false;
  for (int i = 0; i < kPlacesToTry && !serves; ++i) {
    this->network = "127." + std::to_string(1 + random() % 250) + "." +
                    std::to_string(1 + random() % 250) + ".";
    this->first_port = static_cast<uint16_t>(15000 + random() % 15000);
    serves = Serve(
        this->network + "1", this->first_port,
        [this](Connection& connection) { this->store.Handle(connection); });
  }
  if (!serves) {
    return false;
  }
  for (size_t i = 0; i < replica_count; ++i) {
    this->replicas.push_back(std::make_unique<Replica>(
        "i-" + std::to_string(i), this->network + std::to_string(100 + i),
        static_cast<uint16_t>(this->first_port + 1)));
    if (!this->replicas.back()->Start()) {
      return false;
    }
    this->store.Put(this->replicas.back()->key(),
                    this->replicas.back()->Entry());
  }
  this->store.Put("op/config", Configuration());
  for (size_t i = 0; i < gateway_count; ++i) {
    if (!this->StartGateway(i)) {
      return false;
    }
  }
  for (size_t i = 0; i < gateway_count; ++i) {
    if (!this->WaitUntilReady(i)) {
      return false;
    }
  }
  return true;
}

bool Deployment::StartGateway(size_t number) {
  const std::string ip = this->GatewayIp(number);
  const std::string settings = this->folder + "/settings-" + ip;
  const auto address = [&](int offset) {
    return ip + ":" + std::to_string(this->first_port + offset);
  };
  std::ofstream(settings) << kSettings << "node_name=edge-" << number
                          << "\nip=" << ip << "\nlisten.front=" << address(1)
                          << "\nlisten.ready=" << address(2)
                          << "\nlisten.directory=" << address(3)
                          << "\ninternal_ports=" << this->first_port + 10 << ","
                          << this->first_port + 25
                          << "\nplatform.address=" << this->network
                          << "1:" << this->first_port << "\n";
  const std::string log = this->folder + "/log-" + ip;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = "target/celerypost";
  std::string role = "gateway";
  char* const arguments[] = {program.data(), role.data(), nullptr};
  std::string node_file = "CELERYPOST_NODE_FILE=" + settings;
  std::string path = "PATH=/usr/bin:/bin";
  char* const environment[] = {node_file.data(), path.data(), nullptr};
  pid_t started = 0;
  const int status = posix_spawn(&started, program.c_str(), &actions, nullptr,
                                 arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (status != 0) {
    return false;
  }
  this->gateways.push_back(started);
  // The script kills what an aborted check leaves.
  std::ofstream(this->folder + "/pids", std::ios::app) << started << "\n";
  return true;
}

bool Deployment::WaitUntilReady(size_t number) const {
  const double until = NowMs() + kReadyTimeoutMs;
  while (NowMs() < until) {
    const int descriptor =
        Connect(this->GatewayIp(number),
                static_cast<uint16_t>(this->first_port + 2), kReadTimeoutMs);
    if (descriptor >= 0) {
      Connection connection(descriptor);
      Message answer;
      if (connection.Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
          connection.Read(answer) && answer.Status() == 200) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

bool Deployment::GatewaysRun() {
  bool run = true;
  for (pid_t& gateway : this->gateways) {
    if (gateway > 0 && waitpid(gateway, nullptr, WNOHANG) == gateway) {
      gateway = 0;
    }
    run = run && gateway > 0;
  }
  return run;
}

}  // namespace review
