#ifndef SRC_REQUEST_CRASH_GUARD_H_
#define SRC_REQUEST_CRASH_GUARD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "celerypost/types.h"
#include "src/request/crash_evidence.h"
#include "src/request/part_quarantine.h"
#include "src/request/request_fingerprint.h"

namespace celerypost {

// What gateways tell each other about parts of prompts, or whole requests, that
// crash targets.
struct CrashNews {
  struct Accusation {
    CrashAccusation accusation;
    std::chrono::milliseconds age{0};
  };
  struct Survival {
    PartHash part = 0;
    // Time since the last request with the part survived.
    std::chrono::milliseconds age{0};
    // Passed on between regions. Not passed on again: each hop adds its delay
    // to the time of the survival.
    bool relayed = false;
  };

  std::vector<Accusation> accusations;
  std::vector<Survival> survivals;
  std::vector<QuarantineRecord> quarantines;

  bool empty() const {
    return this->accusations.empty() && this->survivals.empty() &&
           this->quarantines.empty();
  }
};

struct CrashGuardOptions {
  CrashEvidenceOptions evidence;
  QuarantineOptions quarantine;
  // How often each item is sent, as datagrams may be lost.
  uint32_t copies = 3;
  // An item that has waited for so long is dropped: not every gateway sends to
  // other regions.
  std::chrono::milliseconds news_lifetime{5000};
  // Most accusations and survivals in one message.
  size_t max_items = 32;
  // An accusation of a part whose requests have survived before is sent only
  // after this long: most such parts are acquitted by then.
  std::chrono::milliseconds known_part_news_delay{400};
  // The first accusation of a part by this gateway is sent only after this
  // long: most requests that broke survive their repeat by then.
  std::chrono::milliseconds first_crash_news_delay{0};
  // Survivals of parts that nothing accuses are not kept.
  bool keeps_survivals_of_suspects_only = false;
  // Shortest time between two reports that requests with a part survive.
  std::chrono::milliseconds survival_news_period{500};
  // Longest time between two messages that list all quarantines to the own
  // region, for gateways that have just started. It holds for this many
  // gateways and grows with their number.
  std::chrono::milliseconds quarantine_news_period{1000};
  size_t gateways_per_quarantine_news_period = 36;
  // A gateway probes only after it has been the one to do so for this long, as
  // another may not know yet that it no longer is.
  std::chrono::milliseconds probe_handover{3000};
  // A request that broke at a target is not repeated when one of its parts is
  // accused by this many crashes.
  size_t max_crashes_to_repeat = 1;
};

// Options of a guard that judges whole requests by their fingerprints. Most are
// sent once, so nothing is known of a request before it breaks.
CrashGuardOptions WholeRequestGuardOptions();

// The receivers of news.
enum class NewsScope : uint8_t {
  // The gateways of the own region.
  kRegion,
  // One gateway of each other region.
  kOtherRegions,
};

// Decides which requests are not sent because a part of their prompt crashes
// targets. Each gateway sees only some of the crashes, so gateways exchange
// what accuses and acquits a part; whichever has enough evidence first
// quarantines the part and tells the others.
//
// A second guard does the same for requests that crash targets as a whole: its
// only part of a request is the RequestFingerprint.
class CrashGuard {
 public:
  // Called when a part is quarantined or its quarantine is lifted. `crashes` is
  // the number of crashes that this gateway knows to accuse it.
  using OnChange =
      std::function<void(const QuarantineRecord& record, size_t crashes)>;

  // `self` identifies this gateway among those passed to SetGateways.
  CrashGuard(CrashGuardOptions options, std::string self, OnChange on_change);

  // Returns whether a request with these parts may be sent, and begins a probe
  // if it is one.
  bool MaySend(const std::vector<PartHash>& parts, TimePoint now);
  // Returns whether a request that broke at a target may be sent to another.
  bool MayRepeat(const std::vector<PartHash>& parts, TimePoint now) const;
  // When a request that MaySend turns away may be sent.
  std::chrono::milliseconds TimeLeft(const std::vector<PartHash>& parts,
                                     TimePoint now) const {
    return this->quarantine.TimeLeft(parts, now);
  }

  // Whether any part is accused or quarantined. While none is, MaySend and
  // MayRepeat return true and the parts of surviving requests don't matter if
  // `keeps_survivals_of_suspects_only` is set.
  bool HasSuspects() const {
    return !this->evidence.empty() || !this->quarantine.parts().empty();
  }

  // A request survived: its target did not crash on it. Without shared parts it
  // only counts towards the share of requests that survive.
  void OnSurvived(const std::vector<PartHash>& parts, TimePoint now);
  // A target has begun to answer a request that was sent to it at `sent_at`.
  void OnAnswerBegan(TargetStartHash target_start, TimePoint sent_at) {
    this->evidence.OnAnswerBegan(target_start, sent_at);
  }
  // The connection to the target ended before the request survived.
  void OnBroken(const std::vector<PartHash>& parts,
                TargetStartHash target_start,
                TimePoint now);
  // Crashes for which `other` holds something responsible accuse no part here.
  void TakeExplanations(const CrashGuard& other) {
    this->evidence.Explain(other.evidence.explained());
  }
  // Quarantines the parts for which the evidence suffices. Call at intervals.
  void Judge(TimePoint now);

  // Replaces the gateways that may be running, this one included. For each part
  // one of them sends the probes.
  void SetGateways(std::vector<std::string> gateways) {
    this->gateways = std::move(gateways);
    this->evidence.SetGateways(this->gateways.size());
  }

  // Takes over news from a gateway; `scope` is where the sender is.
  void OnNews(const CrashNews& news, NewsScope scope, TimePoint now);
  // Returns what has to be sent to the gateways of `scope` now.
  CrashNews TakeNews(NewsScope scope, TimePoint now);

  const PartQuarantine& quarantines() const { return this->quarantine; }

 private:
  // Copies that are still to be sent, by NewsScope.
  struct Copies {
    uint32_t left[2] = {0, 0};
  };
  template <typename Item>
  struct Pending {
    Item item;
    TimePoint not_before{};
    Copies copies;
  };
  struct TimedAccusation {
    CrashAccusation accusation;
    TimePoint at{};
  };
  struct TimedSurvival {
    PartHash part = 0;
    TimePoint at{};
    bool relayed = false;
  };

  // News from this gateway go to both scopes, news from one go to the other:
  // its own gateways have them from the sender.
  Copies CopiesFor(const NewsScope* from) const;
  bool IsProber(PartHash part) const;
  bool MayProbe(PartHash part, TimePoint now) const;
  void UpdateProber(TimePoint now);
  std::chrono::milliseconds NextQuarantineNews(TimePoint now) const;
  // Lifts the quarantine of a part if a request with it has survived since.
  void LiftIfSurvived(PartHash part, TimePoint now);
  // Passes on when a request with the part survived at this gateway.
  void AnnounceOwnSurvival(PartHash part, TimePoint now);
  void RelaySurvival(PartHash part,
                     TimePoint at,
                     NewsScope from,
                     TimePoint now);
  void AnnounceSurvival(const TimedSurvival& survival,
                        const NewsScope* from,
                        TimePoint now);
  void AnnounceQuarantine(PartHash part, const NewsScope* from, TimePoint now);

  CrashGuardOptions options;
  std::string self;
  OnChange on_change;
  std::vector<std::string> gateways;
  CrashEvidence evidence;
  PartQuarantine quarantine;
  std::deque<Pending<TimedAccusation>> accusations;
  std::deque<Pending<TimedSurvival>> survivals;
  std::deque<Pending<PartHash>> changed_quarantines;
  // Parts for which `on_change` was last called with a quarantine.
  std::set<PartHash> reported;
  // By part and whether the news was passed on between regions.
  std::map<std::pair<PartHash, bool>, TimePoint> last_survival_news;
  // Quarantined parts that this gateway probes, and since when.
  std::map<PartHash, TimePoint> prober_since;
  TimePoint next_quarantine_news{};
};

}  // namespace celerypost

#endif  // SRC_REQUEST_CRASH_GUARD_H_
