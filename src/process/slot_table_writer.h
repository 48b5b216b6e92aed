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

// Writes new slot tables of the plain services when owners are gone, by
// compare-and-swap in the key-value service. Runs at every entry; SlotKeeper
// decides which of them tries first.
class SlotTableWriter {
 public:
  SlotTableWriter(InstanceId self,
                  GossipTask& gossip,
                  KeyValueClient& key_value,
                  Scheduler& scheduler,
                  Log& log);

  // Replaces the services that have slots.
  void SetServices(const std::set<ServiceName>& services);

  // Call every 100 ms or so.
  void OnTick();

 private:
  void Propose(const SlotProposal& proposal);
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
