#ifndef SRC_REQUEST_REQUEST_LEDGER_H_
#define SRC_REQUEST_REQUEST_LEDGER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "celerypost/types.h"
#include "src/request/attempt.h"
#include "src/request/request_id.h"
#include "src/request/slot_table.h"
#include "src/request/version_set.h"

namespace celerypost {

struct LedgerOptions {
  // Most records held; past it the records with the oldest issue times go and
  // the floors of their slots rise. Running requests are never discarded.
  size_t max_records = 65536;
  // Largest answer body that is stored, and the sum of all stored, in bytes.
  size_t max_answer_bytes = 16 * 1024;
  size_t max_total_answer_bytes = 16 * 1024 * 1024;
  // Finished records older than this go. Should exceed the time in which
  // callers repeat a request.
  std::chrono::milliseconds retention = std::chrono::minutes(10);
};

// The response of a finished request.
struct StoredAnswer {
  int32_t status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

enum class BeginResult : uint8_t {
  // The caller must run the request now, then call Finish or ReleaseNotRun.
  kRun,
  // An earlier attempt is queued or runs here; its outcome is this one's too.
  kDuplicateRunning,
  // Finished; `answer` is its response.
  kAnswered,
  // The id is newer than the table known here. Not run by this attempt; the
  // entry decides with RefusalVerdict.
  kBehind,
  // Never runs here, and may have run.
  kMayHaveRun,
  // `moved_to` holds the id's slot. Not run by this attempt; the entry asks
  // that instance, or decides with RefusalVerdict.
  kMoved,
  // This attempt or a later one was refused "not run" by this owner before;
  // the request has not run.
  kNotRun,
};

struct BeginOutcome {
  BeginResult result = BeginResult::kMayHaveRun;
  // With kAnswered; valid until the next call.
  const StoredAnswer* answer = nullptr;
  // With kMoved.
  InstanceId moved_to{};
  // With kMayHaveRun: the request certainly ran, but its answer is not stored
  // any more (verdict kRan).
  bool ran = false;
};

enum class RecordState : uint8_t {
  kRunning = 0,
  kFinished = 1,
  kMayHaveRun = 2,
  kNotRun = 3,
};

struct SlotRecord {
  RequestId id;
  RecordState state = RecordState::kMayHaveRun;
  // With kNotRun: the highest attempt that is closed.
  AttemptNumber attempt = 0;
  // With kFinished: whether `answer` is there.
  bool has_answer = false;
  StoredAnswer answer;
};

// What an owner passes to the next owner of a slot. The receiver may run ids
// with since <= version <= until that are in no record; the sender no longer
// runs them. An empty range (since > until) passes records only. A sender that
// splits a large message sends the parts without range first, and the range
// after the receiver has confirmed them.
struct SlotRecords {
  size_t slot = 0;
  uint64_t since = 1;
  uint64_t until = 0;
  // Ids issued before this are never run.
  std::chrono::milliseconds floor{0};
  std::vector<SlotRecord> records;
};

// Decides for one agent instance and service which non-idempotent requests may
// run (design 4.2), so that each id runs at most once anywhere.
//
// For each (slot, table version) exactly one instance holds the right to run.
// The table grants it; HandOff passes it on, after which the sender has lost it
// for good. An instance never regains a version it has held.
class RequestLedger {
 public:
  RequestLedger(LedgerOptions options, InstanceId self);

  // Takes a table into account; older ones than the newest seen are ignored.
  // Returns whether it was newer.
  bool ApplyTable(const SlotTable& table);

  // Decides about an attempt that arrived. `id` must come from
  // RequestId::Parse or Make.
  BeginOutcome Begin(const RequestId& id, AttemptNumber attempt, TimePoint now);

  // Records that a request that Begin let run has ended with `answer`.
  void Finish(const RequestId& id, StoredAnswer answer, TimePoint now);

  // Records that a request that Begin let run may have run without a known
  // answer (its target died, or the answer was cut off).
  void FinishUnknown(const RequestId& id, TimePoint now);

  // Records that a request that Begin let run never reached its target and
  // will not. Every attempt seen so far is closed; the refusal "not run" is
  // then true.
  void ReleaseNotRun(const RequestId& id);

  // Gives up the slot's newest version range in favour of `to` and returns what
  // to send it. Requests that run here continue, and go into the records as
  // kMayHaveRun. Repeating the call for the same `to` returns the same range
  // with newer records; for another instance it returns an empty range, since
  // the first may already use it.
  SlotRecords HandOff(size_t slot, InstanceId to);

  // Takes over a slot from its last holder. Safe to call again with a late or
  // duplicated message. Returns whether a right to run was gained.
  bool Accept(const SlotRecords& records, TimePoint now);

  // Discards old records. Call about once a second.
  void OnTick(TimePoint now);

  // Whether this instance may run a new id with this slot and version.
  bool Holds(size_t slot, uint64_t version) const;
  uint64_t table_version() const { return this->table.version; }
  const SlotTable& newest_table() const { return this->table; }
  // Slots that this instance owns in the newest table.
  std::vector<size_t> OwnedSlots() const;
  size_t running() const { return this->running_count; }
  size_t record_count() const { return this->record_total; }
  size_t answer_bytes() const { return this->total_answer_bytes; }

 private:
  struct Record {
    RecordState state = RecordState::kRunning;
    AttemptNumber attempt = 0;
    bool has_answer = false;
    StoredAnswer answer;
    TimePoint touched;
  };

  struct Slot {
    VersionSet held;
    // Everything ever held, including what was handed off.
    VersionSet ever_held;
    std::chrono::milliseconds floor{0};
    // The last range handed off, and to whom.
    InstanceId given_to;
    VersionRange given;
    // By the text form of the id.
    std::unordered_map<std::string, Record> records;
  };

  // Decides about an id without a record that allows or forbids it.
  BeginOutcome Refuse(const RequestId& id, const Slot& slot) const;
  // Text form of an id, and its slot.
  struct Key {
    size_t slot;
    std::string text;
    // The false positive of types.h.
    auto operator<=>(const Key&) const =
        default;  // NOLINT(modernize-use-nullptr)
  };

  // Returns nothing when there is no record.
  Record* Find(const Key& key);
  Record* FindRunning(const RequestId& id, const char* promise);
  Record& Insert(const RequestId& id, RecordState state, TimePoint now);
  void StoreAnswer(const RequestId& id, Record* record, StoredAnswer answer);
  void DropAnswer(Record* record);
  bool DropOldest(TimePoint now, bool expired_only);

  const LedgerOptions options;
  const InstanceId self;
  SlotTable table;
  std::array<Slot, kSlotCount> slots;
  size_t record_total = 0;
  // Settled records by issue time, oldest first.
  std::set<std::pair<std::chrono::milliseconds, Key>> settled;
  // Ids with a stored answer, oldest answer first; may name dropped ones.
  std::deque<Key> answers;
  size_t total_answer_bytes = 0;
  size_t running_count = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_LEDGER_H_
