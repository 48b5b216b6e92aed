#ifndef SRC_PROCESS_AUDIT_TRAIL_H_
#define SRC_PROCESS_AUDIT_TRAIL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/verdict.h"

namespace celerypost {

// One accepted change of the configuration.
struct AuditRecord {
  // Number of the configuration that the change produced.
  uint64_t number = 0;
  std::string id;
  // "manifest", "zone_out" or "zone_in".
  std::string kind;
  std::string who;
  std::chrono::system_clock::time_point when;
  std::string from;
  std::string to;
  std::string why;

  bool operator==(const AuditRecord&) const = default;
};

// Renders a record as one line of JSON without the newline. Bytes that are not
// UTF-8 become U+FFFD.
std::string RenderAuditRecord(const AuditRecord& record);

struct AuditTrailOptions {
  // File to append to; empty keeps records in memory only.
  std::string path;
  // Records kept in memory.
  size_t max_records = 1000;
};

// Local copy of the accepted changes, one line of JSON each. The authoritative
// trail is in the key-value service.
class AuditTrail {
 public:
  // Opens the file for appending, mode 0640. Fails with kInvalidArgument that
  // names the path when that is impossible.
  static Result<std::unique_ptr<AuditTrail>> Make(AuditTrailOptions options);
  ~AuditTrail();
  AuditTrail(const AuditTrail&) = delete;
  AuditTrail& operator=(const AuditTrail&) = delete;

  // Keeps the record in memory and writes it as one append. A number that was
  // appended before is ignored, because changes also arrive by gossip. Fails
  // with kUnavailable when the file cannot be written (for example a full
  // disk); the record is still in memory then.
  Result<void> Append(const AuditRecord& record);

  // Returns the newest `count` records, oldest first.
  std::vector<AuditRecord> Tail(size_t count) const;

 private:
  AuditTrail(AuditTrailOptions options, int file);

  AuditTrailOptions options;
  // File descriptor, or -1.
  int file;
  std::deque<AuditRecord> records;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_AUDIT_TRAIL_H_
