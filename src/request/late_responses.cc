#include "src/request/late_responses.h"

#include <optional>

namespace celerypost {

using std::chrono::milliseconds;

namespace {

LateRequest MakeLateRequest(const ServiceName& service,
                            const PlacementRequest& request,
                            milliseconds patience,
                            bool returning) {
  return {.service = service,
          .prompt_tokens = request.prompt_tokens,
          .answer_tokens = request.answer_tokens,
          .patience = patience,
          .deadline_left = request.deadline_left,
          .returning = returning};
}

}  // namespace

LateCaller LateResponses::OnArrival(const ServiceName& service,
                                    const Route& route,
                                    milliseconds time_left,
                                    bool ranks_differ,
                                    TimePoint now) {
  LateCaller caller;
  caller.time_left = time_left;
  caller.age = this->callers.OnArrival(service, route.name, time_left, now);
  caller.promises = this->callers.CallersReturn(service, route.name);
  caller.late_admission = caller.promises || ranks_differ;
  if (caller.age.count() == 0) {
    this->promises.OnNewCaller(service, now);
  }
  return caller;
}

bool LateResponses::Review(const EngineRates& rates,
                           const std::vector<PlacementCandidate>& candidates,
                           const ServiceName& service,
                           const Route& route,
                           const PlacementRequest& request,
                           const LateCaller& caller,
                           Placement& placement,
                           TimePoint now) {
  if (!caller.late_admission) {
    return false;
  }
  const bool returning = caller.age.count() > 0;
  const bool on_time = placement.candidate &&
                       (!returning || placement.predicted + request.allowance <=
                                          request.on_time_left);
  bool late = false;
  bool room = on_time;
  if (!on_time) {
    const auto late_placement = this->late.Place(
        rates, candidates,
        MakeLateRequest(service, request, this->late.PatienceOf(route),
                        returning),
        now);
    late = late_placement.has_value();
    room = late && late_placement->room;
    if (late) {
      placement.candidate = late_placement->candidate;
      placement.predicted = late_placement->predicted;
    } else {
      placement.candidate.reset();
    }
  }
  if (returning) {
    this->promises.OnReturn(service, room);
  }
  if (!placement.candidate && caller.promises) {
    placement.retry_after =
        returning ? this->promises.NoReturn(caller.time_left)
                  : this->promises.Promise(service, placement.retry_after,
                                           caller.time_left, now);
  }
  return late;
}

Placement LateResponses::PlaceAgain(
    const EngineRates& rates,
    const std::vector<PlacementCandidate>& candidates,
    const ServiceName& service,
    const Route& route,
    const PlacementRequest& request,
    milliseconds time_left,
    TimePoint now) {
  Placement placement;
  placement.retry_after = this->promises.NoReturn(time_left);
  if (const auto late = this->late.Place(
          rates, candidates,
          MakeLateRequest(service, request, this->late.PatienceOf(route),
                          /*returning=*/true),
          now)) {
    placement.candidate = late->candidate;
    placement.predicted = late->predicted;
  }
  return placement;
}

}  // namespace celerypost
