#ifndef SRC_PROCESS_AUDIT_RECORD_H_
#define SRC_PROCESS_AUDIT_RECORD_H_

#include <cstdint>

#include "src/process/audit_trail.h"
#include "src/process/state/config_document.h"

namespace celerypost {

// The record of the change that made configuration `number`. A `when` that is
// not a time becomes 1970-01-01T00:00:00Z.
AuditRecord ToAuditRecord(uint64_t number, const Change& change);

}  // namespace celerypost

#endif  // SRC_PROCESS_AUDIT_RECORD_H_
