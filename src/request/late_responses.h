#ifndef SRC_REQUEST_LATE_RESPONSES_H_
#define SRC_REQUEST_LATE_RESPONSES_H_

#include <chrono>
#include <vector>

#include "src/request/late_admission.h"
#include "src/request/placement.h"
#include "src/request/return_promises.h"
#include "src/request/returning_callers.h"

namespace celerypost {

// The caller of a request, as its first attempt at this gateway shows it.
struct LateCaller {
  // Time since the caller came first, at any gateway.
  std::chrono::milliseconds age{0};
  std::chrono::milliseconds time_left{0};
  // Late admission is on for its route.
  bool late_admission = false;
  // Retry-After comes from ReturnPromises.
  bool promises = false;
};

// Joins what is decided about callers that return and about requests that
// cannot be on time. Performs no I/O.
class LateResponses {
 public:
  LateResponses(ReturningCallers& callers,
                LateAdmission& late,
                ReturnPromises& promises)
      : callers(callers), late(late), promises(promises) {}

  // A request arrives from a caller with `time_left`. `ranks_differ`: the
  // configuration gives the service's requests different priorities.
  LateCaller OnArrival(const ServiceName& service,
                       const Route& route,
                       std::chrono::milliseconds time_left,
                       bool ranks_differ,
                       TimePoint now);
  // Reviews the placement of a caller's first attempt at this gateway: moves a
  // returning request that cannot be on time, and one that was refused, to late
  // admission, or sets the time at which the caller should return. Returns
  // whether the request is now placed as a late one.
  bool Review(const EngineRates& rates,
              const std::vector<PlacementCandidate>& candidates,
              const ServiceName& service,
              const Route& route,
              const PlacementRequest& request,
              const LateCaller& caller,
              Placement& placement,
              TimePoint now);
  // Places a late request that its target did not take at another one.
  Placement PlaceAgain(const EngineRates& rates,
                       const std::vector<PlacementCandidate>& candidates,
                       const ServiceName& service,
                       const Route& route,
                       const PlacementRequest& request,
                       std::chrono::milliseconds time_left,
                       TimePoint now);

 private:
  ReturningCallers& callers;
  LateAdmission& late;
  ReturnPromises& promises;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_LATE_RESPONSES_H_
