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
  // File to append to; if empty, records are kept in memory only.
  std::string path;
  // Records kept in memory.
  size_t max_records = 1000;
};

// Local copy of the accepted changes, one line of JSON each. The authoritative
// trail is in the key-value service.
class AuditTrail {
 public:
  // Opens the file for appending, with mode 0640 if it is created. Fails with
  // kInvalidArgument and names the path if the file cannot be opened.
  static Result<std::unique_ptr<AuditTrail>> Make(AuditTrailOptions options);
  ~AuditTrail();
  AuditTrail(const AuditTrail&) = delete;
  AuditTrail& operator=(const AuditTrail&) = delete;

  // Keeps the record in memory and appends it to the file in one write. Ignores
  // a record whose number is already in memory, because changes also arrive by
  // gossip. Fails with kUnavailable if the file cannot be written (for example,
  // if the disk is full); the record is still kept in memory.
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
