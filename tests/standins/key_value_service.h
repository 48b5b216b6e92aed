#ifndef TESTS_STANDINS_KEY_VALUE_SERVICE_H_
#define TESTS_STANDINS_KEY_VALUE_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "tests/standins/key_value_store.h"
#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// A fake key-value service with the API of etcd's v3 JSON gateway.
// Commands: "lose_answers": N applies the next N transactions and closes the
// connection instead of answering.
class KeyValueService : public StandIn {
 public:
  KeyValueService(Loop& loop, Json settings);

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& command) override;
  Json Figures() const override;
  void OnDown() override;

 private:
  struct WatchStream {
    Json range;
    std::shared_ptr<HttpResponder> responder;
  };
  using Operation = Json (KeyValueService::*)(const Json&);
  struct Route {
    const char* counter;
    Operation run;
  };

  static const std::map<std::string, Route, std::less<>>& Routes();
  Json Range(const Json& request);
  Json Put(const Json& request);
  Json DeleteRange(const Json& request);
  Json Transact(const Json& request);
  Json GrantLease(const Json& request);
  Json KeepAlive(const Json& request);
  Json RevokeLease(const Json& request);
  void OpenWatch(const Json& request, std::shared_ptr<HttpResponder> responder);
  void OnEvent(const std::string& key, const Json& event);
  void TickLeases();

  KeyValueStore store;
  std::map<std::string, int64_t> calls;
  int64_t lose_answers = 0;
  uint64_t next_watch = 0;
  std::map<uint64_t, WatchStream> watches;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_KEY_VALUE_SERVICE_H_
