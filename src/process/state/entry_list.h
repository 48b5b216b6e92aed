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
  // How long callers may use an answer.
  std::chrono::milliseconds max_age{5000};
  // Addresses per answer.
  size_t addresses = 4;
};

// The answer to a caller's GET /v1/entries (section 10.4).
struct EntryAnswer {
  std::vector<std::string> addresses;
  std::chrono::milliseconds max_age{};
  // "v<table version>-<issue time>"; empty for a service without a slot table.
  std::string request_id_prefix;
};

// Selects the entries that a caller should use.
class EntryList {
 public:
  EntryList(EntryListOptions options,
            const Membership& membership,
            const ConfigState& config);

  // Returns the HTTP addresses of live entries in zones that are in: those of
  // `zone` first, then those of its region, then others. The order within each
  // of these groups rotates from one answer to the next. `issued_at` is the
  // Unix time that is put into the request id prefix.
  EntryAnswer ForCaller(const ServiceName& service,
                        const ZoneName& zone,
                        std::chrono::milliseconds issued_at);

 private:
  const EntryListOptions options;
  const Membership& membership;
  const ConfigState& config;
  uint64_t answer_count = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_ENTRY_LIST_H_
