#ifndef SRC_PROCESS_SETTINGS_H_
#define SRC_PROCESS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/connection/http_client.h"
#include "src/process/flags.h"
#include "src/process/log.h"
#include "src/process/request_signature.h"

namespace celerypost {

// Settings that entries and agents share.
struct CommonSettings {
  ZoneName zone;
  RegionName region;
  SocketAddress peer_address;
  SocketAddress http_address;
  SocketAddress membership_address;
  // Addresses of the peers to contact first; may be empty.
  std::vector<SocketAddress> seeds;
  SharedKey shared_key;
  LogLevel log_level = LogLevel::kInfo;
  // Path of the local copy of the audit trail; empty for none.
  std::string audit_file;
};

struct EntrySettings : CommonSettings {
  SocketAddress operator_address;
  SocketAddress key_value_address;
  // How long callers may cache the response of /v1/entries.
  std::chrono::milliseconds entry_max_age{5000};
};

enum class TargetKind : uint8_t { kEngine = 0, kPlain = 1 };

struct AgentSettings : CommonSettings {
  ServiceName service;
  SocketAddress target_address;
  TargetKind target_kind = TargetKind::kEngine;
  // Not set for a plain target.
  std::optional<SocketAddress> origin_address;
  // Region of the weight origin. The agent's own by default.
  RegionName origin_region;
  uint64_t weights_memory_bytes = 64u << 20;
  // Rates that weight transfers may use, in each direction.
  uint64_t link_bytes_per_second = 125'000'000;
  uint64_t region_link_bytes_per_second = 2'500'000;
};

struct CtlSettings {
  // Not set for commands that contact no entry.
  std::optional<SocketAddress> operator_address;
  SharedKey shared_key;
  bool json = false;
  std::chrono::milliseconds timeout{15000};
  std::string who;
  std::string why;
  // Empty for a random id.
  std::string change_id;
  std::optional<uint64_t> expected_number;
  uint32_t audit_record_count = 20;
  bool follow = false;
  std::chrono::milliseconds interval{1000};
  std::string output_directory;
  // Empty for the name in the description.
  std::string manifest_name;
  uint64_t chunk_bytes = 1u << 20;
};

// Settings of a gateway or stager that are flags and not part of the platform's
// file.
struct NodeRoleSettings {
  // 0 serves no metrics.
  uint16_t metrics_port = 0;
  // Gateways: GatewayOptions::late_admission.
  bool late_admission = false;
  // Gateways: GatewayOptions::rank_holds.
  bool rank_holds = false;
  LogLevel log_level = LogLevel::kInfo;
};

// Parses a whole number with a unit: "500us", "200ms", "5s", "10m" or "1h".
// Fails with kInvalidArgument.
Result<std::chrono::microseconds> ParseDuration(std::string_view text);

// Each function validates all flags of its role. Fails with kInvalidArgument;
// the message has one line per invalid flag with the flag, the value and the
// accepted range. It never contains the value of --shared_key.
Result<EntrySettings> MakeEntrySettings(const FlagValues& flags);
Result<AgentSettings> MakeAgentSettings(const FlagValues& flags);
Result<NodeRoleSettings> MakeNodeRoleSettings(const FlagValues& flags);
// `needs_operator` makes --operator and --shared_key required.
Result<CtlSettings> MakeCtlSettings(const FlagValues& flags,
                                    bool needs_operator);

}  // namespace celerypost

#endif  // SRC_PROCESS_SETTINGS_H_
