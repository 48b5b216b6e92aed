#ifndef REVIEW_STANDINS_2_PLATFORM_STORE_H_
#define REVIEW_STANDINS_2_PLATFORM_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/standins-2/http_message.h"

namespace review {

// The platform's metadata store as its page describes it, kept in memory. It
// answers every call at once and is never down.
class PlatformStore {
 public:
  // Closes the connections of the watches that wait, without an answer.
  void CutWaitingWatches();
  // Returns the number of watches that were cut.
  int cuts();

  // Writes as the operator or a replica does.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  // Handles the calls of one connection until it ends or is cut.
  void Handle(Connection& connection);

 private:
  using Json = nlohmann::json;
  struct Answer {
    int status = 200;
    Json body = Json::object();
    bool cut = false;
  };

  Answer Call(const Message& request);
  Answer Range(const std::string& prefix, const std::string& after);
  Answer Watch(const std::string& prefix, int64_t after, double wait_ms);
  Answer Transact(const Json& transaction);
  Answer EndLease(int64_t lease);
  void PutLocked(const std::string& key, Json value, int64_t lease);
  void DeleteLocked(const std::string& key);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Json> items;
  // By revision, in order.
  std::vector<std::pair<int64_t, Json>> events;
  std::set<int64_t> leases;
  int64_t revision = 10;
  int64_t last_lease = 100;
  // Counts the calls of CutWaitingWatches.
  int cut_round = 0;
  int cut_count = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_PLATFORM_STORE_H_
