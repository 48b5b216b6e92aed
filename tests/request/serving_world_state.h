#ifndef TESTS_REQUEST_SERVING_WORLD_STATE_H_
#define TESTS_REQUEST_SERVING_WORLD_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/request/admission.h"
#include "src/request/request_ledger.h"

namespace celerypost {

struct WorldOptions {
  uint64_t seed = 1;
  int requests = 100000;
  // Whether callers' messages to entries are duplicated too. A copy of a
  // message that says it is the first attempt breaks the interface, so an entry
  // that refuses by itself cannot tell (design 4.2).
  bool duplicate_callers = true;
  // Share of callers' messages that an entry refuses by itself.
  double entry_refusals = 0.0;
  // Mechanisms; each is off only to see that the checks notice it.
  bool check_versions = true;
  bool keep_records = true;
  bool close_refused_attempts = true;
  bool give_up_on_hand_off = true;
  bool check_entry_verdict = true;
};

struct WorldCounts {
  // Broken promises.
  int run_twice = 0;
  int false_not_run = 0;
  // Outcomes of attempts as callers saw them.
  int answered = 0;
  int not_run = 0;
  int may_have_run = 0;
  // Work done and faults injected.
  int requests = 0;
  int repeats = 0;
  int runs = 0;
  int lost = 0;
  int late = 0;
  int duplicated = 0;
  int crashes = 0;
  int pauses = 0;
  int reassignments = 0;
  int slots_handed_off = 0;
};

namespace world {

enum class Reply { kAnswer, kNotRun, kBehind, kMoved, kMayHaveRun };

// Where an agent's reply goes.
struct ReplyTo {
  size_t entry;
  uint64_t number;
  uint32_t entry_attempt;
};

struct Job {
  RequestId id;
  // The id as given to the ledger; differs when a mechanism is off.
  RequestId ledger_id;
  AttemptNumber attempt;
  std::vector<ReplyTo> waiters;
};

struct Agent {
  explicit Agent(InstanceId self)
      : self(self),
        ledger(std::make_unique<RequestLedger>(
            LedgerOptions{.max_records = 300,
                          .retention = std::chrono::seconds(2)},
            self)) {}

  const InstanceId self;
  std::unique_ptr<RequestLedger> ledger;
  ColdStart cold{{.full_limit = 8, .warm_up = std::chrono::milliseconds(200)}};
  FairQueue queue{{.max_requests = 20}};
  Admission admission{{.initial_service_time = std::chrono::milliseconds(10)},
                      cold,
                      queue};
  std::unordered_map<uint64_t, Job> jobs;
  std::unordered_map<std::string, uint64_t> job_of_id;
  TimePoint paused_until{};
  bool leaving = false;
};

struct Pending {
  size_t request;
  uint32_t caller_attempt;
  RequestId id;
  bool generated;
  uint32_t entry_attempt = 0;
  // Whether `entry_attempt` has no answer yet; a copy of one is ignored.
  bool waiting = false;
  uint32_t frames_unanswered = 0;
  uint32_t frames_redirected = 0;
};

struct Entry {
  SlotTable table;
  std::map<uint64_t, Pending> pending;
};

// A caller's request.
struct Request {
  std::optional<RequestId> id;
  bool numbered = true;
  uint32_t attempts = 0;
  bool settled = false;
};

// What really happened to an id.
struct Truth {
  int runs = 0;
  AttemptNumber run_attempt = 0;
  std::optional<uint32_t> closed;
};

}  // namespace world
}  // namespace celerypost

#endif  // TESTS_REQUEST_SERVING_WORLD_STATE_H_
