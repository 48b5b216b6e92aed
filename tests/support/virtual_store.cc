#include "tests/support/virtual_store.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLatency{2};
constexpr milliseconds kCallTimeout{1000};

Failure Lost() {
  return Failure{Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                 "no answer in time"};
}

bool Contains(const KeyRange& range, const std::string& key) {
  return range.first <= key && key < range.end;
}

}  // namespace

class VirtualStoreClient : public KeyValueClient {
 public:
  VirtualStoreClient(VirtualStore& store, std::function<bool()> reachable)
      : store(store), reachable(std::move(reachable)) {}

  void Get(const std::string& key,
           std::function<void(Result<std::optional<KeyValue>>)> done) override {
    ++this->own_calls.reads;
    ++this->store.calls.reads;
    this->Call<std::optional<KeyValue>>(
        [&store = this->store, key]() -> std::optional<KeyValue> {
          const auto found = store.values.find(key);
          return found == store.values.end() ? std::nullopt
                                             : std::optional(found->second);
        },
        0, 0, std::move(done));
  }

  void GetRange(const KeyRange& range,
                bool keys_only,
                std::function<void(Result<KeyValueRange>)> done) override {
    ++this->own_calls.reads;
    ++this->store.calls.reads;
    this->Call<KeyValueRange>(
        [&store = this->store, range, keys_only] {
          KeyValueRange answer;
          answer.revision = store.revision;
          for (const auto& [key, item] : store.values) {
            if (Contains(range, key)) {
              answer.items.push_back(item);
              if (keys_only) {
                answer.items.back().value.clear();
              }
            }
          }
          return answer;
        },
        0, 0, std::move(done));
  }

  void Transact(
      KeyValueTransaction transaction,
      std::function<void(Result<KeyValueTransactionResult>)> done) override {
    ++this->own_calls.writes;
    ++this->store.calls.writes;
    this->Call<KeyValueTransactionResult>(
        [&store = this->store, transaction = std::move(transaction)] {
          const auto found = store.values.find(transaction.key);
          const int64_t revision =
              found == store.values.end() ? 0 : found->second.mod_revision;
          if (!transaction.unconditional &&
              revision != transaction.expected_revision) {
            return KeyValueTransactionResult{false, store.revision};
          }
          ++store.revision;
          store.Put(transaction.key, transaction.value);
          for (const auto& [key, value] : transaction.extra_puts) {
            store.Put(key, value);
          }
          return KeyValueTransactionResult{true, store.revision};
        },
        this->store.lost_requests, this->store.lost_answers, std::move(done));
  }

  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange& range,
      int64_t,
      std::function<void(std::vector<KeyValue>)> on_change,
      std::function<void(Failure)> on_end) override {
    ++this->own_calls.watches;
    ++this->store.calls.watches;
    const uint64_t id = this->store.next_watcher++;
    this->store.watchers[id] = VirtualStore::Watcher{
        range, std::move(on_change), std::move(on_end), this->reachable};
    return std::make_unique<Registration>(this->store, id);
  }

  KeyValueCalls Calls() const override { return this->own_calls; }

 private:
  struct Registration : KeyValueWatch {
    Registration(VirtualStore& store, uint64_t id) : store(store), id(id) {}
    ~Registration() override { this->store.watchers.erase(this->id); }
    VirtualStore& store;
    uint64_t id;
  };

  template <typename Answer>
  void Call(std::function<Answer()> effect,
            double lost_requests,
            double lost_answers,
            std::function<void(Result<Answer>)> done) {
    VirtualTime& time = this->store.time;
    const bool request_lost = this->store.Chance(lost_requests);
    const bool answer_lost = this->store.Chance(lost_answers);
    time.At(time.Now() + kLatency,
            [&store = this->store, &time, open = this->reachable, request_lost,
             answer_lost, effect = std::move(effect), done = std::move(done)] {
              if (!store.is_up || !open() || request_lost) {
                time.At(time.Now() + kCallTimeout,
                        [done] { done(tl::unexpected(Lost())); });
                return;
              }
              Answer answer = effect();
              time.At(time.Now() + (answer_lost ? kCallTimeout : kLatency),
                      [done, open, answer_lost, answer = std::move(answer)] {
                        if (answer_lost || !open()) {
                          done(tl::unexpected(Lost()));
                        } else {
                          done(answer);
                        }
                      });
            });
  }

  VirtualStore& store;
  const std::function<bool()> reachable;
  KeyValueCalls own_calls;
};

std::unique_ptr<KeyValueClient> VirtualStore::MakeClient(
    std::function<bool()> reachable) {
  return std::make_unique<VirtualStoreClient>(*this, std::move(reachable));
}

void VirtualStore::SetUp(bool up) {
  this->is_up = up;
  if (up) {
    return;
  }
  const auto broken = std::exchange(this->watchers, {});
  for (const auto& [id, watcher] : broken) {
    watcher.on_end(Lost());
  }
}

void VirtualStore::Restore(const Backup& backup) {
  this->SetUp(false);
  this->revision = backup.revision;
  this->values = backup.values;
  this->SetUp(true);
}

void VirtualStore::Write(const std::string& key, const std::string& value) {
  ++this->revision;
  this->Put(key, value);
}

void VirtualStore::Put(const std::string& key, const std::string& value) {
  this->values[key] = KeyValue{key, value, this->revision};
  this->history[key].push_back(value);
  for (const auto& [id, watcher] : this->watchers) {
    if (!Contains(watcher.range, key)) {
      continue;
    }
    this->time.At(
        this->time.Now() + kLatency, [this, id = id, item = this->values[key]] {
          const auto found = this->watchers.find(id);
          if (found != this->watchers.end() && found->second.reachable()) {
            found->second.on_change({item});
          }
        });
  }
}

}  // namespace celerypost
