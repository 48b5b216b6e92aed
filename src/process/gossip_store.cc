// The part of GossipTask that reads the key-value service.
#include <utility>

#include "src/process/gossip_task.h"

namespace celerypost {
namespace {

KeyRange DocumentKeys() {
  std::string end(kSlotsPrefix);
  ++end.back();
  return KeyRange{std::string(kConfigKey), std::move(end)};
}

}  // namespace

void GossipTask::StoreTick() {
  if (this->freshness_state.IsWitness()) {
    if (this->store_read_pending) {
      // The previous read is still in progress. Peers must keep receiving
      // stamps of this witness meanwhile.
      this->IssueStamp(false, Duration::zero());
      this->ScheduleFlush();
    } else {
      this->ReadStore(this->store_loaded);
    }
  } else {
    this->store_loaded = false;
    this->watch.reset();
    this->watch_call.reset();
  }
  this->store_call = this->scheduler.After(this->options.store_read_period,
                                           [this] { this->StoreTick(); });
}

void GossipTask::ReadStore(bool keys_only) {
  this->store_read_pending = true;
  const TimePoint asked_at = this->scheduler.Now();
  this->key_value->GetRange(
      DocumentKeys(), keys_only,
      [this, asked_at, keys_only,
       guard = std::weak_ptr<bool>(this->alive)](Result<KeyValueRange> range) {
        if (guard.lock() != nullptr) {
          this->OnStoreRead(asked_at, keys_only, range);
        }
      });
}

void GossipTask::OnStoreRead(TimePoint asked_at,
                             bool keys_only,
                             const Result<KeyValueRange>& range) {
  this->store_read_pending = false;
  const TimePoint now = this->scheduler.Now();
  if (!range) {
    this->IssueStamp(false, Duration::zero());
    this->AfterEvent();
    return;
  }
  const bool restored = range->revision < this->store_revision;
  this->store_revision = range->revision;
  if (restored) {
    // The watch waits for revisions that the restored service has not reached.
    this->watch.reset();
    this->watch_call.reset();
  }
  if (restored && keys_only) {
    this->ReadStore(false);
    return;
  }
  if (keys_only) {
    for (const KeyValue& item : range->items) {
      const auto known = this->store_revisions.find(item.key);
      if (known == this->store_revisions.end() ||
          known->second < item.mod_revision) {
        // The key changed and the watch has not reported it yet.
        this->ReadStore(false);
        return;
      }
    }
  } else {
    if (this->watch == nullptr) {
      // Nothing newer can have been reported meanwhile, and a restored service
      // hands out revisions again.
      this->store_revisions.clear();
    }
    for (const KeyValue& item : range->items) {
      this->ApplyStoredValue(item);
    }
    this->store_loaded = true;
    if (this->watch == nullptr && this->watch_call == nullptr) {
      this->OpenWatch(range->revision + 1);
    }
  }
  if (this->store_ahead) {
    this->IssueStamp(false, Duration::zero());
  } else {
    this->answered_read = asked_at;
    this->IssueStamp(true, now - asked_at);
  }
  this->AfterEvent();
}

void GossipTask::OpenWatch(int64_t from_revision) {
  this->watch = this->key_value->Watch(
      DocumentKeys(), from_revision,
      [this](const std::vector<KeyValue>& items) {
        for (const KeyValue& item : items) {
          this->ApplyStoredValue(item);
        }
        this->AfterEvent();
      },
      [this](const Failure&) {
        // Changes may have been missed; the next full read reopens the watch.
        this->watch_call =
            this->scheduler.After(this->options.watch_retry, [this] {
              this->watch.reset();
              this->watch_call.reset();
              this->store_loaded = false;
            });
      });
}

void GossipTask::ApplyStoredValue(const KeyValue& item) {
  int64_t& known = this->store_revisions[item.key];
  if (item.mod_revision <= known) {
    return;
  }
  known = item.mod_revision;
  const auto number = DocumentNumberOf(item.key, item.value);
  if (!number) {
    ++this->counts.bad_documents;
    this->store_ahead |= item.key == kConfigKey;
    return;
  }
  if (*number < this->config_state.NumberOf(item.key)) {
    ++this->counts.store_regressions;
  }
  this->gossip.Offer(VersionedDocument{item.key, *number, item.value},
                     this->scheduler.Now());
  if (item.key == kConfigKey) {
    this->store_ahead = this->config_state.number() < *number;
  }
}

void GossipTask::IssueStamp(bool store_reachable, Duration age) {
  const TimePoint now = this->scheduler.Now();
  const auto stamp =
      this->freshness_state.IssueStamp(store_reachable, age, now);
  if (stamp) {
    this->stamped_config_number = stamp->stamp.config_number;
    this->gossip.OnOwnStamp(*stamp, now);
  }
}

}  // namespace celerypost
