#include "src/process/audit_record.h"

#include <chrono>
#include <string>

#include "src/process/log.h"

namespace celerypost {

AuditRecord ToAuditRecord(uint64_t number, const Change& change) {
  return {
      number,
      change.id,
      std::string(ChangeKindName(change.kind)),
      change.who,
      ParseTime(change.when).value_or(std::chrono::system_clock::time_point{}),
      change.from,
      change.to,
      change.why};
}

}  // namespace celerypost
