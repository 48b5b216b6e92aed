#include "src/process/state/cluster_view.h"

#include <algorithm>
#include <utility>

namespace celerypost {

namespace {

constexpr std::string_view kSameStatement = "same statement";

}  // namespace

int64_t KnownWeights::NewestNamedAt(TimePoint time) const {
  int64_t newest = 0;
  for (const WeightNaming& naming : this->namings) {
    if (naming.named_at <= time) {
      newest = naming.version;
    }
  }
  return newest;
}

std::optional<TimePoint> KnownWeights::FirstNamedAbove(int64_t version) const {
  for (const WeightNaming& naming : this->namings) {
    if (naming.version > version) {
      return naming.named_at;
    }
  }
  return std::nullopt;
}

void DocumentDelta::AddToAges(std::chrono::milliseconds transit) {
  for (ReportedNaming& naming : this->namings) {
    naming.named_ago += transit;
  }
  if (this->current_ago) {
    *this->current_ago += transit;
  }
  if (this->answers) {
    this->answers->AddTransit(transit);
  }
}

ClusterView::ClusterView(const DocumentDecoder& decoder,
                         ClusterViewOptions options)
    : decoder(decoder),
      options(std::move(options)),
      service(this->options.availability) {}

std::vector<ViewChange> ClusterView::ApplyChanges(
    const std::vector<KeyValue>& changes,
    TimePoint now) {
  ++this->change_count;
  std::vector<ViewChange> applied;
  for (const KeyValue& change : changes) {
    const auto known = this->documents.find(change.key);
    if (known != this->documents.end() && !change.value.empty() &&
        known->second.position() == change.position()) {
      continue;
    }
    applied.push_back(change.value.empty()
                          ? this->Remove(change.key, change.position(), now)
                          : this->Apply(change, /*observed=*/true, now));
    this->Advance(change.position());
  }
  return applied;
}

std::vector<ViewChange> ClusterView::ApplySnapshot(
    const std::vector<KeyValue>& items,
    StorePosition position,
    TimePoint now) {
  ++this->change_count;
  std::vector<ViewChange> applied;
  const bool first = this->newest == StorePosition();
  if (first || position.era > this->newest.era) {
    this->BeginEra(position, now);
  }
  std::set<std::string> listed;
  for (const KeyValue& item : items) {
    // A peer also lists documents that the era lacks.
    if (item.era == position.era || !this->GraceOf(item.key)) {
      listed.insert(item.key);
    }
    const auto known = this->documents.find(item.key);
    if (known != this->documents.end() &&
        known->second.position() == item.position()) {
      continue;
    }
    applied.push_back(this->Apply(item, !first, now));
  }
  if (position.era < this->newest.era) {
    return applied;
  }
  const auto is_missing = [&](const auto& document) {
    return !listed.contains(document.first) &&
           document.second.era == position.era &&
           document.second.position() <= position;
  };
  std::vector<std::string> missing;
  for (const auto& document : this->documents) {
    if (is_missing(document)) {
      missing.push_back(document.first);
    }
  }
  std::erase_if(this->held_back, is_missing);
  for (const std::string& key : missing) {
    applied.push_back(this->Remove(key, position, now));
  }
  this->LapseTargetsOfOlderEras(now);
  if (position > this->newest) {
    // Keys may have come and gone between the two positions.
    this->removals_known_since = position.revision;
  }
  this->Advance(position);
  return applied;
}

void ClusterView::BeginEra(StorePosition position, TimePoint now) {
  this->newest = {position.era, 0};
  this->newest_operator_revision = 0;
  this->removals_known_since = 0;
  this->held_back.clear();
  this->era_began = now;
  this->copied_until = position.revision;
  this->settled = false;
}

void ClusterView::LapseTargetsOfOlderEras(TimePoint now) {
  for (const auto& [key, id] : this->target_of_key) {
    const auto document = this->documents.find(key);
    const auto target = this->known_targets.find(id);
    if (document != this->documents.end() &&
        document->second.era < this->newest.era &&
        target != this->known_targets.end() && !target->second.usable_until) {
      this->LimitToOutageGrace(target->second, now);
    }
  }
}

void ClusterView::LimitToOutageGrace(KnownTarget& target, TimePoint now) {
  const auto grace_end = this->OutageGraceEnd();
  target.usable_until = grace_end.value_or(now + this->options.outage_grace);
  target.removed_at = now;
  target.may_have_lapsed = grace_end.has_value();
  this->may_have_lapses = true;
}

std::optional<TimePoint> ClusterView::OutageGraceEnd() const {
  const auto outage = this->service.last_outage();
  return outage ? std::optional(outage->ended_at + this->options.outage_grace)
                : std::nullopt;
}

std::string ClusterView::Retire(KnownTarget& target, TimePoint now) {
  const auto outage = this->service.last_outage();
  if (!outage || now >= outage->ended_at + this->options.outage_grace) {
    target.usable_until = now + this->options.removal_grace;
    target.removed_at = now;
    return "left";
  }
  this->LimitToOutageGrace(target, now);
  return "lapsed in an outage that ended " +
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            now - outage->ended_at)
                            .count()) +
         " ms ago";
}

std::vector<ViewChange> ClusterView::ApplyAnswers(
    const ReportedAnswers& answers,
    TimePoint now) {
  this->service.ApplyReport(answers, now);
  this->ReviewNamings();
  return this->ReviewLapses();
}

std::vector<ViewChange> ClusterView::ReviewLapses() {
  std::vector<ViewChange> changes;
  if (!this->may_have_lapses) {
    return changes;
  }
  this->may_have_lapses = false;
  const auto grace_end = this->OutageGraceEnd();
  for (auto& [id, target] : this->known_targets) {
    if (!target.may_have_lapsed) {
      continue;
    }
    const TimePoint read_at = *target.removed_at;
    const bool lapsed = grace_end && read_at < *grace_end;
    // A later outage doesn't extend the use.
    target.usable_until =
        std::min(*target.usable_until,
                 lapsed ? *grace_end : read_at + this->options.removal_grace);
    this->may_have_lapses = this->may_have_lapses || lapsed;
    if (!lapsed) {
      target.may_have_lapsed = false;
      changes.push_back({std::string(this->decoder.TargetPrefix()) + id,
                         this->newest, "removed",
                         "left; peers were answered in the meantime"});
    }
  }
  return changes;
}

std::optional<StorePosition> ClusterView::SeenAt(const std::string& key) const {
  const auto known = this->documents.find(key);
  if (known != this->documents.end()) {
    return known->second.position();
  }
  const auto gone = this->removed.find(key);
  return gone == this->removed.end() ? std::nullopt
                                     : std::optional(gone->second.at);
}

std::optional<ClusterView::Statement> ClusterView::LastStatement(
    const std::string& key) const {
  const auto known = this->documents.find(key);
  if (known != this->documents.end() && this->target_of_key.contains(key)) {
    const auto decoded = this->decoder.Decode(key, known->second.value);
    if (decoded && std::holds_alternative<TargetRegistration>(*decoded)) {
      const auto& target = std::get<TargetRegistration>(*decoded);
      return Statement{target.started_at, target.sequence};
    }
  }
  const auto gone = this->removed.find(key);
  return gone == this->removed.end() ? std::nullopt : gone->second.statement;
}

ClusterView::Comparison ClusterView::Compare(const KeyValue& change,
                                             const ClusterDocument& document,
                                             TimePoint now) const {
  const auto by_version = [](int64_t version, int64_t in_force) {
    return version > in_force   ? Comparison{Order::kNewer, {}}
           : version < in_force ? Comparison{Order::kOlder, "version"}
                                : Comparison{Order::kSame, "same version"};
  };
  if (const auto* config =
          std::get_if<std::shared_ptr<const GatewayConfig>>(&document)) {
    return this->current_config
               ? by_version((*config)->version, this->current_config->version)
               : Comparison{};
  }
  if (const auto* named = std::get_if<NamedWeights>(&document)) {
    const KnownWeights* const held = this->Weights(named->model);
    return held == nullptr ? Comparison{}
                           : by_version(named->version, held->version());
  }
  if (const auto* target = std::get_if<TargetRegistration>(&document)) {
    return this->CompareTarget(change, *target, now);
  }
  return this->CompareEras(change, now);
}

ClusterView::Comparison ClusterView::CompareTarget(
    const KeyValue& change,
    const TargetRegistration& target,
    TimePoint now) const {
  const auto seen = this->SeenAt(change.key);
  const auto last = this->LastStatement(change.key);
  if (!seen || !last) {
    return this->CompareEras(change, now);
  }
  if (seen->era == change.era) {
    return {};
  }
  const bool starts_known =
      target.started_at.count() != 0 && last->started_at.count() != 0;
  if (starts_known && target.started_at != last->started_at) {
    return target.started_at > last->started_at
               ? Comparison{}
               : Comparison{Order::kOlder, "earlier start"};
  }
  if (target.sequence > last->sequence) {
    return {};
  }
  if (target.sequence < last->sequence ||
      !this->documents.contains(change.key)) {
    return {Order::kOlder, "earlier statement"};
  }
  return this->known_targets.contains(target.id)
             ? Comparison{Order::kSame, kSameStatement}
             : Comparison{};
}

ClusterView::Comparison ClusterView::CompareEras(const KeyValue& change,
                                                 TimePoint now) const {
  const auto seen = this->SeenAt(change.key);
  const auto grace =
      this->GraceOf(change.key).value_or(this->options.restore_grace);
  const bool in_grace = now - this->era_began < grace;
  if (change.era < this->newest.era && (seen || !in_grace)) {
    return {Order::kOlder, "older era"};
  }
  const auto gone = this->removed.find(change.key);
  // A copy has the revision with which the removed document was written.
  if (seen && in_grace && change.mod_revision <= this->copied_until &&
      gone != this->removed.end() && gone->second.at.era < change.era &&
      gone->second.put_revision == change.mod_revision) {
    return {Order::kOlder, "removed before the new era"};
  }
  return {};
}

std::optional<std::chrono::milliseconds> ClusterView::GraceOf(
    const std::string& key) const {
  if (!this->options.registration_prefix.empty() &&
      key.starts_with(this->options.registration_prefix)) {
    return this->options.registration_grace;
  }
  const bool by_version = key.starts_with(this->decoder.OperatorPrefix()) &&
                          !this->zones_out.contains(key) &&
                          !this->target_of_key.contains(key);
  return by_version ? std::nullopt : std::optional(this->options.restore_grace);
}

void ClusterView::KeepKnown(const KeyValue& change,
                            const ClusterDocument& document,
                            Order order) {
  const auto known = this->documents.find(change.key);
  const bool is_target = std::holds_alternative<TargetRegistration>(document);
  if (known == this->documents.end()) {
    if (order == Order::kSame) {
      this->removed.erase(change.key);
      this->documents[change.key] = change;
    } else if (!is_target && change.era == this->newest.era &&
               this->removed.contains(change.key)) {
      this->held_back[change.key] = change;
    }
    return;
  }
  if (change.position() <= known->second.position()) {
    return;
  }
  // The era has the key, so that the known document holds there, too.
  if (order == Order::kSame) {
    known->second = change;
  } else if (is_target) {
    known->second.mod_revision = change.mod_revision;
    known->second.era = change.era;
  }
  if (is_target && change.era == this->newest.era) {
    const auto target =
        this->known_targets.find(std::get<TargetRegistration>(document).id);
    if (target != this->known_targets.end()) {
      target->second.usable_until.reset();
      target->second.removed_at.reset();
      target->second.may_have_lapsed = false;
    }
  }
}

ViewChange ClusterView::ApplyUnreadable(const KeyValue& change,
                                        std::string message,
                                        TimePoint now) {
  ViewChange result{change.key, change.position(), "unreadable",
                    std::move(message)};
  const auto seen = this->SeenAt(change.key);
  const bool known = this->documents.contains(change.key);
  const bool by_version = known && !this->GraceOf(change.key);
  if (by_version || (seen && seen->era != change.era) ||
      this->CompareEras(change, now).order == Order::kOlder) {
    // What was known stays in force.
    return result;
  }
  this->removed.erase(change.key);
  this->documents[change.key] = change;
  // An unreadable registration removes the target that the key held before.
  const auto target = this->target_of_key.find(change.key);
  if (target != this->target_of_key.end()) {
    this->known_targets.erase(target->second);
    this->target_of_key.erase(target);
  }
  return result;
}

ViewChange ClusterView::Apply(const KeyValue& change,
                              bool observed,
                              TimePoint now) {
  ViewChange result{change.key, change.position(), "applied", {}};
  const auto seen = this->SeenAt(change.key);
  if (seen && seen->era == change.era &&
      seen->revision >= change.mod_revision) {
    result.outcome = "older";
    result.detail = "revision";
    return result;
  }
  // A snapshot of this era did not list it any more.
  if ((!seen || seen->era < change.era) && change.era == this->newest.era &&
      change.mod_revision <= this->removals_known_since &&
      !this->held_back.contains(change.key)) {
    result.outcome = "older";
    result.detail = "snapshot";
    return result;
  }
  this->NoteRevision(change.key, change.position());
  const auto decoded = this->decoder.Decode(change.key, change.value);
  if (!decoded) {
    return this->ApplyUnreadable(change, decoded.error().message, now);
  }
  const Comparison comparison = this->Compare(change, *decoded, now);
  if (comparison.order != Order::kNewer) {
    this->KeepKnown(change, *decoded, comparison.order);
    result.outcome = "older";
    result.detail = comparison.reason;
    return result;
  }
  this->removed.erase(change.key);
  this->held_back.erase(change.key);
  KeyValue& stored = this->documents[change.key];
  // The current era has the target, but with an earlier statement.
  const bool confirmed = std::holds_alternative<TargetRegistration>(*decoded) &&
                         stored.key == change.key && stored.era > change.era &&
                         stored.era == this->newest.era;
  if (confirmed) {
    stored.value = change.value;
  } else {
    stored = change;
  }
  if (this->reduced_config.key == change.key) {
    this->reduced_config = {};
  }
  if (const auto* config =
          std::get_if<std::shared_ptr<const GatewayConfig>>(&*decoded)) {
    this->current_config = *config;
    result.detail = "version " + std::to_string((*config)->version);
  } else if (const auto* target = std::get_if<TargetRegistration>(&*decoded)) {
    KnownTarget& known = this->known_targets[target->id];
    known = KnownTarget{.entry = *target, .read_at = now};
    if (!confirmed && change.era < this->newest.era) {
      this->LimitToOutageGrace(known, now);
    }
    this->target_of_key[change.key] = target->id;
    result.detail = target->draining ? "draining" : "ready";
  } else if (const auto* named = std::get_if<NamedWeights>(&*decoded)) {
    KnownWeights& held = this->weights[named->model];
    held.namings.push_back(this->MakeNaming(named->version, observed, now));
    result.detail =
        named->model + " version " + std::to_string(named->version) +
        " named up to " +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - held.namings.back().named_at)
                           .count()) +
        " ms ago";
  } else if (const auto* zone = std::get_if<ZoneOut>(&*decoded)) {
    this->zones_out[change.key] = zone->zone;
    result.detail = "zone " + zone->zone.value() + " out";
  }
  return result;
}

ViewChange ClusterView::Remove(const std::string& key,
                               StorePosition position,
                               TimePoint now) {
  ViewChange result{key, position, "removed", {}};
  const auto known = this->documents.find(key);
  const bool is_known = known != this->documents.end();
  if (is_known ? known->second.position() > position
               : position.era < this->newest.era) {
    result.outcome = "older";
    result.detail = "revision";
    return result;
  }
  const auto statement = this->LastStatement(key);
  Removal& removal = this->removed[key];
  removal.at = std::max(removal.at, position);
  removal.statement = statement;
  if (is_known) {
    this->NoteRevision(key, position);
    removal.put_revision = known->second.mod_revision;
    this->documents.erase(known);
  }
  this->ForgetOldRemovals();
  this->held_back.erase(key);
  this->zones_out.erase(key);
  const auto target = this->target_of_key.find(key);
  if (target != this->target_of_key.end()) {
    const auto found = this->known_targets.find(target->second);
    if (found != this->known_targets.end() && !found->second.usable_until) {
      result.detail = this->Retire(found->second, now);
    }
    this->target_of_key.erase(target);
  }
  return result;
}

void ClusterView::NoteCurrent(TimePoint time) {
  this->known_current_at =
      std::max(this->known_current_at.value_or(time), time);
}

void ClusterView::NoteAway(TimePoint time) {
  this->known_away_at = std::max(this->known_away_at.value_or(time), time);
}

WeightNaming ClusterView::MakeNaming(int64_t version,
                                     bool observed,
                                     TimePoint now) const {
  if (!observed) {
    return {version, now - this->options.assumed_naming_age, /*assumed=*/true};
  }
  if (!this->known_current_at) {
    return {version, now, /*assumed=*/true};
  }
  const TimePoint current_at = std::min(*this->known_current_at, now);
  if (this->known_away_at > current_at &&
      !this->service.AnsweredAt(*this->known_away_at)) {
    return {version, *this->known_away_at, /*assumed=*/true, current_at};
  }
  return {version, current_at, /*assumed=*/false};
}

void ClusterView::ReviewNamings() {
  for (auto& [model, known] : this->weights) {
    for (WeightNaming& naming : known.namings) {
      if (naming.current_at && this->service.AnsweredAt(naming.named_at)) {
        naming = {naming.version, *naming.current_at, /*assumed=*/false};
      }
    }
  }
}

void ClusterView::ApplyNaming(const ReportedNaming& reported, TimePoint now) {
  const auto found = this->weights.find(reported.model);
  if (found == this->weights.end() ||
      reported.version > found->second.version()) {
    return;
  }
  const TimePoint named_at = now - reported.named_ago;
  std::vector<WeightNaming>& namings = found->second.namings;
  const auto at =
      std::lower_bound(namings.begin(), namings.end(), reported.version,
                       [](const WeightNaming& naming, int64_t version) {
                         return naming.version < version;
                       });
  if (at->version != reported.version) {
    namings.insert(at, {reported.version, named_at, /*assumed=*/false});
    return;
  }
  at->named_at = at->assumed ? named_at : std::max(at->named_at, named_at);
  at->assumed = false;
  at->current_at.reset();
}

void ClusterView::ForgetOldRemovals() {
  if (this->removed.size() <= this->options.max_removals) {
    return;
  }
  // Forgets the older half, so that the cost of sorting is spread.
  std::vector<StorePosition> positions;
  positions.reserve(this->removed.size());
  for (const auto& [key, removal] : this->removed) {
    positions.push_back(removal.at);
  }
  const auto middle =
      positions.begin() + static_cast<std::ptrdiff_t>(positions.size() / 2);
  std::nth_element(positions.begin(), middle, positions.end());
  const StorePosition newest_forgotten = *middle;
  std::erase_if(this->removed, [&](const auto& item) {
    return item.second.at <= newest_forgotten;
  });
  if (newest_forgotten.era == this->newest.era) {
    this->removals_known_since =
        std::max(this->removals_known_since, newest_forgotten.revision);
  }
}

std::vector<ViewChange> ClusterView::Settle(TimePoint now) {
  std::vector<ViewChange> changes;
  if (this->settled) {
    return changes;
  }
  ++this->change_count;
  const Duration since = now - this->era_began;
  std::vector<std::string> missing;
  for (const auto& [key, document] : this->documents) {
    const auto grace = this->GraceOf(key);
    if (document.era < this->newest.era && grace && since >= *grace) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    changes.push_back(this->Remove(key, this->newest, now));
  }
  if (since >= this->options.restore_grace) {
    // Apply takes them out.
    const auto held = this->held_back;
    for (const auto& [key, document] : held) {
      changes.push_back(this->Apply(document, /*observed=*/true, now));
    }
    this->held_back.clear();
  }
  this->settled = since >= std::max(this->options.restore_grace,
                                    this->options.registration_grace);
  return changes;
}

size_t ClusterView::CountOlderEras() const {
  return static_cast<size_t>(std::count_if(
      this->documents.begin(), this->documents.end(),
      [&](const auto& item) { return item.second.era < this->newest.era; }));
}

DocumentProgress ClusterView::progress() const {
  return {this->newest,
          {this->newest.era, this->newest_operator_revision},
          this->current_config ? this->current_config->version : 0};
}

void ClusterView::NoteRevision(const std::string& key, StorePosition position) {
  if (position.era == this->newest.era &&
      key.starts_with(this->decoder.OperatorPrefix())) {
    this->newest_operator_revision =
        std::max(this->newest_operator_revision, position.revision);
  }
}

bool ClusterView::ConcernsStagers(const std::string& key) const {
  return key.starts_with(this->decoder.OperatorPrefix()) ||
         (!this->options.registration_prefix.empty() &&
          key.starts_with(this->options.registration_prefix));
}

bool ClusterView::ZoneIsOut(const ZoneName& zone) const {
  return std::any_of(this->zones_out.begin(), this->zones_out.end(),
                     [&](const auto& out) { return out.second == zone; });
}

const KnownWeights* ClusterView::Weights(const std::string& model) const {
  const auto found = this->weights.find(model);
  return found == this->weights.end() ? nullptr : &found->second;
}

void ClusterView::Advance(StorePosition position) {
  if (position.era == this->newest.era) {
    this->newest = std::max(this->newest, position);
  }
}

KeyValue ClusterView::Reduced(const KeyValue& document) const {
  if (this->reduced_config.key == document.key &&
      this->reduced_config.position() == document.position()) {
    return this->reduced_config;
  }
  KeyValue reduced = document;
  reduced.value = this->decoder.ReduceForStagers(document.key, document.value);
  if (reduced.value.size() < document.value.size()) {
    this->reduced_config = reduced;
  }
  return reduced;
}

DocumentDelta ClusterView::MakeDelta(const DocumentQuery& query,
                                     TimePoint now) const {
  DocumentDelta delta;
  delta.revision = this->newest.revision;
  delta.era = this->newest.era;
  delta.partial = query.since.era == this->newest.era &&
                  query.since.revision >= this->removals_known_since &&
                  query.since.revision > 0;
  delta.answers = this->service.Report(now);
  const auto age = [now](TimePoint time) {
    return std::chrono::ceil<std::chrono::milliseconds>(now - time);
  };
  for (const auto& [model, known] : this->weights) {
    for (const WeightNaming& naming : known.namings) {
      if (!naming.assumed) {
        delta.namings.push_back({model, naming.version, age(naming.named_at)});
      }
    }
  }
  if (this->known_current_at) {
    delta.current_ago = age(*this->known_current_at);
  }
  const auto wanted = [&](const std::string& key) {
    return !query.for_stager || this->ConcernsStagers(key);
  };
  const auto add = [&](const KeyValue& document) {
    // The era has no revision for documents of older ones.
    const bool changed =
        document.position() > query.since || document.era < this->newest.era;
    if (wanted(document.key) && (!delta.partial || changed)) {
      delta.items.push_back(query.for_stager ? this->Reduced(document)
                                             : document);
    }
  };
  for (const auto& [key, document] : this->documents) {
    add(document);
  }
  // The asking process decides for itself whether to hold them back.
  for (const auto& [key, document] : this->held_back) {
    add(document);
  }
  if (delta.partial) {
    for (const auto& [key, removal] : this->removed) {
      if (wanted(key) && removal.at > query.since) {
        delta.items.push_back({key, "", removal.at.revision, removal.at.era});
      }
    }
  }
  return delta;
}

std::vector<ViewChange> ClusterView::ApplyDelta(const DocumentDelta& delta,
                                                TimePoint now) {
  ++this->change_count;
  std::vector<ViewChange> applied;
  if (delta.answers) {
    applied = this->ApplyAnswers(*delta.answers, now);
  }
  const auto documents =
      delta.partial
          ? this->ApplyChanges(delta.items, now)
          : this->ApplySnapshot(delta.items, {delta.era, delta.revision}, now);
  applied.insert(applied.end(), documents.begin(), documents.end());
  if (delta.partial) {
    this->LapseTargetsOfOlderEras(now);
    this->Advance({delta.era, delta.revision});
  }
  for (const ReportedNaming& naming : delta.namings) {
    this->ApplyNaming(naming, now);
  }
  if (delta.current_ago) {
    this->NoteCurrent(now - *delta.current_ago);
  }
  return applied;
}

bool ClusterView::DropExpired(TimePoint now) {
  return std::erase_if(this->known_targets, [now](const auto& item) {
           return item.second.usable_until && now >= *item.second.usable_until;
         }) > 0;
}

}  // namespace celerypost
