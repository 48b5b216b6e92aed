#ifndef SRC_PROCESS_STATE_FRESHNESS_H_
#define SRC_PROCESS_STATE_FRESHNESS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// A statement of a witness, a chosen entry of a region, about the configuration
// that it holds.
struct Stamp {
  InstanceId witness;
  RegionName region;
  // Grows with each stamp of the witness.
  uint64_t sequence = 0;
  uint64_t config_number = 0;
  // The statement is based on an answer of the key-value service. Its age then
  // counts from when the read was sent.
  bool store_reachable = false;
};

struct AgedStamp {
  Stamp stamp;
  Duration age{};
};

struct FreshnessOptions {
  InstanceId self;
  RegionName region;
  // Stamps older than this are ignored. Must be below the 2 s within which an
  // accepted change is in force everywhere (P3).
  std::chrono::milliseconds max_age{1500};
  // Lets an isolated process go on giving work, so that tests can show what the
  // isolation rule prevents.
  bool disable_isolation = false;
};

// Decides whether this process knows the newest accepted configuration. A
// process that cannot tell is isolated: it gives and takes no new work
// (section 4.3).
class Freshness {
 public:
  explicit Freshness(FreshnessOptions options);

  // Stores a stamp whose age is at most `age`. Returns whether it is newer than
  // the known stamp of that witness.
  bool OnStamp(const Stamp& stamp, Duration age, TimePoint now);

  // Sets the number of the configuration that this process holds. A lower
  // number than before is ignored.
  void SetNumber(uint64_t number);

  // Proposes the witnesses of `region` according to the member table. `silent`
  // are the members that are marked dead but may still run
  // (Membership::MayStillRun). A set without one of these replaces the current
  // set only while more than half of the current set is heard, so that a
  // process that only lost its connections keeps the old set and becomes
  // isolated.
  void SetWitnesses(const RegionName& region,
                    std::vector<InstanceId> proposed,
                    const std::set<InstanceId>& silent,
                    TimePoint now);

  // Sets the number of entries that the platform lists in this process's
  // region. A process that is not admitted yet and has no evidence from the
  // key-value service must hear at least half as many witnesses as that number
  // (5 if it is larger) and at least half of its witness set, as its member
  // table may come from an isolated peer.
  void SetListedEntries(size_t count);

  // Returns whether this process may give or take new work.
  bool MayGiveNewWork(TimePoint now);

  // Whether this process has known at least once since its start that its
  // configuration is the newest. Only an admitted witness issues stamps.
  bool admitted() const { return this->is_admitted; }

  bool IsWitness() const;

  // Returns this process's next stamp, or nothing unless it is an admitted
  // witness. `age` is the time since the read of the key-value service was
  // sent; it is ignored unless `store_reachable`, the service having answered.
  std::optional<AgedStamp> IssueStamp(bool store_reachable,
                                      Duration age,
                                      TimePoint now);

  // Returns whether more than half of the region's witnesses hold `number` or a
  // newer one.
  bool Confirmed(uint64_t number, const RegionName& region) const;

  // Returns whether more than half of the region's witnesses are heard: their
  // newest stamp is no older than max_age. This process counts as heard once it
  // is admitted.
  bool Reachable(const RegionName& region, TimePoint now) const;

  // Returns the stamps that are no older than max_age, youngest first.
  std::vector<AgedStamp> Stamps(TimePoint now) const;

  // Returns the number in the newest stamp of a witness; 0 without a stamp.
  uint64_t NumberOf(InstanceId witness) const;

  // The largest number in any stamp, or this process's own if that is larger.
  uint64_t HighestNumber() const { return this->highest_number; }

  const std::vector<InstanceId>& Witnesses(const RegionName& region) const;

 private:
  struct Evidence {
    Stamp stamp;
    // Time of the statement, or an earlier time.
    TimePoint stated_at;
  };

  bool IsFresh(const Evidence& evidence, TimePoint now) const;
  size_t CountHeard(const std::vector<InstanceId>& set, TimePoint now) const;
  void NoteStoreEvidence(const Evidence& item);
  bool HoldsStoreEvidence(TimePoint now) const;
  bool HearsHalfOfWitnesses(TimePoint now) const;

  const FreshnessOptions options;
  std::map<InstanceId, Evidence> evidence;
  std::map<RegionName, std::vector<InstanceId>> witnesses;
  std::optional<size_t> listed_entries;
  uint64_t own_number = 0;
  uint64_t highest_number = 0;
  uint64_t next_sequence = 1;
  bool is_admitted = false;
  // Latest time at which a read of the key-value service showed that no number
  // above this process's own existed. A stamp with a newer number does not
  // reset it: a change accepted after that time need not be in force until
  // max_age later, which leaves time to pull the document.
  std::optional<TimePoint> known_newest_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_FRESHNESS_H_
