#include "src/version/load_proof.h"

namespace celerypost {

void LoadProof::OnOrder(int64_t version, int64_t sequence) {
  if (version != this->ordered_version && this->current != State::kNone &&
      this->current != State::kProven) {
    this->distrusted_version = this->ordered_version;
  }
  this->before_order =
      version == this->ordered_version ? this->current : State::kNone;
  this->replaced_before_order = this->copy_replaced;
  this->copy_replaced =
      this->before_order == State::kDisproven ||
      (this->before_order == State::kOrdered && this->copy_replaced);
  this->current = State::kOrdered;
  this->ordered_version = version;
  this->sequence_before = sequence;
}

void LoadProof::OnRefused() {
  if (this->current == State::kOrdered) {
    this->current = this->before_order;
    this->copy_replaced = this->copy_replaced || this->replaced_before_order;
  }
}

void LoadProof::OnAccepted(const StagedCopy& copy, TimePoint now) {
  if (this->current != State::kOrdered) {
    return;
  }
  this->accepted_by = now;
  this->current = this->copy_replaced ? State::kDisproven : State::kVerifying;
  this->OnRead(copy);
}

void LoadProof::OnReport(const Report& report,
                         const StagedCopy& copy,
                         TimePoint now) {
  if (this->current == State::kOrdered &&
      (report.sequence > this->sequence_before ||
       report.held_version == this->ordered_version)) {
    this->OnAccepted(copy, now);
  }
  if (this->current == State::kNone && report.busy) {
    this->current = this->copy_replaced ? State::kDisproven : State::kVerifying;
    this->ordered_version = 0;
    this->accepted_by = now;
  }
  if (this->current != State::kNone && this->ordered_version == 0 &&
      !report.busy && report.held_version > 0) {
    this->ordered_version = report.held_version;
    this->OnRead(copy);
  }
  const bool accepted =
      this->current != State::kNone && this->current != State::kOrdered;
  // A report that was on its way at the acceptance says nothing about the load.
  if (accepted && report.asked_at >= this->accepted_by &&
      report.held_version == 0 && !report.busy) {
    this->current = State::kNone;
  }
  if (report.held_version == this->ordered_version && !report.busy) {
    this->distrusted_version = 0;
  }
}

void LoadProof::OnRead(const StagedCopy& copy) {
  if (this->current == State::kVerifying && this->ordered_version > 0 &&
      copy.GoodSince() && this->ChunksToRead(copy).empty()) {
    this->current = State::kProven;
  }
}

void LoadProof::OnCopyInvalid() {
  this->copy_replaced = true;
  if (this->current == State::kVerifying) {
    this->current = State::kDisproven;
  }
}

std::vector<size_t> LoadProof::ChunksToRead(const StagedCopy& copy) const {
  return copy.UnprovenAt(this->accepted_by);
}

bool LoadProof::MayServe(int64_t held_version) const {
  if (held_version == this->ordered_version) {
    return this->current == State::kNone || this->current == State::kProven;
  }
  return held_version == 0 || held_version != this->distrusted_version;
}

}  // namespace celerypost
