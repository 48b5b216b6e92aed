#ifndef SRC_PROCESS_NODE_SETTINGS_H_
#define SRC_PROCESS_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/socket_address.h"

namespace celerypost {

// What the platform tells a process about its VM, its neighbours and the bounds
// that operators expect it to keep.
struct NodeSettings {
  std::string name;
  std::string ip;
  ZoneName zone;
  RegionName region;
  std::map<ZoneName, RegionName> regions_of_zones;

  // Gateways: where callers connect, where the platform checks readiness, and
  // where callers ask which gateways to use.
  std::optional<SocketAddress> caller_address;
  std::optional<SocketAddress> ready_address;
  std::optional<SocketAddress> directory_address;
  // Ports for connections between processes of this project; the same on every
  // VM.
  uint16_t first_internal_port = 0;
  uint16_t last_internal_port = 0;
  // VMs that were there when the system was installed. They may be gone.
  std::vector<std::string> seed_ips;

  SocketAddress store_address;
  std::chrono::milliseconds min_lease{1000};

  // Stagers: the target of the same VM and its service.
  std::optional<SocketAddress> target_address;
  ServiceName target_service;

  // Longest time from a target's notice to the last new request.
  std::chrono::milliseconds drain_bound{2000};
  // From SIGTERM to SIGKILL.
  std::chrono::milliseconds stop_grace{8000};
  // From the naming of new weights to the last request on older ones.
  std::chrono::milliseconds version_bound{8000};
  // Longest time for which callers may keep a directory answer.
  std::chrono::milliseconds max_directory_ttl{5000};
  // Retries of all processes together, as a share of the requests, beside a
  // constant, within the window.
  double retry_share = 0.2;
  double retry_slack = 100;
  std::chrono::milliseconds retry_window{10000};
  // A cold target's bound in requests per second is its rate times this factor
  // plus the slack.
  double cold_factor = 1.5;
  double cold_slack = 5;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_NODE_SETTINGS_H_
