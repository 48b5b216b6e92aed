#ifndef SRC_PROCESS_NODE_REGISTRY_H_
#define SRC_PROCESS_NODE_REGISTRY_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "celerypost/random.h"
#include "src/connection/loop.h"
#include "src/process/key_value_client.h"
#include "src/process/log.h"
#include "src/process/state/node_role.h"

namespace celerypost {

struct NodeRegistryOptions {
  std::string ip;
  ZoneName zone;
  RegionName region;
  InstanceId instance;
  NodeRole role = NodeRole::kGateway;
  // How long the registration stays after its last renewal unless Leave ends
  // it: longer than an ordinary restart takes, so that the key survives the
  // restart of a process that ended without Leave.
  std::chrono::milliseconds lease_duration{10000};
  // Two renewals in a row may fail before the lease ends.
  std::chrono::milliseconds renew_period{3000};
  // Renewal period of a gateway that watches the key-value service: it notices
  // an outage within this time and the timeout of one call.
  std::chrono::milliseconds reader_renew_period{500};
  // Delay after a failed registration or renewal.
  std::chrono::milliseconds retry_period{1000};
};

// The content of a registration.
struct RegisteredNode {
  std::string ip;
  ZoneName zone;
  RegionName region;
  // 0 when the registration does not name it.
  InstanceId instance;
  NodeRole role = NodeRole::kGateway;
};

// Registers this process's address in the key-value service under a lease, so
// that processes that start later find it.
class NodeRegistry {
 public:
  NodeRegistry(Loop& loop,
               KeyValueClient& store,
               LeaseClient& leases,
               Log& log,
               Random& random,
               NodeRegistryOptions options);

  void Start() { this->Register(); }
  // Removes the registration by ending the lease. `done` runs when the
  // key-value service has answered or there is nothing to remove; it may run
  // before Leave returns.
  void Leave(std::function<void()> done);
  // Prefix of the keys of all registrations.
  static std::string_view Prefix();
  // The prefix of the keys of the registrations of one role in one region.
  static std::string GroupPrefix(const RegionName& region, NodeRole role);
  // The IP address in the key of a registration; nothing for any other key.
  static std::optional<std::string> AddressOf(std::string_view key);
  // Parses a registration; nothing when it is malformed.
  static std::optional<RegisteredNode> Parse(const KeyValue& item);
  // A newer era of the key-value service has begun, in which the lease may have
  // gone or belong to another process. Registers again after a random delay
  // below `max_delay`, so that the processes do not write all at once.
  void OnEra(int64_t era, std::chrono::milliseconds max_delay);
  // Renews with `reader_renew_period` if `is_reader`, else with `renew_period`.
  void SetReader(bool is_reader);
  // Whether the key-value service answered the last lease call.
  bool answers() const { return this->last_call_answered; }
  // Sets the callback that runs after each lease call, with whether it was
  // answered and the time at which it was sent.
  void OnCall(std::function<void(bool answered, TimePoint sent_at)> callback) {
    this->on_call = std::move(callback);
  }
  // Sets the callback that runs when lease calls are answered again after a
  // failure, with the time at which the first call that failed was sent.
  void OnRegained(std::function<void(TimePoint lost_at)> callback) {
    this->on_regained = std::move(callback);
  }

 private:
  void Register();
  void Put(int64_t lease);
  void Renew();
  // Ends a registration that was completed while this process leaves.
  void EndLease(int64_t lease);
  // Records whether the call that was sent at `sent_at` was answered.
  void RecordAnswer(bool answered, TimePoint sent_at);
  std::chrono::milliseconds RenewPeriod() const;

  Loop& loop;
  KeyValueClient& store;
  LeaseClient& leases;
  Log& log;
  Random& random;
  NodeRegistryOptions options;
  Timer timer;
  // 0 while this process is not registered.
  int64_t lease_id = 0;
  // Era of the key-value service in which the lease was granted.
  int64_t lease_era = 0;
  bool registering = false;
  bool leaving = false;
  // Set by a Leave that waits for a registration in progress.
  std::function<void()> on_left;
  bool reader = false;
  bool renewing = false;
  bool last_call_answered = false;
  bool ever_answered = false;
  TimePoint lost_at{};
  std::function<void(bool, TimePoint)> on_call;
  std::function<void(TimePoint)> on_regained;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_NODE_REGISTRY_H_
