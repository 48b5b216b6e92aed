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

namespace celerypost {

struct ClusterViewOptions {
  // How long a target whose registration was removed still gets requests, for
  // those that are being sent. The news may be over a second late when the
  // connection to the key-value service has gone silent, and the drain bound
  // counts from the removal.
  std::chrono::milliseconds removal_grace{250};
  // The same for registrations that were missing when the key-value service
  // came back: they are back within two seconds, or gone.
  std::chrono::milliseconds outage_grace{2200};
  // How far in the past the naming of weights is assumed when this process did
  // not see it happen.
  std::chrono::milliseconds assumed_naming_age{3000};
};

// A target and what is believed of its registration.
struct KnownTarget {
  TargetRegistration entry;
  TimePoint read_at{};
  // Set when the registration is gone: no requests from then on.
  std::optional<TimePoint> usable_until;
};

// When operators named a version, as far as this process knows.
struct WeightNaming {
  int64_t version = 0;
  // When this process learned of the version, or the assumed time.
  TimePoint named_at{};
};

// The versions that have been named for a model, in ascending order. Each one
// sets a time from which on no older version may be used, also when a newer one
// follows before.
struct KnownWeights {
  std::vector<WeightNaming> namings;

  int64_t version() const { return this->namings.back().version; }
  // The newest version that was named at `time` or before; 0 if none was.
  int64_t NamedBy(TimePoint time) const;
  // When the first version above `version` was named.
  std::optional<TimePoint> FirstNamedAbove(int64_t version) const;
};

// Documents for a process that cannot reach the key-value service.
struct DocumentDelta {
  // False when these are all documents rather than those that changed.
  bool partial = false;
  // The revision up to which nothing is missing.
  int64_t revision = 0;
  // An empty value removes the key.
  std::vector<KeyValue> items;
  // Time since the key-value service came back after an outage, if that was
  // lately: registrations that lapsed meanwhile get longer to return.
  std::optional<std::chrono::milliseconds> regained_ago;
};

// What a process asks another one for.
struct DocumentQuestion {
  // Everything up to this revision is known.
  int64_t since = 0;
  // A stager asks: only the operators' documents, reduced.
  bool for_stager = false;
};

// One change of what this process believes, for the log.
struct ViewChange {
  std::string key;
  int64_t revision = 0;
  // "applied", "removed", "unreadable" or "older".
  std::string_view outcome;
  std::string detail;
};

// What this process knows of the operators' documents and of the targets. Each
// key only moves to a newer revision, whichever source it comes from, and the
// configuration only to a newer version.
class ClusterView {
 public:
  ClusterView(const DocumentDecoder& decoder, ClusterViewOptions options);

  // Applies single changes; an empty value removes the key.
  std::vector<ViewChange> ApplyChanges(const std::vector<KeyValue>& changes,
                                       TimePoint now);
  // Applies the whole content at `revision`: keys that are not listed and were
  // last changed before it are removed.
  std::vector<ViewChange> ApplySnapshot(const std::vector<KeyValue>& items,
                                        int64_t revision,
                                        bool after_outage,
                                        TimePoint now);
  // The key-value service answers again after an outage.
  void OnServiceRegained(TimePoint now);

  // Null until a configuration is known.
  const std::shared_ptr<const GatewayConfig>& config() const {
    return this->current_config;
  }
  const std::map<std::string, KnownTarget>& targets() const {
    return this->known_targets;
  }
  bool ZoneIsOut(const ZoneName& zone) const;
  // Null when no version has been named: targets then hold version 1.
  const KnownWeights* Weights(const std::string& model) const;
  int64_t revision() const { return this->newest_revision; }
  // Newest revision of an operators' document.
  int64_t operator_revision() const { return this->newest_operator_revision; }
  void AdvanceRevision(int64_t revision);
  // What has changed for the asking process, or everything that it wants when
  // the changes are not known completely.
  DocumentDelta Answer(const DocumentQuestion& question, TimePoint now) const;
  // Applies what Answer of another process returned.
  std::vector<ViewChange> ApplyDelta(const DocumentDelta& delta, TimePoint now);
  // Forgets targets whose grace has passed. Returns true if there were any.
  bool DropExpired(TimePoint now);

 private:
  ViewChange Apply(const KeyValue& change, bool seen_happening, TimePoint now);
  ViewChange Remove(const std::string& key,
                    int64_t revision,
                    bool lapsed,
                    TimePoint now);

  void NoteRevision(const std::string& key, int64_t revision);
  // `document` as stagers get it.
  KeyValue Reduced(const KeyValue& document) const;

  const DocumentDecoder& decoder;
  const ClusterViewOptions options;
  std::map<std::string, KeyValue> documents;
  // Revisions of removed keys, so that an older copy cannot bring one back.
  std::map<std::string, int64_t> removed;
  std::shared_ptr<const GatewayConfig> current_config;
  // The newest configuration as stagers get it; reducing it takes as long as
  // decoding it.
  mutable KeyValue reduced_config;
  std::map<std::string, KnownTarget> known_targets;
  std::map<std::string, std::string> target_of_key;
  std::map<std::string, ZoneName> zones_out;
  std::map<std::string, KnownWeights> weights;
  int64_t newest_revision = 0;
  // All removals after this revision are in `removed`.
  int64_t removals_known_since = 0;
  int64_t newest_operator_revision = 0;
  std::optional<TimePoint> regained_at;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CLUSTER_VIEW_H_
