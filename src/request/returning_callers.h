#ifndef SRC_REQUEST_RETURNING_CALLERS_H_
#define SRC_REQUEST_RETURNING_CALLERS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "celerypost/types.h"

namespace celerypost {

struct ReturningCallersOptions {
  // Number of recent requests of a route whose remaining times are kept.
  size_t window = 64;
  // Fewer requests than this say too little of a route.
  size_t min_requests = 8;
  // Remaining times that differ by less are equal: requests are on their way
  // for a few milliseconds. Shorter than any Retry-After.
  std::chrono::milliseconds tolerance{100};
  // Least share of the requests that must have the largest remaining time. At
  // three times the capacity, four requests in ten come from callers that
  // return.
  double min_initial_share = 0.5;
  // Callers return once, with at least two thirds of their time. A larger share
  // than `max_short_share` with less than `min_time_share` of the largest
  // remaining time means that first requests differ.
  double min_time_share = 0.6;
  double max_short_share = 0.05;
  // Retry-After is spread, so a larger share of the requests with one remaining
  // time below the largest is another kind of callers.
  double max_equal_share = 0.2;
  // Most routes; those without a request for the longest time are forgotten.
  size_t max_routes = 256;
};

// Learns how much time callers of a route have left when they come first, and
// derives from the time that a request has left for how long its caller has
// been trying. Each gateway has its own object. Performs no I/O.
class ReturningCallers {
 public:
  explicit ReturningCallers(ReturningCallersOptions options)
      : options(options) {}

  // Records the first attempt of a request that arrives with `time_left`.
  // Returns the time since its caller came first; 0 for callers that come first
  // and while callers of the route do not agree on one initial time.
  std::chrono::milliseconds OnArrival(const ServiceName& service,
                                      std::string_view route,
                                      std::chrono::milliseconds time_left,
                                      TimePoint now);
  // Whether callers of the route have returned among its recent requests.
  bool CallersReturn(const ServiceName& service, std::string_view route) const;
  size_t routes() const { return this->records.size(); }

 private:
  struct Record {
    // Oldest first.
    std::deque<std::chrono::milliseconds> recent;
    std::chrono::milliseconds initial{0};
    bool agreed = false;
    size_t returned = 0;
    TimePoint seen_at{};
  };

  void Review(Record& record) const;
  // Whether any remaining time below the initial one is frequent.
  bool HasSecondInitialTime(const Record& record) const;
  void DropOldest();

  ReturningCallersOptions options;
  // By service and route.
  std::map<std::string, Record, std::less<>> records;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RETURNING_CALLERS_H_
