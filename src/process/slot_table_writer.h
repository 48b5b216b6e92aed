#ifndef SRC_PROCESS_SLOT_TABLE_WRITER_H_
#define SRC_PROCESS_SLOT_TABLE_WRITER_H_

#include <map>
#include <memory>
#include <set>

#include "src/process/gossip_task.h"
#include "src/process/key_value_client.h"
#include "src/process/log.h"
#include "src/process/state/slot_keeper.h"

namespace celerypost {

// Writes new slot tables of the plain services when owners of slots are gone,
// by compare-and-swap in the key-value service. Runs on every entry; SlotKeeper
// decides when each of them tries.
class SlotTableWriter {
 public:
  SlotTableWriter(InstanceId self,
                  GossipTask& gossip,
                  KeyValueClient& key_value,
                  Scheduler& scheduler,
                  Log& log);

  // Replaces the set of services that have slot tables.
  void SetServices(const std::set<ServiceName>& services);

  // Call about every 100 ms.
  void OnTick();

 private:
  // Writes the proposed table if the stored one has the expected version.
  void Propose(const SlotProposal& proposal);
  // `revision` is that of the table that is replaced; 0 if there is none.
  void Write(const SlotProposal& proposal, int64_t revision);

  const InstanceId self;
  GossipTask& gossip;
  KeyValueClient& key_value;
  Scheduler& scheduler;
  Log& log;
  std::map<ServiceName, std::unique_ptr<SlotKeeper>> keepers;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_SLOT_TABLE_WRITER_H_
