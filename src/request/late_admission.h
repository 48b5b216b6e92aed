#ifndef SRC_REQUEST_LATE_ADMISSION_H_
#define SRC_REQUEST_LATE_ADMISSION_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/request/placement.h"

namespace celerypost {

// Urgency of late requests: a target starts them when no other request waits.
constexpr int kLateUrgency = 9;

struct LateAdmissionOptions {
  // A caller leaves when it has received nothing for this multiple of the
  // latency goal or of the pause goal of its route, whichever is longer, and at
  // least `min_patience`.
  int goals = 4;
  int pause_goals = 8;
  std::chrono::milliseconds min_patience{2000};
  // Subtracted from the caller's patience and from its deadline.
  std::chrono::milliseconds margin{200};
  // Slots of a target for each late request that may wait there: for callers
  // that return and for new ones.
  uint32_t slots_per_returning = 4;
  uint32_t slots_per_new = 12;
  // Share of a target's slots that may be in use when a new late request is
  // sent there. Each that starts takes a slot for as long as a request on time,
  // so under overload it makes another one late, whatever its urgency.
  double max_load_new = 0.67;
  // A target with no more of its slots in use had room for a late request.
  double room_load = 0.75;
  // Number of targets, drawn at random, that are compared.
  size_t compared = 4;
  // Shares of the caller's patience in which late requests must begin so that
  // further ones are admitted.
  double begin_share_returning = 0.8;
  double begin_share_new = 0.25;
  // No late request is admitted for `min_pause` after one that did not begin in
  // time; doubles with each further one up to `max_pause`.
  std::chrono::milliseconds min_pause{1000};
  std::chrono::milliseconds max_pause{8000};
};

// A request that would not be on time at any target.
struct LateRequest {
  ServiceName service;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // LateAdmission::PatienceOf the route.
  std::chrono::milliseconds patience{0};
  std::chrono::milliseconds deadline_left{0};
  // Its caller was refused before.
  bool returning = false;
};

struct LatePlacement {
  // Index of the chosen candidate.
  size_t candidate = 0;
  // Predicted time to the first event if no further request comes.
  std::chrono::milliseconds predicted{0};
  // The target had idle slots, so that the request delays no other one.
  bool room = false;
};

// Decides which requests that cannot be on time wait at a target until it has
// nothing else to do. Under lasting overload, each of them takes a slot that a
// request on time would have had, so admission stops when late requests don't
// begin soon. Each gateway has its own object. Performs no I/O.
class LateAdmission {
 public:
  LateAdmission(LateAdmissionOptions options, Random& random)
      : options(options), random(random) {}

  // Returns how long callers of the route wait for the first event.
  std::chrono::milliseconds PatienceOf(const Route& route) const;
  // Returns the target at which the request may wait; nothing if it must be
  // refused.
  std::optional<LatePlacement> Place(
      const EngineRates& rates,
      const std::vector<PlacementCandidate>& candidates,
      const LateRequest& request,
      TimePoint now);

  // A late request was sent to a target.
  void OnSent(const ServiceName& service, TimePoint now);
  // The late request that was sent at `sent_at` had its first event.
  void OnBegan(const ServiceName& service,
               TimePoint sent_at,
               std::chrono::milliseconds patience,
               TimePoint now);
  // It ended before its first event.
  void OnEnded(const ServiceName& service,
               TimePoint sent_at,
               std::chrono::milliseconds patience,
               TimePoint now);
  // Late requests of this gateway that have not begun, of all services.
  size_t waiting() const;

 private:
  struct ServiceState {
    // When the late requests that have not begun were sent.
    std::multiset<TimePoint> waiting;
    TimePoint paused_until{};
    std::chrono::milliseconds pause{0};
  };

  // Whether late requests begin soon enough for one more.
  bool Admits(const ServiceState& state,
              const LateRequest& request,
              TimePoint now) const;
  // A late request no longer waits. Returns whether it had waited for too long,
  // after which admission pauses.
  bool EndWait(ServiceState& state,
               TimePoint sent_at,
               std::chrono::milliseconds patience,
               TimePoint now) const;
  // Returns the predicted time to the first event; nothing if the request must
  // not wait at the candidate.
  std::optional<Milliseconds> Judge(const EngineRates& rates,
                                    const PlacementCandidate& candidate,
                                    const LateRequest& request) const;

  LateAdmissionOptions options;
  Random& random;
  std::map<ServiceName, ServiceState> services;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_LATE_ADMISSION_H_
