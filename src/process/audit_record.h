#ifndef SRC_PROCESS_AUDIT_RECORD_H_
#define SRC_PROCESS_AUDIT_RECORD_H_

#include <cstdint>

#include "src/process/audit_trail.h"
#include "src/process/state/config_document.h"

namespace celerypost {

// Returns the record of the change that produced configuration `number`. A
// `when` that cannot be parsed becomes 1970-01-01T00:00:00Z.
AuditRecord ToAuditRecord(uint64_t number, const Change& change);

}  // namespace celerypost

#endif  // SRC_PROCESS_AUDIT_RECORD_H_
