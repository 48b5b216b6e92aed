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
  // Pauses and cuts of single processes last up to this long; longer than the
  // time after which a process counts as dead.
  std::chrono::milliseconds longest_fault{7000};
  // Time before the outage, and rounds in which region 1 is cut off.
  std::chrono::seconds before{10};
  size_t cuts = 2;
  // Time after the start of the last fault until the last change.
  std::chrono::seconds repair{25};
  // Between two requests of operators; each second one races with another.
  std::chrono::milliseconds operator_period{300};
  // Between two random pauses and cuts of single processes.
  std::chrono::milliseconds fault_period{700};
};

// A randomised run with a fixed seed: racing operators, lost requests and
// answers, paused and cut-off processes all the time; then an outage of the
// key-value service in which every process restarts; then a cut of region 1
// while a change is under way; then repair and one more change, which must be
// in force everywhere. Broken promises are in fleet.violations.
void RunControl(VirtualFleet& fleet, const ControlRunOptions& options);

// A change request that alternates the state of a zone.
ChangeRequest ZoneChange(VirtualFleet& fleet, size_t zone, uint64_t serial);

}  // namespace celerypost

#endif  // TESTS_SUPPORT_CONTROL_RUN_H_
