#ifndef SRC_PROCESS_STATE_COMMIT_H_
#define SRC_PROCESS_STATE_COMMIT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/process/state/config_document.h"

namespace celerypost {

enum class CommitOutcome : uint8_t {
  // In the key-value service for certain and confirmed by more than half of the
  // witnesses of each concerned region.
  kAccepted = 0,
  // Another change came first; this one is not and will not be applied.
  kRefusedNewer = 1,
  // Neither is certain; ask again by the change id.
  kUnknown = 2,
  // The key-value service did not answer; the change is not applied.
  kUnavailable = 3,
  // A concerned region cannot be heard; the change was not sent.
  kRegionUnreachable = 4,
  // The request is wrong; `message` names the field. Not applied.
  kInvalid = 5,
};

// Returns "accepted", "refused_newer", "unknown", "unavailable",
// "region_unreachable" or "invalid".
std::string_view CommitOutcomeName(CommitOutcome outcome);

struct CommitResult {
  CommitOutcome outcome = CommitOutcome::kUnknown;
  // kAccepted: the change's number. kRefusedNewer: the current number.
  uint64_t number = 0;
  std::string message;
};

struct CommitOptions {
  // Time for the whole change, reads and confirmation included.
  std::chrono::milliseconds deadline{4000};
  // Pause before a write whose answer was lost is repeated.
  std::chrono::milliseconds retry_delay{100};
  // Writes without checking the version, so that tests can see what the check
  // prevents.
  bool disable_compare = false;
  // Reports "accepted" without waiting for witnesses; for the same purpose.
  bool disable_confirmation = false;
};

// What Commit needs to know of its process.
struct CommitContext {
  // Number of the configuration that this process holds.
  uint64_t own_number = 0;
  ZoneMap known_zones;
  std::function<bool(const RegionName&)> reachable;
  std::function<bool(uint64_t number, const RegionName&)> confirmed;
};

// Reads, writes and the end of one change, in the order they are to be done.
struct CommitAction {
  enum class Kind : uint8_t {
    // Read kConfigKey; answer with OnConfigRead.
    kReadConfig = 0,
    // Read kChangePrefix + the change id; answer with OnChangeRead.
    kReadChange = 1,
    // Put `value` at kConfigKey if its revision is `expected_revision` (0: if
    // it does not exist), with `extra_puts` in the same transaction; answer
    // with OnWritten.
    kWrite = 2,
    // `document` is in the key-value service; give it to this process's peers.
    kPublish = 3,
    kFinish = 4,
  };

  Kind kind = Kind::kFinish;
  int64_t expected_revision = 0;
  std::string value;
  std::vector<std::pair<std::string, std::string>> extra_puts;
  uint64_t number = 0;
  CommitResult result;
};

// A key's value; revision 0 and no value when the key does not exist.
struct StoredValue {
  std::optional<std::string> value;
  int64_t revision = 0;
};

// Carries one change through the key-value service (section 4.3). The same
// write is repeated after a lost answer: it applies only to the revision that
// was read, and stores the change id in the same transaction, so at most one
// of the repetitions takes effect and a read tells which.
class Commit {
 public:
  Commit(CommitOptions options,
         ChangeRequest request,
         std::string when,
         ManifestValidator validator);

  std::vector<CommitAction> Start(TimePoint now);
  std::vector<CommitAction> OnConfigRead(const Result<StoredValue>& read,
                                         const CommitContext& context,
                                         TimePoint now);
  std::vector<CommitAction> OnChangeRead(const Result<StoredValue>& read,
                                         const CommitContext& context,
                                         TimePoint now);
  // `written` holds whether the comparison held.
  std::vector<CommitAction> OnWritten(const Result<bool>& written,
                                      const CommitContext& context,
                                      TimePoint now);
  // Call at least every 50 ms until the change is finished.
  std::vector<CommitAction> OnTick(const CommitContext& context, TimePoint now);

  bool finished() const { return this->state == State::kFinished; }
  const ChangeRequest& change_request() const { return this->request; }

 private:
  enum class State : uint8_t {
    kReading = 0,
    kWriting = 1,
    kRetryWait = 2,
    kReadingBack = 3,
    kConfirming = 4,
    kFinished = 5,
  };

  std::vector<CommitAction> Finish(CommitOutcome outcome,
                                   uint64_t number,
                                   std::string message);
  std::vector<CommitAction> Write();
  std::vector<CommitAction> Prepare(const CommitContext& context);
  std::vector<CommitAction> Confirming(uint64_t number,
                                       const CommitContext& context);

  const CommitOptions options;
  const ChangeRequest request;
  const std::string when;
  const ManifestValidator validator;
  State state = State::kReading;
  TimePoint started_at;
  TimePoint retry_at;
  ConfigDocument current;
  int64_t revision = 0;
  ConfigDocument next;
  std::set<RegionName> concerned;
  uint64_t number = 0;
  // A write was sent and may have taken effect.
  bool may_have_run = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_COMMIT_H_
