#ifndef TESTS_SUPPORT_CONTROL_RUN_H_
#define TESTS_SUPPORT_CONTROL_RUN_H_

#include <chrono>
#include <cstdint>

#include "tests/support/virtual_fleet.h"

namespace celerypost {

struct ControlRunOptions {
  FleetOptions fleet;
  // Length of the key-value service's outage, in which every process restarts.
  std::chrono::seconds outage{30};
  // Longest cut of a single process; pauses last up to about half of it. Longer
  // than the time after which a silent process is declared dead.
  std::chrono::milliseconds longest_fault{7000};
  // Time with operators and faults before the outage.
  std::chrono::seconds before{10};
  // Number of times that region 1 is cut off.
  size_t cuts = 2;
  // Time from the end of the last fault injection to the last change.
  std::chrono::seconds repair{25};
  // Time between two rounds of operator requests; about half of the rounds have
  // two concurrent requests.
  std::chrono::milliseconds operator_period{300};
  // Time between two random pauses or cuts of single processes.
  std::chrono::milliseconds fault_period{700};
};

// Randomised fault-injection run with a fixed seed. Concurrent operators, lost
// requests and answers, and paused and cut-off processes occur until the
// repair. Meanwhile an outage of the key-value service, in which every process
// restarts, is followed by cuts of region 1 while changes are under way. After
// the repair, one more change must be in force everywhere. Violations of the
// promises are recorded in fleet.violations.
void RunControl(VirtualFleet& fleet, const ControlRunOptions& options);

// Returns a change request that takes the zone out if it is in, and in if it is
// out.
ChangeRequest ZoneChange(VirtualFleet& fleet, size_t zone, uint64_t serial);

}  // namespace celerypost

#endif  // TESTS_SUPPORT_CONTROL_RUN_H_
