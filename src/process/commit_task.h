#ifndef SRC_PROCESS_COMMIT_TASK_H_
#define SRC_PROCESS_COMMIT_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/process/gossip_task.h"
#include "src/process/key_value_client.h"
#include "src/process/scheduler.h"
#include "src/process/state/commit.h"

namespace celerypost {

// Commits changes of the configuration at one entry. Changes run concurrently;
// the key-value service orders them.
class CommitTask {
 public:
  using Done = std::function<void(CommitResult)>;

  CommitTask(CommitOptions options,
             Scheduler& scheduler,
             KeyValueClient& key_value,
             GossipTask& gossip,
             ManifestValidator validator);
  ~CommitTask();

  void Submit(ChangeRequest request, Done done);

  // Looks up the outcome of the change `id`: kAccepted with its number when it
  // is stored and confirmed, kUnknown with its number when it is stored and not
  // yet confirmed, kUnknown with number 0 when its record is malformed,
  // kRefusedNewer with number 0 when it is not stored, kUnavailable when the
  // key-value service does not answer.
  void LookUpChange(const std::string& id, Done done);

  // Reads the last `count` changes as a JSON array, newest first. At most 1000
  // are returned.
  void ReadAudit(uint64_t count, std::function<void(Result<std::string>)> done);

 private:
  struct PendingChange;

  void Perform(uint64_t pending_id, std::vector<CommitAction> actions);
  void Tick();
  CommitContext Context() const;

  const CommitOptions options;
  Scheduler& scheduler;
  KeyValueClient& key_value;
  GossipTask& gossip;
  const ManifestValidator validator;
  std::map<uint64_t, std::unique_ptr<PendingChange>> pending_changes;
  uint64_t next_pending_id = 1;
  std::unique_ptr<ScheduledCall> tick_call;
  // Held weakly by callbacks of the key-value client, which may run after the
  // task is destroyed.
  std::shared_ptr<bool> alive;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_COMMIT_TASK_H_
