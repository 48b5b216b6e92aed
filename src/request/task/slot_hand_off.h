#ifndef SRC_REQUEST_TASK_SLOT_HAND_OFF_H_
#define SRC_REQUEST_TASK_SLOT_HAND_OFF_H_

#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/process/log.h"
#include "src/process/peer_mesh.h"
#include "src/request/request_ledger.h"
#include "src/request/slot_drain.h"

namespace celerypost {

// Hands off the slots of an agent that accepts no new work to other agents of
// its service, and accepts slots that they hand off (design 4.2). SlotDrain
// decides what is handed off.
class SlotHandOff {
 public:
  SlotHandOff(ServiceName service,
              InstanceId self,
              RequestLedger& ledger,
              PeerMesh& mesh,
              Log& log);

  // Hands off all slots to agents of `candidates`, the live agents of the
  // service that accept work. Call repeatedly: each call sends the slots
  // again that are not acknowledged yet.
  void Drain(const std::vector<InstanceId>& candidates);

  // Returns whether an agent of `candidates` can receive slots now.
  bool HasReceiver(const std::vector<InstanceId>& candidates) const;

  // Forgets which slots were sent. Call when the agent accepts work again.
  void Reset();

  // Handles HAND_OFF and HAND_OFF_DONE frames.
  void OnFrame(PeerConnection& from, const Frame& frame, TimePoint now);

  // Number of slots that were sent and not acknowledged yet.
  size_t unacknowledged() const { return this->drain.unconfirmed(); }

 private:
  // The agents of `candidates` that are connected, without this one.
  std::vector<InstanceId> Receivers(
      const std::vector<InstanceId>& candidates) const;
  void OnHandOff(PeerConnection& from, const Frame& frame, TimePoint now);

  const ServiceName service;
  const InstanceId self;
  RequestLedger& ledger;
  PeerMesh& mesh;
  Log& log;
  SlotDrain drain;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_SLOT_HAND_OFF_H_
