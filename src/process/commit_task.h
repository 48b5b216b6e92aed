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

// Runs changes of the configuration at one entry. Changes of one process run
// side by side; the key-value service orders them.
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

  // Looks up the number that a change id received: kAccepted with the number
  // when the change was written and is confirmed, kUnknown with the number when
  // it is written and not yet confirmed, kRefusedNewer with number 0 when it is
  // not written, kUnavailable when the key-value service does not answer.
  void Settle(const std::string& id, Done done);

  // Reads the changes of the last `count` numbers, the newest first, as a JSON
  // array.
  void ReadAudit(uint64_t count, std::function<void(Result<std::string>)> done);

 private:
  struct Run;

  void Perform(uint64_t run, std::vector<CommitAction> actions);
  void Tick();
  CommitContext Context() const;

  const CommitOptions options;
  Scheduler& scheduler;
  KeyValueClient& key_value;
  GossipTask& gossip;
  const ManifestValidator validator;
  std::map<uint64_t, std::unique_ptr<Run>> runs;
  uint64_t next_run = 1;
  std::unique_ptr<ScheduledCall> tick_call;
  std::shared_ptr<bool> alive;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_COMMIT_TASK_H_
