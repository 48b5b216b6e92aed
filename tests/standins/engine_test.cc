#include "tests/standins/engine.h"

#include "tests/standins/artefact.h"
#include "tests/standins/blocking_client.h"

// Last, since it redefines new.
#include "CppUTest/TestHarness.h"

namespace celerypost::standins {
namespace {

// Chunk bytes, the body of /admin/load and the set digest of a set with one
// artefact.
struct TestSet {
  explicit TestSet(const std::string& version, uint64_t seed)
      : artefact({.size = 300, .chunk_size = 100, .seed = seed}) {
    Json described = {{"name", "base"},
                      {"kind", "model"},
                      {"digest", artefact.digest()},
                      {"size", 300},
                      {"chunks", artefact.chunks()}};
    digest = SetDigest(version, Json::array({described}));
    order = {{"set", digest},
             {"version", version},
             {"fencing", 1},
             {"artefacts", Json::array({described})}};
  }
  Artefact artefact;
  std::string digest;
  Json order;
};

TEST_GROUP(EngineTest) {
  Loop loop;
  Engine engine{loop, {{"name", "t1"}, {"token_ms", 1}, {"prefill_ms", 1}}};
  TestSet first{"v1", 1};
  TestSet second{"v2", 2};

  void setup() override {
    CHECK_TRUE(engine.Open().has_value());
  }

  int PutChunk(const std::string& digest, const std::string& bytes) {
    HttpRequest request;
    request.method = "PUT";
    request.path = "/admin/objects/" + digest;
    request.body = bytes;
    return Call(loop, engine.port(), request)->status;
  }
  int Order(const std::string& kind, const Json& order) {
    return Post(loop, engine.port(), "/admin/" + kind, order.dump())->status;
  }
  void Serve(const TestSet& set) {
    for (size_t i = 0; i < set.artefact.chunks().size(); ++i) {
      LONGS_EQUAL(200, PutChunk(set.artefact.chunks()[i],
                                set.artefact.bytes().substr(i * 100, 100)));
    }
    LONGS_EQUAL(200, Order("load", set.order));
    LONGS_EQUAL(200, Order("switch", {{"set", set.digest}, {"fencing", 1}}));
  }
  HttpResponse Complete() {
    const Json body = {{"prompt", "hello"}, {"max_tokens", 3}};
    return *Post(loop, engine.port(), "/v1/completions", body.dump());
  }
};

// Guards against an engine that answers without weights, and against text that
// does not name the weights it came from.
TEST(EngineTest, TextNamesTheWeightsInMemory) {
  LONGS_EQUAL(503, Complete().status);
  Serve(first);
  const HttpResponse answer = Complete();
  CHECK(FindHeader(answer.headers, "x-weights-version") == "v1");
  CHECK(answer.body.find(first.digest.substr(0, 16)) != std::string::npos);
  Serve(second);
  CHECK(Complete().body.find(second.digest.substr(0, 16)) != std::string::npos);
}

// Guards against mixed weights that produce the text of whole ones, so that the
// scenarios could not see them.
TEST(EngineTest, MixedBytesChangeTheText) {
  engine.Apply({{"verify", false}});
  LONGS_EQUAL(200, PutChunk(first.artefact.chunks()[0],
                            second.artefact.bytes().substr(0, 100)));
  LONGS_EQUAL(200, Order("load", first.order));
  LONGS_EQUAL(200, Order("switch", {{"set", first.digest}, {"fencing", 1}}));
  const HttpResponse answer = Complete();
  LONGS_EQUAL(200, answer.status);
  CHECK(answer.body.find(first.digest.substr(0, 16)) == std::string::npos);
}

// Guards against corrupt chunks and incomplete sets that a checking engine
// takes.
TEST(EngineTest, ChecksDigests) {
  LONGS_EQUAL(400, PutChunk(first.artefact.chunks()[0], "other bytes"));
  LONGS_EQUAL(400, Order("load", first.order));
}

// Guards against an old order that takes effect although the engine checks
// fencing numbers, and against a check that cannot be turned off.
TEST(EngineTest, ChecksFencing) {
  Serve(first);
  first.order["fencing"] = 5;
  LONGS_EQUAL(200, Order("load", first.order));
  first.order["fencing"] = 4;
  LONGS_EQUAL(409, Order("load", first.order));
  engine.Apply({{"fencing", false}});
  LONGS_EQUAL(200, Order("load", first.order));
}

// Guards against a restarted engine that keeps its weights or its identity.
TEST(EngineTest, RestartForgetsEverything) {
  Serve(first);
  const Json before = engine.Report();
  engine.Apply({{"restart", true}});
  LONGS_EQUAL(503, Complete().status);
  CHECK(before["start_id"] != engine.Report()["start_id"]);
}

// Guards against cold starts that count load below the bound, or miss load
// above it.
TEST(EngineTest, ColdStartModelCountsLoadOverItsBound) {
  ColdStartModel model;
  model.Configure({{"cold", 2}, {"full", 32}, {"warm_up_ms", 4000}});
  model.Restart(0);
  LONGS_EQUAL(2, model.Bound(0));
  LONGS_EQUAL(4, model.Bound(1000));
  LONGS_EQUAL(32, model.Bound(4000));
  model.OnArrival(2, 0);
  model.OnArrival(4, 999);
  model.OnArrival(4, 1000);
  Json figures;
  model.AddFigures(figures, 1000);
  LONGS_EQUAL(1, figures["over_bound"].get<int64_t>());
}

// Guards against blaming the callers for load that they sent before the target
// gave any sign of its cold start.
TEST(EngineTest, ColdStartModelCountsAfterTheFirstSlowAnswer) {
  ColdStartModel model;
  model.Restart(-10000);
  model.TurnColdSilently(0);
  model.OnArrival(30, 10);
  model.OnSlowAnswer(50);
  model.OnArrival(30, 60);
  model.OnArrival(30, 80);
  Json figures;
  model.AddFigures(figures, 100);
  LONGS_EQUAL(1, figures["over_bound"].get<int64_t>());
  LONGS_EQUAL(2, figures["over_bound_unseen"].get<int64_t>());
}

}  // namespace
}  // namespace celerypost::standins
