#ifndef SRC_REQUEST_RETURN_PROMISES_H_
#define SRC_REQUEST_RETURN_PROMISES_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "celerypost/random.h"
#include "celerypost/types.h"

namespace celerypost {

struct ReturnPromisesOptions {
  // Returns that are promised for each new caller at first, and the bounds of
  // what is learnt. Each return that finds room raises the share by `raise` of
  // itself, each other one lowers it by `lower`.
  double initial_share = 0.03;
  double min_share = 0.003;
  double max_share = 0.5;
  double raise = 0.05;
  double lower = 0.3;
  // Time over which the rate of new callers is measured.
  std::chrono::milliseconds rate_window{2000};
  // Longest share of its remaining time that a caller waits to return.
  double max_wait_share = 1.0 / 3;
  // Added to what a caller that has no useful return is told, so that it is
  // above its limit in spite of rounding.
  std::chrono::milliseconds no_return_margin{100};
  // Most promises that are kept for a service.
  size_t max_promises = 256;
};

// Promises refused callers times at which they will find capacity. Returns of a
// service have a least distance from each other, which follows from how many of
// the returns that this gateway has seen found a target with room: callers
// return to any gateway, so each sees its share. A return that was placed at a
// full target does not count, since it made another request late. Each gateway
// has its own object. Performs no I/O.
class ReturnPromises {
 public:
  ReturnPromises(ReturnPromisesOptions options, Random& random)
      : options(options), random(random) {}

  // Returns the Retry-After of a caller that is refused and has `time_left`, at
  // least `until_room`. It is longer than the caller waits if no useful return
  // is free, which promises nothing.
  std::chrono::milliseconds Promise(const ServiceName& service,
                                    std::chrono::milliseconds until_room,
                                    std::chrono::milliseconds time_left,
                                    TimePoint now);
  // Returns a Retry-After for a caller that must not return.
  std::chrono::milliseconds NoReturn(std::chrono::milliseconds time_left) const;
  // A caller has come for the first time.
  void OnNewCaller(const ServiceName& service, TimePoint now);
  // A caller has returned. `found_room`: it was placed at a target with room.
  void OnReturn(const ServiceName& service, bool found_room);
  // Largest number of returns promised for each new caller, of all services.
  double LargestShare() const;
  size_t promises(const ServiceName& service) const;

 private:
  struct Record {
    double share = 0;
    // New callers per second, as of `counted_at`.
    double new_callers = 0;
    TimePoint counted_at{};
    std::multiset<TimePoint> promised;
  };

  Record& RecordOf(const ServiceName& service);
  // Returns the least time between two promises.
  TimePoint::duration DistanceOf(const Record& record) const;
  // Returns the first time from `from` on that is `distance` away from all
  // promised ones.
  static TimePoint FirstFree(const Record& record,
                             TimePoint from,
                             TimePoint::duration distance);

  ReturnPromisesOptions options;
  Random& random;
  std::map<ServiceName, Record> records;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_RETURN_PROMISES_H_
