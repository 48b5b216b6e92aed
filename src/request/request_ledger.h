#ifndef SRC_REQUEST_REQUEST_LEDGER_H_
#define SRC_REQUEST_REQUEST_LEDGER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
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
  // Most records held. Beyond it, the records with the oldest issue times are
  // discarded, and ids of their slots that are as old or older never run any
  // more. Records of running requests are never discarded.
  size_t max_records = 65536;
  // Largest answer body that is stored, and largest sum of all stored bodies,
  // in bytes.
  size_t max_answer_bytes = 16 * 1024;
  size_t max_total_answer_bytes = 16 * 1024 * 1024;
  // Records of requests that are not running are discarded when they have not
  // changed for this long. Should exceed the time in which callers repeat a
  // request.
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
  // An earlier attempt is queued or running here; this one gets its outcome.
  kDuplicateRunning,
  // The request has finished; `answer` is its response.
  kAnswered,
  // The id's table version is newer than the table known here. This attempt
  // does not run the request; the entry decides with RefusalVerdict.
  kBehind,
  // The request will not run here, and may have run.
  kMayHaveRun,
  // The instance `moved_to` holds the id's slot. This attempt does not run the
  // request; the entry sends it to that instance, or decides with
  // RefusalVerdict.
  kMoved,
  // This owner refused this attempt or a later one as "not run" before; the
  // request has not run.
  kNotRun,
};

struct BeginOutcome {
  BeginResult result = BeginResult::kMayHaveRun;
  // With kAnswered; valid until the next call.
  const StoredAnswer* answer = nullptr;
  // With kMoved.
  InstanceId moved_to{};
  // With kMayHaveRun: the request did run, but its answer is not stored
  // (verdict kRan).
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
  // With kNotRun: the highest closed attempt; it and lower ones never run.
  AttemptNumber attempt = 0;
  // With kFinished: whether `answer` is stored.
  bool has_answer = false;
  StoredAnswer answer;
};

// What an owner sends to the next owner of a slot. The receiver may run ids
// with since <= table version <= until that have no record; the sender no
// longer runs them. An empty range (since > until) transfers records only. A
// sender that splits a large message first sends parts with an empty range, and
// sends the range after the receiver has confirmed all of them.
struct SlotRecords {
  size_t slot = 0;
  uint64_t since = 1;
  uint64_t until = 0;
  // Ids with an earlier issue time never run.
  std::chrono::milliseconds floor{0};
  std::vector<SlotRecord> records;
};

// Decides for one agent instance and service which non-idempotent requests may
// run (design 4.2), so that each id runs at most once over all agents.
//
// For each (slot, table version) at most one instance holds the right to run
// ids. The slot table grants this right and HandOff transfers it. An instance
// that has handed off a version never regains it.
class RequestLedger {
 public:
  RequestLedger(LedgerOptions options, InstanceId self);

  // Applies `table` if it is newer than all tables seen so far. Returns whether
  // it was.
  bool ApplyTable(const SlotTable& table);

  // Decides whether an attempt that arrived may run. `id` must come from
  // RequestId::Parse or Make.
  BeginOutcome Begin(const RequestId& id, AttemptNumber attempt, TimePoint now);

  // Records that a request for which Begin returned kRun has ended with
  // `answer`.
  void Finish(const RequestId& id, StoredAnswer answer, TimePoint now);

  // Records that a request for which Begin returned kRun may have run, but its
  // answer is not known (its target died, or the answer was cut off).
  void FinishUnknown(const RequestId& id, TimePoint now);

  // Records that a request for which Begin returned kRun has not reached its
  // target and will not. Closes every attempt seen so far, so that none of them
  // runs after the refusal as "not run".
  void ReleaseNotRun(const RequestId& id);

  // Undoes the Begin of a request that returned kRun, if the request has not
  // reached its target, so that the same attempt can run at the next holder of
  // the slot. Closes no attempt of a caller, so such a request must not be
  // refused as "not run". An attempt whose id the entry generated is closed,
  // since the entry takes another id.
  void Withdraw(const RequestId& id);

  // Gives up the right to run the slot's newest version range and returns the
  // message that transfers it to `to`. Requests that run here continue; their
  // records are sent as kMayHaveRun. Another call for the same `to` returns the
  // same range with newer records. A call for another instance returns an empty
  // range, since the first may already use the range.
  SlotRecords HandOff(size_t slot, InstanceId to);

  // Takes over a slot from its previous holder. Delayed and duplicated messages
  // are harmless. Returns whether this instance gained the right to run any
  // version.
  bool Accept(const SlotRecords& records, TimePoint now);

  // Discards old records. Call about once a second.
  void OnTick(TimePoint now);

  // Returns whether this instance may run a new id of this slot and table
  // version.
  bool Holds(size_t slot, uint64_t version) const;
  // Returns whether this instance may run new ids of this slot and any table
  // version.
  bool HoldsAny(size_t slot) const;
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
    // With kRunning: the highest closed attempt, if there is one.
    std::optional<AttemptNumber> closed;
    bool has_answer = false;
    StoredAnswer answer;
    TimePoint updated_at;
  };

  struct Slot {
    // Versions whose ids this instance may run.
    VersionSet held;
    // All versions ever held, including those that were handed off.
    VersionSet ever_held;
    // Ids with an earlier issue time never run.
    std::chrono::milliseconds floor{0};
    // The receiver of the last hand-off, and the version range it got.
    InstanceId handed_off_to;
    VersionRange handed_off;
    // Keyed by the text form of the id.
    std::unordered_map<std::string, Record> records;
  };

  // Returns the refusal of an id that has no record which decides it and whose
  // table version this instance does not hold.
  BeginOutcome Refuse(const RequestId& id, const Slot& slot) const;
  // Text form of an id, and its slot.
  struct Key {
    size_t slot;
    std::string text;
    // clang-tidy takes the literal 0 in the generated comparison for a null
    // pointer.
    auto operator<=>(const Key&) const =
        default;  // NOLINT(modernize-use-nullptr)
  };

  // Returns null when there is no record.
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
  // Records of requests that are not running, by issue time, oldest first.
  std::set<std::pair<std::chrono::milliseconds, Key>> settled;
  // Ids with a stored answer, oldest answer first. May contain ids whose answer
  // or record was discarded.
  std::deque<Key> answers;
  size_t total_answer_bytes = 0;
  size_t running_count = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_LEDGER_H_
