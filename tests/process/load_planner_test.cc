#include "src/process/stager/load_planner.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Links, bound and size of a zone; see docs/hard-load.md.
struct Site {
  milliseconds copy_time;
  milliseconds origin_copy_time;
  milliseconds bound;
  uint32_t count;
};
constexpr Site kSiteS{milliseconds(4310), milliseconds(4310),
                      milliseconds(13400), 12};
constexpr Site kSiteA{milliseconds(2210), milliseconds(1700),
                      milliseconds(8000), 14};
constexpr milliseconds kLoadTime{300};
constexpr milliseconds kTick{10};

// The targets of one zone and their stagers' planners, under virtual time. They
// serve version 1; version 2 is named at 0. Copies are staged evenly within 0.7
// to 1 times the estimated time, targets of lower rank first. When the origin
// does not answer, a version goes on arriving only after its last chunk has
// left the origin.
class PlannedZone {
 public:
  explicit PlannedZone(const Site& site)
      : site(site),
        log(
            LogOptions{},
            [this](LogLevel, std::string_view line) {
              this->plans += line.find("\"load_plan\"") != line.npos ? 1 : 0;
            },
            [] { return std::chrono::system_clock::now(); }) {
    for (uint32_t i = 0; i < site.count; ++i) {
      Target& target = this->targets.emplace_back();
      target.rank = i;
      target.planner = std::make_unique<LoadPlanner>(
          LoadScheduleOptions{}, VersionChoiceOptions{}, this->log);
    }
  }

  // Names the next version.
  void Name(milliseconds at) { this->named.push_back(kStart + at); }

  void Run(milliseconds until) {
    for (; this->now <= kStart + until; this->now += kTick) {
      const bool down =
          this->now >= this->outage_from && this->now < this->outage_until;
      for (size_t v = 2; v < 2 + this->named.size(); ++v) {
        if (!down && this->now >= this->NamedAt(v)) {
          this->sent[v] += Share(this->site.origin_copy_time);
        }
      }
      size_t out = 0;
      for (Target& target : this->targets) {
        this->Step(target, down);
        out += target.load_ends ? 1 : 0;
      }
      this->most_loading = std::max(this->most_loading, out);
    }
  }

  TimePoint NamedAt(int64_t version) const {
    return this->named[static_cast<size_t>(version) - 2];
  }
  int64_t Newest() const {
    int64_t newest = 1;
    for (const TimePoint at : this->named) {
      newest += at <= this->now ? 1 : 0;
    }
    return newest;
  }

  // Returns the largest number of orders within any 0.4 s.
  size_t MostTogether() const {
    size_t most = 0;
    for (const Target& first : this->targets) {
      for (const TimePoint from : first.orders) {
        size_t together = 0;
        for (const Target& target : this->targets) {
          together += std::count_if(
              target.orders.begin(), target.orders.end(), [from](TimePoint at) {
                return at >= from && at <= from + milliseconds(400);
              });
        }
        most = std::max(most, together);
      }
    }
    return most;
  }
  // All that live serve the version, after this number of loads.
  void CheckServe(int64_t version, size_t loads) const {
    for (const Target& target : this->targets) {
      if (!target.dead) {
        CHECK_EQUAL(version, target.serving);
        CHECK_TRUE(target.orders.size() <= loads);
      }
    }
  }
  TimePoint LastOrder() const {
    TimePoint last{};
    for (const Target& target : this->targets) {
      for (const TimePoint at : target.orders) {
        last = std::max(last, at);
      }
    }
    return last;
  }

  struct Target {
    uint32_t rank = 0;
    std::unique_ptr<LoadPlanner> planner;
    int64_t serving = 1;
    int64_t goal = 0;
    double share = 0;
    bool dead = false;
    std::optional<TimePoint> load_ends;
    std::vector<TimePoint> orders;
    // Time for which it had no weights that may be used.
    Duration gap{0};
  };

  static constexpr TimePoint kStart{std::chrono::seconds(100)};
  Site site;
  Log log;
  size_t plans = 0;
  std::vector<Target> targets;
  std::vector<TimePoint> named{kStart};
  // Ratio of the real staging time to the estimated one.
  double slowness = 1;
  TimePoint outage_from{};
  TimePoint outage_until{};
  size_t most_loading = 0;

 private:
  static double Share(Duration whole) {
    return std::chrono::duration<double>(kTick) /
           std::chrono::duration<double>(whole);
  }

  void Step(Target& target, bool down) {
    if (target.dead) {
      return;
    }
    const int64_t newest = this->Newest();
    if (target.load_ends) {
      if (this->now < *target.load_ends) {
        return;
      }
      target.load_ends.reset();
      target.serving = target.goal;
    }
    if (target.serving<newest&& this->now> this->NamedAt(target.serving + 1) +
        this->site.bound) {
      target.gap += kTick;
    }
    if (target.serving == newest) {
      return;
    }
    const bool completes =
        target.goal > target.serving && target.goal < newest &&
        target.planner->CompletesCurrent(this->Facts(target), this->now);
    if (target.goal < newest && !completes &&
        (!down || this->sent[newest] > 0.05)) {
      target.goal = newest;
      target.share = 0;
      target.planner->OnGoal(this->now);
    }
    if (target.goal <= target.serving) {
      return;
    }
    if (target.share < 1 && (!down || this->sent[target.goal] >= 1)) {
      const double position =
          static_cast<double>(target.rank) / this->site.count;
      const Duration whole = std::chrono::duration_cast<Duration>(
          EstimatedStagingTime({}, this->site.copy_time) *
          ((0.7 + 0.3 * position) * this->slowness));
      target.share = std::min(1.0, target.share + Share(whole));
      target.planner->OnProgress(this->now);
    }
    if (target.share >= 1 &&
        this->now >= target.planner->LoadTime(this->Facts(target), this->now)) {
      target.orders.push_back(this->now);
      target.load_ends = this->now + kLoadTime;
    }
  }

  LoadFacts Facts(const Target& target) const {
    LoadFacts facts;
    facts.version = target.goal;
    facts.newest_version = this->Newest();
    facts.serving_version = target.serving;
    facts.staged_share = target.share;
    facts.copy_time = this->site.copy_time;
    facts.superseded_at = this->NamedAt(target.serving + 1);
    if (target.goal < facts.newest_version) {
      facts.newer_named_at = this->NamedAt(target.goal + 1);
    }
    facts.version_bound = this->site.bound;
    for (const Target& other : this->targets) {
      facts.rank += !other.dead && other.rank < target.rank ? 1 : 0;
    }
    facts.count = static_cast<uint32_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [](const Target& other) { return !other.dead; }));
    return facts;
  }

  TimePoint now = kStart;
  double sent[8] = {};
};

TEST_GROUP(LoadPlannerTest){};

// Guards against a fleet that loads twice, late or all at once when two
// versions are named 2 s apart.
TEST(LoadPlannerTest, TwoVersionsNamedTwoSecondsApartTakeOneLoad) {
  for (Site site : {kSiteS, kSiteA}) {
    for (const uint32_t count : {7u, site.count, 60u}) {
      site.count = count;
      PlannedZone zone(site);
      zone.Name(milliseconds(2000));
      zone.Run(site.bound);
      zone.CheckServe(3, 1);
      CHECK_TRUE(zone.LastOrder() < PlannedZone::kStart + site.bound);
      // All copies are complete at least 3 s before the bound on site S.
      CHECK_TRUE(zone.MostTogether() <=
                 std::max(1u, count / (site.bound > kSiteA.bound ? 4 : 3)));
      CHECK_TRUE(zone.plans >= count);
      CHECK_TRUE(zone.plans <= 10 * count);
    }
  }
}

// Guards against a quarter of a zone, or more, that loads at the same time.
TEST(LoadPlannerTest, OneVersionIsLoadedInTurnUpToTheBound) {
  for (Site site : {kSiteS, kSiteA}) {
    for (const uint32_t count : {7u, site.count, 60u}) {
      site.count = count;
      PlannedZone zone(site);
      zone.Run(site.bound);
      zone.CheckServe(2, 1);
      CHECK_TRUE(zone.LastOrder() < PlannedZone::kStart + site.bound);
      CHECK_TRUE(zone.MostTogether() <= std::max(1u, count / 4));
    }
  }
}

// Guards against targets that hold a staged version until a late turn although
// a newer one, too late to skip it, is to be staged within its own bound.
TEST(LoadPlannerTest, ANewerVersionIsInTimeAfterAnOlderOneIsLoaded) {
  for (const milliseconds named : {milliseconds(3000), milliseconds(4500)}) {
    for (const uint32_t count : {7u, 14u, 60u}) {
      Site site = kSiteA;
      site.count = count;
      PlannedZone zone(site);
      zone.Name(named);
      zone.Run(named + site.bound);
      zone.CheckServe(3, 2);
      for (const auto& target : zone.targets) {
        CHECK_TRUE(target.gap == Duration(0));
      }
      CHECK_TRUE(zone.most_loading <= (count + 1) / 2);
    }
  }
}

// Guards against targets that never have the newer version, or all load at the
// same time, when the origin does not answer for 6 s from half a second after
// the second naming.
TEST(LoadPlannerTest, TheOriginIsUnavailableAfterTheSecondNaming) {
  for (const Site& site : {kSiteS, kSiteA}) {
    PlannedZone zone(site);
    zone.Name(milliseconds(2000));
    zone.outage_from = PlannedZone::kStart + milliseconds(2500);
    zone.outage_until = zone.outage_from + milliseconds(6000);
    zone.Run(milliseconds(20000));
    zone.CheckServe(3, 2);
    CHECK_TRUE(zone.most_loading < site.count);
  }
}

// Guards against a zone that loads at once, or after the bound, when all copies
// are complete only 2 s before it.
TEST(LoadPlannerTest, CopiesThatAreCompleteLateAreStillLoadedInTurn) {
  for (const uint32_t count : {7u, 60u}) {
    Site site = kSiteA;
    site.count = count;
    PlannedZone zone(site);
    const Duration estimated = EstimatedStagingTime({}, site.copy_time);
    zone.slowness =
        std::chrono::duration<double>(site.bound - milliseconds(2000)) /
        std::chrono::duration<double>(estimated);
    zone.Run(site.bound);
    zone.CheckServe(2, 1);
    CHECK_TRUE(zone.LastOrder() < PlannedZone::kStart + site.bound);
    CHECK_TRUE(zone.MostTogether() <= (count + 1) / 2);
  }
}

// Guards against loads that move by more than a turn, or come late, when a
// stager dies before its turn.
TEST(LoadPlannerTest, AStagerThatDiesBeforeItsTurnDelaysNobody) {
  PlannedZone calm(kSiteA);
  calm.Run(kSiteA.bound);
  PlannedZone zone(kSiteA);
  zone.Run(milliseconds(4200));
  zone.targets[9].dead = true;
  zone.Run(kSiteA.bound);
  zone.CheckServe(2, 1);
  const auto turn = milliseconds(7100 - 2700) / (kSiteA.count - 1);
  for (uint32_t i = 0; i < kSiteA.count; ++i) {
    if (i != 9) {
      const Duration moved =
          zone.targets[i].orders.front() - calm.targets[i].orders.front();
      CHECK_TRUE(std::chrono::abs(moved) <= turn);
    }
  }
}

}  // namespace
}  // namespace celerypost
