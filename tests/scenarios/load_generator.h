#ifndef TESTS_SCENARIOS_LOAD_GENERATOR_H_
#define TESTS_SCENARIOS_LOAD_GENERATOR_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/scenarios/caller.h"

namespace celerypost::scenarios {

struct LoadOptions {
  std::string service;
  bool engine = true;
  double requests_per_second = 100;
  std::chrono::milliseconds duration{1000};
  int64_t max_tokens = 16;
  int attempts = 4;
  // Timeout of an attempt, after which the caller tries the next entry.
  std::chrono::milliseconds attempt_timeout{3000};
  std::string workspace = "default";
  std::string priority = "normal";
};

// Outcomes of a load.
struct LoadResult {
  int64_t sent = 0;
  int64_t ok = 0;
  // Requests without a complete response after all attempts.
  int64_t failed = 0;
  // Attempts that were refused before any work was done (503, "not run").
  int64_t refused = 0;
  // Attempts whose response ended early, after its head.
  int64_t interrupted = 0;
  // Attempts that did not reach an entry.
  int64_t unreached = 0;
  int64_t may_have_run = 0;
  // Responses that belong to another request, or that ended normally but are
  // incomplete.
  int64_t wrong = 0;
  // Responses computed with several weight sets, or with another set than that
  // of the version in their header.
  int64_t mixed = 0;
  std::map<std::string, int64_t> by_version;
  std::vector<double> latencies_ms;
  std::vector<double> first_token_ms;
  // Ids whose every attempt was refused as "not run".
  std::set<std::string> not_run_ids;
  // The last few failures, for the log.
  std::vector<std::string> problems;

  // Percentile of `values`; `share` is a fraction from 0 to 1. Returns 0 if
  // `values` is empty.
  static double Percentile(std::vector<double> values, double share);
  // Looks up a figure by name, for example "failed" or "p95_ms"; returns false
  // if it is unknown.
  bool Find(const std::string& name, double* value) const;
};

// Sends requests at a constant rate, independent of response times (open loop),
// and checks every response.
class LoadGenerator {
 public:
  // Returns the digest of the weight set of `version`; empty if unknown.
  using FindSet = std::function<std::string(const std::string& version)>;

  LoadGenerator(Loop& loop,
                ClientPool& pool,
                LoadOptions options,
                const std::vector<std::string>& entries,
                FindSet find_set);

  bool finished() const;
  const LoadResult& result() const { return this->results; }

 private:
  struct Exchange {
    Caller* caller = nullptr;
    std::string id;
    std::string payload;
    int attempt = 0;
    bool only_not_run = true;
    TimePoint started;
    TimePoint first_token;
    std::string address;
    HttpResponseHead head;
    std::string body;
    std::unique_ptr<HttpCall> call;
    std::unique_ptr<Timer> timer;
  };

  void OnTick();
  void Begin();
  void Attempt(Exchange& exchange);
  HttpRequest MakeRequest(const Exchange& exchange) const;
  void OnEnd(Exchange& exchange);
  void OnAttemptFailed(Exchange& exchange,
                       bool not_run,
                       const std::string& problem);
  void Finish(Exchange& exchange);
  void CheckEngineAnswer(const Exchange& exchange);
  void CheckPlainAnswer(const Exchange& exchange);

  Loop& loop;
  ClientPool& pool;
  const LoadOptions options;
  FindSet find_set;
  LoadResult results;
  std::vector<std::unique_ptr<Caller>> callers;
  std::list<Exchange> running;
  TimePoint started;
  int64_t begun = 0;
  Timer tick;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_LOAD_GENERATOR_H_
