#ifndef SRC_REQUEST_PART_QUARANTINE_H_
#define SRC_REQUEST_PART_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "celerypost/types.h"
#include "src/request/crash_evidence.h"

namespace celerypost {

// What gateways tell each other of a quarantined part. Of two records of one
// part, the one with the higher round holds; within a round, the one that lifts
// the quarantine.
struct QuarantineRecord {
  PartHash part = 0;
  // Number of times that the part was quarantined, including probes that
  // failed.
  uint32_t round = 0;
  bool lifted = false;
  // Time until a probe is due.
  std::chrono::milliseconds left{0};
};

struct QuarantineOptions {
  // Time until a probe, in the first round; doubles with each further one up to
  // `max_period`. A failed probe costs a target, so each probe begins a round:
  // one without a result counts as failed.
  std::chrono::milliseconds first_period{30000};
  std::chrono::milliseconds max_period{600000};
  // A record is dropped when no request has needed it for so long.
  std::chrono::milliseconds lifetime{1800000};
  size_t max_parts = 64;
};

// The parts of prompts that are quarantined: requests with them are not sent.
// After a while one gateway sends one such request as a probe, which lifts the
// quarantine or prolongs it.
class PartQuarantine {
 public:
  enum class Admission : uint8_t { kFree, kProbe, kQuarantined };

  explicit PartQuarantine(QuarantineOptions options) : options(options) {}

  // Quarantines a part that is held responsible for crashes.
  void Add(PartHash part, TimePoint now);
  // Takes over another gateway's record. Returns whether it replaced the known
  // one.
  bool Merge(const QuarantineRecord& record, TimePoint now);

  // Returns whether a request with these parts may be sent. `may_probe` says
  // whether this gateway is the one that probes a part; kProbe begins a probe.
  Admission Admit(const std::vector<PartHash>& parts,
                  const std::map<PartHash, bool>& may_probe,
                  TimePoint now);
  // Returns whether any of the parts is quarantined.
  bool Contains(const std::vector<PartHash>& parts) const;
  // Returns the longest time until a probe of one of the parts is due.
  std::chrono::milliseconds TimeLeft(const std::vector<PartHash>& parts,
                                     TimePoint now) const;

  // A request with the part survived at `at`. Returns whether that lifted a
  // quarantine, which began before.
  bool OnSurvived(PartHash part, TimePoint at, TimePoint now);

  // Returns the quarantined parts.
  const std::set<PartHash>& parts() const { return this->active; }
  // Returns all records, for other gateways.
  std::vector<QuarantineRecord> Records(TimePoint now) const;
  std::optional<QuarantineRecord> RecordOf(PartHash part, TimePoint now) const;
  void DropExpired(TimePoint now);

 private:
  struct State {
    uint32_t round = 0;
    bool lifted = false;
    TimePoint began_at{};
    TimePoint probe_at{};
    // Last use of the record.
    TimePoint used_at{};
  };

  std::chrono::milliseconds Period(uint32_t round) const;
  void Begin(State& state, uint32_t round, TimePoint now);
  void UpdateActive(PartHash part, const State& state);
  QuarantineRecord ToRecord(PartHash part,
                            const State& state,
                            TimePoint now) const;

  QuarantineOptions options;
  std::map<PartHash, State> states;
  std::set<PartHash> active;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_PART_QUARANTINE_H_
