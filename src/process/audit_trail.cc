#include "src/process/audit_trail.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/process/log.h"

namespace celerypost {

std::string RenderAuditRecord(const AuditRecord& record) {
  const nlohmann::ordered_json json = {{"number", record.number},
                                       {"id", record.id},
                                       {"kind", record.kind},
                                       {"who", record.who},
                                       {"when", FormatTime(record.when)},
                                       {"from", record.from},
                                       {"to", record.to},
                                       {"why", record.why}};
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

AuditTrail::AuditTrail(AuditTrailOptions options, int file)
    : options(std::move(options)), file(file) {}

AuditTrail::~AuditTrail() {
  if (this->file >= 0) {
    close(this->file);
  }
}

Result<std::unique_ptr<AuditTrail>> AuditTrail::Make(
    AuditTrailOptions options) {
  int file = -1;
  if (!options.path.empty()) {
    file = open(options.path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                0640);
    if (file < 0) {
      return NotRun(ErrorCode::kInvalidArgument,
                    "--audit_file: cannot append to '" + options.path +
                        "': " + std::strerror(errno));
    }
  }
  return std::unique_ptr<AuditTrail>(new AuditTrail(std::move(options), file));
}

Result<void> AuditTrail::Append(const AuditRecord& record) {
  const auto same = [&record](const AuditRecord& known) {
    return known.number == record.number;
  };
  if (std::any_of(this->records.begin(), this->records.end(), same)) {
    return {};
  }
  this->records.push_back(record);
  if (this->records.size() > this->options.max_records) {
    this->records.pop_front();
  }
  if (this->file < 0) {
    return {};
  }
  const std::string line = RenderAuditRecord(record) + "\n";
  const ssize_t written = write(this->file, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    return NotRun(ErrorCode::kUnavailable,
                  "cannot write to audit file '" + this->options.path + "': " +
                      (written < 0 ? std::strerror(errno) : "short write"));
  }
  return {};
}

std::vector<AuditRecord> AuditTrail::Tail(size_t count) const {
  const size_t skipped =
      this->records.size() - std::min(count, this->records.size());
  return {this->records.begin() + static_cast<std::ptrdiff_t>(skipped),
          this->records.end()};
}

}  // namespace celerypost
