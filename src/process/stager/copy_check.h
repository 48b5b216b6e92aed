#ifndef SRC_PROCESS_STAGER_COPY_CHECK_H_
#define SRC_PROCESS_STAGER_COPY_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/connection/loop.h"
#include "src/process/stager/model_target.h"

namespace celerypost {

// Reads staged chunks back from the target, a few at a time.
class CopyCheck {
 public:
  // Called with each chunk's number, the time at which its read began, and its
  // bytes; may cancel the check.
  using OnRead =
      std::function<void(size_t, TimePoint, const Result<std::string>&)>;

  CopyCheck(Loop& loop,
            ModelTarget& target,
            size_t max_concurrent,
            OnRead on_read,
            std::function<void()> on_done);

  // Reads these chunks. Reads of an earlier check are ignored. `since`: the
  // time since which each chunk must have been good.
  void Start(std::string model, std::vector<size_t> numbers, TimePoint since);
  // Ignores all reads that have not been answered.
  void Cancel();

  bool running() const { return this->is_running; }
  TimePoint since() const { return this->good_since; }
  TimePoint started_at() const { return this->started; }

 private:
  void ReadNext();

  Loop& loop;
  ModelTarget& target;
  size_t max_concurrent;
  OnRead on_read;
  std::function<void()> on_done;
  std::string model;
  std::vector<size_t> numbers;
  // The next of `numbers` to read, and the reads that are not answered.
  size_t next = 0;
  size_t unanswered = 0;
  bool is_running = false;
  TimePoint good_since{};
  TimePoint started{};
  // Incremented with each start and cancellation.
  uint64_t generation = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_COPY_CHECK_H_
