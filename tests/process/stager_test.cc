#include "src/process/stager/stager.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/process/stager_fleet.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr size_t kChunks = 12;
constexpr int kMaxIterations = 1500;

std::vector<std::string> MakeChunks() {
  std::vector<std::string> chunks;
  for (size_t i = 0; i < kChunks; ++i) {
    chunks.push_back("chunk " + std::to_string(i) + std::string(100, 'x'));
  }
  return chunks;
}

uint16_t FreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(probe, reinterpret_cast<sockaddr*>(&address), length));
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  close(probe);
  return ntohs(address.sin_port);
}

// One stager with its target. A process, but for the loop and the store.
struct StagerProcess {
  StagerProcess(Loop& loop,
                StaticStore& store,
                MemoryBudget& memory,
                const DocumentDecoder& decoder,
                FakeOrigin& origin,
                std::vector<std::string>& lines,
                NodeSettings settings,
                InstanceId instance)
      : settings(std::move(settings)),
        random(instance.value),
        log(
            LogOptions{},
            [&lines](LogLevel, std::string_view line) {
              lines.emplace_back(line);
            },
            [] { return std::chrono::system_clock::now(); }),
        target(loop),
        stager({loop, log, metrics, random, store, store, memory, decoder,
                this->settings, instance},
               target,
               [&origin](const SocketAddress&) {
                 return std::make_unique<FakeOriginClient>(origin);
               },
               {}) {}

  NodeSettings settings;
  SplitMixRandom random;
  Log log;
  Metrics metrics;
  FakeModelTarget target;
  Stager stager;
};

// Stagers whose targets hold nothing, and that are to load version 2.
TEST_GROUP(StagerTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
  StaticStore store;
  FakeDecoder decoder;
  FakeOrigin origin{loop, MakeChunks()};
  std::vector<std::string> lines;
  std::vector<std::unique_ptr<StagerProcess>> processes;

  void StartStagers(size_t count) {
    auto config = std::make_shared<GatewayConfig>();
    ServiceConfig& service = config->services[ServiceName("s")];
    service.name = ServiceName("s");
    service.weight_origin = "127.0.0.1:1";
    EngineRates& engine = service.engine.emplace();
    engine.model = "m";
    engine.chunks = static_cast<uint32_t>(this->origin.chunks.size());
    this->decoder.documents["config"] =
        std::shared_ptr<const GatewayConfig>(config);
    this->decoder.documents["weights"] = NamedWeights{"m", 2};
    this->store.items = {{"config", "x", 1}, {"weights", "x", 2}};
    NodeSettings settings;
    settings.zone = ZoneName("z");
    settings.region = RegionName("r");
    settings.regions_of_zones[settings.zone] = settings.region;
    settings.first_internal_port = FreePort();
    settings.last_internal_port = settings.first_internal_port;
    settings.target_address = {"127.0.0.1", 1};
    settings.target_service = ServiceName("s");
    for (size_t i = 0; i < count; ++i) {
      settings.seed_ips.push_back("127.0.0." + std::to_string(2 + i));
    }
    for (size_t i = 0; i < count; ++i) {
      settings.ip = settings.seed_ips[i];
      this->processes.push_back(std::make_unique<StagerProcess>(
          this->loop, this->store, this->memory, this->decoder, this->origin,
          this->lines, settings, InstanceId{i + 1}));
      CHECK_TRUE(this->processes.back()->stager.Start().has_value());
    }
  }

  size_t CountLines(const std::string& text) const {
    size_t count = 0;
    for (const std::string& line : this->lines) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  // Names another version, whose chunks the origin then sends.
  void NameVersion(int64_t version, std::vector<std::string> chunks) {
    this->origin.chunks = std::move(chunks);
    this->decoder.documents["weights"] = NamedWeights{"m", version};
    for (const auto& on_change : this->store.on_change) {
      on_change({{"weights", "x", 100 + version}});
    }
  }

  // Every target loads the version, once and with the true chunks.
  void CheckAllLoad(int64_t version = 2) {
    const auto loaded = [this, version] {
      for (const auto& process : this->processes) {
        if (process->target.loaded_version != version) {
          return false;
        }
      }
      return true;
    };
    for (int i = 0; i < kMaxIterations && !loaded(); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(loaded());
    for (const auto& process : this->processes) {
      CHECK_EQUAL(version - 1, process->target.loads);
      CHECK_EQUAL(this->origin.chunks.size(), process->target.loaded.size());
      for (size_t i = 0; i < this->origin.chunks.size(); ++i) {
        CHECK_TRUE(this->origin.chunks[i] == process->target.loaded.at(i));
      }
    }
  }

  void teardown() override {
    this->processes.clear();
    this->loop.RunFor(milliseconds(50));
  }
};

// Guards against a version that no target loads since one of the origin's
// answers had a wrong digest (RECOVER, review/2).
TEST(StagerTest, AWrongDigestInOneAnswerIsCorrected) {
  for (const size_t wrong : {size_t{0}, size_t{5}, kChunks - 1}) {
    this->origin.digest_answers = 0;
    this->origin.spoil_digests = [wrong](size_t answer,
                                         std::vector<Digest>& digests) {
      if (answer == 1) {
        digests[wrong] = Digest::Of("no chunk");
      }
    };
    this->StartStagers(1);
    this->CheckAllLoad();
    CHECK_TRUE(this->CountLines("\"digests_corrected\"") >= 1);
    this->teardown();
  }
}

TEST(StagerTest, SwappedAndManyWrongDigestsAreCorrected) {
  using Spoil = std::function<void(std::vector<Digest>&)>;
  const std::vector<Spoil> kinds = {
      [](std::vector<Digest>& digests) { std::swap(digests[2], digests[9]); },
      [](std::vector<Digest>& digests) {
        for (size_t i = 0; i < digests.size(); ++i) {
          digests[i] = Digest::Of("no chunk " + std::to_string(i));
        }
      }};
  for (const Spoil& spoil : kinds) {
    this->origin.digest_answers = 0;
    this->origin.spoil_digests = [&spoil](size_t answer,
                                          std::vector<Digest>& digests) {
      if (answer == 1) {
        spoil(digests);
      }
    };
    this->StartStagers(1);
    this->CheckAllLoad();
    this->teardown();
  }
}

// Guards against a load of weights that lack chunks: all digests of a list that
// is too short fit.
TEST(StagerTest, AListOfTheWrongLengthIsNotUsed) {
  for (const size_t length : {kChunks - 1, kChunks + 1}) {
    this->origin.digest_answers = 0;
    this->origin.spoil_digests = [length](size_t answer,
                                          std::vector<Digest>& digests) {
      if (answer <= 2) {
        digests.resize(length, Digest::Of("no chunk"));
      }
    };
    this->StartStagers(1);
    this->CheckAllLoad();
    CHECK_EQUAL(3u, this->origin.digest_answers);
    this->teardown();
  }
}

// Guards against a wrong digest that stagers take from each other and keep: the
// first answer is spoilt, every later one in another place.
TEST(StagerTest, AWrongDigestThatPeersPassedOnIsCorrected) {
  this->origin.spoil_digests = [](size_t answer, std::vector<Digest>& digests) {
    if (answer <= 3) {
      digests[answer] = Digest::Of("no chunk");
    }
  };
  this->StartStagers(4);
  this->CheckAllLoad();
  CHECK_TRUE(this->CountLines("\"digests_corrected\"") >= 1);
}

// Guards against digests that give way to corrupt bytes.
TEST(StagerTest, CorruptChunksDoNotChangeTheDigests) {
  this->origin.spoil_chunk = [](size_t answer, std::string& bytes) {
    if (answer % 3 == 0) {
      bytes[answer % bytes.size()] ^= 1;
    }
  };
  this->StartStagers(2);
  this->CheckAllLoad();
  CHECK_TRUE(this->CountLines("\"chunk_bad\"") >= 3);
  CHECK_EQUAL(0u, this->CountLines("\"digests_corrected\""));
}

// Guards against a version that no target loads since two of its chunks are
// equal (RECOVER, review/3).
TEST(StagerTest, EqualChunksAreAllStaged) {
  this->origin.chunks[7] = this->origin.chunks[4];
  this->StartStagers(2);
  this->CheckAllLoad();
}

TEST(StagerTest, OneFetchIsEnoughForEqualChunks) {
  this->origin.chunks.assign(kChunks, "zeros");
  this->StartStagers(1);
  this->CheckAllLoad();
  CHECK_EQUAL(1u, this->origin.chunk_answers);
  CHECK_EQUAL(kChunks, this->processes.front()->target.puts);
}

// Guards against a chunk that counts as staged under all its numbers since one
// of them was found staged after a restart, or since it is one of the version
// before, and against one that went bad under one number only.
TEST(StagerTest, AnEqualChunkIsMissingUnderOneNumber) {
  this->origin.chunks[7] = this->origin.chunks[4];
  this->StartStagers(1);
  FakeModelTarget& target = this->processes.front()->target;
  target.staged[4] = this->origin.chunks[4];
  this->CheckAllLoad();
  target.staged.erase(7);
  std::vector<std::string> next = MakeChunks();
  std::swap(next[0], next[1]);
  next[2] = next[3];
  next[7] = next[4];
  this->NameVersion(3, next);
  this->CheckAllLoad(3);
}

}  // namespace
}  // namespace celerypost
