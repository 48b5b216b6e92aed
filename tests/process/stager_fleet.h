#ifndef TESTS_PROCESS_STAGER_FLEET_H_
#define TESTS_PROCESS_STAGER_FLEET_H_

#include <functional>
#include <map>
#include <memory>
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

  std::vector<Digest> TrueDigests() const {
    std::vector<Digest> digests;
    for (const std::string& chunk : this->chunks) {
      digests.push_back(Digest::Of(chunk));
    }
    return digests;
  }

  Loop& loop;
  std::vector<std::string> chunks;
  // Changes the n-th answer, from 1.
  std::function<void(size_t, std::vector<Digest>&)> spoil_digests;
  std::function<void(size_t, std::string&)> spoil_chunk;
  size_t digest_answers = 0;
  size_t chunk_answers = 0;
};

class FakeOriginClient : public WeightOrigin {
 public:
  explicit FakeOriginClient(FakeOrigin& origin) : origin(origin) {}

  void GetDigests(const std::string& model,
                  int64_t version,
                  std::function<void(Result<ChunkDigests>)> done) override {
    ChunkDigests digests{model, version, this->origin.TrueDigests()};
    ++this->origin.digest_answers;
    if (this->origin.spoil_digests) {
      this->origin.spoil_digests(this->origin.digest_answers, digests.digests);
    }
    this->origin.loop.Post(
        [digests, done = std::move(done)] { done(digests); });
  }
  void GetChunk(const std::string&,
                int64_t,
                size_t number,
                std::function<void(Result<std::string>)> done) override {
    std::string bytes = this->origin.chunks.at(number);
    ++this->origin.chunk_answers;
    if (this->origin.spoil_chunk) {
      this->origin.spoil_chunk(this->origin.chunk_answers, bytes);
    }
    this->origin.loop.Post([bytes, done = std::move(done)] { done(bytes); });
  }

 private:
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
    report.sequence = this->loads;
    this->loop.Post([report, done = std::move(done)] { done(report); });
  }
  void Load(const std::string&,
            int64_t version,
            int64_t,
            LoadMode,
            std::function<void(Result<void>)> done) override {
    ++this->loads;
    this->loaded_version = version;
    this->loaded = this->staged;
    this->loop.Post([done = std::move(done)] { done({}); });
  }
  void PutChunk(const std::string&,
                size_t number,
                std::string bytes,
                std::function<void(Result<void>)> done) override {
    ++this->puts;
    this->staged[number] = std::move(bytes);
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
    this->loop.Post([bytes, done = std::move(done)] { done(bytes); });
  }

  Loop& loop;
  std::map<size_t, std::string> staged;
  std::map<size_t, std::string> loaded;
  int64_t loaded_version = 0;
  int64_t loads = 0;
  size_t puts = 0;
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_STAGER_FLEET_H_
