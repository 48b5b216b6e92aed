#ifndef SRC_REQUEST_TARGET_NOTICES_H_
#define SRC_REQUEST_TARGET_NOTICES_H_

#include <chrono>
#include <cstddef>
#include <optional>
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
  // Longest time for which a target gets no requests on its own word.
  std::chrono::milliseconds max_decline{3600000};
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
  // A target has refused a request and wants none from this gateway for `time`.
  // Shorter times of later answers end none of before. Not told to other
  // gateways. Returns whether the target was not declining before.
  bool OnDeclines(TargetStartHash start,
                  std::chrono::milliseconds time,
                  TimePoint now);
  // Returns until when the target wants no requests; nothing if it takes them.
  std::optional<TimePoint> DeclinesUntil(TargetStartHash start,
                                         TimePoint now) const;
  // Returns the targets that were learned to leave within the share time, the
  // latest `max_shared` of them.
  std::vector<TargetStartHash> RecentlyLeaving(TimePoint now) const;
  // Drops what is too old to matter.
  void Forget(TimePoint now);

 private:
  TargetNoticesOptions options;
  // When each was learned.
  std::unordered_map<TargetStartHash, TimePoint> leaving;
  // Until when each declines.
  std::unordered_map<TargetStartHash, TimePoint> declining;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_NOTICES_H_
