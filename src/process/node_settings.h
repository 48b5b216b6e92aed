#ifndef SRC_PROCESS_NODE_SETTINGS_H_
#define SRC_PROCESS_NODE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/socket_address.h"

namespace celerypost {

// Settings of a gateway or stager that the platform supplies: its VM, the other
// VMs, and the bounds that the process has to keep.
struct NodeSettings {
  // Of this VM.
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
  // Rate of this VM's link, in bytes per second.
  double link_rate = 7e6 / 8;
  // Bytes of memory at which this VM ends the process; 0 means no limit.
  size_t memory_limit = 0;
  // Ports for connections between processes of this project; the same on every
  // VM.
  uint16_t first_internal_port = 0;
  uint16_t last_internal_port = 0;
  // IP addresses of VMs that existed when the system was installed; they may
  // have been removed since.
  std::vector<std::string> seed_ips;

  // The key-value service and the shortest lease that it grants.
  SocketAddress store_address;
  std::chrono::milliseconds min_lease{1000};

  // Stagers: the target on the same VM and the service that it belongs to.
  std::optional<SocketAddress> target_address;
  ServiceName target_service;

  // Period of the heartbeats with which targets keep their registrations.
  std::chrono::milliseconds target_heartbeat{1200};
  // Longest time from a target's notice that it is draining until it is
  // given its last new request.
  std::chrono::milliseconds drain_bound{2000};
  // Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds stop_grace{8000};
  // Longest time from the configuration of new weights until the last request
  // begins on older ones.
  std::chrono::milliseconds version_bound{8000};
  // Longest time for which callers may cache a directory answer.
  std::chrono::milliseconds max_directory_ttl{5000};
  // Bound of the retries of all processes together within `retry_window`: this
  // share of the requests plus `retry_slack` retries.
  double retry_share = 0.2;
  double retry_slack = 100;
  std::chrono::milliseconds retry_window{10000};
  // Bound of the requests per second to a cold target: the rate of its service
  // for cold targets times this factor plus `cold_slack`.
  double cold_factor = 1.5;
  double cold_slack = 5;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_NODE_SETTINGS_H_
