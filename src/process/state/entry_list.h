#ifndef SRC_PROCESS_STATE_ENTRY_LIST_H_
#define SRC_PROCESS_STATE_ENTRY_LIST_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/process/state/config_state.h"
#include "src/process/state/membership.h"

namespace celerypost {

struct EntryListOptions {
  // How long callers keep an answer.
  std::chrono::milliseconds max_age{5000};
  // Addresses per answer.
  size_t addresses = 4;
};

// The answer to GET /v1/entries (section 10.4).
struct EntryAnswer {
  std::vector<std::string> addresses;
  std::chrono::milliseconds max_age{};
  // "v<table version>-<issue time>"; empty for a service without a slot table.
  std::string request_id_prefix;
};

// Tells callers which entries to use.
class EntryList {
 public:
  EntryList(EntryListOptions options,
            const Membership& membership,
            const ConfigState& config);

  // Addresses of live entries in zones that are in: those of `zone` first,
  // then of its region, then others. The order within a group rotates from one
  // answer to the next. `issued_at` is the Unix
  // time put into the prefix.
  EntryAnswer ForCaller(const ServiceName& service,
                        const ZoneName& zone,
                        std::chrono::milliseconds issued_at);

 private:
  const EntryListOptions options;
  const Membership& membership;
  const ConfigState& config;
  uint64_t answers = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_ENTRY_LIST_H_
