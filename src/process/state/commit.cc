#include "src/process/state/commit.h"

#include <algorithm>

#include "src/version/bounded_json.h"

namespace celerypost {

std::string_view CommitOutcomeName(CommitOutcome outcome) {
  static constexpr std::string_view kNames[] = {
      "accepted",    "refused_newer",      "unknown",
      "unavailable", "region_unreachable", "invalid"};
  const auto index = static_cast<size_t>(outcome);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

Commit::Commit(CommitOptions options,
               ChangeRequest request,
               std::string when,
               ManifestValidator validator)
    : options(options),
      request(std::move(request)),
      when(std::move(when)),
      validator(std::move(validator)) {}

std::vector<CommitAction> Commit::Start(TimePoint now) {
  this->started_at = now;
  CommitAction read;
  read.kind = CommitAction::Kind::kReadConfig;
  return {read};
}

std::vector<CommitAction> Commit::OnConfigRead(const Result<StoredValue>& read,
                                               const CommitContext&,
                                               TimePoint) {
  if (this->state != State::kReading) {
    return {};
  }
  if (!read) {
    return this->Finish(CommitOutcome::kUnavailable, 0,
                        "key-value service: " + read.error().message);
  }
  if (read->value) {
    auto parsed = ConfigDocument::Parse(*read->value);
    if (!parsed) {
      return this->Finish(
          CommitOutcome::kUnavailable, 0,
          "stored configuration is malformed: " + parsed.error().message);
    }
    this->current = std::move(*parsed);
  }
  this->revision = read->revision;
  // The change id is read after the configuration. If it is stored after this
  // read, the revision has changed too, and the comparison of the write fails.
  CommitAction read_change;
  read_change.kind = CommitAction::Kind::kReadChange;
  return {read_change};
}

std::vector<CommitAction> Commit::OnChangeRead(const Result<StoredValue>& read,
                                               const CommitContext& context,
                                               TimePoint now) {
  if (this->state != State::kReading && this->state != State::kReadingBack) {
    return {};
  }
  if (!read) {
    if (!this->may_have_run) {
      return this->Finish(CommitOutcome::kUnavailable, 0,
                          "key-value service: " + read.error().message);
    }
    this->state = State::kRetryWait;
    this->retry_at = now + this->options.retry_delay;
    return {};
  }
  if (read->value) {
    const auto json = ParseBoundedJson(*read->value);
    const bool valid = json.is_object() && json.contains("number") &&
                       json["number"].is_number_unsigned();
    if (!valid) {
      return this->Finish(CommitOutcome::kUnknown, 0,
                          "stored change record is malformed");
    }
    return this->StartConfirming(json["number"].get<uint64_t>(), context);
  }
  if (this->state == State::kReadingBack) {
    // The comparison failed and the change id is not stored. All repetitions of
    // the write expect a revision that is no longer current, so none can take
    // effect.
    return this->Finish(CommitOutcome::kRefusedNewer,
                        std::max(context.own_number, this->next.number),
                        "another change came first");
  }
  return this->Prepare(context);
}

std::vector<CommitAction> Commit::OnWritten(const Result<bool>& written,
                                            const CommitContext& context,
                                            TimePoint now) {
  if (this->state != State::kWriting) {
    return {};
  }
  if (written && *written) {
    CommitAction publish;
    publish.kind = CommitAction::Kind::kPublish;
    publish.number = this->next.number;
    publish.value = this->next.Serialize();
    this->StartConfirming(this->next.number, context);
    return {publish};
  }
  if (written) {
    // The change that was stored first may be an earlier repetition of this
    // write whose answer was lost.
    this->state = State::kReadingBack;
    CommitAction read_change;
    read_change.kind = CommitAction::Kind::kReadChange;
    return {read_change};
  }
  if (written.error().verdict == Verdict::kNotRun && !this->may_have_run) {
    return this->Finish(CommitOutcome::kUnavailable, 0,
                        "key-value service: " + written.error().message);
  }
  this->may_have_run |= written.error().verdict != Verdict::kNotRun;
  this->state = State::kRetryWait;
  this->retry_at = now + this->options.retry_delay;
  return {};
}

std::vector<CommitAction> Commit::OnTick(const CommitContext& context,
                                         TimePoint now) {
  if (this->state == State::kFinished) {
    return {};
  }
  const bool late = now - this->started_at >= this->options.deadline;
  if (this->state == State::kConfirming) {
    const bool all =
        std::all_of(this->concerned.begin(), this->concerned.end(),
                    [&](const RegionName& region) {
                      return context.confirmed(this->number, region);
                    });
    if (all || this->options.disable_confirmation) {
      return this->Finish(CommitOutcome::kAccepted, this->number, "");
    }
    if (late) {
      return this->Finish(CommitOutcome::kUnknown, this->number,
                          "stored as number " + std::to_string(this->number) +
                              ", not yet confirmed by every concerned region");
    }
    return {};
  }
  if (late) {
    // A write that is still in flight may take effect later.
    const bool sent = this->state != State::kReading;
    return this->Finish(
        sent ? CommitOutcome::kUnknown : CommitOutcome::kUnavailable, 0,
        sent ? "no certain answer of the key-value service in time; ask again "
               "for change " +
                   this->request.id
             : "key-value service: no answer in time");
  }
  if (this->state == State::kRetryWait && now >= this->retry_at) {
    return this->Write();
  }
  return {};
}

std::vector<CommitAction> Commit::Finish(CommitOutcome outcome,
                                         uint64_t number,
                                         std::string message) {
  this->state = State::kFinished;
  CommitAction finish;
  finish.kind = CommitAction::Kind::kFinish;
  finish.result = CommitResult{outcome, number, std::move(message)};
  return {finish};
}

std::vector<CommitAction> Commit::Prepare(const CommitContext& context) {
  if (context.own_number > this->current.number) {
    return this->Finish(CommitOutcome::kUnavailable, context.own_number,
                        "the key-value service holds number " +
                            std::to_string(this->current.number) +
                            ", which is older than number " +
                            std::to_string(context.own_number) + " in force");
  }
  if (this->request.expected_number &&
      *this->request.expected_number != this->current.number) {
    return this->Finish(
        CommitOutcome::kRefusedNewer, this->current.number,
        "expected_number is " + std::to_string(*this->request.expected_number) +
            ", the current number is " + std::to_string(this->current.number));
  }
  auto applied = this->current.Apply(this->request, this->when,
                                     context.known_zones, this->validator);
  if (!applied) {
    return this->Finish(CommitOutcome::kInvalid, this->current.number,
                        applied.error().message);
  }
  this->next = std::move(*applied);
  auto regions = this->current.ConcernedRegions(
      this->request, context.known_zones, this->validator);
  if (!regions) {
    return this->Finish(CommitOutcome::kInvalid, this->current.number,
                        regions.error().message);
  }
  this->concerned = std::move(*regions);
  for (const RegionName& region : this->concerned) {
    if (!context.reachable(region)) {
      return this->Finish(CommitOutcome::kRegionUnreachable,
                          this->current.number,
                          "region " + region.value() +
                              " is not reachable; nothing was written");
    }
  }
  return this->Write();
}

std::vector<CommitAction> Commit::Write() {
  this->state = State::kWriting;
  const std::string number_text = std::to_string(this->next.number);
  CommitAction write;
  write.kind = CommitAction::Kind::kWrite;
  write.expected_revision = this->revision;
  write.value = this->next.Serialize();
  write.number = this->next.number;
  nlohmann::json record{{"number", this->next.number}};
  record["regions"] = nlohmann::json::array();
  for (const RegionName& region : this->concerned) {
    record["regions"].push_back(region.value());
  }
  write.extra_puts = {
      {std::string(kAuditPrefix) + number_text,
       ChangeToJson(this->next.change)
           .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)},
      {std::string(kChangePrefix) + this->request.id, record.dump()}};
  return {write};
}

std::vector<CommitAction> Commit::StartConfirming(
    uint64_t stored_number,
    const CommitContext& context) {
  this->number = stored_number;
  if (this->concerned.empty()) {
    // An earlier request with this change id stored it. The regions are
    // computed from this request, which is the same change.
    auto regions = this->current.ConcernedRegions(
        this->request, context.known_zones, this->validator);
    if (!regions) {
      return this->Finish(CommitOutcome::kUnknown, stored_number,
                          regions.error().message);
    }
    this->concerned = std::move(*regions);
  }
  this->state = State::kConfirming;
  return {};
}

}  // namespace celerypost
