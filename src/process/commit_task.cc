#include "src/process/commit_task.h"

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{20};
constexpr uint64_t kMaxAuditRecords = 1000;

std::string FormatRfc3339(milliseconds since_epoch) {
  const auto seconds = static_cast<std::time_t>(
      std::chrono::floor<std::chrono::seconds>(since_epoch).count());
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

Result<StoredValue> ToStoredValue(Result<std::optional<KeyValue>> read) {
  if (!read) {
    return tl::unexpected(read.error());
  }
  if (!*read) {
    return StoredValue{};
  }
  return StoredValue{std::move((*read)->value), (*read)->mod_revision};
}

// Returns the changes numbered `first` and higher as a JSON array, newest
// first. Keys end in a decimal number without leading zeros, so they do not
// sort in numeric order.
std::string FormatAudit(const KeyValueRange& range, uint64_t first) {
  std::vector<std::pair<uint64_t, nlohmann::json>> changes;
  for (const KeyValue& item : range.items) {
    const uint64_t number =
        std::strtoull(item.key.c_str() + kAuditPrefix.size(), nullptr, 10);
    auto change = ParseBoundedJson(item.value);
    if (number >= first && change.is_object()) {
      change["number"] = number;
      changes.emplace_back(number, std::move(change));
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return b.first < a.first; });
  auto array = nlohmann::json::array();
  for (auto& [number, change] : changes) {
    array.push_back(std::move(change));
  }
  return array.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

struct CommitTask::PendingChange {
  Commit commit;
  Done done;
};

CommitTask::CommitTask(CommitOptions options,
                       Scheduler& scheduler,
                       KeyValueClient& key_value,
                       GossipTask& gossip,
                       ManifestValidator validator)
    : options(options),
      scheduler(scheduler),
      key_value(key_value),
      gossip(gossip),
      validator(std::move(validator)),
      alive(std::make_shared<bool>(true)) {}

CommitTask::~CommitTask() = default;

void CommitTask::Submit(ChangeRequest request, Done done) {
  const uint64_t pending_id = this->next_pending_id++;
  this->pending_changes[pending_id] =
      std::make_unique<PendingChange>(PendingChange{
          Commit(this->options, std::move(request),
                 FormatRfc3339(this->scheduler.UnixTime()), this->validator),
          std::move(done)});
  this->Perform(pending_id, this->pending_changes[pending_id]->commit.Start(
                                this->scheduler.Now()));
  if (this->tick_call == nullptr) {
    this->Tick();
  }
}

void CommitTask::LookUpChange(const std::string& id, Done done) {
  this->key_value.Get(std::string(kChangePrefix) + id, [this,
                                                        done = std::move(done),
                                                        guard =
                                                            std::weak_ptr<bool>(
                                                                this->alive)](
                                                           const Result<
                                                               std::optional<
                                                                   KeyValue>>&
                                                               read) {
    if (guard.lock() == nullptr) {
      return;
    }
    if (!read) {
      done(CommitResult{CommitOutcome::kUnavailable, 0, read.error().message});
      return;
    }
    if (!*read) {
      done(CommitResult{CommitOutcome::kRefusedNewer, 0,
                        "the change is not stored"});
      return;
    }
    const auto record = ParseBoundedJson((*read)->value);
    const bool valid = record.is_object() && record.contains("number") &&
                       record["number"].is_number_unsigned() &&
                       record.contains("regions") &&
                       record["regions"].is_array();
    if (!valid) {
      done(CommitResult{CommitOutcome::kUnknown, 0,
                        "stored change record is malformed"});
      return;
    }
    const auto number = record["number"].get<uint64_t>();
    bool confirmed = true;
    for (const auto& region : record["regions"]) {
      confirmed = confirmed && region.is_string() &&
                  this->gossip.freshness().Confirmed(
                      number, RegionName(region.get<std::string>()));
    }
    done(CommitResult{
        confirmed ? CommitOutcome::kAccepted : CommitOutcome::kUnknown, number,
        confirmed ? ""
                  : "stored, not yet confirmed by every "
                    "concerned region"});
  });
}

void CommitTask::ReadAudit(uint64_t count,
                           std::function<void(Result<std::string>)> done) {
  const uint64_t number = this->gossip.config().number();
  const uint64_t wanted = std::min(std::min(count, number), kMaxAuditRecords);
  // Keys sort in numeric order only while their numbers have the same count of
  // digits. Otherwise all audit keys are read and older ones are filtered out.
  const uint64_t first = number - wanted + 1;
  std::string first_key =
      std::string(kAuditPrefix) + std::to_string(wanted == 0 ? 0 : first);
  if (std::to_string(first).size() != std::to_string(number).size()) {
    first_key = std::string(kAuditPrefix);
  }
  std::string end(kAuditPrefix);
  ++end.back();
  this->key_value.GetRange(
      KeyRange{std::move(first_key), std::move(end)}, false,
      [first, done = std::move(done)](const Result<KeyValueRange>& range) {
        if (!range) {
          done(tl::unexpected(range.error()));
          return;
        }
        done(FormatAudit(*range, first));
      });
}

void CommitTask::Perform(uint64_t pending_id,
                         std::vector<CommitAction> actions) {
  for (CommitAction& action : actions) {
    const auto found = this->pending_changes.find(pending_id);
    if (found == this->pending_changes.end()) {
      return;
    }
    // Passes a result to the change if this task and the change still exist.
    const auto answer = [this, pending_id,
                         guard = std::weak_ptr<bool>(this->alive)](
                            auto handler, auto&& result) {
      if (guard.lock() == nullptr) {
        return;
      }
      const auto pending = this->pending_changes.find(pending_id);
      if (pending != this->pending_changes.end()) {
        this->Perform(pending_id,
                      (pending->second->commit.*handler)(
                          result, this->Context(), this->scheduler.Now()));
      }
    };
    switch (action.kind) {
      case CommitAction::Kind::kReadConfig:
        this->key_value.Get(std::string(kConfigKey),
                            [answer](Result<std::optional<KeyValue>> read) {
                              answer(&Commit::OnConfigRead,
                                     ToStoredValue(std::move(read)));
                            });
        break;
      case CommitAction::Kind::kReadChange:
        this->key_value.Get(std::string(kChangePrefix) +
                                found->second->commit.change_request().id,
                            [answer](Result<std::optional<KeyValue>> read) {
                              answer(&Commit::OnChangeRead,
                                     ToStoredValue(std::move(read)));
                            });
        break;
      case CommitAction::Kind::kWrite: {
        KeyValueTransaction transaction;
        transaction.key = std::string(kConfigKey);
        transaction.expected_revision = action.expected_revision;
        transaction.value = std::move(action.value);
        transaction.extra_puts = std::move(action.extra_puts);
        transaction.unconditional = this->options.disable_compare;
        this->key_value.Transact(
            std::move(transaction),
            [answer](const Result<KeyValueTransactionResult>& written) {
              answer(&Commit::OnWritten,
                     written.map([](const KeyValueTransactionResult& result) {
                       return result.succeeded;
                     }));
            });
        break;
      }
      case CommitAction::Kind::kPublish:
        this->gossip.Offer(VersionedDocument{
            std::string(kConfigKey), action.number, std::move(action.value)});
        break;
      case CommitAction::Kind::kFinish: {
        const Done done = std::move(found->second->done);
        this->pending_changes.erase(found);
        done(action.result);
        return;
      }
    }
  }
}

void CommitTask::Tick() {
  this->tick_call.reset();
  std::vector<uint64_t> ids;
  for (const auto& [id, pending] : this->pending_changes) {
    ids.push_back(id);
  }
  for (const uint64_t id : ids) {
    const auto found = this->pending_changes.find(id);
    if (found != this->pending_changes.end()) {
      this->Perform(id, found->second->commit.OnTick(this->Context(),
                                                     this->scheduler.Now()));
    }
  }
  if (!this->pending_changes.empty()) {
    this->tick_call = this->scheduler.After(kTick, [this] { this->Tick(); });
  }
}

CommitContext CommitTask::Context() const {
  const Freshness& fresh = this->gossip.freshness();
  return CommitContext{
      this->gossip.config().number(), this->gossip.membership().Zones(),
      [&fresh, now = this->scheduler.Now()](const RegionName& region) {
        return fresh.Reachable(region, now);
      },
      [&fresh](uint64_t number, const RegionName& region) {
        return fresh.Confirmed(number, region);
      }};
}

}  // namespace celerypost
