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
  // Stored in the key-value service and confirmed by more than half of the
  // witnesses of each concerned region.
  kAccepted = 0,
  // Another change was stored first, or `expected_number` is not the current
  // number; this change was not and will not be applied.
  kRefusedNewer = 1,
  // The change may or may not have been stored, or is stored but was not
  // confirmed in time; repeat the request with the same change id to find out.
  kUnknown = 2,
  // The key-value service did not answer, or holds a malformed configuration or
  // one older than this process's; the change is not applied.
  kUnavailable = 3,
  // Too few witnesses of a concerned region are heard (Freshness::Reachable);
  // nothing was written.
  kRegionUnreachable = 4,
  // The request is invalid; `message` names the field. Not applied.
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
  // Delay before a write is repeated whose outcome is not known.
  std::chrono::milliseconds retry_delay{100};
  // Writes without comparing the revision, so that tests can show what the
  // comparison prevents.
  bool disable_compare = false;
  // Reports "accepted" without waiting for witnesses, for the same purpose.
  bool disable_confirmation = false;
};

// State of the process that Commit runs in.
struct CommitContext {
  // Number of the configuration that this process holds.
  uint64_t own_number = 0;
  ZoneMap known_zones;
  // Freshness::Reachable and Freshness::Confirmed.
  std::function<bool(const RegionName&)> reachable;
  std::function<bool(uint64_t number, const RegionName&)> confirmed;
};

// A step that the caller of Commit carries out. Steps are returned in the order
// in which they are to be done.
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
    // The document `value` with `number` is in the key-value service; offer it
    // to this process's peers.
    kPublish = 3,
    // The change is finished; `result` holds its outcome.
    kFinish = 4,
  };

  Kind kind = Kind::kFinish;
  int64_t expected_revision = 0;
  std::string value;
  std::vector<std::pair<std::string, std::string>> extra_puts;
  uint64_t number = 0;
  CommitResult result;
};

// A key's value and revision; revision 0 and no value when the key does not
// exist.
struct StoredValue {
  std::optional<std::string> value;
  int64_t revision = 0;
};

// Stores one configuration change in the key-value service and waits until the
// concerned regions have confirmed it (section 4.3). After a lost answer the
// same write is repeated. The write is conditional on the revision that was
// read and stores the change id in the same transaction, so at most one of the
// repetitions takes effect, and reading the change id shows whether one did.
class Commit {
 public:
  // `when` is the time of the change in RFC 3339, UTC.
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
  // `written` is false when the comparison of the revision failed.
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
  std::vector<CommitAction> StartConfirming(uint64_t number,
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
  // A write was sent whose answer does not rule out that it took effect.
  bool may_have_run = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_COMMIT_H_
