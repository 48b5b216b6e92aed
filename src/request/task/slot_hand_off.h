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

// Passes the slots of an agent that takes no more work to other agents of its
// service, and takes slots that others pass on (design 4.2). The receivers are
// those that a reassignment of the slot table gives the slots to, so that both
// ways agree.
class SlotHandOff {
 public:
  SlotHandOff(ServiceName service,
              InstanceId self,
              RequestLedger& ledger,
              PeerMesh& mesh,
              Log& log);

  // Hands off every owned slot among `fit`, the live agents of the service that
  // take work. Call repeatedly: messages that were lost are sent again, slots
  // that were received are not sent twice.
  void Drain(const std::vector<InstanceId>& fit);

  // Forgets which slots were sent; to be called when the agent takes work
  // again.
  void Reset();

  // HAND_OFF and HAND_OFF_DONE.
  void OnFrame(PeerConnection& from, const Frame& frame, TimePoint now);

  // Slots that were sent and not acknowledged.
  size_t unacknowledged() const;

 private:
  struct Sent {
    InstanceId to;
    bool acknowledged = false;
  };

  void OnHandOff(PeerConnection& from, const Frame& frame, TimePoint now);

  const ServiceName service;
  const InstanceId self;
  RequestLedger& ledger;
  PeerMesh& mesh;
  Log& log;
  std::map<size_t, Sent> sent;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TASK_SLOT_HAND_OFF_H_
