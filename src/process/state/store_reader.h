#ifndef SRC_PROCESS_STATE_STORE_READER_H_
#define SRC_PROCESS_STATE_STORE_READER_H_

#include <cstddef>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// A gateway that may watch the key-value service for its region.
struct ReaderCandidate {
  InstanceId instance;
  // Whether its last call to the service was answered.
  bool store_answers = false;
};

struct ReaderOptions {
  // Number of gateways of a region that watch the service while it answers
  // them: one more than may fail at once.
  size_t readers = 2;
  // Number of gateways of a region that keep trying while the service answers
  // none of them.
  size_t readers_in_outage = 3;
};

// Returns whether `self` watches the key-value service, given the other live
// gateways of its region. Gateways that don't watch it learn of changes from
// those that do, so that a change crosses a link between regions only a few
// times, however many VMs there are.
bool ReadsStore(const ReaderOptions& options,
                const ReaderCandidate& self,
                const std::vector<ReaderCandidate>& others);

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_STORE_READER_H_
