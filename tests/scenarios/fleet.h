#ifndef TESTS_SCENARIOS_FLEET_H_
#define TESTS_SCENARIOS_FLEET_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/connection/loop.h"
#include "tests/scenarios/process_table.h"

namespace celerypost::scenarios {

struct FleetOptions {
  std::string celerypost;
  std::string standins;
  std::string output;
};

// Words "name value" of a command, for example zone dar-a.
using Words = std::map<std::string, std::string>;

// The processes of one scenario: the platform's stand-ins, entries, agents and
// their targets, with their addresses.
class Fleet {
 public:
  using Json = nlohmann::json;

  // Starts the key-value service, the membership list, the origin and the links
  // in one process named "platform".
  Fleet(Loop& loop, FleetOptions options);

  // Each returns an error message, or an empty string.
  std::string StartEntry(const std::string& name, const Words& words);
  // Starts the target "<name>.target" too.
  std::string StartAgent(const std::string& name, const Words& words);
  // Starts a process again with the arguments of its first start.
  std::string Restart(const std::string& name);
  // Waits until every running entry says that it is ready and knows all running
  // processes.
  std::string WaitReady();
  // Ends a process at once; the platform notices.
  std::string Kill(const std::string& name);
  // Planned stop: the platform lists the VM as leaving, then SIGTERM.
  std::string Stop(const std::string& name);

  // Sends an order to a stand-in's control port. "kv", "members", "origin",
  // "link" or "<agent>.target".
  Json Control(const std::string& stand_in, const Json& order);
  Json Report(const std::string& stand_in);
  // Signed request to the operators' API of an entry.
  Json Operator(const std::string& entry, const std::string& path);
  // Environment with the shared key.
  static std::vector<std::string> Environment();

  // Names of targets: of all, of a zone, of a service, or of one agent.
  std::vector<std::string> Targets(const std::string& selector) const;
  // HTTP addresses of the entries that run.
  std::vector<std::string> EntryAddresses();
  // Address of a process: "http", "peer" or "operator".
  std::string Address(const std::string& name, const std::string& kind) const;
  std::string AnyEntry();
  bool IsEngine(const std::string& service) const;

  // The manifest's "services" for the agents that were started, with `set` for
  // engines.
  Json Services(const Json& set) const;
  // Path of the files with the ids that plain targets ran.
  std::vector<std::string> RunLogs() const;

  ProcessTable& processes() { return this->table; }

 private:
  struct Node {
    std::string role;
    Words words;
    std::map<std::string, uint16_t> ports;
    std::vector<std::string> arguments;
  };

  uint16_t FreePort();
  std::string Launch(const std::string& name, Node node);
  std::string WaitFor(uint16_t port, const std::string& name);
  void Announce(const std::string& name, const std::string& state);
  std::string Seeds() const;

  Loop& loop;
  const FleetOptions options;
  ProcessTable table;
  uint16_t next_port;
  std::map<std::string, Node> nodes;
  std::map<std::string, uint16_t> control_ports;
  std::map<std::string, uint16_t> platform_ports;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_FLEET_H_
