#ifndef SRC_REQUEST_TARGET_NOTICES_H_
#define SRC_REQUEST_TARGET_NOTICES_H_

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "celerypost/types.h"
#include "src/request/crash_evidence.h"

namespace celerypost {

struct TargetNoticesOptions {
  // How long it is remembered that a target leaves. A registration that still
  // calls it ready may come back that long, for example from a restored copy of
  // the key-value service.
  std::chrono::milliseconds leaving_lifetime{3600000};
  // How long, and at most how many at a time, targets that leave are told to
  // other gateways.
  std::chrono::milliseconds share_time{5000};
  size_t max_shared = 64;
};

// What targets have said of themselves in their answers. It holds for one start
// of a target, so that the next start with its ID or address is not affected,
// and for longer than any other statement about that start: a target that
// leaves does not come back.
class TargetNotices {
 public:
  explicit TargetNotices(TargetNoticesOptions options);

  // A target has said that it leaves, to this gateway or to another one.
  // Returns whether that is news.
  bool OnLeaving(TargetStartHash start, TimePoint now);
  // Returns whether the target leaves.
  bool Leaves(TargetStartHash start) const;
  // Returns the targets that were learned to leave within the share time, the
  // latest `max_shared` of them.
  std::vector<TargetStartHash> RecentlyLeaving(TimePoint now) const;
  // Drops what is too old to matter.
  void Forget(TimePoint now);

 private:
  TargetNoticesOptions options;
  // When each was learned.
  std::unordered_map<TargetStartHash, TimePoint> leaving;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_NOTICES_H_
