#include "src/process/state/cluster_view.h"

#include <algorithm>
#include <utility>

namespace celerypost {

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

ClusterView::ClusterView(const DocumentDecoder& decoder,
                         ClusterViewOptions options)
    : decoder(decoder), options(options) {}

std::vector<ViewChange> ClusterView::ApplyChanges(
    const std::vector<KeyValue>& changes,
    TimePoint now) {
  std::vector<ViewChange> applied;
  for (const KeyValue& change : changes) {
    applied.push_back(change.value.empty()
                          ? this->Remove(change.key, change.mod_revision,
                                         /*lapsed=*/false, now)
                          : this->Apply(change, /*observed=*/true, now));
    this->AdvanceRevision(change.mod_revision);
  }
  return applied;
}

std::vector<ViewChange> ClusterView::ApplySnapshot(
    const std::vector<KeyValue>& items,
    int64_t revision,
    bool after_outage,
    TimePoint now) {
  std::vector<ViewChange> applied;
  std::set<std::string> listed;
  const bool first = this->newest_revision == 0;
  for (const KeyValue& item : items) {
    listed.insert(item.key);
    const auto known = this->documents.find(item.key);
    if (known != this->documents.end() &&
        known->second.mod_revision == item.mod_revision) {
      continue;
    }
    applied.push_back(this->Apply(item, !first, now));
  }
  std::vector<std::string> missing;
  for (const auto& [key, document] : this->documents) {
    if (!listed.contains(key) && document.mod_revision <= revision) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    applied.push_back(this->Remove(key, revision, after_outage, now));
  }
  if (first) {
    this->removals_known_since = revision;
  }
  this->AdvanceRevision(revision);
  return applied;
}

void ClusterView::OnServiceRegained(TimePoint now) {
  this->regained_at = now;
}

ViewChange ClusterView::Apply(const KeyValue& change,
                              bool observed,
                              TimePoint now) {
  ViewChange result{change.key, change.mod_revision, "applied", {}};
  const auto known = this->documents.find(change.key);
  const auto gone = this->removed.find(change.key);
  if ((known != this->documents.end() &&
       known->second.mod_revision >= change.mod_revision) ||
      (gone != this->removed.end() && gone->second >= change.mod_revision)) {
    result.outcome = "older";
    return result;
  }
  this->removed.erase(change.key);
  this->documents[change.key] = change;
  this->NoteRevision(change.key, change.mod_revision);
  const auto decoded = this->decoder.Decode(change.key, change.value);
  if (!decoded) {
    result.outcome = "unreadable";
    result.detail = decoded.error().message;
    // An unreadable registration removes the target that the key held before.
    const auto target = this->target_of_key.find(change.key);
    if (target != this->target_of_key.end()) {
      this->known_targets.erase(target->second);
      this->target_of_key.erase(target);
    }
    return result;
  }
  if (const auto* config =
          std::get_if<std::shared_ptr<const GatewayConfig>>(&*decoded)) {
    if (this->current_config &&
        (*config)->version <= this->current_config->version) {
      result.outcome = "older";
      return result;
    }
    this->current_config = *config;
    result.detail = "version " + std::to_string((*config)->version);
  } else if (const auto* target = std::get_if<TargetRegistration>(&*decoded)) {
    this->known_targets[target->id] = KnownTarget{*target, now, std::nullopt};
    this->target_of_key[change.key] = target->id;
    result.detail = target->draining ? "draining" : "ready";
  } else if (const auto* named = std::get_if<NamedWeights>(&*decoded)) {
    KnownWeights& held = this->weights[named->model];
    if (held.namings.empty() || named->version > held.version()) {
      held.namings.push_back(this->MakeNaming(named->version, observed, now));
    }
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
                               int64_t revision,
                               bool lapsed,
                               TimePoint now) {
  ViewChange result{key, revision, "removed", {}};
  const auto known = this->documents.find(key);
  if (known != this->documents.end() && known->second.mod_revision > revision) {
    result.outcome = "older";
    return result;
  }
  if (known != this->documents.end()) {
    this->NoteRevision(key, revision);
  }
  this->documents.erase(key);
  this->removed[key] = std::max(this->removed[key], revision);
  this->zones_out.erase(key);
  const auto target = this->target_of_key.find(key);
  if (target != this->target_of_key.end()) {
    const auto found = this->known_targets.find(target->second);
    if (found != this->known_targets.end() && !found->second.usable_until) {
      const bool after_outage =
          lapsed || (this->regained_at &&
                     now - *this->regained_at < this->options.outage_grace);
      found->second.usable_until =
          after_outage
              ? this->regained_at.value_or(now) + this->options.outage_grace
              : now + this->options.removal_grace;
      result.detail = after_outage ? "lapsed in an outage" : "left";
    }
    this->target_of_key.erase(target);
  }
  return result;
}

void ClusterView::NoteCurrent(TimePoint time) {
  this->known_current_at =
      std::max(this->known_current_at.value_or(time), time);
}

WeightNaming ClusterView::MakeNaming(int64_t version,
                                     bool observed,
                                     TimePoint now) const {
  if (!observed) {
    return {version, now - this->options.assumed_naming_age, /*assumed=*/true};
  }
  return {version, std::min(this->known_current_at.value_or(now), now),
          /*assumed=*/false};
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
}

void ClusterView::NoteRevision(const std::string& key, int64_t revision) {
  if (key.starts_with(this->decoder.OperatorPrefix())) {
    this->newest_operator_revision =
        std::max(this->newest_operator_revision, revision);
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

void ClusterView::AdvanceRevision(int64_t revision) {
  this->newest_revision = std::max(this->newest_revision, revision);
}

KeyValue ClusterView::Reduced(const KeyValue& document) const {
  if (this->reduced_config.key == document.key &&
      this->reduced_config.mod_revision == document.mod_revision) {
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
  delta.revision = this->newest_revision;
  delta.partial = query.since >= this->removals_known_since && query.since > 0;
  if (this->regained_at &&
      now - *this->regained_at < this->options.outage_grace) {
    delta.regained_ago = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *this->regained_at);
  }
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
  const auto wanted = [&](const std::string& key, int64_t changed) {
    return (!delta.partial || changed > query.since) &&
           (!query.for_stager || this->ConcernsStagers(key));
  };
  for (const auto& [key, document] : this->documents) {
    if (wanted(key, document.mod_revision)) {
      delta.items.push_back(query.for_stager ? this->Reduced(document)
                                             : document);
    }
  }
  if (delta.partial) {
    for (const auto& [key, at] : this->removed) {
      if (wanted(key, at)) {
        delta.items.push_back({key, "", at});
      }
    }
  }
  return delta;
}

std::vector<ViewChange> ClusterView::ApplyDelta(const DocumentDelta& delta,
                                                TimePoint now) {
  if (delta.regained_ago) {
    const TimePoint regained = now - *delta.regained_ago;
    this->regained_at =
        std::max(this->regained_at.value_or(regained), regained);
  }
  std::vector<ViewChange> applied;
  if (delta.partial) {
    applied = this->ApplyChanges(delta.items, now);
    this->AdvanceRevision(delta.revision);
  } else {
    applied = this->ApplySnapshot(delta.items, delta.revision,
                                  /*after_outage=*/false, now);
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
