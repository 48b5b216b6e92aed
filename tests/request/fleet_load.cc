#include "tests/request/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <utility>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

double Count(milliseconds time) {
  return static_cast<double>(time.count());
}

TimePoint At(double now_ms) {
  return TimePoint(std::chrono::seconds(1000)) +
         milliseconds(static_cast<int64_t>(now_ms));
}

// A request at a target.
struct Work {
  size_t request = 0;
  size_t gateway = 0;
  int urgency = 5;
  double events_left = 0;
  bool had_event = false;
  double last_event_ms = 0;
};

struct LoadTarget {
  std::string id;
  // By urgency, then in the order of arrival.
  std::multimap<int, Work> waiting;
  std::vector<Work> running;
  double pass_ends_ms = 0;
  bool slow = false;
};

// Loads on their way from one gateway to the others.
struct LoadMessage {
  double arrives_ms = 0;
  size_t from = 0;
  std::vector<ReportedLoad> loads;
};

class Player {
 public:
  Player(const FleetLoadOptions& options, const FleetLoadHooks& hooks)
      : options(options),
        hooks(hooks),
        random(options.seed),
        workspaces(options.workspaces),
        shares(options.workspace_shares) {
    if (this->workspaces.empty()) {
      this->workspaces.emplace_back();
    }
    this->shares.resize(this->workspaces.size(), 1);
    for (const LoadKind& kind : options.kinds) {
      Route& route = this->routes.emplace_back();
      route.name = kind.name;
      route.kind = RouteKind::kStream;
      route.priority = kind.priority;
      route.latency_goal = kind.latency_goal;
      route.timeout = options.timeout;
      // Callers leave after eight times this.
      route.pause_goal = options.patience / 8;
    }
    for (size_t i = 0; i < options.targets; ++i) {
      this->targets.emplace_back().id = "target-" + std::to_string(i);
    }
    for (size_t i = 0; i < options.gateways; ++i) {
      this->gateways.push_back(
          std::make_unique<LoadGateway>(options.seed * 1000 + i));
      if (hooks.set_up) {
        hooks.set_up(*this->gateways.back(), i);
      }
    }
    this->next_arrivals.resize(options.kinds.size());
  }

  FleetLoadResult Play() {
    const double end = Count(this->options.duration);
    double next_report = 0;
    double next_slow = 0;
    for (double now = 0; now < end + Count(this->options.timeout); now += 1) {
      if (now >= next_slow) {
        next_slow += Count(this->options.slow_period);
        for (LoadTarget& target : this->targets) {
          const bool slow = this->random.Unit() < this->options.slow_share;
          if (this->hooks.slow && slow != target.slow) {
            this->hooks.slow(target.id, slow ? this->options.slow_factor : 1,
                             At(now));
          }
          target.slow = slow;
        }
      }
      for (LoadTarget& target : this->targets) {
        if (now >= target.pass_ends_ms) {
          this->Pass(target, now);
        }
      }
      if (now >= next_report) {
        next_report += Count(this->options.report_period);
        this->Report(now);
      }
      this->Deliver(now);
      for (size_t kind = 0; now < end && kind < this->routes.size(); ++kind) {
        this->Arrive(kind, now);
      }
      while (!this->returning.empty() &&
             this->returning.begin()->first <= now) {
        const size_t index = this->returning.begin()->second;
        this->returning.erase(this->returning.begin());
        this->Decide(index, now);
      }
    }
    return std::move(this->result);
  }

 private:
  double Draw(double mean) {
    return -mean * std::log(1 - this->random.Unit() * 0.999);
  }

  void Arrive(size_t index, double now) {
    const LoadKind& kind = this->options.kinds[index];
    const bool burst =
        now >= Count(kind.burst_from) && now < Count(kind.burst_until);
    const double rate = kind.per_second * (burst ? kind.burst : 1);
    double& next = this->next_arrivals[index];
    if (next == 0) {
      next = now + this->Draw(1000 / rate);
    }
    while (next <= now) {
      next += this->Draw(1000 / rate);
      LoadRequest request;
      request.kind = index;
      request.workspace = this->DrawWorkspace();
      request.prompt_tokens =
          std::clamp(this->Draw(kind.mean_prompt), 10.0, kind.max_prompt);
      request.events = std::ceil(std::clamp(this->Draw(kind.mean_events), 1.0,
                                            2.5 * kind.mean_events));
      request.arrived_ms = now;
      this->result.requests.push_back(request);
      this->Decide(this->result.requests.size() - 1, now);
    }
  }

  size_t DrawWorkspace() {
    double sum = 0;
    for (const double share : this->shares) {
      sum += share;
    }
    double point = this->random.Unit() * sum;
    for (size_t i = 0; i + 1 < this->shares.size(); ++i) {
      point -= this->shares[i];
      if (point < 0) {
        return i;
      }
    }
    return this->shares.size() - 1;
  }

  void Decide(size_t index, double now) {
    LoadRequest& request = this->result.requests[index];
    const size_t gateway_index =
        this->random.Below(static_cast<uint64_t>(this->gateways.size()));
    LoadGateway& gateway = *this->gateways[gateway_index];
    const Route& route = this->routes[request.kind];
    const double age = now - request.arrived_ms;
    AdmissionRequest decision;
    decision.service = this->service;
    decision.route = &route;
    decision.workspace = &this->workspaces[request.workspace];
    decision.placement.prompt_tokens = request.prompt_tokens;
    decision.placement.answer_tokens =
        request.events * this->options.rates.steps_per_pass;
    // A gateway does not know when a caller first came, unless a part under
    // test derives it from the time that is left.
    decision.placement.on_time_left = route.latency_goal;
    decision.placement.deadline_left =
        route.timeout - milliseconds(static_cast<int64_t>(age));
    decision.unseen_requests = this->UnseenRequests(gateway, now);
    if (this->hooks.prepare) {
      this->hooks.prepare(gateway_index, request, decision);
    }
    std::vector<PlacementCandidate> candidates;
    for (const LoadTarget& target : this->targets) {
      PlacementCandidate candidate;
      candidate.target = target.id;
      candidate.slots = this->options.rates.slots;
      candidate.same_zone = candidate.same_region = true;
      candidate.load = gateway.book.LoadOf(target.id, At(now));
      if (this->hooks.candidate) {
        this->hooks.candidate(gateway_index, candidate, At(now));
      }
      candidates.push_back(std::move(candidate));
    }
    const AdmissionDecision answer = gateway.admission->Decide(
        &this->options.rates, candidates, decision, At(now));
    if (!answer.placement.candidate) {
      this->Refuse(index, answer.placement.retry_after, now);
      return;
    }
    LoadTarget& target = this->targets[*answer.placement.candidate];
    if (target.waiting.size() >= this->options.target_queue) {
      this->Refuse(index, milliseconds(500), now);
      return;
    }
    request.predicted_ms = Count(answer.placement.predicted);
    request.first_event_ms = now;
    request.late_admission = answer.late;
    gateway.book.OnSent(target.id, request.prompt_tokens, At(now), answer.late);
    if (answer.late) {
      gateway.late.OnSent(this->service, At(now));
    }
    request.slowdown = candidates[*answer.placement.candidate].load.slowdown;
    const int urgency = answer.urgency.value_or(5);
    target.waiting.emplace(
        urgency, Work{index, gateway_index, urgency, request.events, false, 0});
  }

  // As TargetSelector derives it.
  double UnseenRequests(const LoadGateway& gateway, double now) const {
    size_t sent = 0;
    for (const LoadTarget& target : this->targets) {
      sent += gateway.book.SentInLastSecond(target.id, At(now));
    }
    return static_cast<double>(sent * (this->gateways.size() - 1)) /
           static_cast<double>(this->targets.size()) *
           Count(this->options.report_period) / 1000;
  }

  void Refuse(size_t index, milliseconds retry_after, double now) {
    LoadRequest& request = this->result.requests[index];
    request.outcome = LoadOutcome::kRefused;
    const double back = now + Count(retry_after);
    // Callers wait for up to a third of the time that they have left.
    const double left = request.arrived_ms + Count(this->options.timeout) - now;
    if (this->options.callers_return && !request.returned &&
        Count(retry_after) <= left / 3) {
      request.returned = true;
      this->returning.emplace(back, index);
    }
  }

  void Pass(LoadTarget& target, double now) {
    const double factor = target.slow ? this->options.slow_factor : 1;
    for (Work& work : target.running) {
      --work.events_left;
      if (!work.had_event) {
        this->OnFirstEvent(target, work, now);
      } else if (this->hooks.event) {
        const EngineLoad load =
            this->gateways[work.gateway]->book.LoadOf(target.id, At(now));
        this->hooks.event(work.gateway, target.id, now - work.last_event_ms,
                          std::min(load.in_flight, this->options.rates.slots),
                          At(now));
      }
      work.last_event_ms = now;
      if (work.events_left <= 0) {
        this->End(target, work, AttemptOutcome::kAnswered, now);
      }
    }
    std::erase_if(target.running,
                  [](const Work& work) { return work.events_left <= 0; });
    std::erase_if(target.waiting, [&](const auto& entry) {
      const Work& work = entry.second;
      const LoadRequest& request = this->result.requests[work.request];
      const bool gone =
          now - request.first_event_ms > Count(this->options.patience);
      if (gone) {
        this->result.requests[work.request].outcome = LoadOutcome::kLost;
        this->End(target, work, AttemptOutcome::kAbandoned, now);
      }
      return gone;
    });
    double reading = 0;
    const bool writes = !target.running.empty();
    while (target.running.size() < this->options.rates.slots &&
           !target.waiting.empty()) {
      const Work work = target.waiting.begin()->second;
      target.waiting.erase(target.waiting.begin());
      reading += ReadingTime(this->options.rates,
                             this->result.requests[work.request].prompt_tokens)
                     .count();
      target.running.push_back(work);
    }
    if (!target.running.empty()) {
      // A pass without a request that writes has one token step.
      const double steps =
          writes ? 1 : std::max(1u, this->options.rates.steps_per_pass);
      const double pass = PassTime(this->options.rates,
                                   static_cast<double>(target.running.size()))
                              .count() /
                          steps;
      target.pass_ends_ms = now + (reading + pass) * factor;
    }
  }

  void OnFirstEvent(const LoadTarget& target, Work& work, double now) {
    work.had_event = true;
    LoadRequest& request = this->result.requests[work.request];
    const bool on_time = now - request.arrived_ms <=
                         Count(this->options.kinds[request.kind].latency_goal);
    request.outcome = on_time ? LoadOutcome::kOnTime : LoadOutcome::kLate;
    LoadGateway& gateway = *this->gateways[work.gateway];
    gateway.book.OnFirstEvent(target.id, request.prompt_tokens,
                              request.late_admission);
    if (request.late_admission) {
      gateway.late.OnBegan(this->service, At(request.first_event_ms),
                           gateway.late.PatienceOf(this->routes[request.kind]),
                           At(now));
    }
    request.first_event_ms = now - request.first_event_ms;
    if (!request.late_admission) {
      gateway.errors.OnFirstEvent(
          this->service,
          milliseconds(static_cast<int64_t>(request.predicted_ms)),
          milliseconds(static_cast<int64_t>(request.first_event_ms)));
    }
    if (this->hooks.first_event) {
      this->hooks.first_event(work.gateway, target.id, request, At(now));
    }
  }

  void End(const LoadTarget& target,
           const Work& work,
           AttemptOutcome outcome,
           double now) {
    const LoadRequest& request = this->result.requests[work.request];
    LoadGateway& gateway = *this->gateways[work.gateway];
    gateway.book.OnEnd(target.id, request.prompt_tokens, work.had_event,
                       outcome, At(now), request.late_admission);
    if (request.late_admission && !work.had_event) {
      gateway.late.OnEnded(this->service, At(request.first_event_ms),
                           gateway.late.PatienceOf(this->routes[request.kind]),
                           At(now));
    }
  }

  void Report(double now) {
    for (size_t from = 0; from < this->gateways.size(); ++from) {
      this->messages.push_back({now + Count(this->options.report_delay), from,
                                this->gateways[from]->book.OwnLoads()});
    }
  }

  void Deliver(double now) {
    while (!this->messages.empty() &&
           this->messages.front().arrives_ms <= now) {
      const LoadMessage message = std::move(this->messages.front());
      this->messages.pop_front();
      for (size_t to = 0; to < this->gateways.size(); ++to) {
        if (to == message.from) {
          continue;
        }
        this->gateways[to]->book.OnReport(InstanceId{message.from + 1},
                                          message.loads,
                                          this->options.report_period, At(now));
        if (this->hooks.report) {
          this->hooks.report(message.from, to, At(now));
        }
      }
    }
  }

  const FleetLoadOptions& options;
  const FleetLoadHooks& hooks;
  SplitMixRandom random;
  ServiceName service{"model"};
  std::vector<Workspace> workspaces;
  std::vector<double> shares;
  // Addresses stay valid: decisions keep none.
  std::vector<Route> routes;
  std::vector<LoadTarget> targets;
  std::vector<std::unique_ptr<LoadGateway>> gateways;
  std::vector<double> next_arrivals;
  std::deque<LoadMessage> messages;
  // Refused requests by the time at which their callers come back.
  std::multimap<double, size_t> returning;
  FleetLoadResult result;
};

}  // namespace

LoadGateway::LoadGateway(uint64_t seed)
    : random(seed),
      policy(MakePredictivePolicy({}, random)),
      admission(
          std::make_unique<GatewayAdmission>(*policy, sizes, errors, ranks)) {}

double FleetLoadResult::Share(LoadOutcome outcome, const Filter& filter) const {
  size_t all = 0;
  size_t matching = 0;
  for (const LoadRequest& request : this->requests) {
    if (!filter || filter(request)) {
      ++all;
      matching += request.outcome == outcome ? 1 : 0;
    }
  }
  return static_cast<double>(matching) /
         static_cast<double>(std::max<size_t>(1, all));
}

double FleetLoadResult::Served(const Filter& filter) const {
  return this->Share(LoadOutcome::kOnTime, filter) +
         this->Share(LoadOutcome::kLate, filter);
}

FleetLoadResult PlayFleetLoad(const FleetLoadOptions& options,
                              const FleetLoadHooks& hooks) {
  return Player(options, hooks).Play();
}

}  // namespace celerypost
