#include "tests/request/crash_fleet.h"

#include <iterator>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBeatPeriod{100};
constexpr milliseconds kFarNewsPeriod{250};
constexpr milliseconds kSurvivalTime{250};
constexpr milliseconds kEventPeriod{80};
constexpr milliseconds kDownTime{3000};
// A gateway that has just started may send what others block.
constexpr milliseconds kLearnTime{1200};

}  // namespace

CrashFleet::CrashFleet(CrashFleetSize size, uint64_t seed)
    : size(size), random(seed), targets(size.targets) {
  double total = 0;
  for (size_t i = 0; i < kFirstParts; ++i) {
    total += 1.0 / static_cast<double>(i + 1);
    this->popularity.push_back(total);
  }
  for (Target& target : this->targets) {
    target.target_start = this->next_target_start++;
  }
  this->gateways.resize(size.gateways);
  for (size_t i = 0; i < size.gateways; ++i) {
    this->RunGateway(i);
  }
  for (const Gateway& gateway : this->gateways) {
    gateway.guard->SetGateways(this->NamesOfRunning());
    gateway.request_guard->SetGateways(this->NamesOfRunning());
  }
  this->AtMicros(this->Between(1, 10), [this] { this->Arrive(); });
}

void CrashFleet::Run(milliseconds time) {
  const TimePoint end = this->now + time;
  while (!this->events.empty() && this->events.top().at <= end) {
    // Copied because top() is const; removed first because the action may add
    // events.
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  this->now = end;
}

void CrashFleet::Repeat(milliseconds period, std::function<bool()> action) {
  this->At(period, [this, period, action = std::move(action)] {
    if (action()) {
      this->Repeat(period, action);
    }
  });
}

void CrashFleet::OnGateway(size_t gateway,
                           uint32_t generation,
                           const std::function<void()>& action) {
  const Gateway& state = this->gateways[gateway];
  if (state.generation != generation || !state.guard) {
    return;
  }
  if (state.paused_until > this->now) {
    this->events.push({state.paused_until, this->sequence++,
                       [this, gateway, generation, action] {
                         this->OnGateway(gateway, generation, action);
                       }});
    return;
  }
  action();
}

void CrashFleet::AddSource(Source source) {
  this->sources.push_back(source);
  if (source.period.count() > 0) {
    this->Repeat(source.period, [this, source] {
      std::vector<PartHash> parts{this->DrawFirstPart()};
      parts.insert(parts.end(), source.parts.begin(), source.parts.end());
      this->Submit(parts);
      return true;
    });
  }
}

PartHash CrashFleet::DrawFirstPart() {
  const double drawn = this->random.Unit() * this->popularity.back();
  return 1000 +
         static_cast<PartHash>(std::lower_bound(this->popularity.begin(),
                                                this->popularity.end(), drawn) -
                               this->popularity.begin());
}

// Half of the capacity.
void CrashFleet::Arrive() {
  const double rate = 3.3 * static_cast<double>(this->size.targets);
  const double wait = -std::log(1 - this->random.Unit()) / rate;
  this->AtMicros(std::chrono::microseconds(static_cast<int64_t>(wait * 1e6)),
                 [this] { this->Arrive(); });
  std::vector<PartHash> parts{this->DrawFirstPart()};
  if (parts[0] % 3 == 1) {
    for (const Source& source : this->sources) {
      if (source.share > 0 && this->Chance(source.share)) {
        // Most of them are of one caller.
        if (this->Chance(0.7)) {
          parts[0] = 1000 + 3 * (source.parts[0] % 20);
        }
        parts.insert(parts.end(), source.parts.begin(), source.parts.end());
        break;
      }
    }
  }
  if (this->Chance(0.2)) {
    parts.push_back(10000 + ++this->sessions / 4 + this->random.Below(20));
  }
  this->Submit(parts);
}

void CrashFleet::AddRequest(const RepeatedRequest& request) {
  this->judges_requests = true;
  this->AtMicros(this->Between(0, static_cast<int>(2 * request.period.count())),
                 [this, request] {
                   const auto attempt = std::make_shared<Attempt>();
                   attempt->gateway = this->random.Below(this->gateways.size());
                   attempt->parts = request.parts;
                   attempt->fingerprint = request.fingerprint;
                   attempt->resumable = request.repeatable;
                   this->Submit(attempt);
                   this->AddRequest(request);
                 });
}

std::vector<PartHash> CrashFleet::RequestOf(const Attempt& attempt) const {
  return this->judges_requests ? std::vector<PartHash>{attempt.fingerprint}
                               : std::vector<PartHash>();
}

void CrashFleet::Submit(const std::vector<PartHash>& parts) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->gateway = this->random.Below(this->gateways.size());
  attempt->parts = parts;
  attempt->fingerprint = this->next_fingerprint++;
  attempt->resumable = this->Chance(0.7);
  this->Submit(attempt);
}

void CrashFleet::Submit(const AttemptPtr& attempt) {
  attempt->generation = this->gateways[attempt->gateway].generation;
  this->OnGateway(attempt->gateway, attempt->generation,
                  [this, attempt] { this->Dispatch(attempt); });
}

void CrashFleet::Dispatch(const AttemptPtr& attempt) {
  const Gateway& gateway = this->gateways[attempt->gateway];
  if (!gateway.request_guard->MaySend(this->RequestOf(*attempt), this->now) ||
      !gateway.guard->MaySend(attempt->parts, this->now)) {
    return;
  }
  std::vector<size_t> candidates;
  for (size_t i = 0; i < this->targets.size(); ++i) {
    if (this->targets[i].up) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const auto load = [&](size_t target) {
    return this->targets[target].running.size() +
           this->targets[target].waiting.size();
  };
  const size_t first = candidates[this->random.Below(candidates.size())];
  const size_t second = candidates[this->random.Below(candidates.size())];
  attempt->target = load(first) <= load(second) ? first : second;
  if (load(attempt->target) >= 2 * kSlots) {
    return;
  }
  Target& target = this->targets[attempt->target];
  attempt->target_start = target.target_start;
  target.waiting.push_back(attempt);
  if (this->now - gateway.started_at > kLearnTime) {
    for (const PartHash part : attempt->parts) {
      if (this->deadly.contains(part)) {
        this->sends[part].at.push_back(this->now);
      }
    }
    if (this->deadly_requests.contains(attempt->fingerprint)) {
      this->request_sends[attempt->fingerprint].at.push_back(this->now);
    }
  }
  this->StartWaiting(attempt->target);
}

void CrashFleet::StartWaiting(size_t index) {
  Target& target = this->targets[index];
  while (target.up && target.running.size() < kSlots &&
         !target.waiting.empty()) {
    const AttemptPtr attempt = target.waiting.front();
    target.waiting.pop_front();
    target.running.push_back(attempt);
    if (this->broken_share.contains(index) &&
        this->Chance(this->broken_share[index])) {
      this->AtMicros(this->Between(50, 200), [this, attempt] {
        this->Leave(attempt);
        this->OnEnd(attempt, /*broken=*/true);
      });
    } else {
      this->AtMicros(this->Between(200, 400),
                     [this, attempt] { this->OnFirstToken(attempt); });
    }
  }
}

void CrashFleet::Leave(const AttemptPtr& attempt) {
  if (!attempt->left) {
    attempt->left = true;
    std::erase(this->targets[attempt->target].running, attempt);
    std::erase(this->targets[attempt->target].waiting, attempt);
    this->StartWaiting(attempt->target);
  }
}

void CrashFleet::OnFirstToken(const AttemptPtr& attempt) {
  if (attempt->left) {
    return;
  }
  bool crashes = false;
  for (const PartHash part : attempt->parts) {
    if (this->deadly.contains(part)) {
      this->sends[part].crashes.push_back(this->now);
      crashes = true;
    }
  }
  if (this->deadly_requests.contains(attempt->fingerprint)) {
    this->request_sends[attempt->fingerprint].crashes.push_back(this->now);
    crashes = true;
  }
  if (crashes) {
    this->Crash(attempt->target, kDownTime);
    return;
  }
  this->OnGateway(attempt->gateway, attempt->generation, [this, attempt] {
    attempt->first_event_at = this->now;
    this->CheckSurvival(attempt);
  });
  this->AtMicros(this->Between(100, 1700), [this, attempt] {
    if (!attempt->left) {
      this->Leave(attempt);
      this->OnEnd(attempt, /*broken=*/false);
    }
  });
}

void CrashFleet::CheckSurvival(const AttemptPtr& attempt) {
  if (attempt->ended) {
    return;
  }
  if (this->now - attempt->first_event_at >= kSurvivalTime) {
    attempt->survived = true;
    const Gateway& gateway = this->gateways[attempt->gateway];
    gateway.guard->OnSurvived(attempt->parts, this->now);
    gateway.request_guard->OnSurvived(this->RequestOf(*attempt), this->now);
    return;
  }
  this->At(kEventPeriod, [this, attempt] {
    // The event that the target sends now is read when the gateway runs.
    if (!attempt->left) {
      this->OnGateway(attempt->gateway, attempt->generation,
                      [this, attempt] { this->CheckSurvival(attempt); });
    }
  });
}

void CrashFleet::OnEnd(const AttemptPtr& attempt, bool broken) {
  this->AtMicros(this->Between(1, 5), [this, attempt, broken] {
    this->OnGateway(
        attempt->gateway, attempt->generation, [this, attempt, broken] {
          CrashGuard& guard = *this->gateways[attempt->gateway].guard;
          CrashGuard& request_guard =
              *this->gateways[attempt->gateway].request_guard;
          const std::vector<PartHash> request = this->RequestOf(*attempt);
          if (attempt->ended) {
            return;
          }
          attempt->ended = true;
          this->answered += broken ? 0 : 1;
          if (!attempt->survived) {
            if (broken) {
              guard.OnBroken(attempt->parts, attempt->target_start, this->now);
              request_guard.OnBroken(request, attempt->target_start, this->now);
            } else {
              guard.OnSurvived(attempt->parts, this->now);
              request_guard.OnSurvived(request, this->now);
            }
          }
          if (broken && attempt->resumable && attempt->number == 1 &&
              guard.MayRepeat(attempt->parts, this->now) &&
              request_guard.MayRepeat(request, this->now)) {
            const auto repeat = std::make_shared<Attempt>();
            repeat->gateway = attempt->gateway;
            repeat->generation = attempt->generation;
            repeat->parts = attempt->parts;
            repeat->fingerprint = attempt->fingerprint;
            repeat->number = 2;
            this->Dispatch(repeat);
          }
        });
  });
}

void CrashFleet::Crash(size_t index, milliseconds down) {
  Target& target = this->targets[index];
  if (!target.up) {
    return;
  }
  ++this->crashes;
  target.up = false;
  std::vector<AttemptPtr> broken(target.running.begin(), target.running.end());
  broken.insert(broken.end(), target.waiting.begin(), target.waiting.end());
  target.running.clear();
  target.waiting.clear();
  for (const AttemptPtr& attempt : broken) {
    attempt->left = true;
    this->OnEnd(attempt, /*broken=*/true);
  }
  this->At(down, [this, index] {
    this->targets[index].up = true;
    this->targets[index].target_start = this->next_target_start++;
  });
}

void CrashFleet::ResetConnections(size_t index, double share) {
  Target& target = this->targets[index];
  std::vector<AttemptPtr> open(target.running.begin(), target.running.end());
  open.insert(open.end(), target.waiting.begin(), target.waiting.end());
  for (const AttemptPtr& attempt : open) {
    if (this->Chance(share)) {
      this->Leave(attempt);
      this->OnEnd(attempt, /*broken=*/true);
    }
  }
}

void CrashFleet::StartGateway(size_t index) {
  this->RunGateway(index);
  this->AnnounceGateways();
}

void CrashFleet::RunGateway(size_t index) {
  Gateway& gateway = this->gateways[index];
  ++gateway.generation;
  gateway.paused_until = {};
  gateway.started_at = this->now;
  gateway.next_far_news = {};
  gateway.guard = std::make_unique<CrashGuard>(
      CrashGuardOptions{}, "gateway-" + std::to_string(index),
      [this](const QuarantineRecord& record, size_t) {
        if (record.lifted) {
          return;
        }
        this->first_quarantine.try_emplace(record.part, this->now);
        if (!this->deadly.contains(record.part)) {
          this->wrongly_quarantined.insert(record.part);
        }
      });
  gateway.request_guard = std::make_unique<CrashGuard>(
      WholeRequestGuardOptions(), "gateway-" + std::to_string(index),
      [this](const QuarantineRecord& record, size_t) {
        if (!record.lifted && !this->deadly_requests.contains(record.part)) {
          this->wrongly_quarantined_requests.insert(record.part);
        }
      });
  const uint32_t generation = gateway.generation;
  this->AtMicros(this->Between(0, 100), [this, index, generation] {
    this->OnGateway(index, generation, [this, index] { this->Beat(index); });
  });
}

void CrashFleet::StopGateway(size_t index) {
  this->gateways[index].guard.reset();
  this->gateways[index].request_guard.reset();
  ++this->gateways[index].generation;
  this->AnnounceGateways();
}

void CrashFleet::Pause(size_t gateway, milliseconds time) {
  this->gateways[gateway].paused_until = this->now + time;
}

void CrashFleet::AnnounceGateways() {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    this->AtMicros(this->Between(0, 1000), [this, i] {
      if (this->gateways[i].guard) {
        this->gateways[i].guard->SetGateways(this->NamesOfRunning());
        this->gateways[i].request_guard->SetGateways(this->NamesOfRunning());
      }
    });
  }
}

std::vector<std::string> CrashFleet::NamesOfRunning() const {
  std::vector<std::string> names;
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    if (this->gateways[i].guard) {
      names.push_back("gateway-" + std::to_string(i));
    }
  }
  return names;
}

std::vector<size_t> CrashFleet::RunningIn(size_t region) const {
  std::vector<size_t> running;
  for (size_t i = region; i < this->gateways.size(); i += this->size.regions) {
    if (this->gateways[i].guard) {
      running.push_back(i);
    }
  }
  return running;
}

milliseconds CrashFleet::BeatPeriod(size_t region) const {
  return kBeatPeriod *
         std::max<int64_t>(
             1, static_cast<int64_t>(this->RunningIn(region).size() / 12));
}

void CrashFleet::Beat(size_t index) {
  Gateway& gateway = this->gateways[index];
  const size_t region = this->RegionOf(index);
  const std::vector<size_t> near = this->RunningIn(region);
  gateway.request_guard->Judge(this->now);
  gateway.guard->TakeExplanations(*gateway.request_guard);
  gateway.guard->Judge(this->now);
  std::vector<size_t> receivers = near;
  std::erase(receivers, index);
  for (const auto guard : {&Gateway::guard, &Gateway::request_guard}) {
    this->SendNews((gateway.*guard)->TakeNews(NewsScope::kRegion, this->now),
                   guard, NewsScope::kRegion, receivers);
  }
  const bool sends_far =
      index == near[0] || (near.size() > 1 && index == near[1]);
  if (sends_far && this->now >= gateway.next_far_news) {
    gateway.next_far_news = this->now + kFarNewsPeriod;
    receivers.clear();
    for (size_t other = 0; other < this->size.regions; ++other) {
      const std::vector<size_t> running = this->RunningIn(other);
      if (other != region && !running.empty()) {
        receivers.push_back(running[this->random.Below(running.size())]);
      }
    }
    for (const auto guard : {&Gateway::guard, &Gateway::request_guard}) {
      this->SendNews(
          (gateway.*guard)->TakeNews(NewsScope::kOtherRegions, this->now),
          guard, NewsScope::kOtherRegions, receivers);
    }
  }
  const uint32_t generation = gateway.generation;
  this->At(this->BeatPeriod(region), [this, index, generation] {
    this->OnGateway(index, generation, [this, index] { this->Beat(index); });
  });
}

void CrashFleet::SendNews(const CrashNews& news,
                          std::unique_ptr<CrashGuard> Gateway::*guard,
                          NewsScope scope,
                          const std::vector<size_t>& receivers) {
  if (news.empty()) {
    return;
  }
  this->max_accusations =
      std::max(this->max_accusations, news.accusations.size());
  this->max_survivals = std::max(this->max_survivals, news.survivals.size());
  this->max_quarantines =
      std::max(this->max_quarantines, news.quarantines.size());
  this->items_sent[std::chrono::duration_cast<std::chrono::seconds>(
                       this->now.time_since_epoch())
                       .count()] +=
      receivers.size() * (news.accusations.size() + news.survivals.size() +
                          news.quarantines.size());
  const auto shared = std::make_shared<const CrashNews>(news);
  for (const size_t receiver : receivers) {
    const auto deliver = [this, receiver, shared, guard, scope,
                          generation = this->gateways[receiver].generation] {
      this->OnGateway(receiver, generation,
                      [this, receiver, shared, guard, scope] {
                        (this->gateways[receiver].*guard)
                            ->OnNews(*shared, scope, this->now);
                      });
    };
    if (this->Chance(0.02)) {
      continue;
    }
    if (this->Chance(0.03)) {
      this->AtMicros(this->Between(20, 500), deliver);
    }
    this->AtMicros(
        this->Chance(0.02) ? this->Between(100, 500) : this->Between(1, 20),
        deliver);
  }
}

size_t CrashFleet::CountBlocking(PartHash part) const {
  size_t count = 0;
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    count += this->gateways[i].guard && this->Blocks(i, part) ? 1 : 0;
  }
  return count;
}

size_t CrashFleet::CountBlockingRequest(RequestFingerprint fingerprint) const {
  size_t count = 0;
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    count +=
        this->gateways[i].guard && this->BlocksRequest(i, fingerprint) ? 1 : 0;
  }
  return count;
}

size_t CrashFleet::CountRunning() const {
  return std::count_if(this->gateways.begin(), this->gateways.end(),
                       [](const Gateway& gateway) { return !!gateway.guard; });
}

size_t CrashFleet::CountLateSends(const Sends& sends,
                                  size_t crashes,
                                  milliseconds after) {
  if (sends.crashes.size() < crashes) {
    return 0;
  }
  const TimePoint from = sends.crashes[crashes - 1] + after;
  return std::count_if(sends.at.begin(), sends.at.end(),
                       [from](TimePoint at) { return at > from; });
}

size_t CrashFleet::LateSends(PartHash part, milliseconds after) const {
  const auto found = this->sends.find(part);
  return found == this->sends.end() ? 0
                                    : CountLateSends(found->second, 5, after);
}

size_t CrashFleet::LateRequestSends(RequestFingerprint fingerprint,
                                    milliseconds after) const {
  const auto found = this->request_sends.find(fingerprint);
  return found == this->request_sends.end()
             ? 0
             : CountLateSends(found->second, 3, after);
}

}  // namespace celerypost
