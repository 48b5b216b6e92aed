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

// HTTP clients by entry address, shared by all callers of a scenario.
class ClientPool {
 public:
  explicit ClientPool(Loop& loop) : loop(loop) {}
  HttpClient& At(const std::string& address);

 private:
  Loop& loop;
  std::map<std::string, std::unique_ptr<HttpClient>> clients;
};

// Discovers entries as a client of the platform does: fetches `/v1/entries`,
// caches the response for its `max_age_ms`, and switches to the next entry when
// one fails.
class Caller {
 public:
  // `known` holds the configured entry addresses. The first request goes to the
  // one at index `first`.
  Caller(Loop& loop,
         ClientPool& pool,
         std::string service,
         std::vector<std::string> known,
         size_t first);

  // Fetches the list of entries if there is none or it has expired.
  void Refresh();
  // Address of the current entry; empty until a list was received, and again
  // after all of its entries failed.
  const std::string& Address() const;
  const std::string& Prefix() const { return this->prefix; }
  // Switches to the next entry after the one at `address` failed or refused a
  // request.
  void UseNextEntry(const std::string& address);
  // Marks the list as expired, because an entry asked its callers to refresh.
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
