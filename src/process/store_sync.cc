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
      options(std::move(options)),
      callbacks(std::move(callbacks)),
      retry(loop, [this] { this->Read(); }) {}

void StoreSync::Start() {
  this->watching = true;
  this->Read();
}

void StoreSync::SetWatching(bool watches, StorePosition known) {
  if (watches == this->watching) {
    return;
  }
  this->watching = watches;
  this->is_failing = false;
  if (!watches) {
    this->watch.reset();
    this->retry.Stop();
    return;
  }
  if (known.era > this->era) {
    this->era = known.era;
    this->next_revision = 0;
  }
  const bool current = known.era == this->era && known.revision > 0;
  if (current) {
    this->next_revision = std::max(this->next_revision, known.revision + 1);
  }
  if (this->read_pending) {
    return;
  }
  if (current) {
    this->BeginWatch();
  } else {
    this->Read();
  }
}

void StoreSync::OnEra(int64_t era) {
  if (era <= this->era) {
    return;
  }
  const bool replaces = this->next_revision > 0 || this->era > 0;
  this->era = era;
  this->next_revision = 0;
  if (this->watching && replaces) {
    this->retry.Stop();
    this->Restart();
  }
}

void StoreSync::Restart() {
  this->watch.reset();
  this->Read();
}

void StoreSync::OnServiceRegained(TimePoint lost_at) {
  if (this->watching && !this->read_pending && this->last_answered < lost_at) {
    this->Restart();
  }
}

void StoreSync::Read() {
  this->retry.Stop();
  this->snapshot = {};
  this->call_began = this->loop.Now();
  this->read_pending = true;
  this->ReadPrefix(++this->read_number, 0);
}

void StoreSync::ReadPrefix(uint64_t read, size_t index) {
  KeyRange keys;
  keys.first = this->options.read_prefixes[index];
  this->store.GetRange(
      keys, /*keys_only=*/false,
      [this, read, index](const Result<KeyValueRange>& range) {
        if (read != this->read_number) {
          return;
        }
        if (!range) {
          this->OnFailure(range.error());
          return;
        }
        if (range->era < this->era) {
          this->OnFailure(
              Failure{Verdict::kNotRun, ErrorCode::kConflict,
                      "the read was answered in an older era of the service"});
          return;
        }
        this->era = range->era;
        // The prefixes are read one after the other; the watch starts after the
        // revision of the first read so that it misses no change.
        if (index == 0) {
          this->snapshot.revision = range->revision;
          this->snapshot.era = range->era;
        } else if (this->snapshot.era != range->era) {
          this->Read();
          return;
        }
        this->snapshot.items.insert(this->snapshot.items.end(),
                                    range->items.begin(), range->items.end());
        if (index + 1 < this->options.read_prefixes.size()) {
          this->ReadPrefix(read, index + 1);
          return;
        }
        this->read_pending = false;
        this->next_revision = this->snapshot.revision + 1;
        this->OnAnswer();
        this->callbacks.on_snapshot(
            this->snapshot.items,
            {this->snapshot.era, this->snapshot.revision});
        this->callbacks.on_current(this->call_began);
        if (this->watching) {
          this->BeginWatch();
        }
      });
}

void StoreSync::BeginWatch() {
  this->watch_answered = false;
  this->call_began = this->loop.Now();
  KeyRange keys;
  keys.first = this->options.watch_prefix;
  this->watch = this->store.Watch(
      keys, this->next_revision,
      [this](const std::vector<KeyValue>& changes) {
        this->OnAnswer();
        for (const KeyValue& change : changes) {
          this->next_revision =
              std::max(this->next_revision, change.mod_revision + 1);
        }
        // Only a call that waits brings changes as soon as they are made.
        const bool waited = std::exchange(this->watch_answered, true);
        if (waited) {
          this->callbacks.on_current(this->loop.ArrivedAfter());
        }
        if (!changes.empty()) {
          this->callbacks.on_changes(changes);
        }
        if (!waited) {
          this->callbacks.on_current(this->call_began);
        }
      },
      [this](const Failure& failure) { this->OnFailure(failure); });
}

void StoreSync::OnAnswer() {
  this->is_failing = false;
  this->last_answered = this->loop.Now();
  this->callbacks.on_answer();
  if (this->is_connected) {
    return;
  }
  this->is_connected = true;
  this->log.Info("store_connected", "the key-value service answers",
                 {{"revision", this->next_revision},
                  {"era", this->era},
                  {"away_ms", this->ever_connected ? this->Since(this->lost_at)
                                                   : int64_t{0}}});
  this->ever_connected = true;
}

int64_t StoreSync::Since(TimePoint time) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             this->loop.Now() - time)
      .count();
}

void StoreSync::OnFailure(const Failure& failure) {
  const bool watched = this->watch != nullptr;
  this->watch.reset();
  this->read_pending = false;
  // Retries by a read, which fails or succeeds at once: a watch that is opened
  // during an outage may wait for seconds without noticing that the outage has
  // ended. kConflict means that the history for the watch is lost, which is not
  // an outage.
  this->is_failing = failure.code != ErrorCode::kConflict;
  if (this->is_failing && !watched) {
    // Reads use connections that were not silent before. A watch may have lost
    // its connection alone.
    this->callbacks.on_away(this->call_began);
  }
  if (this->is_connected && this->is_failing) {
    this->is_connected = false;
    this->lost_at = this->loop.Now();
    this->log.Warn("store_lost", failure.message,
                   {{"code", ErrorCodeName(failure.code)},
                    {"call", watched ? "watch" : "read"},
                    {"call_open_ms", this->Since(this->call_began)},
                    {"silent_ms", this->Since(this->last_answered)},
                    {"revision", this->next_revision}});
  }
  const auto range_ms = static_cast<uint64_t>(
      (this->options.max_retry_delay - this->options.min_retry_delay).count());
  this->retry.StartOnce(
      this->options.min_retry_delay +
      std::chrono::milliseconds(this->random.Below(range_ms)));
}

}  // namespace celerypost
