#ifndef SRC_PROCESS_STATE_SERVICE_AVAILABILITY_H_
#define SRC_PROCESS_STATE_SERVICE_AVAILABILITY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

struct ServiceAvailabilityOptions {
  // Longest pause between two answers that is no outage: longer than the
  // regular pauses between the calls of a fleet, and shorter than an outage in
  // which many registrations lapse.
  std::chrono::milliseconds max_pause{1800};
  // How long a period is remembered after its end, and the largest number of
  // periods.
  std::chrono::milliseconds memory{30000};
  size_t max_periods = 16;
};

// A time during which the key-value service answered processes of this project
// without a pause above ServiceAvailabilityOptions::max_pause, as one process
// tells it another.
struct ReportedAnswers {
  // Era of the service (StorePosition).
  int64_t era = 0;
  // Time since the first and since the last answer.
  std::chrono::milliseconds since_ago{0};
  std::chrono::milliseconds until_ago{0};
  // The service was away for all processes before the first answer.
  bool after_outage = false;

  // Allows for the longest time that the report may have been on its way.
  void AddTransit(std::chrono::milliseconds transit) {
    this->until_ago += transit;
  }
  friend bool operator==(const ReportedAnswers&,
                         const ReportedAnswers&) = default;
};

// An outage of the key-value service.
struct ServiceOutage {
  // The last answer before it; nothing if this process does not know it.
  std::optional<TimePoint> began_at;
  // The first answer after it.
  TimePoint ended_at{};
};

// Tells when the key-value service was away for all processes of this project,
// from the answers that this process and its peers got. A failed call does not
// tell: the service may turn away one process or cut one connection while it
// serves all others and acknowledges their changes.
class ServiceAvailability {
 public:
  explicit ServiceAvailability(ServiceAvailabilityOptions options);

  // The service, in `era`, answered a call of this process at a time from
  // `earliest` to `latest`.
  void NoteAnswer(int64_t era, TimePoint earliest, TimePoint latest);
  // The service did not answer a call of this process that was sent at `time`.
  // A pause in the answers is no outage unless a call failed in it.
  void NoteFailure(TimePoint time);
  // Takes over what a peer has told, with AddTransit applied.
  void ApplyReport(const ReportedAnswers& report, TimePoint now);

  // The newest outage. A later report of a peer that was answered meanwhile can
  // show that it was none.
  std::optional<ServiceOutage> last_outage() const;
  // Whether the service answered some process around `time`.
  bool AnsweredAt(TimePoint time) const;
  // Returns what this process tells its peers; nothing before the first answer.
  std::optional<ReportedAnswers> Report(TimePoint now) const;

 private:
  // The service has answered at `begin` or before, and at `end` or after.
  // `begin` may be the later one in a period of few answers.
  struct Period {
    int64_t era = 0;
    TimePoint begin{};
    TimePoint end{};
    bool after_outage = false;
  };

  void Insert(const Period& period);
  // Joins `next` to `period` if no outage may lie between them. Returns whether
  // it did.
  bool Join(Period& period, const Period& next) const;

  const ServiceAvailabilityOptions options;
  // Ordered by era and begin.
  std::vector<Period> periods;
  std::optional<TimePoint> failed_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_SERVICE_AVAILABILITY_H_
