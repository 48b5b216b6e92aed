#ifndef SRC_PROCESS_STORE_SYNC_H_
#define SRC_PROCESS_STORE_SYNC_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "src/connection/loop.h"
#include "src/process/key_value_client.h"
#include "src/process/log.h"

namespace celerypost {

struct StoreSyncOptions {
  // Prefixes of the keys that are read at the start and whenever a watch cannot
  // continue (at least one), and the prefix of those that are watched. The
  // empty prefix stands for all keys.
  std::vector<std::string> read_prefixes{""};
  std::string watch_prefix;
  // Bounds of the delay before a failed read or watch is repeated. It is
  // random, so that processes that lost the service together do not reconnect
  // together. Both are well below the time in which a change must be in force.
  std::chrono::milliseconds min_retry_delay{150};
  std::chrono::milliseconds max_retry_delay{500};
};

// Reports the state and the changes of keys in the key-value service: reads
// them once, then watches them, and reads them again whenever the watch has
// failed.
class StoreSync {
 public:
  struct Callbacks {
    // All keys as of `position`.
    std::function<void(const std::vector<KeyValue>&, StorePosition position)>
        on_snapshot;
    std::function<void(const std::vector<KeyValue>&)> on_changes;
    // The service has answered a read or a watch. Runs before what the answer
    // holds is reported.
    std::function<void()> on_answer;
    // All changes before `time` have been reported.
    std::function<void(TimePoint time)> on_current;
    // The service did not answer a call that was sent at `time`.
    std::function<void(TimePoint time)> on_away;
  };

  StoreSync(Loop& loop,
            KeyValueClient& store,
            Log& log,
            Random& random,
            StoreSyncOptions options,
            Callbacks callbacks);

  void Start();
  // Starts or stops watching. `known` is the newest position whose changes are
  // already known from elsewhere; the watch continues after it. A read precedes
  // the watch if its revision is 0 or its era is not the newest one.
  void SetWatching(bool watches, StorePosition known);
  // The service or a peer has named `era`. A read or watch of an older era is
  // replaced by a read.
  void OnEra(int64_t era);
  // Ends the current watch and reads again on a new connection. For a watch
  // that has gone silent although a peer knows a newer revision.
  void Restart();
  // Another call to the service was answered, after one that was sent at
  // `lost_at` or later was not. Reads again if the current watch may have been
  // silenced by the same outage.
  void OnServiceRegained(TimePoint lost_at);
  bool connected() const { return this->is_connected; }
  // Whether the last call failed for a reason other than lost history.
  bool failing() const { return this->is_failing; }
  // When the service last answered.
  TimePoint last_answer() const { return this->last_answered; }

 private:
  void Read();
  void ReadPrefix(uint64_t read, size_t index);
  void BeginWatch();
  void OnFailure(const Failure& failure);
  void OnAnswer();
  // Returns the time since `time` in milliseconds, for the log.
  int64_t Since(TimePoint time) const;

  Loop& loop;
  KeyValueClient& store;
  Log& log;
  Random& random;
  StoreSyncOptions options;
  Callbacks callbacks;
  Timer retry;
  std::unique_ptr<KeyValueWatch> watch;
  // Whether the current watch has been answered, with or without changes.
  bool watch_answered = false;
  bool watching = false;
  bool is_failing = false;
  bool read_pending = false;
  // Number of the latest read; answers to earlier ones are ignored.
  uint64_t read_number = 0;
  // The newest era that is known; next_revision belongs to it.
  int64_t era = 0;
  int64_t next_revision = 0;
  KeyValueRange snapshot;
  bool is_connected = false;
  bool ever_connected = false;
  TimePoint last_answered{};
  // When the current read or watch began, and when the service was lost last.
  TimePoint call_began{};
  TimePoint lost_at{};
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STORE_SYNC_H_
