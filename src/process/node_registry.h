#ifndef SRC_PROCESS_NODE_REGISTRY_H_
#define SRC_PROCESS_NODE_REGISTRY_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "src/connection/loop.h"
#include "src/process/key_value_client.h"
#include "src/process/log.h"

namespace celerypost {

struct NodeRegistryOptions {
  std::string ip;
  // How long the registration outlives the process: longer than an ordinary
  // restart, so that a restart changes no key.
  std::chrono::milliseconds lease{10000};
  // Two renewals may be lost.
  std::chrono::milliseconds renew_period{3000};
  std::chrono::milliseconds retry_period{1000};
};

// Keeps this process's address in the key-value service under a lease, so that
// processes that start later find it.
class NodeRegistry {
 public:
  NodeRegistry(Loop& loop,
               KeyValueClient& store,
               LeaseClient& leases,
               Log& log,
               NodeRegistryOptions options);

  void Start() { this->Register(); }
  // Removes the registration by ending the lease.
  void Leave();
  // Prefix of the keys of all registrations.
  static std::string_view Prefix();
  // The address that `key` registers, or nothing for another key.
  static std::optional<std::string> AddressOf(std::string_view key);

 private:
  void Register();
  void Renew();

  KeyValueClient& store;
  LeaseClient& leases;
  Log& log;
  NodeRegistryOptions options;
  Timer timer;
  int64_t lease = 0;
  bool leaving = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_NODE_REGISTRY_H_
