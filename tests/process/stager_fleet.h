#ifndef TESTS_PROCESS_STAGER_FLEET_H_
#define TESTS_PROCESS_STAGER_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/process/stager/stager.h"
#include "tests/process/gateway/fake_decoder.h"

namespace celerypost {

// Answers each read of the key-value service with the same items.
class StaticStore : public KeyValueClient, public LeaseClient {
 public:
  void Get(const std::string&,
           std::function<void(Result<std::optional<KeyValue>>)>) override {}
  void GetRange(const KeyRange& range,
                bool,
                std::function<void(Result<KeyValueRange>)> done) override {
    KeyValueRange found;
    found.revision = 10;
    if (range.first.empty()) {
      found.items = this->items;
    }
    done(found);
  }
  void Transact(
      KeyValueTransaction,
      std::function<void(Result<KeyValueTransactionResult>)> done) override {
    done(KeyValueTransactionResult{true, 1});
  }
  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange& range,
      int64_t,
      std::function<void(std::vector<KeyValue>)> on_events,
      std::function<void(Failure)>) override {
    if (range.first.empty()) {
      this->on_change.push_back(std::move(on_events));
    }
    return std::make_unique<KeyValueWatch>();
  }
  KeyValueCalls Calls() const override { return {}; }
  void Grant(std::chrono::milliseconds,
             std::function<void(Result<int64_t>)> done) override {
    done(int64_t{5});
  }
  void Renew(int64_t, std::function<void(Result<void>)>) override {}
  void Revoke(int64_t, std::function<void(Result<void>)>) override {}

  std::vector<KeyValue> items;
  std::vector<std::function<void(std::vector<KeyValue>)>> on_change;
};

// The original weights of one version; a test may spoil its answers.
class FakeOrigin {
 public:
  FakeOrigin(Loop& loop, std::vector<std::string> chunks)
      : loop(loop), chunks(std::move(chunks)) {}

  std::vector<std::string> ChunksOf(int64_t version) const {
    return this->chunks_of_version ? this->chunks_of_version(version)
                                   : this->chunks;
  }
  std::vector<Digest> TrueDigests(int64_t version) const {
    std::vector<Digest> digests;
    for (const std::string& chunk : this->ChunksOf(version)) {
      digests.push_back(Digest::Of(chunk));
    }
    return digests;
  }

  Loop& loop;
  std::vector<std::string> chunks;
  // If set, the origin has the chunks of several versions.
  std::function<std::vector<std::string>(int64_t)> chunks_of_version;
  // Changes the n-th answer, from 1.
  std::function<void(size_t, std::vector<Digest>&)> spoil_digests;
  std::function<void(size_t, std::string&)> spoil_chunk;
  // Whether it answers at all.
  bool available = true;
  size_t digest_answers = 0;
  size_t chunk_answers = 0;
};

class FakeOriginClient : public WeightOrigin {
 public:
  explicit FakeOriginClient(FakeOrigin& origin) : origin(origin) {}

  void GetDigests(const std::string& model,
                  int64_t version,
                  std::function<void(Result<ChunkDigests>)> done) override {
    if (!this->origin.available) {
      this->origin.loop.Post([done = std::move(done)] { done(Away()); });
      return;
    }
    ChunkDigests digests{model, version, this->origin.TrueDigests(version)};
    ++this->origin.digest_answers;
    if (this->origin.spoil_digests) {
      this->origin.spoil_digests(this->origin.digest_answers, digests.digests);
    }
    this->origin.loop.Post(
        [digests, done = std::move(done)] { done(digests); });
  }
  void GetChunk(const std::string&,
                int64_t version,
                size_t number,
                std::function<void(Result<std::string>)> done) override {
    if (!this->origin.available) {
      this->origin.loop.Post([done = std::move(done)] { done(Away()); });
      return;
    }
    std::string bytes = this->origin.ChunksOf(version).at(number);
    ++this->origin.chunk_answers;
    if (this->origin.spoil_chunk) {
      this->origin.spoil_chunk(this->origin.chunk_answers, bytes);
    }
    this->origin.loop.Post([bytes, done = std::move(done)] { done(bytes); });
  }

 private:
  static tl::unexpected<Failure> Away() {
    return NotRun(ErrorCode::kUnavailable, "the origin is away");
  }

  FakeOrigin& origin;
};

// Loads what is staged when an order arrives.
class FakeModelTarget : public ModelTarget {
 public:
  explicit FakeModelTarget(Loop& loop) : loop(loop) {}

  void GetReport(std::function<void(Result<TargetReport>)> done) override {
    TargetReport report;
    if (this->loaded_version > 0) {
      HeldModel& model = report.models.emplace_back();
      model.name = "m";
      model.version = this->loaded_version;
    }
    report.sequence = this->orders;
    report.busy = this->loading;
    this->After(this->report_delay,
                [report, done = std::move(done)] { done(report); });
  }
  void Load(const std::string&,
            int64_t version,
            int64_t sequence,
            LoadMode,
            std::function<void(Result<void>)> done) override {
    const auto arrive = [this, version, sequence, done = std::move(done)] {
      if (this->before_load) {
        this->before_load();
      }
      if (sequence != this->orders || this->loading) {
        ++this->refused_orders;
        done(tl::unexpected(
            Failure{Verdict::kNotRun, ErrorCode::kConflict, "sequence"}));
        return;
      }
      ++this->orders;
      ++this->loads;
      this->loaded = this->staged;
      this->loaded_at = this->loop.Now();
      this->BeginLoading(version);
      this->changed_before_load = this->changed_at;
      if (this->loses_order_answers) {
        done(NoAnswer());
      } else {
        done({});
      }
    };
    this->After(this->order_delay, arrive);
  }
  void Unload(const std::string&,
              int64_t,
              int64_t,
              LoadMode,
              std::function<void(Result<void>)> done) override {
    ++this->orders;
    ++this->unloads;
    this->loaded_version = 0;
    this->loaded.clear();
    this->loop.Post([done = std::move(done)] { done({}); });
  }
  void PutChunk(const std::string&,
                size_t number,
                std::string bytes,
                std::function<void(Result<void>)> done) override {
    ++this->puts;
    if (this->loses_next_put_of == number) {
      this->loses_next_put_of.reset();
      this->After(this->lost_put_delay,
                  [this, number, bytes] { this->SetStaged(number, bytes); });
      this->loop.Post([done = std::move(done)] { done(NoAnswer()); });
      return;
    }
    this->SetStaged(number, std::move(bytes));
    this->loop.Post([done = std::move(done)] { done({}); });
  }
  void GetChunk(const std::string&,
                size_t number,
                std::function<void(Result<std::string>)> done) override {
    const auto found = this->staged.find(number);
    Result<std::string> bytes =
        found == this->staged.end()
            ? Result<std::string>(NotRun(ErrorCode::kNotFound, "not staged"))
            : Result<std::string>(found->second);
    ++this->reads;
    if (this->on_read) {
      this->on_read(number);
    }
    this->After(this->read_delay,
                [bytes, done = std::move(done)] { done(bytes); });
  }
  static Result<void> NoAnswer() {
    return tl::unexpected(Failure{Verdict::kMayHaveRun,
                                  ErrorCode::kDeadlineExceeded, "no answer"});
  }
  // Replaces what is staged.
  void SetStaged(size_t number, std::string bytes) {
    this->staged[number] = std::move(bytes);
    this->changed_at[number] = this->loop.Now();
  }
  // The target crashes and starts again; what is staged survives.
  void Restart() {
    this->loaded_version = 0;
    this->loaded.clear();
    this->orders = 0;
    this->loading = false;
    ++this->starts;
  }
  // Reports the version as loaded once `load_time` has passed.
  void BeginLoading(int64_t version) {
    if (this->load_time == std::chrono::milliseconds(0)) {
      this->loaded_version = version;
      return;
    }
    this->loading = true;
    this->After(this->load_time, [this, version, began = this->starts] {
      if (began == this->starts) {
        this->loading = false;
        this->loaded_version = version;
      }
    });
  }
  // Runs `task` on the loop once `delay` has passed.
  void After(std::chrono::milliseconds delay, std::function<void()> task) {
    this->timers.push_back(
        std::make_unique<Timer>(this->loop, std::move(task)));
    this->timers.back()->StartOnce(delay);
  }

  Loop& loop;
  std::map<size_t, std::string> staged;
  std::map<size_t, std::string> loaded;
  int64_t loaded_version = 0;
  TimePoint loaded_at{};
  // When each chunk was last replaced, now and at the load.
  std::map<size_t, TimePoint> changed_at;
  std::map<size_t, TimePoint> changed_before_load;
  int64_t loads = 0;
  int64_t unloads = 0;
  int64_t orders = 0;
  int64_t refused_orders = 0;
  int64_t starts = 1;
  size_t puts = 0;
  size_t reads = 0;
  // Time from the question for a report, which tells the state as it is then,
  // to its answer.
  std::chrono::milliseconds report_delay{0};
  // Time from the acceptance of an order to load to its end.
  std::chrono::milliseconds load_time{0};
  bool loading = false;
  // Time from a read, which sees the chunk as it is then, to its answer.
  std::chrono::milliseconds read_delay{0};
  // Time from the sending of an order to load to its acceptance.
  std::chrono::milliseconds order_delay{0};
  bool loses_order_answers = false;
  // The next write of this chunk gets no answer and is carried out after the
  // delay.
  std::optional<size_t> loses_next_put_of;
  std::chrono::milliseconds lost_put_delay{std::chrono::hours(1)};
  // Called after a chunk was read, and before an order to load is accepted.
  std::function<void(size_t)> on_read;
  std::function<void()> before_load;
  std::vector<std::unique_ptr<Timer>> timers;
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_STAGER_FLEET_H_
