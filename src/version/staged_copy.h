#ifndef SRC_VERSION_STAGED_COPY_H_
#define SRC_VERSION_STAGED_COPY_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

struct StagedCopyOptions {
  // Staged data can go bad at any time. A load is proven by reads that began at
  // most this long before the target accepted the order: the platform tolerates
  // 3 s; the rest allows for the call.
  std::chrono::milliseconds proof_lifetime{2500};
  // A write that was not answered may still be carried out until this time has
  // passed. Three times the timeout of a call to the target.
  std::chrono::milliseconds write_settle_time{3000};
};

// What is known of the chunks that are staged at a target: when each was last
// read back and found good. A read proves the state at its start only, so ages
// count from there.
class StagedCopy {
 public:
  // Writes of an earlier process of this VM may be outstanding at `start`.
  StagedCopy(StagedCopyOptions options, TimePoint start);

  // The chunks of another version, or another number of them, are staged from
  // now on.
  void Reset(size_t chunks, TimePoint now);
  // A chunk is being written, or its expected digest has changed. Reads that
  // began before `now` prove nothing.
  void OnChanged(size_t number, TimePoint now);
  // A write ended without an answer.
  void OnWriteUnanswered(TimePoint now);
  // A read that began at `started` returned the expected bytes.
  void OnGood(size_t number, TimePoint started);

  // Returns the chunks that no good read since `time` covers, ascending.
  std::vector<size_t> NotGoodSince(TimePoint time) const;
  // Returns the start of the oldest of the latest good reads; nothing while a
  // chunk has none.
  std::optional<TimePoint> GoodSince() const;
  // Returns the chunks that must be read again to prove a load that the target
  // accepted at `accepted` or earlier. A chunk that is good after the
  // acceptance, and was not written since, was good at the acceptance.
  std::vector<size_t> UnprovenAt(TimePoint accepted) const;

 private:
  struct Chunk {
    TimePoint changed_at{};
    std::optional<TimePoint> good_since;
  };

  StagedCopyOptions options;
  std::vector<Chunk> chunks;
  TimePoint writes_settled_at;
};

}  // namespace celerypost

#endif  // SRC_VERSION_STAGED_COPY_H_
