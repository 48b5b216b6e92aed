#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "celerypost/random.h"
#include "src/process/delta_codec.h"
#include "src/process/state/cluster_view.h"
#include "tests/support/virtual_time.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr char kConfigKey[] = "o/config";
constexpr char kWeightsKey[] = "o/w";
constexpr char kZoneKey[] = "o/z/north";
// A change is in force everywhere this long after it was acknowledged, unless
// the service was disturbed in the same time before or since.
constexpr milliseconds kApplyBound{1500};
constexpr milliseconds kLongestCall{300};
// How long operators and targets take to write again what a restore has lost.
constexpr milliseconds kLongestRewrite{2000};

// Reads "config 3", "weights 2", "out" and "target ready 900 4" (with start and
// sequence).
class WordDecoder : public DocumentDecoder {
 public:
  std::string OperatorPrefix() const override { return "o/"; }
  std::string TargetPrefix() const override { return "t/"; }
  Result<ClusterDocument> Decode(std::string_view key,
                                 std::string_view value) const override {
    std::istringstream words{std::string(value)};
    std::string kind;
    words >> kind;
    if (kind == "config") {
      auto config = std::make_shared<GatewayConfig>();
      words >> config->version;
      return std::shared_ptr<const GatewayConfig>(config);
    }
    if (kind == "weights") {
      NamedWeights named{"m", 0};
      words >> named.version;
      return named;
    }
    if (kind == "out") {
      return ZoneOut{ZoneName("north")};
    }
    if (kind == "target") {
      TargetRegistration target;
      std::string state;
      int64_t started_at = 0;
      words >> state >> started_at >> target.sequence;
      target.id = std::string(key.substr(2));
      target.draining = state == "draining";
      target.started_at = milliseconds(started_at);
      return target;
    }
    return NotRun(ErrorCode::kInvalidArgument, "unreadable");
  }
};

// The key-value service with its history, of which it can be restored to an
// older state.
struct Store {
  struct State {
    std::map<std::string, KeyValue> items;
    std::vector<KeyValue> changes;
    int64_t revision = 0;
  };

  void Put(const std::string& key, const std::string& value) {
    const KeyValue item{key, value, ++this->now.revision, this->era};
    if (value.empty()) {
      this->now.items.erase(key);
    } else {
      this->now.items[key] = item;
    }
    this->now.changes.push_back(item);
  }
  void Save(TimePoint time) { this->saved[time] = this->now; }
  void Restore(TimePoint time) {
    const auto after = this->saved.upper_bound(time);
    CHECK_TRUE(after != this->saved.begin());
    this->now = std::prev(after)->second;
    this->saved.erase(after, this->saved.end());
    ++this->era;
    for (auto& [key, item] : this->now.items) {
      item.era = this->era;
    }
    this->now.changes.clear();
  }

  State now;
  std::map<TimePoint, State> saved;
  int64_t era = 1;
  bool down = false;
};

struct Target {
  int64_t started_at = 0;
  int64_t sequence = 0;
  // "ready", "draining", or empty when it has left.
  std::string state = "ready";
};

struct Node {
  explicit Node(const DocumentDecoder& decoder)
      : view(std::make_unique<ClusterView>(decoder, ClusterViewOptions{})) {}

  std::unique_ptr<ClusterView> view;
  bool reader = false;
  bool paused = false;
  bool calling = false;
  bool pulling = false;
  // Where the watch continues.
  StorePosition next;
  TimePoint started{};
  TimePoint disturbed{};
  TimePoint last_config_pull{};
  int64_t highest_config = 0;
  // Start and sequence of the last statement after which a target was not used.
  std::map<std::string, std::pair<int64_t, int64_t>> ended;
};

// Processes that read the service or pull from each other, operators and
// targets, through restores of the service.
class Fleet {
 public:
  Fleet(uint64_t seed, size_t size) : random(seed) {
    this->Operate(kConfigKey, "config 1");
    for (int i = 0; i < 6; ++i) {
      this->targets["t/" + std::to_string(i)].started_at = 100;
    }
    this->WriteTargets();
    for (size_t i = 0; i < size; ++i) {
      this->Start(i < 2);
    }
    this->Every(milliseconds(50), [this] {
      this->store.Save(this->time.Now());
      this->Check();
    });
    this->Every(milliseconds(100), [this] { this->Exchange(); });
  }

  void RunFor(milliseconds span) { this->time.RunFor(span); }
  void Start(bool reader) {
    this->nodes.push_back(std::make_unique<Node>(this->decoder));
    this->nodes.back()->reader = reader;
    this->nodes.back()->started = this->time.Now();
    this->nodes.back()->disturbed = this->time.Now();
  }
  void Operate(const std::string& key, const std::string& value) {
    this->written[key] = value;
    if (!this->store.down) {
      this->store.Put(key, value);
      this->acknowledged = this->time.Now();
    }
  }
  void ChangeConfig() {
    if (!this->store.down) {
      this->Operate(kConfigKey, "config " + std::to_string(++this->version));
    }
  }
  void ChangeTarget() {
    const std::string key = "t/" + std::to_string(this->random.Below(6));
    Target& target = this->targets[key];
    if (this->store.down) {
      return;
    }
    if (target.state == "ready") {
      target.state = this->random.Below(2) == 0 ? "draining" : "";
    } else if (target.state == "draining") {
      target.state = "";
    } else {
      target = {target.started_at + 1000, 0, "ready"};
    }
    this->WriteTarget(key);
  }
  // Takes the service away for `away` and restores what it held `back` ago.
  void Restore(milliseconds back, milliseconds away) {
    const TimePoint at = this->time.Now() - back;
    this->store.down = true;
    this->disturbed = this->time.Now() + away;
    this->time.At(this->time.Now() + away, [this, at] {
      this->store.Restore(at);
      this->store.down = false;
      this->disturbed = this->time.Now();
      this->WriteAgain();
    });
  }
  void Pause(size_t index, milliseconds span) {
    Node& node = *this->nodes[index];
    node.paused = true;
    this->time.At(this->time.Now() + span, [this, &node] {
      node.paused = false;
      node.disturbed = this->time.Now();
    });
  }
  // Fails unless all processes agree with the operators and the service.
  void CheckAgreement() {
    for (const auto& node : this->nodes) {
      const ClusterView& view = *node->view;
      CHECK_EQUAL(this->store.era, view.position().era);
      CHECK_EQUAL(this->version, view.config()->version);
      CHECK_EQUAL(this->weights, view.Weights("m")->version());
      CHECK_EQUAL(this->written[kZoneKey].empty(),
                  !view.ZoneIsOut(ZoneName("north")));
      for (const auto& [key, target] : this->targets) {
        const auto found = view.targets().find(key.substr(2));
        const bool used = found != view.targets().end() &&
                          !found->second.entry.draining &&
                          !found->second.usable_until;
        CHECK_EQUAL(target.state == "ready", used);
      }
      for (const auto& [id, target] : view.targets()) {
        CHECK_TRUE(this->targets.contains("t/" + id));
      }
    }
  }

  SplitMixRandom random;
  VirtualTime time;
  Store store;
  int64_t version = 1;
  int64_t weights = 0;

 private:
  void Every(milliseconds period, std::function<void()> task) {
    this->time.At(this->time.Now() + period,
                  [this, period, task = std::move(task)] {
                    task();
                    this->Every(period, task);
                  });
  }
  milliseconds CallTime() {
    return milliseconds(1 + this->random.Below(kLongestCall.count()));
  }
  milliseconds RewriteDelay() {
    return milliseconds(this->random.Below(kLongestRewrite.count()));
  }
  void WriteTarget(const std::string& key) {
    Target& target = this->targets[key];
    ++target.sequence;
    if (target.state.empty()) {
      if (this->store.now.items.contains(key)) {
        this->store.Put(key, "");
      }
      return;
    }
    this->store.Put(key, "target " + target.state + " " +
                             std::to_string(target.started_at) + " " +
                             std::to_string(target.sequence));
  }
  void WriteTargets() {
    for (const auto& [key, target] : this->targets) {
      this->WriteTarget(key);
    }
  }
  // Operators and targets write again what the copy lacks.
  void WriteAgain() {
    for (const auto& [key, value] : this->written) {
      this->time.At(this->time.Now() + this->RewriteDelay(), [this, key = key] {
        const auto held = this->store.now.items.find(key);
        const std::string& value = this->written[key];
        if (!this->store.down &&
            (held == this->store.now.items.end() ? "" : held->second.value) !=
                value) {
          this->store.Put(key, value);
        }
      });
    }
    for (const auto& [key, target] : this->targets) {
      this->time.At(this->time.Now() + this->RewriteDelay(), [this, key = key] {
        if (!this->store.down) {
          this->WriteTarget(key);
        }
      });
    }
  }

  void Exchange() {
    for (const auto& node : this->nodes) {
      if (node->paused) {
        continue;
      }
      node->view->DropExpired(this->time.Now());
      node->view->Settle(this->time.Now());
      if (node->reader && !node->calling) {
        this->CallStore(*node);
      }
      const DocumentProgress progress = node->view->progress();
      for (const auto& other : this->nodes) {
        if (other == node) {
          continue;
        }
        this->time.At(this->time.Now() + this->CallTime(),
                      [this, from = node.get(), to = other.get(), progress] {
                        this->OnProgress(*to, *from, progress);
                      });
      }
    }
  }
  // Reads everything in a new era, else the changes since `next`.
  void CallStore(Node& node) {
    node.calling = true;
    const auto take = [this, &node] {
      const Store::State state = this->store.now;
      const int64_t era = this->store.era;
      const bool down = this->store.down;
      this->time.At(this->time.Now() + this->CallTime(),
                    [this, &node, state, era, down] {
                      node.calling = false;
                      if (!down && !node.paused) {
                        this->OnAnswer(node, state, era);
                      }
                    });
    };
    this->time.At(this->time.Now() + milliseconds(1), take);
  }
  void OnAnswer(Node& node, const Store::State& state, int64_t era) {
    if (era < node.next.era) {
      return;
    }
    const TimePoint now = this->time.Now();
    if (era > node.next.era) {
      std::vector<KeyValue> items;
      for (const auto& [key, item] : state.items) {
        items.push_back(item);
      }
      node.view->ApplySnapshot(items, {era, state.revision}, now);
    } else {
      std::vector<KeyValue> changes;
      for (const KeyValue& change : state.changes) {
        if (change.position() > node.next) {
          changes.push_back(change);
        }
      }
      node.view->ApplyChanges(changes, now);
    }
    node.next = {era, state.revision};
  }
  void OnProgress(Node& node, Node& peer, const DocumentProgress& progress) {
    const DocumentProgress own = node.view->progress();
    const TimePoint now = this->time.Now();
    const bool lacks = !node.reader && LacksDocuments(own, progress, true);
    const bool older = progress.config_version > own.config_version &&
                       now - node.last_config_pull > milliseconds(1000);
    if (node.paused || node.pulling || !(lacks || older)) {
      return;
    }
    if (!lacks) {
      node.last_config_pull = now;
    }
    node.pulling = true;
    const DocumentQuery query{own.position, false};
    this->time.At(now + this->CallTime() / 3, [this, &node, &peer, query] {
      const std::string bytes =
          peer.paused
              ? std::string()
              : EncodeDelta(peer.view->MakeDelta(query, this->time.Now()));
      ++this->pulls;
      this->time.At(this->time.Now() + this->CallTime() / 3,
                    [this, &node, bytes] {
                      node.pulling = false;
                      const auto delta = DecodeDelta(bytes);
                      if (delta && !node.paused) {
                        node.view->ApplyDelta(*delta, this->time.Now());
                      }
                    });
    });
  }

  void Check() {
    const TimePoint now = this->time.Now();
    for (const auto& node : this->nodes) {
      const auto& config = node->view->config();
      const int64_t known = config ? config->version : 0;
      // No process goes back.
      CHECK_TRUE(known >= node->highest_config);
      node->highest_config = known;
      const bool calm = !node->paused && now - node->disturbed > kApplyBound &&
                        !this->store.down &&
                        now - this->disturbed > kLongestRewrite + kApplyBound;
      if (calm && now - this->acknowledged > kApplyBound) {
        CHECK_EQUAL(this->version, known);
      }
      this->CheckTargets(*node);
    }
  }
  // No process uses a target again on a statement that it knows to be over.
  void CheckTargets(Node& node) {
    for (const auto& [key, target] : this->targets) {
      const auto found = node.view->targets().find(key.substr(2));
      if (found == node.view->targets().end()) {
        continue;
      }
      const TargetRegistration& entry = found->second.entry;
      const std::pair statement{static_cast<int64_t>(entry.started_at.count()),
                                entry.sequence};
      auto& ended = node.ended[key];
      if (entry.draining) {
        ended = std::max(ended, statement);
      } else if (!found->second.usable_until) {
        CHECK_TRUE(statement > ended);
      }
    }
  }

  WordDecoder decoder;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, std::string> written;
  std::map<std::string, Target> targets;
  TimePoint acknowledged{};
  TimePoint disturbed{};

 public:
  size_t pulls = 0;
  size_t size() const { return this->nodes.size(); }
};

TEST_GROUP(RestoredStoreTest){};

// Guards against confirmed changes that are not in force in time, or come back
// older, after the key-value service was restored.
TEST(RestoredStoreTest, FleetKeepsAndLearnsChangesThroughRestores) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    Fleet fleet(seed, 3 + seed % 14);
    SplitMixRandom& random = fleet.random;
    fleet.Operate(kWeightsKey, "weights " + std::to_string(++fleet.weights));
    fleet.RunFor(milliseconds(3000));
    const uint64_t restores = 1 + random.Below(2);
    for (uint64_t restore = 0; restore < restores; ++restore) {
      for (int step = 0; step < 8; ++step) {
        fleet.ChangeConfig();
        fleet.ChangeTarget();
        if (random.Below(4) == 0) {
          fleet.Operate(kZoneKey, random.Below(2) == 0 ? "out" : "");
        }
        if (random.Below(6) == 0) {
          fleet.Operate(kWeightsKey,
                        "weights " + std::to_string(++fleet.weights));
        }
        if (random.Below(6) == 0) {
          fleet.Pause(2 + random.Below(fleet.size() - 2),
                      milliseconds(500 + random.Below(8000)));
        }
        fleet.RunFor(milliseconds(100 + random.Below(1200)));
      }
      const milliseconds away(200 + random.Below(4000));
      fleet.Restore(milliseconds(random.Below(2800)), away);
      fleet.RunFor(away / 2);
      fleet.Start(random.Below(3) == 0);
      // Changes in the first moments of the new era reuse revisions.
      fleet.RunFor(away / 2 + milliseconds(random.Below(400)));
      for (int step = 0; step < 5; ++step) {
        fleet.ChangeConfig();
        fleet.ChangeTarget();
        fleet.RunFor(milliseconds(random.Below(600)));
      }
    }
    fleet.RunFor(milliseconds(14000));
    fleet.CheckAgreement();
    const size_t pulls = fleet.pulls;
    fleet.RunFor(milliseconds(5000));
    CHECK_EQUAL(pulls, fleet.pulls);
  }
}

}  // namespace
}  // namespace celerypost
