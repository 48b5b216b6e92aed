#include "src/request/request_ledger.h"

#include <algorithm>

#include "celerypost/assert.h"

namespace celerypost {
namespace {

constexpr char kAtMostOnce[] = "P6: a non-idempotent request runs at most once";

}  // namespace

RequestLedger::RequestLedger(LedgerOptions options, InstanceId self)
    : options(options), self(self) {
  CELERYPOST_ASSERT(self != InstanceId{}, kAtMostOnce);
}

bool RequestLedger::ApplyTable(const SlotTable& newer) {
  if (newer.version <= this->table.version) {
    return false;
  }
  this->table = newer;
  for (size_t index = 0; index < kSlotCount; ++index) {
    const SlotOwner& owner = newer.slots[index];
    if (owner.owner != this->self) {
      continue;
    }
    Slot& slot = this->slots[index];
    const VersionRange range{owner.since, newer.version};
    for (const VersionRange& gained : slot.ever_held.Missing(range)) {
      slot.held.Add(gained);
    }
    slot.ever_held.Add(range);
  }
  return true;
}

BeginOutcome RequestLedger::Begin(const RequestId& id,
                                  AttemptNumber attempt,
                                  TimePoint now) {
  const size_t index = id.Slot();
  const Slot& slot = this->slots[index];
  const bool held = slot.held.Contains(id.table_version);
  Record* const record = this->Find({index, id.ToString()});
  if (record != nullptr) {
    switch (record->state) {
      case RecordState::kRunning:
        record->attempt = std::max(record->attempt, attempt);
        return {.result = BeginResult::kDuplicateRunning};
      case RecordState::kFinished:
        if (!record->has_answer) {
          return {.result = BeginResult::kMayHaveRun, .ran = true};
        }
        return {.result = BeginResult::kAnswered, .answer = &record->answer};
      case RecordState::kMayHaveRun:
        return {.result = BeginResult::kMayHaveRun};
      case RecordState::kNotRun:
        if (held && attempt <= record->attempt) {
          return {.result = BeginResult::kNotRun};
        }
        break;
    }
  }
  if (id.issued_at < slot.floor) {
    return {.result = BeginResult::kMayHaveRun};
  }
  if (!held) {
    const BeginOutcome outcome = this->Refuse(id, slot);
    // For a redirected request, RefusalVerdict returns kNotRun only if the
    // entry generated the id; delayed copies of that attempt must then never
    // run.
    if (outcome.result != BeginResult::kMayHaveRun &&
        IsGeneratedAttempt(attempt)) {
      Record& closed = this->Insert(id, RecordState::kNotRun, now);
      closed.attempt = std::max(closed.attempt, attempt);
    }
    return outcome;
  }
  const auto closed =
      record != nullptr ? std::optional(record->attempt) : std::nullopt;
  Record& running = this->Insert(id, RecordState::kRunning, now);
  running.closed = closed;
  running.attempt = std::max(running.attempt, attempt);
  return {.result = BeginResult::kRun};
}

BeginOutcome RequestLedger::Refuse(const RequestId& id,
                                   const Slot& slot) const {
  const InstanceId owner = this->table.slots[id.Slot()].owner;
  if (id.table_version > this->table.version) {
    return {.result = BeginResult::kBehind};
  }
  if (owner != this->self && owner != InstanceId{}) {
    return {.result = BeginResult::kMoved, .moved_to = owner};
  }
  if (slot.handed_off.first <= id.table_version &&
      id.table_version <= slot.handed_off.last) {
    return {.result = BeginResult::kMoved, .moved_to = slot.handed_off_to};
  }
  return {.result = BeginResult::kMayHaveRun};
}

RequestLedger::Record& RequestLedger::Insert(const RequestId& id,
                                             RecordState state,
                                             TimePoint now) {
  Key key{id.Slot(), id.ToString()};
  auto& records = this->slots[key.slot].records;
  const bool is_new = !records.contains(key.text);
  if (is_new && this->record_total >= this->options.max_records) {
    this->DropOldest(now, /*expired_only=*/false);
  }
  this->record_total += is_new;
  Record& record = records[key.text];
  const bool was_running = !is_new && record.state == RecordState::kRunning;
  if (was_running) {
    --this->running_count;
  }
  if (state == RecordState::kRunning) {
    this->settled.erase({id.issued_at, key});
    ++this->running_count;
  } else {
    this->settled.emplace(id.issued_at, std::move(key));
  }
  record.state = state;
  record.updated_at = now;
  return record;
}

RequestLedger::Record* RequestLedger::Find(const Key& key) {
  auto& records = this->slots[key.slot].records;
  const auto found = records.find(key.text);
  return found == records.end() ? nullptr : &found->second;
}

RequestLedger::Record* RequestLedger::FindRunning(const RequestId& id,
                                                  const char* promise) {
  Record* const record = this->Find({id.Slot(), id.ToString()});
  CELERYPOST_ASSERT(record != nullptr && record->state == RecordState::kRunning,
                    promise);
  return record;
}

void RequestLedger::Finish(const RequestId& id,
                           StoredAnswer answer,
                           TimePoint now) {
  this->FindRunning(id, kAtMostOnce);
  Record& record = this->Insert(id, RecordState::kFinished, now);
  this->StoreAnswer(id, &record, std::move(answer));
}

void RequestLedger::FinishUnknown(const RequestId& id, TimePoint now) {
  this->FindRunning(id, kAtMostOnce);
  this->Insert(id, RecordState::kMayHaveRun, now);
}

void RequestLedger::ReleaseNotRun(const RequestId& id) {
  const Record* const record =
      this->FindRunning(id, "P5: a refusal that says \"not run\" is true");
  this->Insert(id, RecordState::kNotRun, record->updated_at);
}

void RequestLedger::Withdraw(const RequestId& id) {
  const Record* const record =
      this->FindRunning(id, "P5: a refusal that says \"not run\" is true");
  const auto closed = IsGeneratedAttempt(record->attempt)
                          ? std::optional(record->attempt)
                          : record->closed;
  if (closed) {
    this->Insert(id, RecordState::kNotRun, record->updated_at).attempt =
        *closed;
    return;
  }
  --this->running_count;
  --this->record_total;
  this->slots[id.Slot()].records.erase(id.ToString());
}

void RequestLedger::StoreAnswer(const RequestId& id,
                                Record* record,
                                StoredAnswer answer) {
  const size_t bytes = answer.body.size();
  if (bytes > this->options.max_answer_bytes ||
      bytes > this->options.max_total_answer_bytes) {
    return;
  }
  while (this->total_answer_bytes + bytes >
         this->options.max_total_answer_bytes) {
    Record* const oldest = this->Find(this->answers.front());
    this->answers.pop_front();
    if (oldest != nullptr) {
      this->DropAnswer(oldest);
    }
  }
  this->total_answer_bytes += bytes;
  record->has_answer = true;
  record->answer = std::move(answer);
  this->answers.push_back({id.Slot(), id.ToString()});
}

void RequestLedger::DropAnswer(Record* record) {
  if (record->has_answer) {
    this->total_answer_bytes -= record->answer.body.size();
    record->has_answer = false;
    record->answer = {};
  }
}

bool RequestLedger::DropOldest(TimePoint now, bool expired_only) {
  if (this->settled.empty()) {
    return false;
  }
  const auto oldest = this->settled.begin();
  Slot& slot = this->slots[oldest->second.slot];
  const auto found = slot.records.find(oldest->second.text);
  if (expired_only &&
      found->second.updated_at + this->options.retention > now) {
    return false;
  }
  // No record shows from here on that the request ran, so ids that are as old
  // or older never run any more.
  slot.floor =
      std::max(slot.floor, oldest->first + std::chrono::milliseconds(1));
  this->DropAnswer(&found->second);
  slot.records.erase(found);
  --this->record_total;
  this->settled.erase(oldest);
  return true;
}

void RequestLedger::OnTick(TimePoint now) {
  while (this->DropOldest(now, /*expired_only=*/true)) {
  }
  // Entries whose answer or record was discarded would otherwise stay until the
  // bound on stored answer bytes is reached.
  while (!this->answers.empty()) {
    const Record* const oldest = this->Find(this->answers.front());
    if (oldest != nullptr && oldest->has_answer) {
      break;
    }
    this->answers.pop_front();
  }
}

SlotRecords RequestLedger::HandOff(size_t index, InstanceId to) {
  CELERYPOST_ASSERT(index < kSlotCount && to != this->self, kAtMostOnce);
  Slot& slot = this->slots[index];
  SlotRecords result;
  result.slot = index;
  result.floor = slot.floor;
  const VersionRange newest = slot.held.Newest();
  if (!newest.empty()) {
    VersionSet handed_off;
    if (slot.handed_off_to == to) {
      // The earlier message may have been lost, so its range is sent again,
      // joined with the new one where they are adjacent.
      handed_off.Add(slot.handed_off);
    }
    handed_off.Add(newest);
    slot.handed_off_to = to;
    slot.handed_off = handed_off.Newest();
    slot.held.Remove(newest);
  }
  if (slot.handed_off_to == to) {
    result.since = slot.handed_off.first;
    result.until = slot.handed_off.last;
  }
  for (const auto& [key, record] : slot.records) {
    const auto id = RequestId::Parse(key);
    CELERYPOST_ASSERT(id.has_value(), kAtMostOnce);
    SlotRecord& sent = result.records.emplace_back();
    sent.id = *id;
    sent.state = record.state == RecordState::kRunning
                     ? RecordState::kMayHaveRun
                     : record.state;
    sent.attempt = record.attempt;
    sent.has_answer = record.has_answer;
    sent.answer = record.answer;
  }
  return result;
}

bool RequestLedger::Accept(const SlotRecords& received, TimePoint now) {
  if (received.slot >= kSlotCount) {
    return false;
  }
  Slot& slot = this->slots[received.slot];
  for (const SlotRecord& incoming : received.records) {
    if (incoming.id.Slot() != received.slot) {
      continue;
    }
    if (Record* const found =
            this->Find({received.slot, incoming.id.ToString()})) {
      Record& known = *found;
      // The record of this instance is newer than the sender's and is kept,
      // with two exceptions: a finished record replaces one whose outcome is
      // unknown, and a record of a refusal here must not hide that the request
      // may have run at the sender.
      const bool replace = (known.state == RecordState::kMayHaveRun &&
                            incoming.state == RecordState::kFinished) ||
                           (known.state == RecordState::kNotRun &&
                            incoming.state != RecordState::kNotRun);
      if (known.state == RecordState::kNotRun &&
          incoming.state == RecordState::kNotRun) {
        known.attempt = std::max(known.attempt, incoming.attempt);
      }
      if (!replace) {
        continue;
      }
    }
    const RecordState state = incoming.state == RecordState::kRunning
                                  ? RecordState::kMayHaveRun
                                  : incoming.state;
    Record& record = this->Insert(incoming.id, state, now);
    record.attempt = std::max(record.attempt, incoming.attempt);
    if (incoming.has_answer) {
      this->StoreAnswer(incoming.id, &record, incoming.answer);
    }
  }
  slot.floor = std::max(slot.floor, received.floor);
  const VersionRange range{received.since, received.until};
  const std::vector<VersionRange> gained = slot.ever_held.Missing(range);
  for (const VersionRange& part : gained) {
    slot.held.Add(part);
  }
  slot.ever_held.Add(range);
  return !gained.empty();
}

bool RequestLedger::Holds(size_t slot, uint64_t version) const {
  return slot < kSlotCount && this->slots[slot].held.Contains(version);
}

bool RequestLedger::HoldsAny(size_t slot) const {
  return slot < kSlotCount && !this->slots[slot].held.empty();
}

std::vector<size_t> RequestLedger::OwnedSlots() const {
  std::vector<size_t> owned;
  for (size_t index = 0; index < kSlotCount; ++index) {
    if (this->table.slots[index].owner == this->self) {
      owned.push_back(index);
    }
  }
  return owned;
}

}  // namespace celerypost
