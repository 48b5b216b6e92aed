#include "src/process/state/member.h"

#include <xxhash.h>

namespace celerypost {
namespace {

// Of two records with the same incarnation, the one with the larger rank
// replaces the other.
int Rank(const Member& member) {
  if (member.state == MemberState::kDead) {
    return 4;
  }
  return (member.state == MemberState::kLeaving ? 2 : 0) +
         (member.suspected ? 1 : 0);
}

}  // namespace

uint64_t RecordDigest(const Member& member) {
  if (member.state == MemberState::kDead) {
    return 0;
  }
  const uint64_t fields[] = {member.instance.value, member.incarnation,
                             static_cast<uint64_t>(member.state)};
  return XXH3_64bits(fields, sizeof(fields));
}

bool IsNewer(const Member& a, const Member& b) {
  return a.incarnation > b.incarnation ||
         (a.incarnation == b.incarnation && Rank(a) > Rank(b));
}

bool IsUrgentChange(const Member& before, const Member& after) {
  return before.state != after.state || before.suspected != after.suspected;
}

}  // namespace celerypost
