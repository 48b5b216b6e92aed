#include "tests/scenarios/fleet.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>

#include "src/process/request_signature.h"
#include "tests/standins/blocking_client.h"

namespace celerypost::scenarios {

namespace {

using Json = nlohmann::json;

constexpr char kSharedKey[] = "scenario-shared-key-0123456789";
// Below the range of ephemeral ports.
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kLastPort = 32000;

std::string Get(const Parameters& parameters,
                const std::string& name,
                const std::string& otherwise) {
  const auto it = parameters.find(name);
  return it == parameters.end() ? otherwise : it->second;
}

std::string RegionOf(const Parameters& parameters) {
  const std::string zone = Get(parameters, "zone", "");
  return Get(parameters, "region", zone.substr(0, zone.rfind('-')));
}

std::string Loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Fleet::Fleet(Loop& loop, FleetOptions options)
    : loop(loop), options(std::move(options)), table(this->options.output) {
  std::random_device random;
  this->next_port = kFirstPort + random() % (kLastPort - kFirstPort);
  std::vector<std::string> arguments = {this->options.standins};
  for (const auto& [kind, name] :
       {std::pair("kv", "kv"), std::pair("membership", "members"),
        std::pair("origin", "origin"), std::pair("link", "link")}) {
    const uint16_t port = this->FreePort();
    const uint16_t control = this->FreePort();
    this->platform_ports[name] = port;
    this->control_ports[name] = control;
    arguments.push_back(Json{
        {"kind", kind},
        {"name", name},
        {"port", port},
        {"control_port",
         control}}.dump());
  }
  this->table.Start("platform", arguments, {});
  this->WaitFor(this->control_ports["link"], "platform");
}

std::vector<std::string> Fleet::Environment() {
  return {std::string("CELERYPOST_SHARED_KEY=") + kSharedKey};
}

uint16_t Fleet::FreePort() {
  for (;;) {
    this->next_port =
        this->next_port >= kLastPort ? kFirstPort : this->next_port + 1;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->next_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(probe, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(probe);
    if (free) {
      return this->next_port;
    }
  }
}

std::string Fleet::WaitFor(uint16_t port, const std::string& name) {
  const TimePoint limit = Clock::now() + std::chrono::seconds(5);
  while (Clock::now() < limit && this->table.IsRunning(name)) {
    HttpRequest request;
    request.path = "/healthz";
    if (standins::Call(this->loop, port, request)) {
      return "";
    }
    this->loop.RunFor(std::chrono::milliseconds(10));
  }
  return name + " does not answer /healthz; see " + this->table.LogPath(name);
}

std::string Fleet::Launch(const std::string& name, Node node) {
  const auto& kept = this->nodes[name] = std::move(node);
  if (!this->table.Start(name, kept.arguments, Environment())) {
    return name + " could not be started";
  }
  return this->WaitFor(kept.ports.at("http"), name);
}

std::string Fleet::Seeds() const {
  std::string seeds;
  int count = 0;
  for (const auto& [name, node] : this->nodes) {
    if (node.role == "entry" && count++ < 3) {
      seeds += (seeds.empty() ? "" : ",") + Loopback(node.ports.at("peer"));
    }
  }
  return seeds;
}

std::string Fleet::AddressFrom(const std::string& service,
                               const std::string& region) {
  if (this->platform_region.empty()) {
    this->platform_region = region;
  }
  const uint16_t direct = this->platform_ports[service];
  if (region == this->platform_region) {
    return Loopback(direct);
  }
  uint16_t& port = this->forwards[{service, region}];
  if (port == 0) {
    port = this->FreePort();
    this->Control("link", {{"forward",
                            {{"port", port},
                             {"to", Loopback(direct)},
                             {"region", this->platform_region},
                             {"from", region}}}});
  }
  return Loopback(port);
}

std::string Fleet::StartEntry(const std::string& name,
                              const Parameters& parameters) {
  Node node;
  node.role = "entry";
  node.parameters = parameters;
  for (const char* kind : {"peer", "http", "operator"}) {
    node.ports[kind] = this->FreePort();
  }
  node.arguments = {
      this->options.celerypost,
      "entry",
      "--zone=" + Get(parameters, "zone", ""),
      "--region=" + RegionOf(parameters),
      "--peer_address=" + Loopback(node.ports["peer"]),
      "--http_address=" + Loopback(node.ports["http"]),
      "--operator_address=" + Loopback(node.ports["operator"]),
      "--key_value_address=" + this->AddressFrom("kv", RegionOf(parameters)),
      "--membership_address=" + Loopback(this->platform_ports["members"]),
      "--seeds=" + this->Seeds(),
      "--entry_max_age=" + Get(parameters, "max_age", "1s")};
  std::string error = this->Launch(name, std::move(node));
  this->Announce(name, "live");
  return error;
}

std::string Fleet::StartAgent(const std::string& name,
                              const Parameters& parameters) {
  const std::string kind = Get(parameters, "kind", "engine");
  const std::string target = name + ".target";
  Json settings = {{"kind", kind},
                   {"name", target},
                   {"port", this->FreePort()},
                   {"control_port", this->FreePort()}};
  if (kind == "plain") {
    settings["run_log"] = this->options.output + "/" + target + ".runs";
  }
  for (const char* number : {"cold", "full", "warm_up_ms", "token_ms",
                             "prefill_ms", "work_ms", "cold_factor"}) {
    if (parameters.contains(number)) {
      settings[number] = std::stol(parameters.at(number));
    }
  }
  for (const char* flag : {"fencing", "verify"}) {
    if (parameters.contains(flag)) {
      settings[flag] = parameters.at(flag) == "on";
    }
  }
  this->control_ports[target] = settings["control_port"];
  Node target_node;
  target_node.role = "target";
  target_node.ports["http"] = settings["control_port"];
  target_node.arguments = {this->options.standins, settings.dump()};
  if (std::string error = this->Launch(target, target_node); !error.empty()) {
    return error;
  }
  Node node;
  node.role = "agent";
  node.parameters = parameters;
  node.ports = {{"peer", this->FreePort()}, {"http", this->FreePort()}};
  node.arguments = {
      this->options.celerypost,
      "agent",
      "--zone=" + Get(parameters, "zone", ""),
      "--region=" + RegionOf(parameters),
      "--service=" + Get(parameters, "service", ""),
      "--peer_address=" + Loopback(node.ports["peer"]),
      "--http_address=" + Loopback(node.ports["http"]),
      "--membership_address=" + Loopback(this->platform_ports["members"]),
      "--target_address=" + Loopback(settings["port"]),
      "--target_kind=" + kind,
      "--seeds=" + this->Seeds(),
      "--link_mbit=" + Get(parameters, "link_mbit", "1000"),
      "--region_link_mbit=" + Get(parameters, "region_link_mbit", "1000")};
  if (kind == "engine") {
    node.arguments.push_back("--origin_address=" +
                             this->AddressFrom("origin", RegionOf(parameters)));
    node.arguments.push_back("--origin_region=" + this->platform_region);
  }
  std::string error = this->Launch(name, std::move(node));
  this->Announce(name, "live");
  return error;
}

std::string Fleet::Restart(const std::string& name) {
  const auto it = this->nodes.find(name);
  if (it == this->nodes.end()) {
    return "no process was named " + name;
  }
  std::string error = this->Launch(name, Node(it->second));
  this->Announce(name, "live");
  return error;
}

std::string Fleet::WaitReady() {
  size_t members = 0;
  for (const auto& [name, node] : this->nodes) {
    members += node.role != "target" && this->table.IsRunning(name) ? 1 : 0;
  }
  const TimePoint limit = Clock::now() + std::chrono::seconds(10);
  std::string waiting;
  for (const auto& [name, node] : this->nodes) {
    while (node.role == "entry" && this->table.IsRunning(name)) {
      HttpRequest request;
      request.path = "/healthz";
      const auto health =
          standins::Call(this->loop, node.ports.at("http"), request);
      const Json status = this->Operator(name, "/v1/operator/status");
      size_t live = 0;
      for (const Json& member : status.value("members", Json::array())) {
        live += member.value("state", "") == "live" ? 1 : 0;
      }
      if (health && health->status == 200 && live >= members) {
        break;
      }
      if (Clock::now() > limit) {
        return name + " is not ready; it knows " + std::to_string(live) +
               " live members of " + std::to_string(members);
      }
      this->loop.RunFor(std::chrono::milliseconds(20));
    }
  }
  // Witness stamps of other regions arrive with heartbeats, every 500 ms.
  const TimePoint settled = Clock::now() + std::chrono::milliseconds(1500);
  while (Clock::now() < settled) {
    this->loop.RunFor(std::chrono::milliseconds(20));
  }
  return "";
}

std::string Fleet::Kill(const std::string& name) {
  if (!this->table.Signal(name, SIGKILL)) {
    return name + " is not running";
  }
  // Wait for the exit, so that a following restart does not find the process
  // still running.
  while (this->table.IsRunning(name)) {
    this->loop.RunFor(std::chrono::milliseconds(1));
  }
  this->Announce(name, "");
  return "";
}

std::string Fleet::Stop(const std::string& name) {
  this->Announce(name, "leaving");
  return this->table.Signal(name, SIGTERM) ? "" : name + " is not running";
}

void Fleet::Announce(const std::string& name, const std::string& state) {
  const Node& node = this->nodes.at(name);
  if (node.role == "target") {
    return;
  }
  if (state.empty()) {
    this->Control("members", {{"remove", name}});
    return;
  }
  this->Control("members", {{"put",
                             {{"vm", name},
                              {"role", node.role},
                              {"peer_address", this->Address(name, "peer")},
                              {"zone", Get(node.parameters, "zone", "")},
                              {"region", RegionOf(node.parameters)},
                              {"service", Get(node.parameters, "service", "")},
                              {"state", state}}}});
}

Json Fleet::Control(const std::string& stand_in, const Json& order) {
  const auto answer = standins::Post(this->loop, this->control_ports[stand_in],
                                     "/control", order.dump());
  return answer ? Json::parse(answer->body, nullptr, false)
                : Json{{"error", answer.error().message}};
}

Json Fleet::Report(const std::string& stand_in) {
  HttpRequest request;
  request.path = "/control";
  const auto answer =
      standins::Call(this->loop, this->control_ports[stand_in], request);
  return answer ? Json::parse(answer->body, nullptr, false) : Json::object();
}

Json Fleet::Operator(const std::string& entry, const std::string& path) {
  HttpRequest request;
  request.path = path;
  request.headers = {
      {"authorization", SignRequest(SharedKey(kSharedKey), "GET", path,
                                    std::chrono::system_clock::now(), "")}};
  const auto answer = standins::Call(
      this->loop, this->nodes.at(entry).ports.at("operator"), request);
  return answer ? Json::parse(answer->body, nullptr, false) : Json::object();
}

std::vector<std::string> Fleet::Targets(const std::string& selector) const {
  std::vector<std::string> names;
  for (const auto& [name, node] : this->nodes) {
    if (node.role == "agent" &&
        (selector == "targets" || selector == name ||
         selector == Get(node.parameters, "zone", "") ||
         selector == Get(node.parameters, "service", "") ||
         (selector == "engines" &&
          Get(node.parameters, "kind", "engine") == "engine"))) {
      names.push_back(name + ".target");
    }
  }
  return names;
}

std::vector<std::string> Fleet::EntryAddresses() {
  std::vector<std::string> addresses;
  for (const auto& [name, node] : this->nodes) {
    if (node.role == "entry" && this->table.IsRunning(name)) {
      addresses.push_back(this->Address(name, "http"));
    }
  }
  return addresses;
}

std::string Fleet::AnyEntry() {
  for (const auto& [name, node] : this->nodes) {
    if (node.role == "entry" && this->table.IsRunning(name)) {
      return name;
    }
  }
  return "";
}

std::string Fleet::Address(const std::string& name,
                           const std::string& kind) const {
  const auto it = this->nodes.find(name);
  return it == this->nodes.end() || !it->second.ports.contains(kind)
             ? ""
             : Loopback(it->second.ports.at(kind));
}

bool Fleet::IsEngine(const std::string& service) const {
  return std::any_of(
      this->nodes.begin(), this->nodes.end(), [&service](const auto& named) {
        return Get(named.second.parameters, "service", "") == service &&
               Get(named.second.parameters, "kind", "engine") == "engine";
      });
}

Json Fleet::Services(const Json& set) const {
  std::map<std::string, Json> services;
  std::map<std::string, int> replicas;
  for (const auto& [name, node] : this->nodes) {
    if (node.role != "agent") {
      continue;
    }
    const std::string service = Get(node.parameters, "service", "");
    const std::string kind = Get(node.parameters, "kind", "engine");
    const bool engine = kind == "engine";
    Json& entry = services[service];
    const std::string zone = Get(node.parameters, "zone", "");
    Json zones = entry.is_null() ? Json::array() : entry["zones"];
    if (std::find(zones.begin(), zones.end(), Json(zone)) == zones.end()) {
      zones.push_back(zone);
    }
    // Half of the replicas, so that a roll-out can proceed with a zone out.
    const int min_serving = std::max(1, ++replicas[service] / 2);
    entry = {
        {"name", service},
        {"kind", kind},
        {"zones", zones},
        {"limits",
         {{"cold", std::stoi(Get(node.parameters, "cold", "2"))},
          {"full", std::stoi(Get(node.parameters, "full", "32"))},
          {"warm_up_ms", std::stoi(Get(node.parameters, "warm_up_ms", "4000"))},
          {"min_serving", min_serving}}}};
    if (engine) {
      entry["set"] = set;
    }
  }
  Json list = Json::array();
  for (const auto& [name, service] : services) {
    list.push_back(service);
  }
  return list;
}

std::vector<std::string> Fleet::RunLogs() const {
  std::vector<std::string> paths;
  for (const std::string& target : this->Targets("targets")) {
    paths.push_back(this->options.output + "/" + target + ".runs");
  }
  return paths;
}

}  // namespace celerypost::scenarios
