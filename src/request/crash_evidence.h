#ifndef SRC_REQUEST_CRASH_EVIDENCE_H_
#define SRC_REQUEST_CRASH_EVIDENCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "celerypost/types.h"
#include "src/request/target_registration.h"

namespace celerypost {

// Hash of a model and the ID of a part of a prompt that requests share. The
// same in every process and for all services: routes move between services.
using PartHash = uint64_t;
PartHash HashPart(const std::string& model, const std::string& part);

// Hash of one start of a target's process.
using TargetStartHash = uint64_t;
TargetStartHash HashTargetStart(const TargetRegistration& target);

// A request with the part had not survived when its target crashed.
struct CrashAccusation {
  PartHash part = 0;
  TargetStartHash target_start = 0;
};

struct CrashEvidenceOptions {
  // A part is held responsible after crashes at this many times that no other
  // part explains. Crashes within `same_event` of each other may have one
  // cause, such as the failure of a zone, and count once.
  size_t min_events = 3;
  std::chrono::milliseconds same_event{150};
  // Other requests of this gateway that must have survived since the first
  // accusation: while none does, the parts are not the cause.
  uint64_t min_other_survivals = 5;
  // Largest expected number of parts whose requests all broke by chance, given
  // the share of other requests that broke at the same times and the number of
  // recent accusations that the part does not explain.
  double max_chance = 0.001;
  // Time from the first accusation in which other gateways can report that
  // requests with the part survive, for a part that is new to this gateway, and
  // for one whose requests have survived before: those are in progress at other
  // targets.
  std::chrono::milliseconds new_part_delay{500};
  std::chrono::milliseconds known_part_delay{2000};
  // The first delay holds for so many gateways and grows with their number, as
  // the time that news take does; it does not exceed the second one.
  size_t gateways_per_new_part_delay = 36;
  // A part that was never seen counts as new only after this gateway has seen
  // requests survive for so long.
  std::chrono::milliseconds min_history{2000};
  // Reports of one crash may differ by this much.
  std::chrono::milliseconds max_news_delay{1000};
  // Accusations are kept for this long, so that rare crashes add up.
  std::chrono::milliseconds lifetime{600000};
  // Bounds of what is kept: accused parts, crashes of each, and parts whose
  // requests have survived.
  size_t max_suspects = 512;
  size_t max_crashes_per_part = 512;
  size_t max_known_parts = 4096;
  size_t max_recent = 4096;
};

// Finds the part of a prompt that crashes the targets which begin to answer it.
//
// A crash accuses the parts of all requests at the target that had not survived
// yet, as any of them may have caused it. A request that survives acquits its
// parts of all earlier crashes. A part that is accused by several crashes and
// never acquitted is held responsible, the one with the most crashes first, and
// explains them: other parts are no longer accused by these. Targets also crash
// for other reasons, many at once when a zone fails; the share of other
// requests that broke at the time of a crash says how much the crash proves.
class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options);

  // Sets the number of gateways that are running.
  void SetGateways(size_t count) { this->gateways = count; }

  // A request of this gateway, with any parts, broke before it survived, or
  // survived. Both count towards the share of requests that break.
  void OnBroken(const std::vector<PartHash>& parts,
                TargetStartHash target_start,
                TimePoint now);
  void OnSurvived(const std::vector<PartHash>& parts, TimePoint now);
  // A target has begun to answer a request that was sent to it at `sent_at`, so
  // it had not crashed until then: earlier breaks there accuse nothing.
  void OnAnswerBegan(TargetStartHash target_start, TimePoint sent_at);

  // The same from another gateway, for one part. Return whether it was new.
  bool AddAccusation(const CrashAccusation& accusation, TimePoint at);
  bool AddSurvival(PartHash part, TimePoint at);

  // Returns the parts that are held responsible, apart from `quarantined` ones,
  // which explain their crashes already.
  std::vector<PartHash> Judge(const std::set<PartHash>& quarantined,
                              TimePoint now);

  // Returns the number of crashes that accuse the part and from which it has
  // not been acquitted.
  size_t Crashes(PartHash part) const;
  // Returns whether any part is accused.
  bool empty() const { return this->suspects.empty(); }
  // When a request with the part last survived; the start of time if none is
  // known to have.
  TimePoint LastSurvival(PartHash part) const;
  // The same for requests of this gateway.
  TimePoint LastOwnSurvival(PartHash part) const;
  // Crashes for which a part was held responsible, and when they happened. They
  // accuse no other part.
  const std::unordered_map<TargetStartHash, TimePoint>& explained() const {
    return this->explained_crashes;
  }
  // Takes over crashes that are explained by something else than a part.
  void Explain(const std::unordered_map<TargetStartHash, TimePoint>& crashes);
  // Drops what accuses a part, after a quarantine of it was lifted.
  void Forget(PartHash part) { this->suspects.erase(part); }

 private:
  struct Accusation {
    TimePoint at{};
    // `total_survived` at the time at which this gateway learned of the crash.
    uint64_t survived_before = 0;
    // A request of this gateway broke, which the shares count.
    bool own = false;
    TargetStartHash target_start = 0;
  };
  struct Suspect {
    std::map<TargetStartHash, Accusation> crashes;
    TimePoint last_crash{};
  };
  struct Survival {
    TimePoint at{};
    // Of a request of this gateway.
    TimePoint own_at{};
  };
  // Requests of this gateway in one second.
  struct Outcomes {
    uint32_t survived = 0;
    std::map<TargetStartHash, uint32_t> broken;
  };

  bool Accuse(PartHash part,
              TargetStartHash target_start,
              TimePoint at,
              bool own);
  // Returns the crashes of `suspect` that no other part explains, in the order
  // of time.
  std::vector<Accusation> Unexplained(const Suspect& suspect) const;
  // Returns whether the accusations suffice to hold the part responsible.
  bool Suffices(PartHash part,
                const std::vector<Accusation>& accusations,
                TimePoint now) const;
  // Returns the share of requests that broke around `time`, without those that
  // `accusations` counts.
  double BrokenShare(TimePoint time,
                     const std::vector<Accusation>& accusations) const;
  double BrokenShareSince(std::chrono::seconds before,
                          TimePoint time,
                          const std::vector<Accusation>& accusations) const;
  std::chrono::milliseconds NewPartDelay() const;
  // Returns the number of recent accusations, of any part, that come from other
  // crashes than those of `part`.
  size_t CountOthers(PartHash part) const;
  // Whether the part was never seen although this gateway has run for long
  // enough.
  bool IsNew(PartHash part, TimePoint now) const;
  void DropExpired(TimePoint now);
  Outcomes& OutcomesAt(TimePoint now);

  CrashEvidenceOptions options;
  std::map<PartHash, Suspect> suspects;
  std::unordered_map<PartHash, Survival> survivals;
  // Requests of this gateway that have survived since the start.
  uint64_t total_survived = 0;
  size_t gateways = 1;
  // Times of recent accusations, also of parts that were acquitted.
  std::unordered_map<TargetStartHash, std::map<PartHash, TimePoint>> recent;
  size_t recent_count = 0;
  // Crashes for which a part was held responsible. They accuse no other part,
  // also after the part was acquitted.
  std::unordered_map<TargetStartHash, TimePoint> explained_crashes;
  TimePoint next_cleaning{};
  // By second since the clock's epoch.
  std::map<int64_t, Outcomes> outcomes;
  // When a request of this gateway first survived.
  TimePoint first_survival = TimePoint::max();
};

}  // namespace celerypost

#endif  // SRC_REQUEST_CRASH_EVIDENCE_H_
