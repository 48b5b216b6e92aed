#ifndef SRC_REQUEST_TASK_SLOT_HAND_OFF_H_
#define SRC_REQUEST_TASK_SLOT_HAND_OFF_H_

#include <map>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/process/log.h"
#include "src/process/peer_mesh.h"
#include "src/request/request_ledger.h"

namespace celerypost {

// Hands off the slots of an agent that accepts no new work to other agents of
// its service, and accepts slots that they hand off (design 4.2). The receivers
// are chosen by ReassignSlots, so that the hand-off and the next slot table
// name the same owners.
class SlotHandOff {
 public:
  SlotHandOff(ServiceName service,
              InstanceId self,
              RequestLedger& ledger,
              PeerMesh& mesh,
              Log& log);

  // Hands off all owned slots to agents of `candidates`, the live agents of the
  // service that accept work. Call repeatedly: each call sends the slots
  // again that are not acknowledged yet.
  void Drain(const std::vector<InstanceId>& candidates);

  // Forgets which slots were sent. Call when the agent accepts work again.
  void Reset();

  // Handles HAND_OFF and HAND_OFF_DONE frames.
  void OnFrame(PeerConnection& from, const Frame& frame, TimePoint now);

  // Number of slots that were sent and not acknowledged yet.
  size_t unacknowledged() const;

 private:
  struct Transfer {
    InstanceId receiver;
    bool acknowledged = false;
  };

  void OnHandOff(PeerConnection& from, const Frame& frame, TimePoint now);

  const ServiceName service;
  const InstanceId self;
  RequestLedger& ledger;
  PeerMesh& mesh;
  Log& log;
  std::map<size_t, Transfer> transfers;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_SLOT_HAND_OFF_H_
