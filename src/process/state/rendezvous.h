#ifndef SRC_PROCESS_STATE_RENDEZVOUS_H_
#define SRC_PROCESS_STATE_RENDEZVOUS_H_

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// Weight of `instance` for `key` in rendezvous hashing; the largest comes
// first. Equal on every process.
inline uint64_t RendezvousWeight(std::string_view key, InstanceId instance) {
  return XXH3_64bits_withSeed(key.data(), key.size(), instance.value);
}

// Returns at most `count` of `candidates` in the order of their weight for
// `key`.
std::vector<InstanceId> RendezvousSelect(std::string_view key,
                                         std::vector<InstanceId> candidates,
                                         size_t count);

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_RENDEZVOUS_H_
