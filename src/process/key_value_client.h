#ifndef SRC_PROCESS_KEY_VALUE_CLIENT_H_
#define SRC_PROCESS_KEY_VALUE_CLIENT_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "celerypost/verdict.h"

namespace celerypost {

// A point in the history of the service. Revisions order changes only within
// one era: a service that was restored from an older copy begins a new era, in
// which it hands out revisions again.
struct StorePosition {
  // 0 for a service that names no eras.
  int64_t era = 0;
  int64_t revision = 0;

  friend bool operator==(const StorePosition&, const StorePosition&) = default;
  friend std::strong_ordering operator<=>(const StorePosition& a,
                                          const StorePosition& b) {
    return std::tie(a.era, a.revision) <=> std::tie(b.era, b.revision);
  }
};

// A key of the service with its value.
struct KeyValue {
  std::string key;
  // Empty for a deleted key in a watch event.
  std::string value;
  // Revision of the last change of this key.
  int64_t mod_revision = 0;
  // Era in which the key was read; 0 if unknown.
  int64_t era = 0;

  StorePosition position() const { return {this->era, this->mod_revision}; }
};

// Keys from `first` up to, but not including, `end`. The client for the users'
// platform takes `first` as a prefix and ignores `end`.
struct KeyRange {
  std::string first;
  std::string end;
};

// The keys found by a read.
struct KeyValueRange {
  std::vector<KeyValue> items;
  // Revision of the whole service at the time of the read.
  int64_t revision = 0;
  // The era of all items.
  int64_t era = 0;
};

// Puts `value` at `key` and all `extra_puts`, or nothing at all, iff the last
// change of `key` has revision `expected_revision`; 0 means that `key` must not
// exist.
struct KeyValueTransaction {
  std::string key;
  int64_t expected_revision = 0;
  std::string value;
  std::vector<std::pair<std::string, std::string>> extra_puts;
  // Omits the comparison, for keys that only one process writes.
  bool unconditional = false;
  // The puts are removed when this lease ends; 0 keeps them.
  int64_t lease = 0;
};

struct KeyValueTransactionResult {
  // Whether the comparison held and the puts took effect.
  bool succeeded = false;
  int64_t revision = 0;
  int64_t era = 0;
};

// An open watch. Destroying it ends the watch; no callback runs afterwards.
class KeyValueWatch {
 public:
  virtual ~KeyValueWatch() = default;
};

// Numbers of calls to the key-value service by kind; a watch counts as one call
// for each request that it sends.
struct KeyValueCalls {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
};

// Leases of the key-value service. A failure of Renew with kNotFound means that
// the lease has ended; after any other failure it may still run.
class LeaseClient {
 public:
  virtual ~LeaseClient() = default;

  // Returns the id of a lease that ends `duration` after its last renewal.
  virtual void Grant(std::chrono::milliseconds duration,
                     std::function<void(Result<int64_t>)> done) = 0;
  // Restarts the duration of the lease.
  virtual void Renew(int64_t lease, std::function<void(Result<void>)> done) = 0;
  // Ends the lease, which removes its keys.
  virtual void Revoke(int64_t lease,
                      std::function<void(Result<void>)> done) = 0;
};

// The key-value service. Each callback runs once, from the loop, never from
// inside the call. A failure has verdict kNotRun only when the call certainly
// had no effect.
class KeyValueClient {
 public:
  virtual ~KeyValueClient() = default;

  // Linearizable read; nothing when the key does not exist.
  virtual void Get(
      const std::string& key,
      std::function<void(Result<std::optional<KeyValue>>)> done) = 0;

  // Linearizable read of all keys in `range`, sorted by key. `keys_only` omits
  // the values.
  virtual void GetRange(const KeyRange& range,
                        bool keys_only,
                        std::function<void(Result<KeyValueRange>)> done) = 0;

  virtual void Transact(
      KeyValueTransaction transaction,
      std::function<void(Result<KeyValueTransactionResult>)> done) = 0;

  // Reports changes of all keys in `range` from `from_revision` on, until
  // `on_end`, which runs once when the watch fails.
  virtual std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange& range,
      int64_t from_revision,
      std::function<void(std::vector<KeyValue>)> on_change,
      std::function<void(Failure)> on_end) = 0;

  virtual KeyValueCalls Calls() const = 0;

  // The newest era that a response has named; 0 if none has. Responses of older
  // eras fail with kConflict, and so does a watch that was opened in one.
  virtual int64_t Era() const { return 0; }
  // Sets the callback that runs after a response has named a newer era.
  virtual void OnEra(std::function<void(int64_t)> /*callback*/) {}
};

}  // namespace celerypost

#endif  // SRC_PROCESS_KEY_VALUE_CLIENT_H_
