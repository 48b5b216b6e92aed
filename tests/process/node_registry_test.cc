#include "src/process/node_registry.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Records calls; the test answers them.
class FakeStore : public KeyValueClient, public LeaseClient {
 public:
  void Get(const std::string&,
           std::function<void(Result<std::optional<KeyValue>>)>) override {}
  void GetRange(const KeyRange&,
                bool,
                std::function<void(Result<KeyValueRange>)>) override {}
  void Transact(
      KeyValueTransaction transaction,
      std::function<void(Result<KeyValueTransactionResult>)> done) override {
    this->puts.push_back(transaction.lease);
    this->put = std::move(done);
  }
  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange&,
      int64_t,
      std::function<void(std::vector<KeyValue>)>,
      std::function<void(Failure)>) override {
    return nullptr;
  }
  KeyValueCalls Calls() const override { return {}; }
  int64_t Era() const override { return this->era; }
  void Grant(milliseconds, std::function<void(Result<int64_t>)> done) override {
    ++this->grants;
    this->grant = std::move(done);
  }
  void Renew(int64_t, std::function<void(Result<void>)> done) override {
    this->renew = std::move(done);
  }
  void Revoke(int64_t lease, std::function<void(Result<void>)> done) override {
    this->revoked.push_back(lease);
    done({});
  }

  int64_t era = 1;
  int grants = 0;
  std::vector<int64_t> puts;
  std::vector<int64_t> revoked;
  std::function<void(Result<int64_t>)> grant;
  std::function<void(Result<KeyValueTransactionResult>)> put;
  std::function<void(Result<void>)> renew;
};

TEST_GROUP(NodeRegistryTest) {
  Loop loop;
  FakeStore store;
  SplitMixRandom random{1};
  Log log{LogOptions{}, [](LogLevel, std::string_view) {},
          [] { return std::chrono::system_clock::time_point(); }};
  std::unique_ptr<NodeRegistry> registry;
  int left = 0;

  void setup() override {
    NodeRegistryOptions options;
    options.renew_period = milliseconds(20);
    options.retry_period = milliseconds(20);
    this->registry = std::make_unique<NodeRegistry>(
        this->loop, this->store, this->store, this->log, this->random, options);
    this->registry->Start();
  }
  void teardown() override {
    this->registry.reset();
    this->loop.RunFor(milliseconds(20));
  }
  void Register(int64_t lease) {
    this->store.grant(lease);
    this->store.put(KeyValueTransactionResult{true, 10, this->store.era});
  }
  void Leave() {
    this->registry->Leave([this] { ++this->left; });
  }
  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 100 && !done(); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(done());
  }
};

// Guards against a process whose registration a restore has lost and that
// renews a lease which now belongs to another one.
TEST(NodeRegistryTest, RegistersAgainInANewEra) {
  this->Register(5);
  this->registry->OnEra(1, milliseconds(1));
  CHECK_EQUAL(1, this->store.grants);
  this->store.era = 2;
  this->registry->OnEra(2, milliseconds(1));
  this->RunUntil([this] { return this->store.grants == 2; });
  this->Register(5);
  this->registry->OnEra(2, milliseconds(1));
  this->RunUntil([this] { return this->store.renew != nullptr; });
  CHECK_EQUAL(2, this->store.grants);
}

// Guards against a registration under a lease of an older era.
TEST(NodeRegistryTest, LeaseOfAnOlderEraIsNotUsed) {
  this->store.grant(5);
  this->store.era = 2;
  this->store.put(KeyValueTransactionResult{true, 10, 2});
  this->RunUntil([this] { return this->store.grants == 2; });
}

// Guards against a renewal that was under way when the era began and whose
// answer ends or keeps the new registration.
TEST(NodeRegistryTest, AnswerToARenewalOfAnOlderLeaseIsIgnored) {
  this->Register(5);
  this->RunUntil([this] { return this->store.renew != nullptr; });
  this->store.era = 2;
  this->registry->OnEra(2, milliseconds(1));
  this->RunUntil([this] { return this->store.grants == 2; });
  this->Register(6);
  this->store.renew(NotRun(ErrorCode::kNotFound, "the lease has ended"));
  CHECK_EQUAL(2, this->store.grants);
}

// Guards against an outage that is not noticed, or goes on, because the outcome
// of lease calls is not reported.
TEST(NodeRegistryTest, ReportsWhetherLeaseCallsAreAnswered) {
  std::vector<bool> answered;
  this->registry->OnCall([&answered](bool call_answered, TimePoint) {
    answered.push_back(call_answered);
  });
  this->Register(5);
  this->RunUntil([this] { return this->store.renew != nullptr; });
  const auto renew = std::exchange(this->store.renew, nullptr);
  renew(NotRun(ErrorCode::kDeadlineExceeded, "silent"));
  this->RunUntil([this] { return this->store.renew != nullptr; });
  this->store.renew(NotRun(ErrorCode::kNotFound, "the lease has ended"));
  CHECK_TRUE((answered == std::vector<bool>{true, false, true}));
}

// Guards against a process that registers again while it leaves.
TEST(NodeRegistryTest, LeaveDuringTheRegistrationEndsIt) {
  this->Leave();
  CHECK_EQUAL(0, this->left);
  this->store.grant(int64_t{7});
  CHECK_EQUAL(0u, this->store.puts.size());
  CHECK_EQUAL(7, this->store.revoked.front());
  CHECK_EQUAL(1, this->left);
}

TEST(NodeRegistryTest, LeaveDuringThePutEndsTheLease) {
  this->store.grant(int64_t{7});
  this->Leave();
  CHECK_EQUAL(0, this->left);
  this->store.put(KeyValueTransactionResult{true, 10, 1});
  CHECK_EQUAL(7, this->store.revoked.front());
  CHECK_EQUAL(1, this->left);
}

TEST(NodeRegistryTest, LeaveBetweenTwoErasStaysLeft) {
  this->Register(5);
  this->store.era = 2;
  this->registry->OnEra(2, milliseconds(1));
  this->Leave();
  CHECK_EQUAL(1, this->left);
  // The lease may belong to another process now.
  CHECK_EQUAL(0u, this->store.revoked.size());
  this->loop.RunFor(milliseconds(50));
  CHECK_EQUAL(1, this->store.grants);
}

}  // namespace
}  // namespace celerypost
