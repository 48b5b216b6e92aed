#include "src/request/task/slot_hand_off.h"

#include <algorithm>
#include <utility>

#include "src/request/slot_table.h"

namespace celerypost {

namespace {

wire::HandOff ToWire(const ServiceName& service, const SlotRecords& records) {
  wire::HandOff message;
  message.service_name = service.value();
  message.slot = static_cast<int32_t>(records.slot);
  message.since_version = static_cast<int64_t>(records.since);
  message.until_version = static_cast<int64_t>(records.until);
  message.floor_ms = records.floor.count();
  for (const SlotRecord& record : records.records) {
    wire::SlotRecord item;
    item.request_id = record.id.ToString();
    item.state = static_cast<int32_t>(record.state);
    item.attempt = static_cast<int32_t>(record.attempt);
    item.has_answer = record.has_answer;
    item.status = record.answer.status;
    item.content_type = record.answer.content_type;
    item.answer = record.answer.body;
    message.records.push_back(std::move(item));
  }
  return message;
}

Result<SlotRecords> FromWire(const wire::HandOff& message) {
  SlotRecords records;
  if (message.slot < 0 || message.slot >= static_cast<int32_t>(kSlotCount)) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "HandOff.slot " + std::to_string(message.slot) +
                      " is not in 0.." + std::to_string(kSlotCount - 1));
  }
  records.slot = static_cast<size_t>(message.slot);
  records.since = static_cast<uint64_t>(message.since_version);
  records.until = static_cast<uint64_t>(message.until_version);
  records.floor = std::chrono::milliseconds(message.floor_ms);
  for (const wire::SlotRecord& item : message.records) {
    auto id = RequestId::Parse(item.request_id);
    if (!id || item.state < 0 ||
        item.state > static_cast<int32_t>(RecordState::kNotRun)) {
      return NotRun(ErrorCode::kInvalidArgument,
                    "HandOff.records: malformed record");
    }
    SlotRecord record;
    record.id = std::move(*id);
    record.state = static_cast<RecordState>(item.state);
    record.attempt = static_cast<AttemptNumber>(item.attempt);
    record.has_answer = item.has_answer;
    record.answer = {item.status, item.content_type, item.answer};
    records.records.push_back(std::move(record));
  }
  return records;
}

}  // namespace

SlotHandOff::SlotHandOff(ServiceName service,
                         InstanceId self,
                         RequestLedger& ledger,
                         PeerMesh& mesh,
                         Log& log)
    : service(std::move(service)),
      self(self),
      ledger(ledger),
      mesh(mesh),
      log(log),
      drain(ledger, self) {}

std::vector<InstanceId> SlotHandOff::Receivers(
    const std::vector<InstanceId>& candidates) const {
  std::vector<InstanceId> receivers;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(receivers), [this](InstanceId id) {
                 return id != this->self && this->mesh.Find(id);
               });
  return receivers;
}

bool SlotHandOff::HasReceiver(const std::vector<InstanceId>& candidates) const {
  return !this->Receivers(candidates).empty();
}

void SlotHandOff::Drain(const std::vector<InstanceId>& candidates) {
  for (const SlotTransfer& transfer :
       this->drain.Pending(this->Receivers(candidates))) {
    if (const auto connection = this->mesh.Find(transfer.receiver)) {
      connection->Send(
          wire::Kind::HAND_OFF, 0, 1,
          ToWire(this->service,
                 this->ledger.HandOff(transfer.slot, transfer.receiver)));
    }
  }
}

void SlotHandOff::Reset() {
  this->drain.Reset();
}

void SlotHandOff::OnFrame(PeerConnection& from,
                          const Frame& frame,
                          TimePoint now) {
  if (frame.header.kind == wire::Kind::HAND_OFF) {
    this->OnHandOff(from, frame, now);
    return;
  }
  const auto done = DecodeMessage<wire::HandOffDone>(frame);
  if (!done || done->slot < 0) {
    return;
  }
  this->drain.OnConfirmed(static_cast<size_t>(done->slot),
                          from.peer().instance);
}

void SlotHandOff::OnHandOff(PeerConnection& from,
                            const Frame& frame,
                            TimePoint now) {
  const auto message = DecodeMessage<wire::HandOff>(frame);
  if (!message) {
    this->log.Warn("bad_hand_off", message.error().message);
    return;
  }
  const auto records = FromWire(*message);
  if (!records || ServiceName(message->service_name) != this->service) {
    this->log.Warn("bad_hand_off", records ? "another service's slot"
                                           : records.error().message);
    return;
  }
  const bool gained = this->ledger.Accept(*records, now);
  this->log.Debug("slot_taken", "took over a slot from its former owner",
                  {{"slot", records->slot}, {"gained", gained}});
  wire::HandOffDone done;
  done.service_name = message->service_name;
  done.slot = message->slot;
  done.accepted = gained;
  from.Send(wire::Kind::HAND_OFF_DONE, 0, 1, done);
}

}  // namespace celerypost
