#ifndef SRC_PROCESS_STATE_CLUSTER_VIEW_H_
#define SRC_PROCESS_STATE_CLUSTER_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/types.h"
#include "src/process/key_value_client.h"
#include "src/process/state/cluster_document.h"
#include "src/process/state/document_progress.h"
#include "src/process/state/service_availability.h"

namespace celerypost {

struct ClusterViewOptions {
  // How long a target stays usable after its registration was removed, so that
  // requests that are being sent still reach it. This process may learn of the
  // removal more than a second late, when its connection to the key-value
  // service is silent, while the drain bound counts from the removal itself.
  std::chrono::milliseconds removal_grace{250};
  // Time since the end of an outage of the key-value service for which targets
  // whose registrations lapsed in it stay usable. A target that still runs
  // registers again within two seconds.
  std::chrono::milliseconds outage_grace{2200};
  // How long documents of an older era that the new era lacks stay in force.
  // Meanwhile those who wrote them write them again.
  std::chrono::milliseconds restore_grace{5000};
  // The same for registrations of this project's processes, which may learn of
  // the new era only by their next renewal.
  std::chrono::milliseconds registration_grace{10000};
  // Number of removals that are remembered.
  size_t max_removals = 4096;
  // Assumed age of the naming of a weight version that this process found in
  // its first snapshot, so that it did not see when operators named it, unless
  // a peer did.
  std::chrono::milliseconds assumed_naming_age{3000};
  // Prefix of the keys under which this project's processes register. Stagers
  // get them with the operators' documents. None when empty.
  std::string registration_prefix{};
  ServiceAvailabilityOptions availability{};
};

// A target and the state of its registration.
struct KnownTarget {
  TargetRegistration entry;
  TimePoint read_at{};
  // Set when the registration is gone: no requests are sent from this time on.
  std::optional<TimePoint> usable_until{};
  // Set when the registration is gone: when this process read that.
  std::optional<TimePoint> removed_at{};
  // Whether the registration is taken for one that lapsed in an outage.
  bool may_have_lapsed = false;
};

// A weight version that operators named as the one to serve.
struct WeightNaming {
  int64_t version = 0;
  // A time at which the version was not named yet, as late as is known: the
  // bound counts from the naming, which a process may learn of late.
  TimePoint named_at{};
  // Whether the version may have been named before `named_at`, which is then
  // not told to peers.
  bool assumed = false;
  // Set when `named_at` assumes that the key-value service was away for all
  // until then: the time up to which this process knew of all changes.
  std::optional<TimePoint> current_at{};
};

// A naming as one process tells it another.
struct ReportedNaming {
  std::string model;
  int64_t version = 0;
  std::chrono::milliseconds named_ago{0};
};

// The versions that have been named for a model, in ascending order. Once the
// version bound has passed since the naming of a version, no older version may
// be used. Naming a newer version before then does not postpone that time.
struct KnownWeights {
  std::vector<WeightNaming> namings;

  int64_t version() const { return this->namings.back().version; }
  // Returns the newest version that was named at `time` or before; 0 if none
  // was.
  int64_t NewestNamedAt(TimePoint time) const;
  // Returns when the first version above `version` was named.
  std::optional<TimePoint> FirstNamedAbove(int64_t version) const;
};

// Documents that a process gets from a peer while it does not read the
// key-value service itself.
struct DocumentDelta {
  // Whether `items` holds only the changes rather than all documents.
  bool partial = false;
  // All changes up to this revision are included.
  int64_t revision = 0;
  // Era of `revision`. Items of an older era are those that the new one lacks
  // and that are still in force.
  int64_t era = 0;
  // An empty value removes the key.
  std::vector<KeyValue> items;
  // When the key-value service answered, as far as the sender knows.
  std::optional<ReportedAnswers> answers;
  // The namings whose time is not assumed.
  std::vector<ReportedNaming> namings;
  // Time since the sender knew of all changes (ClusterView::current_at).
  std::optional<std::chrono::milliseconds> current_ago;

  // Adds the longest time that the delta may have been on its way.
  void AddToAges(std::chrono::milliseconds transit);
};

// A request for documents to another process.
struct DocumentQuery {
  // The asking process knows all changes up to this position.
  StorePosition since;
  // The asking process is a stager: it gets only the operators' documents,
  // reduced by DocumentDecoder::ReduceForStagers, and the registrations of this
  // project's processes.
  bool for_stager = false;
};

// The outcome of applying one document, for the log.
struct ViewChange {
  std::string key;
  StorePosition position;
  // "applied", "removed", "unreadable" or "older".
  std::string_view outcome;
  // What was applied or removed, or why the document is older.
  std::string detail;
};

// The operators' documents and the targets that this process knows, from the
// key-value service or from peers. Within an era a key is only replaced by a
// newer revision, whichever source it comes from.
//
// When the service begins a new era, its content is older than what was known.
// Configurations and weights are then ordered by version, and statements of a
// target by its start and sequence; none of them goes back. Other documents
// have no order of their own: those that the new era lacks stay in force, and
// those that were removed stay removed, until they are written again or the
// grace of ClusterViewOptions has passed.
class ClusterView {
 public:
  ClusterView(const DocumentDecoder& decoder, ClusterViewOptions options);

  // Applies single changes; an empty value removes the key.
  std::vector<ViewChange> ApplyChanges(const std::vector<KeyValue>& changes,
                                       TimePoint now);
  // Applies the whole content at `position`: known keys of its era that are not
  // listed and were last changed at or before it are removed. Content of an
  // older era removes nothing.
  std::vector<ViewChange> ApplySnapshot(const std::vector<KeyValue>& items,
                                        StorePosition position,
                                        TimePoint now);
  // The key-value service, in `era`, answered a call of this process at a time
  // from `earliest` to `latest`. Call before what the answer holds is applied.
  void NoteAnswer(int64_t era, TimePoint earliest, TimePoint latest) {
    this->service.NoteAnswer(era, earliest, latest);
  }
  // The key-value service did not answer a call of this process that was sent
  // at `time`.
  void NoteFailure(TimePoint time) { this->service.NoteFailure(time); }
  // Takes over what a peer has told of the key-value service, with AddTransit
  // applied. If the report shows that there was no outage, registrations that
  // were taken for lapsed have left; returns their removals.
  std::vector<ViewChange> ApplyAnswers(const ReportedAnswers& answers,
                                       TimePoint now);
  // When the key-value service was away for all processes.
  const ServiceAvailability& availability() const { return this->service; }
  // All changes that were made before `time` are known, apart from those that
  // are applied next.
  void NoteCurrent(TimePoint time);
  // The key-value service did not answer a call that was sent at `time`.
  // Operators of a service that is away for all make no changes. Even if no
  // peer is known to have been answered then, it may have been away for this
  // process alone, so the time is not told to peers.
  void NoteAway(TimePoint time);
  // The latest time given to NoteCurrent.
  const std::optional<TimePoint>& current_at() const {
    return this->known_current_at;
  }

  // Null until a configuration is known.
  const std::shared_ptr<const GatewayConfig>& config() const {
    return this->current_config;
  }
  const std::map<std::string, KnownTarget>& targets() const {
    return this->known_targets;
  }
  bool ZoneIsOut(const ZoneName& zone) const;
  // All documents as they are stored, by key.
  const std::map<std::string, KeyValue>& stored() const {
    return this->documents;
  }
  // Null when no version has been named: targets then hold version 1.
  const KnownWeights* Weights(const std::string& model) const;
  // The newest position whose changes are known.
  StorePosition position() const { return this->newest; }
  DocumentProgress progress() const;
  // Returns the number of documents in force that the current era lacks.
  size_t CountOlderEras() const;
  // Changes whenever MakeDelta may return other documents.
  uint64_t changes() const { return this->change_count; }
  // Returns the changes that the asking process lacks, or all documents for it
  // when this process does not know all removals since `query.since`.
  DocumentDelta MakeDelta(const DocumentQuery& query, TimePoint now) const;
  // Applies the result of MakeDelta of another process.
  std::vector<ViewChange> ApplyDelta(const DocumentDelta& delta, TimePoint now);
  // Removes targets whose grace period has passed. Returns whether there were
  // any.
  bool DropExpired(TimePoint now);
  // Once the grace after the begin of an era has passed, removes the documents
  // that it lacks and applies those that were held back.
  std::vector<ViewChange> Settle(TimePoint now);

 private:
  // The order of the statements of one target.
  struct Statement {
    std::chrono::milliseconds started_at{0};
    int64_t sequence = 0;
  };
  struct Removal {
    StorePosition at;
    // Revision of the document that was removed.
    int64_t put_revision = 0;
    // The last statement of a removed target.
    std::optional<Statement> statement;
  };
  enum class Order { kOlder, kSame, kNewer };
  struct Comparison {
    Order order = Order::kNewer;
    std::string_view reason;
  };

  // `observed`: this process saw the change as it happened, rather than found
  // it in its first snapshot.
  ViewChange Apply(const KeyValue& change, bool observed, TimePoint now);
  ViewChange Remove(const std::string& key,
                    StorePosition position,
                    TimePoint now);
  // Limits the use of a target whose registration was removed; returns the
  // reason for the log. The removal counts as a lapse if it was read within the
  // outage grace after an outage.
  std::string Retire(KnownTarget& target, TimePoint now);
  // The target may have lapsed in the last outage.
  void LimitToOutageGrace(KnownTarget& target, TimePoint now);
  // Returns the end of the outage grace after the last outage; nothing if none
  // is known.
  std::optional<TimePoint> OutageGraceEnd() const;
  // Judges the targets that may have lapsed by what is now known of the outage.
  // Returns the removals of those that have left.
  std::vector<ViewChange> ReviewLapses();
  ViewChange ApplyUnreadable(const KeyValue& change,
                             std::string message,
                             TimePoint now);
  // Compares `change`, which is not older by its revision, with what is known
  // of its key.
  Comparison Compare(const KeyValue& change,
                     const ClusterDocument& document,
                     TimePoint now) const;
  Comparison CompareTarget(const KeyValue& change,
                           const TargetRegistration& target,
                           TimePoint now) const;
  // For documents without an order of their own.
  Comparison CompareEras(const KeyValue& change, TimePoint now) const;
  // Keeps a known document in place of `change`, which is not newer.
  void KeepKnown(const KeyValue& change,
                 const ClusterDocument& document,
                 Order order);
  void BeginEra(StorePosition position, TimePoint now);
  // Limits the use of targets that the current era lacks.
  void LapseTargetsOfOlderEras(TimePoint now);
  // When the registration or removal of `key` was last changed.
  std::optional<StorePosition> SeenAt(const std::string& key) const;
  std::optional<Statement> LastStatement(const std::string& key) const;
  // How long a document with this key stays in force if the era lacks it;
  // nothing for documents that are ordered by version.
  std::optional<std::chrono::milliseconds> GraceOf(
      const std::string& key) const;
  void ForgetOldRemovals();
  void Advance(StorePosition position);
  void NoteRevision(const std::string& key, StorePosition position);
  // Returns the naming of `version` that this process learns of at `now`.
  WeightNaming MakeNaming(int64_t version, bool observed, TimePoint now) const;
  // Dates namings back that were made while the key-value service was away for
  // this process alone.
  void ReviewNamings();
  // Takes over the time of a naming from a process that may have seen it
  // earlier.
  void ApplyNaming(const ReportedNaming& reported, TimePoint now);
  // Whether stagers get the document with this key.
  bool ConcernsStagers(const std::string& key) const;
  // Returns `document` as stagers get it.
  KeyValue Reduced(const KeyValue& document) const;

  const DocumentDecoder& decoder;
  const ClusterViewOptions options;
  std::map<std::string, KeyValue> documents;
  // The removal of each removed key, so that an older copy cannot restore it.
  std::map<std::string, Removal> removed;
  // Documents that an older era removed and that the current one has again.
  std::map<std::string, KeyValue> held_back;
  std::shared_ptr<const GatewayConfig> current_config;
  // Cache of the newest configuration as stagers get it, since reducing it
  // takes as long as decoding it.
  mutable KeyValue reduced_config;
  std::map<std::string, KnownTarget> known_targets;
  std::map<std::string, std::string> target_of_key;
  std::map<std::string, ZoneName> zones_out;
  std::map<std::string, KnownWeights> weights;
  StorePosition newest;
  // All removals of the current era after this revision are in `removed`.
  int64_t removals_known_since = 0;
  // Newest revision of an operators' document in the current era.
  int64_t newest_operator_revision = 0;
  TimePoint era_began{};
  // Revision of the first snapshot of the era: what was written before the
  // restore has no higher one.
  int64_t copied_until = 0;
  uint64_t change_count = 0;
  // Whether documents of older eras have been settled.
  bool settled = true;
  ServiceAvailability service;
  // Whether ReviewLapses may find targets that have lapsed.
  bool may_have_lapses = false;
  std::optional<TimePoint> known_current_at;
  std::optional<TimePoint> known_away_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CLUSTER_VIEW_H_
