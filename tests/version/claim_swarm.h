#ifndef TESTS_VERSION_CLAIM_SWARM_H_
#define TESTS_VERSION_CLAIM_SWARM_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/process/state/beat_schedule.h"
#include "src/version/chunk_planner.h"
#include "src/version/stager_planning.h"
#include "tests/process/weight_swarm.h"

namespace celerypost {

struct ClaimSwarmOptions {
  size_t agents = 88;
  size_t regions = 3;
  size_t chunks = 96;
  uint64_t chunk_bytes = 24576;
  // Rates of each agent's link and of the origin's, in bytes per second.
  double link_rate = 7.3e6 / 8;
  double origin_rate = 7.3e6 / 8;
  milliseconds near_latency{1};
  milliseconds far_latency{4};
  StagerUploadOptions uploads;
  ClaimOptions claims;
  uint64_t seed = 1;
};

// Stagers of several regions that fetch one version under virtual time, over
// links that carry one transfer after the other. Each uses a planner with the
// options of a real stager.
class ClaimSwarm {
 public:
  explicit ClaimSwarm(ClaimSwarmOptions options)
      : options(options), random(options.seed) {
    this->origin.rate = options.origin_rate;
    this->goal.set = Digest::Of("m/2");
    this->goal.all_chunks_listed = true;
    for (size_t i = 0; i < options.chunks; ++i) {
      ChunkRef chunk;
      chunk.digest = Digest::Of("chunk " + std::to_string(i));
      this->goal.chunks.push_back(chunk);
    }
    for (size_t i = 0; i < options.agents; ++i) {
      auto agent = std::make_unique<Agent>();
      agent->region = i % options.regions;
      agent->down.rate = agent->up.rate = options.link_rate;
      agent->planner = std::make_unique<ChunkPlanner>(
          StagerPlannerOptions(InstanceId{i + 1}, Region(agent->region)),
          MakeClaimStrategy(options.claims), this->random);
      this->agents.push_back(std::move(agent));
    }
    std::vector<FetchMember> members;
    for (size_t i = 0; i < this->agents.size(); ++i) {
      members.push_back({InstanceId{i + 1}, Region(this->agents[i]->region)});
    }
    this->roles = AssignFetchRoles(options.claims.roles,
                                   this->goal.chunks.front().digest, members);
    for (size_t i = 0; i < this->agents.size(); ++i) {
      for (size_t j = 0; j < this->agents.size(); ++j) {
        if (i != j) {
          this->agents[i]->planner->OnPeer({InstanceId{j + 1}, ZoneName("z"),
                                            Region(this->agents[j]->region)},
                                           this->time.Now());
        }
      }
    }
  }

  // Runs until all agents hold the version; returns the times at which they do,
  // in ascending order.
  std::vector<milliseconds> Run(milliseconds limit) {
    const TimePoint start = this->time.Now();
    for (size_t i = 0; i < this->agents.size(); ++i) {
      // The agents learn of the version within the first 100 ms.
      this->time.After(milliseconds(this->random() % 100), [this, i] {
        this->agents[i]->planner->SetGoal(this->goal, this->time.Now());
        this->Beat(i);
        this->Fetch(i);
      });
    }
    this->time.RunUntil(
        [this] { return this->complete == this->agents.size(); }, limit);
    std::vector<milliseconds> times;
    for (const auto& agent : this->agents) {
      times.push_back(std::chrono::duration_cast<milliseconds>(
          (agent->complete_at ? *agent->complete_at : this->time.Now()) -
          start));
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  double OriginCopies() const {
    return static_cast<double>(this->origin_chunks) /
           static_cast<double>(this->options.chunks);
  }
  size_t refused = 0;
  size_t far_beats = 0;

 private:
  // How often an agent asks its planner for fetches when no event occurs.
  static constexpr milliseconds kStep{100};

  struct Agent {
    size_t region = 0;
    FakeLink down;
    FakeLink up;
    std::unique_ptr<ChunkPlanner> planner;
    StagerBeats beats{{}};
    std::optional<TimePoint> complete_at;
    bool step_scheduled = false;
    bool beat_scheduled = false;
    TimePoint last_beat{};
    size_t uploading = 0;
    // Queued requests: the agent that asks and the fetch.
    std::deque<std::pair<size_t, FetchAction>> waiting;
  };

  static RegionName Region(size_t number) {
    return RegionName("region-" + std::to_string(number));
  }
  milliseconds Latency(size_t a, size_t b) const {
    return this->agents[a]->region == this->agents[b]->region
               ? this->options.near_latency
               : this->options.far_latency;
  }

  void Fetch(size_t i) {
    const PlannerActions actions =
        this->agents[i]->planner->Next(this->time.Now(), {});
    for (const FetchAction& action : actions.fetch) {
      if (action.source.origin || action.crosses_regions) {
        this->agents[i]->beats.NoteFarNews();
        this->BeatSoon(i);
      }
      if (action.source.origin) {
        ++this->origin_chunks;
        const TimePoint sent =
            this->origin.Carry(this->time.Now() + this->options.far_latency,
                               this->options.chunk_bytes);
        this->Deliver(i, action, sent + this->options.far_latency);
      } else {
        const size_t holder = action.source.peer.value - 1;
        this->time.After(this->Latency(i, holder), [this, i, holder, action] {
          this->RequestChunk(holder, i, action);
        });
      }
    }
    if (!this->agents[i]->complete_at && !this->agents[i]->step_scheduled) {
      this->agents[i]->step_scheduled = true;
      this->time.After(kStep, [this, i] { this->Step(i); });
    }
  }
  void Step(size_t i) {
    this->agents[i]->step_scheduled = false;
    this->Fetch(i);
  }

  void RequestChunk(size_t holder, size_t asker, const FetchAction& action) {
    Agent& agent = *this->agents[holder];
    if (agent.waiting.size() >= this->options.uploads.max_waiting) {
      ++this->refused;
      this->time.After(this->Latency(holder, asker), [this, asker, action] {
        this->End(asker, action, FetchOutcome::kRefused);
      });
      return;
    }
    agent.waiting.emplace_back(asker, action);
    this->Upload(holder);
  }
  void Upload(size_t holder) {
    Agent& agent = *this->agents[holder];
    while (agent.uploading < this->options.uploads.max_concurrent &&
           !agent.waiting.empty()) {
      const auto [asker, action] = agent.waiting.front();
      agent.waiting.pop_front();
      ++agent.uploading;
      const TimePoint sent =
          agent.up.Carry(this->time.Now(), this->options.chunk_bytes);
      this->time.At(sent, [this, holder] {
        --this->agents[holder]->uploading;
        this->Upload(holder);
      });
      this->Deliver(asker, action, sent + this->Latency(holder, asker));
    }
  }
  // A link forwards bytes as they arrive, so a chunk that is not queued behind
  // another one arrives shortly after it was sent.
  void Deliver(size_t i, const FetchAction& action, TimePoint arrives) {
    FakeLink& down = this->agents[i]->down;
    const auto transfer_time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(this->options.chunk_bytes) / down.rate));
    const TimePoint done =
        down.Carry(arrives - transfer_time, this->options.chunk_bytes);
    this->time.At(done, [this, i, action] {
      this->End(i, action, FetchOutcome::kStored);
    });
  }
  void End(size_t i, const FetchAction& action, FetchOutcome outcome) {
    Agent& agent = *this->agents[i];
    agent.planner->OnChunk(action.chunk.digest, action.source, outcome,
                           this->time.Now());
    if (agent.planner->complete() && !agent.complete_at) {
      agent.complete_at = this->time.Now();
      ++this->complete;
    }
    if (outcome == FetchOutcome::kStored) {
      if (action.source.origin || action.crosses_regions) {
        agent.beats.NoteFarNews();
      }
      this->BeatSoon(i);
    }
    this->Fetch(i);
  }
  void BeatSoon(size_t i) {
    Agent& agent = *this->agents[i];
    const size_t near = this->agents.size() / this->options.regions;
    const TimePoint next = agent.last_beat + agent.beats.MinGap(near);
    if (next <= this->time.Now()) {
      this->Beat(i);
    } else if (!agent.beat_scheduled) {
      agent.beat_scheduled = true;
      this->time.At(next, [this, i] {
        this->agents[i]->beat_scheduled = false;
        this->Beat(i);
      });
    }
  }
  void Beat(size_t i) {
    Agent& agent = *this->agents[i];
    agent.last_beat = this->time.Now();
    agent.beats.Begin(false, !agent.complete_at, this->time.Now());
    const HaveAnnouncement have = agent.planner->Have();
    for (size_t j = 0; j < this->agents.size(); ++j) {
      const bool near = this->agents[j]->region == agent.region;
      const bool sends =
          near ? agent.beats.ShouldSendTo({true, true, NodeRole::kStager})
               : agent.beats.ReachesFarFetchers() &&
                     this->roles.NeedsFarNews(InstanceId{j + 1});
      if (j == i || !sends) {
        continue;
      }
      this->far_beats += near ? 0 : 1;
      this->time.After(this->Latency(i, j), [this, i, j, have] {
        this->agents[j]->planner->OnHave(InstanceId{i + 1}, have,
                                         this->time.Now());
        this->Fetch(j);
      });
    }
  }

  ClaimSwarmOptions options;
  std::mt19937_64 random;
  Timeline time;
  FakeLink origin;
  ChunkGoal goal;
  std::vector<std::unique_ptr<Agent>> agents;
  FetchRoles roles;
  size_t complete = 0;
  size_t origin_chunks = 0;
};

}  // namespace celerypost

#endif  // TESTS_VERSION_CLAIM_SWARM_H_
