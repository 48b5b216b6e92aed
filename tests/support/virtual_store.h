#ifndef TESTS_SUPPORT_VIRTUAL_STORE_H_
#define TESTS_SUPPORT_VIRTUAL_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/process/key_value_client.h"
#include "tests/support/virtual_time.h"

namespace celerypost {

// Key-value service under virtual time, with outages and lost messages.
class VirtualStore {
 public:
  VirtualStore(VirtualTime& time, uint64_t seed) : time(time), random(seed) {}

  // Client of one process; `reachable` returns whether its network path is
  // open.
  std::unique_ptr<KeyValueClient> MakeClient(std::function<bool()> reachable);

  // While down, the service answers no calls. Going down ends all watches.
  void SetUp(bool up);

  // Returns a backup, and replaces all values and the revision by those of one.
  // Restoring ends all watches.
  struct Backup {
    int64_t revision = 0;
    std::map<std::string, KeyValue> values;
  };
  Backup MakeBackup() const { return {this->revision, this->values}; }
  void Restore(const Backup& backup);
  // Writes a value as an operator does with a tool of the service.
  void Write(const std::string& key, const std::string& value);

  // Fractions (0 to 1) of transactions whose request or whose answer is lost.
  double lost_requests = 0;
  double lost_answers = 0;
  size_t open_watches() const { return this->watchers.size(); }

  // Every value that a key had, in order.
  std::map<std::string, std::vector<std::string>> history;
  KeyValueCalls calls;

 private:
  friend class VirtualStoreClient;
  struct Watcher {
    KeyRange range;
    std::function<void(std::vector<KeyValue>)> on_change;
    std::function<void(Failure)> on_end;
    std::function<bool()> reachable;
  };

  void Put(const std::string& key, const std::string& value);
  bool Chance(double share) {
    return std::uniform_real_distribution<double>()(this->random) < share;
  }

  VirtualTime& time;
  std::mt19937_64 random;
  bool is_up = true;
  int64_t revision = 1;
  std::map<std::string, KeyValue> values;
  std::map<uint64_t, Watcher> watchers;
  uint64_t next_watcher = 1;
};

}  // namespace celerypost

#endif  // TESTS_SUPPORT_VIRTUAL_STORE_H_
