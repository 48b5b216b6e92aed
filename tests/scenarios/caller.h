#ifndef TESTS_SCENARIOS_CALLER_H_
#define TESTS_SCENARIOS_CALLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/connection/http_client.h"

namespace celerypost::scenarios {

// Connections to all entries, shared by the callers of one runner.
class ClientPool {
 public:
  explicit ClientPool(Loop& loop) : loop(loop) {}
  HttpClient& At(const std::string& address);

 private:
  Loop& loop;
  std::map<std::string, std::unique_ptr<HttpClient>> clients;
};

// Knows the entries as a caller does: asks `/v1/entries`, keeps the answer for
// its `max_age_ms`, and moves on when an entry fails.
class Caller {
 public:
  // `known` are entry addresses from the caller's settings; it asks the one at
  // `first` first.
  Caller(Loop& loop,
         ClientPool& pool,
         std::string service,
         std::vector<std::string> known,
         size_t first);

  // Asks for the entries when the answer is missing or too old.
  void Refresh();
  // Empty until the first answer.
  const std::string& Address() const;
  const std::string& Prefix() const { return this->prefix; }
  // The entry at `address` failed or refused.
  void MoveOn(const std::string& address);
  // The entry asked its callers to ask again.
  void Expire() { this->valid_until = TimePoint(); }

 private:
  void OnAnswer(const Result<HttpResponse>& answer);

  Loop& loop;
  ClientPool& pool;
  std::string service;
  std::vector<std::string> known;
  size_t next_known;
  std::vector<std::string> addresses;
  size_t current = 0;
  std::string prefix;
  TimePoint valid_until;
  TimePoint asked_at;
  std::unique_ptr<HttpCall> call;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_CALLER_H_
