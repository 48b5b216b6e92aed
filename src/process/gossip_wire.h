#ifndef SRC_PROCESS_GOSSIP_WIRE_H_
#define SRC_PROCESS_GOSSIP_WIRE_H_

#include "celerypost/verdict.h"
#include "messages_types.h"
#include "src/process/state/gossip.h"

namespace celerypost {

wire::Member ToWire(const Member& member);
// Fails with kInvalidArgument; the message names the field.
Result<Member> FromWire(const wire::Member& member);

wire::Heartbeat ToWire(const GossipHeartbeat& heartbeat);
Result<GossipHeartbeat> FromWire(const wire::Heartbeat& heartbeat);

}  // namespace celerypost

#endif  // SRC_PROCESS_GOSSIP_WIRE_H_
