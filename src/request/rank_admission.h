#ifndef SRC_REQUEST_RANK_ADMISSION_H_
#define SRC_REQUEST_RANK_ADMISSION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/request/gateway_config.h"

namespace celerypost {

// The order in which requests are served when capacity is short: by the
// priority of their workspace, then by that of their route. Lower numbers come
// first.
struct Rank {
  int workspace_priority = 0;
  int route_priority = 0;

  bool operator==(const Rank&) const = default;
  bool operator<(const Rank& other) const {
    return std::tie(this->workspace_priority, this->route_priority) <
           std::tie(other.workspace_priority, other.route_priority);
  }
};

// Decisions of the last second on the requests of a service and a rank.
// Requests that are sent a second time are not counted.
struct RankCounts {
  // RankAdmission::HashOf the service.
  uint64_t service_hash = 0;
  Rank rank;
  double asked = 0;
  double placed = 0;
  // Requests that had their first event, and those of them that had it on time.
  double begun = 0;
  double on_time = 0;
  // Sum of the holds that the requests met.
  double held = 0;
};

struct RankAdmissionOptions {
  // Whether lower ranks are held back; otherwise ranks set the urgency only.
  bool holds = true;
  // Time between two changes of the holds.
  std::chrono::milliseconds control_period{200};
  // Holds rise while a higher rank has a smaller share of its requests placed,
  // or a smaller share of its first events on time, than `short_*`. They fall
  // while every higher rank has more than `ample_*`. The shares on time are
  // lower, because first events are late for other reasons than load as well.
  // Higher values waste capacity: nobody knows the loads of the targets
  // exactly, so they would have to be kept far below what they can do.
  double short_placed = 0.93;
  double ample_placed = 0.95;
  double short_on_time = 0.8;
  double ample_on_time = 0.84;
  // A hold also rises while a larger share of its rank is placed than of a
  // higher one that is short, by more than this.
  double max_lead = 0.02;
  // A rise of a hold in one control period: the least, the increase with the
  // share that is missing (or with the lead, if that is more), and the most.
  // With a least rise of 0.1 the holds stayed too high, as counts lag by half a
  // second.
  double min_rise = 0.02;
  double rise_per_share = 2;
  double max_rise = 0.34;
  double fall = 0.06;
  // The same without reports of peers: own counts are few.
  double fall_alone = 0.015;
  // A hold moves by this share towards the mean hold of the peers in one
  // control period, and is at least that mean less the margin. The mean is that
  // of the last second and lags behind a falling hold by less than the margin.
  double peer_pull = 0.1;
  double peer_hold_margin = 0.3;
  // Shares of fewer requests than this say too little.
  double min_requests = 5;
  // Share of a rank's requests that are not held, as a multiple of the share
  // that is placed of all requests. More than the quarter that each rank must
  // get, since a part of them is refused for other reasons.
  double floor = 0.35;
  // The least share placed of a rank, as a multiple of that of all; below it
  // `floor` doubles.
  double least_share = 0.25;
  // Most entries of counts in one report.
  size_t max_reported = 64;
};

// How admission treats one request.
struct RankRuling {
  // Position of its rank among those of the service, from 0 to kRankLevels - 1;
  // also the urgency at targets.
  int level = 0;
  // 0 for no restriction, to 1 for idle targets only. 0 also for requests that
  // the floor exempts.
  double hold = 0;
  // Share of the requests that wait at targets that are served before a request
  // of this rank.
  double ahead = 1;
};

// Ranks of a service are told apart up to this number; of more, neighbours are
// treated alike. Urgency 9 is kept for late requests.
constexpr size_t kRankLevels = 9;

// Holds the lower ranks of a service back when its higher ranks get too little.
// Each gateway has its own object; all see nearly the same counts, those of all
// gateways. A service whose requests have all the same rank is left alone.
// Performs no I/O.
class RankAdmission {
 public:
  RankAdmission(RankAdmissionOptions options, Random& random);

  static uint64_t HashOf(const ServiceName& service);

  // Replaces the ranks of all services. Counts and holds of ranks that remain
  // are kept.
  void SetConfig(const GatewayConfig& config);

  // Rules on a request before it is placed; nothing where all requests of the
  // service have one rank. `workspace` is null for routes without API keys.
  // `first_send` is false for requests that were sent before, which are not
  // held back. Draws a random number only for ranks that are held back.
  std::optional<RankRuling> RuleOn(const ServiceName& service,
                                   const Route& route,
                                   const Workspace* workspace,
                                   bool first_send,
                                   TimePoint now);
  // Records the decision on a request's arrival.
  void OnDecision(const ServiceName& service,
                  const RankRuling& ruling,
                  bool placed,
                  TimePoint now);
  // Records the first event of a request that was sent once.
  void OnFirstEvent(const ServiceName& service,
                    const Route& route,
                    const Workspace* workspace,
                    bool on_time,
                    TimePoint now);

  // Replaces the counts of a gateway of this region, which hold until
  // `expires_at`.
  void OnReport(InstanceId instance,
                std::vector<RankCounts> counts,
                TimePoint expires_at);
  // Replaces the sums of another region.
  void OnRegionReport(const RegionName& region,
                      std::vector<RankCounts> counts,
                      TimePoint expires_at);
  // Returns this gateway's counts, for the gateways of its region.
  std::vector<RankCounts> OwnCounts(TimePoint now) const;
  // Returns the sums of this gateway and those of its region, for other
  // regions.
  std::vector<RankCounts> RegionCounts(TimePoint now) const;

  // Changes the holds if a control period has passed. RuleOn does so too.
  void Control(TimePoint now);
  // Returns the largest holds of all services, by level.
  std::array<double, kRankLevels> LargestHolds() const;

 private:
  // The window of a second that counts cover, in slots.
  static constexpr size_t kSlots = 10;
  static constexpr std::chrono::milliseconds kSlotLength{100};

  struct Counts {
    double asked = 0;
    double placed = 0;
    double begun = 0;
    double on_time = 0;
    double held = 0;

    void Add(const Counts& other);
  };
  struct Slot {
    int64_t number = 0;
    Counts counts;
  };
  struct Level {
    // The first of its ranks, which names the level in messages.
    Rank first;
    std::array<Slot, kSlots> slots;
    double hold = 0;
    // Share of the requests that are not held.
    double exempt = 0;
    // RankRuling::ahead.
    double ahead = 1;
  };
  struct Service {
    uint64_t hash = 0;
    // In the order in which they are served; at least two.
    std::vector<Level> levels;
    std::map<Rank, size_t> level_of_rank;
    // Priority of requests without a workspace.
    int open_priority = 0;
  };
  struct Report {
    TimePoint expires_at{};
    std::vector<RankCounts> counts;
  };
  // What is known of a level from all gateways.
  struct LevelTotals {
    Counts all;
    Counts peers;
  };

  static int64_t SlotNumber(TimePoint now);
  static Counts& SlotAt(Level& level, TimePoint now);
  static Counts WindowOf(const Level& level, TimePoint now);
  static std::optional<size_t> LevelOf(const Service& service,
                                       const Route& route,
                                       const Workspace* workspace);
  static RankCounts ToReport(const Service& service,
                             const Level& level,
                             const Counts& counts);
  std::vector<LevelTotals> TotalsOf(const Service& service,
                                    TimePoint now) const;
  // Returns how much of a share the ranks of `totals` lack: positive when a
  // hold must rise, negative when it may fall, 0 in between.
  double ShortageOf(const Counts& totals) const;
  void ControlService(Service& service, bool alone, TimePoint now) const;
  std::vector<RankCounts> Bounded(std::vector<RankCounts> counts) const;

  RankAdmissionOptions options;
  Random& random;
  std::map<ServiceName, Service> services;
  std::unordered_map<InstanceId, Report> reports;
  std::map<RegionName, Report> region_reports;
  std::optional<TimePoint> controlled_at;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RANK_ADMISSION_H_
