#ifndef TESTS_REQUEST_SERVING_SIMULATION_H_
#define TESTS_REQUEST_SERVING_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "celerypost/random.h"
#include "tests/request/serving_simulation_state.h"
#include "tests/request/serving_simulation_timeline.h"

namespace celerypost {

// Simulates several entries and agents of one service. The decision components
// are the real ones; the network loses, delays and duplicates messages. Agents
// crash, pause and leave; slots are reassigned while their owners are paused;
// callers repeat requests with and without attempt numbers. The seed determines
// the whole run.
//
// A "not run" for attempt n means that no attempt up to n has run or will run;
// for an attempt without a number, that no attempt at all has run or will run.
class ServingSimulation : private simulation::Timeline {
 public:
  explicit ServingSimulation(SimulationOptions options)
      : Timeline(options.seed), options(options) {
    for (int index = 0; index < kAgents; ++index) {
      this->StartAgent();
    }
    this->entries.resize(kEntries);
    this->Reassign();
    for (Entry& entry : this->entries) {
      entry.table = this->stored;
    }
  }

  SimulationCounts Run() {
    this->At(kStep, [this] { this->Arrive(); });
    this->At(50 * kStep, [this] { this->InjectFault(); });
    this->RunEvents();
    return this->counts;
  }

 private:
  static constexpr int kAgents = 8;
  static constexpr int kEntries = 4;
  static constexpr Duration kStep = std::chrono::milliseconds(1);

  using Agent = simulation::Agent;
  using Entry = simulation::Entry;
  using Job = simulation::Job;
  using Pending = simulation::Pending;
  using Reply = simulation::Reply;
  using ReplyTo = simulation::ReplyTo;
  using Request = simulation::Request;
  using GroundTruth = simulation::GroundTruth;

  bool Finished() const {
    return this->counts.requests >= this->options.requests;
  }
  // Runs `action` on an agent once it is not paused; does nothing if the agent
  // has crashed or left.
  void OnAgent(InstanceId instance, std::function<void(Agent&)> action) {
    const auto found = this->agents.find(instance.value);
    if (found == this->agents.end()) {
      return;
    }
    if (found->second->paused_until > this->now) {
      this->At(found->second->paused_until - this->now,
               [this, instance, action] { this->OnAgent(instance, action); });
      return;
    }
    action(*found->second);
  }

  InstanceId StartAgent() {
    const InstanceId self{this->random.Next()};
    auto agent = std::make_unique<Agent>(self);
    agent->ledger->ApplyTable(this->stored);
    this->agents.emplace(self.value, std::move(agent));
    this->At(50 * kStep, [this, self] { this->Tick(self); });
    return self;
  }

  void Tick(InstanceId self) {
    this->OnAgent(self, [this](Agent& agent) {
      agent.ledger->OnTick(this->now);
      this->Perform(agent, agent.admission.OnTick(this->now));
    });
    if (!this->Finished()) {
      this->At(50 * kStep, [this, self] { this->Tick(self); });
    }
  }

  InstanceId RandomAgent() {
    auto at = this->agents.begin();
    std::advance(at, this->random.Below(this->agents.size()));
    return InstanceId{at->first};
  }

  void InjectFault() {
    if (this->Finished()) {
      return;
    }
    const InstanceId victim = this->RandomAgent();
    const double kind = this->random.Unit();
    if (kind < 0.08) {
      ++this->counts.crashes;
      this->agents.erase(victim.value);
      this->StartAgent();
    } else if (kind < 0.2) {
      ++this->counts.pauses;
      this->agents[victim.value]->paused_until =
          this->now + this->Between(50, 3000);
    } else if (kind < 0.35) {
      this->OnAgent(victim, [this](Agent& agent) { this->Leave(agent); });
    } else if (kind < 0.4) {
      this->entries[this->random.Below(kEntries)].pending.clear();
    }
    this->At(50 * kStep, [this] { this->InjectFault(); });
  }

  // Planned stop: the agent hands its slots to other agents and exits.
  void Leave(Agent& agent) {
    if (agent.leaving) {
      return;
    }
    agent.leaving = true;
    this->WithdrawWaiting(agent);
    this->StartAgent();
    const SlotTable planned = ReassignSlots(this->stored, this->FitAgents());
    for (const size_t slot : agent.ledger->OwnedSlots()) {
      const InstanceId to = planned.slots[slot].owner;
      if (to != agent.self) {
        for (const int delay : {0, 100, 300}) {
          this->At(delay * kStep, [this, self = agent.self, slot, to] {
            this->HandOff(self, slot, to);
          });
        }
      }
    }
    this->At(4000 * kStep,
             [this, self = agent.self] { this->agents.erase(self.value); });
  }

  // Sends waiting requests back to their entries without closing an attempt.
  void WithdrawWaiting(Agent& agent) {
    std::vector<uint64_t> waiting;
    for (const auto& [local, job] : agent.jobs) {
      if (agent.admission.Cancel(local)) {
        waiting.push_back(local);
      }
    }
    for (const uint64_t local : waiting) {
      ++this->counts.withdrawn;
      agent.ledger->Withdraw(agent.jobs.at(local).ledger_id);
      this->EndJob(agent, local, Reply::kBehind);
    }
  }

  void HandOff(InstanceId self, size_t slot, InstanceId to) {
    this->OnAgent(self, [this, slot, to](Agent& agent) {
      const auto before = std::make_unique<RequestLedger>(*agent.ledger);
      const SlotRecords records = agent.ledger->HandOff(slot, to);
      if (!this->options.give_up_on_hand_off) {
        agent.ledger = std::make_unique<RequestLedger>(*before);
      }
      this->Send([this, to, records] {
        this->OnAgent(to, [this, records](Agent& receiver) {
          this->counts.slots_handed_off +=
              receiver.ledger->Accept(records, this->now);
        });
      });
    });
  }

  std::vector<InstanceId> FitAgents() {
    std::vector<InstanceId> fit;
    for (const auto& [instance, agent] : this->agents) {
      // Half of the time, a paused agent is considered dead although it
      // resumes.
      if (!agent->leaving &&
          (agent->paused_until <= this->now || this->Chance(0.5))) {
        fit.push_back(agent->self);
      }
    }
    return fit;
  }

  // Writes the next slot table by one compare-and-swap in the key-value
  // service. Processes receive it with different delays and in any order.
  void Reassign() {
    if (!this->Finished()) {
      this->At(200 * kStep, [this] { this->Reassign(); });
    }
    const SlotTable next = ReassignSlots(this->stored, this->FitAgents());
    if (next == this->stored) {
      return;
    }
    ++this->counts.reassignments;
    this->stored = next;
    for (const auto& [instance, agent] : this->agents) {
      this->At(this->TableDelay(), [this, id = agent->self, next] {
        this->OnAgent(id,
                      [next](Agent& known) { known.ledger->ApplyTable(next); });
      });
    }
    for (Entry& entry : this->entries) {
      this->At(this->TableDelay(), [&entry, next] {
        entry.table = std::max(entry.table, next, [](auto& one, auto& other) {
          return one.version < other.version;
        });
      });
    }
  }
  Duration TableDelay() {
    return this->Chance(0.1) ? this->Between(500, 3000) : this->Between(1, 100);
  }

  // Callers.
  void Arrive() {
    if (this->Finished()) {
      return;
    }
    ++this->counts.requests;
    Request request;
    const uint64_t version = this->entries[0].table.version;
    if (version > 0 && this->Chance(0.7)) {
      // Callers may use a cached id prefix that is a version old.
      request.id = this->MakeId(
          version - std::min<uint64_t>(version - 1, this->random.Below(3) / 2));
      request.numbered = this->Chance(0.8);
    }
    this->requests.push_back(request);
    const size_t index = this->requests.size() - 1;
    this->Attempt(index);
    this->At(std::chrono::microseconds(this->random.Below(1000)),
             [this] { this->Arrive(); });
  }

  RequestId MakeId(uint64_t version) {
    // Issuers' clocks differ by up to 200 ms.
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->now.time_since_epoch() + this->Between(1000, 1200));
    return RequestId::Make(version, wall, this->random);
  }

  void Attempt(size_t index) {
    Request& request = this->requests[index];
    ++request.attempts;
    this->counts.repeats += request.attempts > 1;
    const size_t entry = this->random.Below(kEntries);
    const uint32_t number = request.numbered ? request.attempts : 0;
    this->Send([this, entry, index, number,
                id = request.id] { this->OnCaller(entry, index, number, id); },
               this->options.duplicate_callers);
    // A caller without an id of its own cannot repeat the request safely.
    if (request.id && request.attempts < 4) {
      this->At(this->Between(50, 1000), [this, index] {
        if (!this->requests[index].settled) {
          this->Attempt(index);
        }
      });
    }
  }

  // Entries.
  void OnCaller(size_t at,
                size_t index,
                uint32_t number,
                const std::optional<RequestId>& id) {
    Entry& entry = this->entries[at];
    Pending pending{index, id ? number : kGeneratedId, {}, !id};
    pending.id = id ? *id : this->MakeId(entry.table.version);
    const uint64_t key = ++this->next_number;
    entry.pending.emplace(key, pending);
    if (this->Chance(this->options.entry_refusals)) {
      this->RefuseAtEntry(at, key);
      return;
    }
    this->SendWork(at, key, entry.table.slots[pending.id.Slot()].owner);
  }

  void SendWork(size_t at, uint64_t key, InstanceId to) {
    const auto found = this->entries[at].pending.find(key);
    if (found == this->entries[at].pending.end()) {
      return;
    }
    Pending& pending = found->second;
    if (pending.entry_attempt >= 4 || to == InstanceId{}) {
      this->RefuseAtEntry(at, key);
      return;
    }
    const uint32_t entry_attempt = ++pending.entry_attempt;
    ++pending.frames_unanswered;
    pending.waiting = true;
    const AttemptNumber attempt =
        MakeAttempt(pending.caller_attempt, entry_attempt);
    this->Send([this, to, id = pending.id, attempt,
                reply = ReplyTo{at, key, entry_attempt}] {
      this->OnAgent(to, [this, id, attempt, reply](Agent& agent) {
        this->OnWork(agent, id, attempt, reply);
      });
    });
    this->At(400 * kStep, [this, at, key, entry_attempt] {
      const auto waiting = this->entries[at].pending.find(key);
      if (waiting != this->entries[at].pending.end() &&
          waiting->second.entry_attempt == entry_attempt) {
        this->RefuseAtEntry(at, key);
      }
    });
  }

  void RefuseAtEntry(size_t at, uint64_t key) {
    const Pending& pending = this->entries[at].pending.at(key);
    const Verdict verdict =
        this->options.check_entry_verdict
            ? RefusalVerdict({pending.generated, pending.caller_attempt,
                              pending.frames_unanswered,
                              pending.frames_redirected})
            : Verdict::kNotRun;
    this->Respond(at, key, verdict);
  }

  void OnReply(const ReplyTo& to, Reply reply, InstanceId moved_to) {
    const auto found = this->entries[to.entry].pending.find(to.number);
    if (found == this->entries[to.entry].pending.end() ||
        found->second.entry_attempt != to.entry_attempt ||
        !found->second.waiting) {
      return;
    }
    found->second.waiting = false;
    --found->second.frames_unanswered;
    switch (reply) {
      case Reply::kAnswer:
        this->Respond(to.entry, to.number, Verdict::kRan);
        break;
      case Reply::kNotRun:
        this->Respond(to.entry, to.number, Verdict::kNotRun);
        break;
      case Reply::kMayHaveRun:
        this->Respond(to.entry, to.number, Verdict::kMayHaveRun);
        break;
      case Reply::kBehind: {
        ++found->second.frames_redirected;
        const InstanceId owner =
            this->entries[to.entry].table.slots[found->second.id.Slot()].owner;
        this->At(20 * kStep, [this, to, owner] {
          this->SendWork(to.entry, to.number, owner);
        });
        break;
      }
      case Reply::kMoved:
        ++found->second.frames_redirected;
        this->SendWork(to.entry, to.number, moved_to);
        break;
    }
  }

  void Respond(size_t at, uint64_t key, Verdict verdict) {
    const Pending pending = this->entries[at].pending.at(key);
    this->entries[at].pending.erase(key);
    GroundTruth& truth = this->truths[pending.id.ToString()];
    switch (verdict) {
      case Verdict::kRan:
        ++this->counts.answered;
        this->requests[pending.request].settled = true;
        break;
      case Verdict::kMayHaveRun:
        ++this->counts.may_have_run;
        break;
      case Verdict::kNotRun: {
        ++this->counts.not_run;
        const uint32_t closes =
            pending.caller_attempt == 0 ? UINT32_MAX : pending.caller_attempt;
        this->counts.false_not_run +=
            truth.runs > 0 && truth.run_attempt <= closes;
        truth.closed = std::max(truth.closed.value_or(0), closes);
        break;
      }
    }
  }

  // Agents.
  void OnWork(Agent& agent,
              const RequestId& id,
              AttemptNumber attempt,
              const ReplyTo& reply) {
    RequestId seen = id;
    if (!this->options.check_versions &&
        agent.ledger->newest_table().slots[id.Slot()].owner == agent.self) {
      seen.table_version = agent.ledger->table_version();
    }
    if (!this->options.keep_records) {
      seen.issued_at += std::chrono::milliseconds(++this->next_number);
    }
    AttemptNumber seen_attempt = attempt;
    if (!this->options.close_refused_attempts) {
      seen_attempt = static_cast<AttemptNumber>(++this->next_number) + 1000;
    }
    const BeginOutcome outcome =
        agent.ledger->Begin(seen, seen_attempt, this->now);
    if (outcome.result == BeginResult::kRun) {
      this->Admit(agent, {id, seen, attempt, {reply}});
    } else if (outcome.result == BeginResult::kDuplicateRunning) {
      agent.jobs.at(agent.job_of_id.at(seen.ToString()))
          .waiters.push_back(reply);
    } else {
      static const std::map<BeginResult, Reply> replies = {
          {BeginResult::kAnswered, Reply::kAnswer},
          {BeginResult::kBehind, Reply::kBehind},
          {BeginResult::kMayHaveRun, Reply::kMayHaveRun},
          {BeginResult::kMoved, Reply::kMoved},
          {BeginResult::kNotRun, Reply::kNotRun}};
      this->SendReply(reply, replies.at(outcome.result), outcome.moved_to);
    }
  }

  void SendReply(const ReplyTo& to, Reply reply, InstanceId moved_to = {}) {
    this->Send(
        [this, to, reply, moved_to] { this->OnReply(to, reply, moved_to); });
  }

  void Admit(Agent& agent, Job job) {
    const uint64_t local = ++this->next_number;
    agent.job_of_id[job.ledger_id.ToString()] = local;
    agent.jobs.emplace(local, std::move(job));
    const AdmissionOutcome outcome =
        agent.admission.Offer({local, WorkspaceName(std::to_string(local % 5)),
                               Priority::kNormal, this->now + 300 * kStep},
                              this->now);
    if (outcome.decision == AdmissionDecision::kRun) {
      this->Dispatch(agent, local);
    } else if (outcome.decision == AdmissionDecision::kRefused) {
      this->Release(agent, local);
    }
    if (outcome.displaced) {
      this->Release(agent, *outcome.displaced);
    }
  }

  void Perform(Agent& agent, const AdmissionActions& actions) {
    for (const uint64_t local : actions.refused) {
      this->Release(agent, local);
    }
    for (const uint64_t local : actions.run) {
      this->Dispatch(agent, local);
    }
  }

  void Release(Agent& agent, uint64_t local) {
    agent.ledger->ReleaseNotRun(agent.jobs.at(local).ledger_id);
    this->EndJob(agent, local, Reply::kNotRun);
  }

  void EndJob(Agent& agent, uint64_t local, Reply reply) {
    const auto job = agent.jobs.extract(local);
    agent.job_of_id.erase(job.mapped().ledger_id.ToString());
    for (const ReplyTo& waiter : job.mapped().waiters) {
      this->SendReply(waiter, reply);
    }
  }

  // Sends a request to the target, which runs it even if the agent crashes or
  // pauses meanwhile.
  void Dispatch(Agent& agent, uint64_t local) {
    const Job& job = agent.jobs.at(local);
    const bool reached = !this->Chance(0.005);
    const bool fails = this->Chance(0.01);
    const Duration takes = this->Between(2, 20);
    if (reached && (!fails || this->Chance(0.5))) {
      this->At(takes / 2, [this, id = job.id, attempt = job.attempt] {
        this->Execute(id, attempt);
      });
    }
    this->At(takes, [this, self = agent.self, local, reached, fails] {
      this->OnAgent(self, [this, local, reached, fails](Agent& owner) {
        const RequestId id = owner.jobs.at(local).ledger_id;
        if (!reached) {
          this->Release(owner, local);
        } else if (fails) {
          owner.ledger->FinishUnknown(id, this->now);
          this->EndJob(owner, local, Reply::kMayHaveRun);
        } else {
          owner.ledger->Finish(id, {200, "text/plain", "done"}, this->now);
          this->EndJob(owner, local, Reply::kAnswer);
        }
        this->Perform(owner, owner.admission.OnFinished(local, !fails,
                                                        this->now, reached));
      });
    });
  }

  void Execute(const RequestId& id, AttemptNumber attempt) {
    GroundTruth& truth = this->truths[id.ToString()];
    ++this->counts.runs;
    this->counts.run_twice += ++truth.runs > 1;
    truth.run_attempt = attempt;
    this->counts.false_not_run += truth.closed && attempt <= *truth.closed;
  }

  const SimulationOptions options;
  uint64_t next_number = 0;
  SlotTable stored;
  std::map<uint64_t, std::unique_ptr<Agent>> agents;
  std::vector<Entry> entries;
  std::vector<Request> requests;
  std::unordered_map<std::string, GroundTruth> truths;
};

}  // namespace celerypost

#endif  // TESTS_REQUEST_SERVING_SIMULATION_H_
