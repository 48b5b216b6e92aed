#ifndef SRC_PROCESS_STATE_RENDEZVOUS_H_
#define SRC_PROCESS_STATE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "celerypost/types.h"
#include "src/version/digest.h"

namespace celerypost {

// Returns the weight of `instance` for `key` in rendezvous hashing; the largest
// weight ranks first. The result is the same on every process.
inline uint64_t RendezvousWeight(std::string_view key, InstanceId instance) {
  return RendezvousWeight(key, instance.value);
}

// Returns the `count` candidates with the largest weights for `key`, or all if
// there are fewer, in descending order of weight.
std::vector<InstanceId> RendezvousSelect(std::string_view key,
                                         std::vector<InstanceId> candidates,
                                         size_t count);

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_RENDEZVOUS_H_
