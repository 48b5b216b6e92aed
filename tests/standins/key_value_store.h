#ifndef TESTS_STANDINS_KEY_VALUE_STORE_H_
#define TESTS_STANDINS_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace celerypost::standins {

// In-memory data of an etcd v3 server. Requests and answers use the JSON
// mapping of its gateway: base64 keys and values, 64-bit numbers as strings,
// and fields with default values omitted. Throws std::exception on malformed
// requests.
class KeyValueStore {
 public:
  using Json = nlohmann::json;

  // Calls `on_event` for each change, in order, with the key and the event.
  explicit KeyValueStore(
      std::function<void(const std::string&, const Json&)> on_event);

  Json Range(const Json& request) const;
  Json Put(const Json& request);
  Json DeleteRange(const Json& request);
  Json Transact(const Json& request);

  Json GrantLease(const Json& request, int64_t now_ms);
  // The answer has no "TTL" if the lease has expired or was revoked.
  Json KeepLeaseAlive(const Json& request, int64_t now_ms);
  Json RevokeLease(const Json& request);
  void ExpireLeases(int64_t now_ms);

  // Events since `revision` that concern keys in the range of `request`.
  Json History(const Json& request, int64_t revision) const;
  Json Header() const;

  static bool InRange(const Json& request, const std::string& key);

 private:
  struct Entry {
    std::string value;
    int64_t create_revision = 0;
    int64_t mod_revision = 0;
    int64_t version = 0;
    int64_t lease = 0;
  };
  struct Lease {
    int64_t ttl_s = 0;
    int64_t expires_ms = 0;
  };
  struct PastEvent {
    int64_t revision = 0;
    std::string key;
    Json event;
  };

  static Json ToJson(const std::string& key, const Entry& entry);
  bool Satisfies(const Json& compare) const;
  Json RunOperation(const Json& operation);
  void Store(const std::string& key, const std::string& value, int64_t lease);
  int64_t Erase(const Json& range);
  void Record(const std::string& key, Json event);
  void RemoveLease(int64_t id);

  std::function<void(const std::string&, const Json&)> on_event;
  int64_t revision = 1;
  int64_t next_lease = 1;
  std::map<std::string, Entry> entries;
  std::map<int64_t, Lease> leases;
  std::vector<PastEvent> history;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_KEY_VALUE_STORE_H_
