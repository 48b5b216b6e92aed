#include "src/process/store_sync.h"

#include <algorithm>
#include <utility>

namespace celerypost {

StoreSync::StoreSync(Loop& loop,
                     KeyValueClient& store,
                     Log& log,
                     Random& random,
                     StoreSyncOptions options,
                     Callbacks callbacks)
    : loop(loop),
      store(store),
      log(log),
      random(random),
      options(options),
      callbacks(std::move(callbacks)),
      retry(loop, [this] {
        if (this->need_snapshot) {
          this->Read();
        } else {
          this->BeginWatch();
        }
      }) {}

void StoreSync::Start() {
  this->Read();
}

void StoreSync::Restart() {
  this->watch.reset();
  this->need_snapshot = true;
  this->Read();
}

void StoreSync::Read() {
  const uint64_t read = ++this->reading;
  this->store.GetRange(
      KeyRange{}, /*keys_only=*/false,
      [this, read](const Result<KeyValueRange>& range) {
        if (read != this->reading) {
          return;
        }
        if (!range) {
          this->OnFailure(range.error(), /*lost_history=*/true);
          return;
        }
        const bool after_outage = this->was_connected && !this->is_connected;
        this->OnAnswer();
        this->need_snapshot = false;
        this->next_revision = range->revision + 1;
        this->callbacks.on_snapshot(range->items, range->revision,
                                    after_outage);
        this->BeginWatch();
      });
}

void StoreSync::BeginWatch() {
  this->watch = this->store.Watch(
      KeyRange{}, this->next_revision,
      [this](const std::vector<KeyValue>& changes) {
        this->OnAnswer();
        for (const KeyValue& change : changes) {
          this->next_revision =
              std::max(this->next_revision, change.mod_revision + 1);
        }
        if (!changes.empty()) {
          this->callbacks.on_changes(changes);
        }
      },
      [this](const Failure& failure) {
        this->OnFailure(failure, failure.code == ErrorCode::kConflict);
      });
}

void StoreSync::OnAnswer() {
  this->answered_at = this->loop.Now();
  if (this->is_connected) {
    return;
  }
  this->is_connected = true;
  this->log.Info("store_connected", "the key-value service answers",
                 {{"revision", this->next_revision}});
  if (this->was_connected) {
    this->callbacks.on_regained();
  }
  this->was_connected = true;
}

void StoreSync::OnFailure(const Failure& failure, bool lost_history) {
  this->watch.reset();
  if (lost_history) {
    this->need_snapshot = true;
  }
  // A watch that was cut while the service is well is no outage.
  if (this->is_connected && failure.code != ErrorCode::kConflict) {
    this->is_connected = false;
    this->log.Warn("store_lost", failure.message,
                   {{"code", ErrorCodeName(failure.code)},
                    {"revision", this->next_revision}});
  }
  const auto spread = static_cast<uint64_t>(
      (this->options.most_pause - this->options.least_pause).count());
  this->retry.StartOnce(this->options.least_pause +
                        std::chrono::milliseconds(this->random.Below(spread)));
}

}  // namespace celerypost
