#ifndef TESTS_SCENARIOS_FLEET_H_
#define TESTS_SCENARIOS_FLEET_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/connection/loop.h"
#include "tests/scenarios/process_table.h"

namespace celerypost::scenarios {

struct FleetOptions {
  std::string celerypost;
  std::string standins;
  std::string output;
};

// Parameters of a command by name, written "name value", for example
// "zone dar-a".
using Parameters = std::map<std::string, std::string>;

// Processes of a scenario and their addresses: the stand-ins for the platform,
// entries, agents and their targets.
class Fleet {
 public:
  using Json = nlohmann::json;

  // Starts the stand-ins of the key-value service, the membership list, the
  // origin and the links in one process named "platform".
  Fleet(Loop& loop, FleetOptions options);

  // Each returns an error message, or an empty string.
  std::string StartEntry(const std::string& name, const Parameters& parameters);
  // Also starts the target "<name>.target".
  std::string StartAgent(const std::string& name, const Parameters& parameters);
  // Starts a process again with the same arguments.
  std::string Restart(const std::string& name);
  // Waits until every running entry reports ready and lists at least as many
  // live members as entries and agents are running.
  std::string WaitReady();
  // Sends SIGKILL and removes the VM from the membership list.
  std::string Kill(const std::string& name);
  // Planned stop: marks the VM as leaving in the membership list, then sends
  // SIGTERM.
  std::string Stop(const std::string& name);

  // Sends a command to the control port of a stand-in: "kv", "members",
  // "origin", "link" or "<agent>.target".
  Json Control(const std::string& stand_in, const Json& order);
  Json Report(const std::string& stand_in);
  // Sends a signed GET request to the operator API of an entry.
  Json Operator(const std::string& entry, const std::string& path);
  // Environment variables that hold the shared key.
  static std::vector<std::string> Environment();

  // Names of the targets that `selector` selects: "targets" for all, "engines",
  // or the name of a zone, service or agent.
  std::vector<std::string> Targets(const std::string& selector) const;
  // HTTP addresses of the running entries.
  std::vector<std::string> EntryAddresses();
  // Address of a process; `kind` is "http", "peer" or "operator". Empty if
  // there is none.
  std::string Address(const std::string& name, const std::string& kind) const;
  std::string AnyEntry();
  bool IsEngine(const std::string& service) const;

  // The "services" of a manifest for all agents started so far; engines get the
  // weight set `set`.
  Json Services(const Json& set) const;
  // Paths of the files in which plain targets log the ids of requests they ran.
  std::vector<std::string> RunLogs() const;

  ProcessTable& processes() { return this->table; }

 private:
  struct Node {
    std::string role;
    Parameters parameters;
    std::map<std::string, uint16_t> ports;
    std::vector<std::string> arguments;
  };

  uint16_t FreePort();
  std::string Launch(const std::string& name, Node node);
  std::string WaitFor(uint16_t port, const std::string& name);
  void Announce(const std::string& name, const std::string& state);
  std::string Seeds() const;
  // Address under which `region` reaches the key-value service or the origin: a
  // link if the platform is in another region. The region of the first process
  // started becomes the region of the platform.
  std::string AddressFrom(const std::string& service,
                          const std::string& region);

  Loop& loop;
  const FleetOptions options;
  ProcessTable table;
  uint16_t next_port;
  std::map<std::string, Node> nodes;
  std::map<std::string, uint16_t> control_ports;
  std::map<std::string, uint16_t> platform_ports;
  std::string platform_region;
  std::map<std::pair<std::string, std::string>, uint16_t> forwards;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_FLEET_H_
