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

// A witness's statement about the configuration.
struct Stamp {
  InstanceId witness;
  RegionName region;
  uint64_t sequence = 0;
  uint64_t config_number = 0;
  // The statement rests on an answer of the key-value service. Its age then
  // counts from the moment the question was sent.
  bool store_reachable = false;
};

struct AgedStamp {
  Stamp stamp;
  Duration age{};
};

struct FreshnessOptions {
  InstanceId self;
  RegionName region;
  // Evidence older than this counts for nothing. Must be below the 2 s within
  // which an accepted change holds (P3).
  std::chrono::milliseconds max_age{1500};
  // Disables the isolation rule, so that tests can see what it prevents.
  bool disable_isolation = false;
};

// Decides whether this process knows the newest accepted configuration
// (section 4.3).
class Freshness {
 public:
  explicit Freshness(FreshnessOptions options);

  // Takes a stamp whose age is at most `age`; returns whether it is newer than
  // what was known of that witness.
  bool OnStamp(const Stamp& stamp, Duration age, TimePoint now);

  // The number of the configuration that this process holds.
  void SetNumber(uint64_t number);

  // Proposes the witnesses of `region` by the current member table. `silent`
  // are the members that peers found dead but that may still run elsewhere
  // (Membership::MayStillRun). One of those leaves the set only while more than
  // half of the set is heard: a process that merely lost its connections keeps
  // the old set and becomes isolated.
  void SetWitnesses(const RegionName& region,
                    std::vector<InstanceId> proposed,
                    const std::set<InstanceId>& silent,
                    TimePoint now);

  // The number of entries that the platform lists in this process's region. A
  // process that has just started counts half of that number (at most 5), as
  // its member table may be that of an isolated peer.
  void SetListedEntries(size_t count);

  // Whether this process may give or take new work.
  bool MayGiveNewWork(TimePoint now);

  // Whether this process has once known that its configuration is the newest.
  // Only an admitted witness issues stamps.
  bool admitted() const { return this->is_admitted; }

  bool IsWitness() const;

  // Returns this process's next stamp, or nothing unless it is an admitted
  // witness. `age` is the time since the key-value service was asked.
  std::optional<AgedStamp> IssueStamp(bool store_reachable,
                                      Duration age,
                                      TimePoint now);

  // More than half of the region's witnesses hold `number` or a newer one.
  bool Confirmed(uint64_t number, const RegionName& region) const;

  // More than half of the region's witnesses are heard.
  bool Reachable(const RegionName& region, TimePoint now) const;

  // Stamps no older than max_age, the youngest first.
  std::vector<AgedStamp> Stamps(TimePoint now) const;

  // The number that a witness named last; 0 when it was never heard.
  uint64_t NumberOf(InstanceId witness) const;

  // The largest number that any stamp named.
  uint64_t HighestNumber() const { return this->highest; }

  const std::vector<InstanceId>& Witnesses(const RegionName& region) const;

 private:
  struct Evidence {
    Stamp stamp;
    // No later than the moment of the statement.
    TimePoint since;
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
  uint64_t highest = 0;
  uint64_t next_sequence = 1;
  bool is_admitted = false;
  // Latest moment at which a read of the key-value service showed that no
  // number above this process's own existed. News of a newer number does not
  // undo it: a change accepted after that moment need not be in force until
  // max_age later, which leaves time to pull the document.
  std::optional<TimePoint> current_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_FRESHNESS_H_
