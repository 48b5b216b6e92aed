#ifndef SRC_PROCESS_STATE_NODE_ROLE_H_
#define SRC_PROCESS_STATE_NODE_ROLE_H_

#include <cstdint>

namespace celerypost {

// Role and state of a process on the users' platform. The numbers are sent in
// beats (wire::Beat).
enum class NodeRole : uint8_t { kGateway = 0, kStager = 1 };
enum class NodeState : uint8_t { kReady = 0, kNotReady = 1, kLeaving = 2 };

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_NODE_ROLE_H_
