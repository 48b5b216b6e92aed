#ifndef TESTS_REQUEST_SERVING_SIMULATION_STATE_H_
#define TESTS_REQUEST_SERVING_SIMULATION_STATE_H_

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

struct SimulationOptions {
  uint64_t seed = 1;
  int requests = 100000;
  // Whether callers' messages to entries are duplicated too. The interface does
  // not allow copies of a message that carries attempt number 1, and an entry
  // that refuses without asking an agent cannot detect them (design 4.2).
  bool duplicate_callers = true;
  // Share of callers' messages that an entry refuses without asking an agent.
  double entry_refusals = 0.0;
  // Mechanisms under test. Tests disable one at a time to check that the
  // simulation detects the resulting failures.
  bool check_versions = true;
  bool keep_records = true;
  bool close_refused_attempts = true;
  bool give_up_on_hand_off = true;
  bool check_entry_verdict = true;
};

struct SimulationCounts {
  // Violations: ids that ran again, and "not run" answers that were false.
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
  int withdrawn = 0;
};

namespace simulation {

enum class Reply { kAnswer, kNotRun, kBehind, kMoved, kMayHaveRun };

// Where an agent's reply goes.
struct ReplyTo {
  size_t entry;
  uint64_t number;
  uint32_t entry_attempt;
};

struct Job {
  RequestId id;
  // The id as passed to the ledger; differs when a mechanism is disabled.
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
  // Whether `entry_attempt` has no answer yet. Duplicated answers are ignored.
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

// Actual events of an id, independent of what the components recorded.
struct GroundTruth {
  int runs = 0;
  AttemptNumber run_attempt = 0;
  std::optional<uint32_t> closed;
};

}  // namespace simulation
}  // namespace celerypost

#endif  // TESTS_REQUEST_SERVING_SIMULATION_STATE_H_
