#include "tests/standins/blocking_client.h"
#include "tests/standins/encoding.h"
#include "tests/standins/link.h"
#include "tests/standins/membership_list.h"
#include "tests/standins/origin.h"
#include "tests/standins/plain_service.h"

// Last, since it redefines new.
#include "CppUTest/TestHarness.h"

namespace celerypost::standins {
namespace {

Result<HttpResponse> Get(Loop& loop,
                         uint16_t port,
                         const std::string& path,
                         HttpHeaders headers = {}) {
  HttpRequest request;
  request.path = path;
  request.headers = std::move(headers);
  return Call(loop, port, std::move(request));
}

TEST_GROUP(PlatformTest) {
  Loop loop;
};

// Guards against a plain service that misses a second run of a request.
TEST(PlatformTest, PlainServiceCountsDoubleRuns) {
  PlainService service(loop, {{"name", "l1"}, {"work_ms", 1}});
  CHECK_TRUE(service.Open().has_value());
  HttpRequest request;
  request.method = "POST";
  request.headers = {{"celerypost-request-id", "v1-1-a"}};
  request.body = "order";
  const auto answer = Call(loop, service.port(), request);
  CHECK(Json::parse(answer->body)["request_id"] == "v1-1-a");
  LONGS_EQUAL(0, service.Report()["double_runs"].get<int64_t>());
  service.Apply({{"lose_answers", 1}});
  CHECK_FALSE(Call(loop, service.port(), request).has_value());
  LONGS_EQUAL(1, service.Report()["double_runs"].get<int64_t>());
}

// Guards against ranges, digests and byte counts that disagree.
TEST(PlatformTest, OriginServesRangesOfSharedArtefacts) {
  Origin origin(loop, {{"name", "origin"}});
  CHECK_TRUE(origin.Open().has_value());
  Json add = {{"size", 1000}, {"chunk_size", 100}, {"seed", 1}};
  const Json first = origin.Apply({{"add", add}});
  add.update({{"seed", 2}, {"shared_seed", 1}, {"shared_percent", 80}});
  const Json second = origin.Apply({{"add", add}});
  const auto index_of = [&](const Json& artefact) {
    const auto answer = Get(loop, origin.port(),
                            "/objects/" + artefact["index"].get<std::string>());
    CHECK(Sha256Hex(answer->body) == artefact["index"]);
    return Json::parse(answer->body)["chunks"];
  };
  const Json chunks = index_of(first);
  const Json next_chunks = index_of(second);
  int shared = 0;
  for (size_t i = 0; i < chunks.size(); ++i) {
    shared += chunks[i] == next_chunks[i] ? 1 : 0;
  }
  LONGS_EQUAL(8, shared);
  const auto part = Get(
      loop, origin.port(), "/artefacts/" + first["digest"].get<std::string>(),
      {{"range", "bytes=100-199"}, {"celerypost-region", "dar"}});
  LONGS_EQUAL(206, part->status);
  CHECK(Sha256Hex(part->body) == chunks[1]);
  LONGS_EQUAL(100, origin.Report()["bytes_dar"].get<int64_t>());
  origin.Apply({{"corrupt_percent", 100}});
  const auto corrupt = Get(loop, origin.port(),
                           "/artefacts/" + first["digest"].get<std::string>(),
                           {{"range", "bytes=100-199"}});
  LONGS_EQUAL(100, corrupt->body.size());
  CHECK(Sha256Hex(corrupt->body) != chunks[1]);
}

// Guards against an origin that queues requests without limit instead of
// answering 429.
TEST(PlatformTest, OriginRefusesOverItsRate) {
  Origin origin(loop,
                {{"name", "origin"}, {"mbit", 0.1}, {"max_wait_ms", 100}});
  CHECK_TRUE(origin.Open().has_value());
  const Json artefact =
      origin.Apply({{"add", {{"size", 4000}, {"chunk_size", 4000}}}});
  const std::string path =
      "/artefacts/" + artefact["digest"].get<std::string>();
  HttpClient client(loop, {"127.0.0.1", origin.port()}, {});
  HttpRequest request;
  request.path = path;
  const auto busy = client.Send(request, {});
  while (origin.Report()["requests"] == 0) {
    loop.RunFor(std::chrono::milliseconds(1));
  }
  const auto refused = Get(loop, origin.port(), path);
  LONGS_EQUAL(429, refused->status);
  CHECK(FindHeader(refused->headers, "retry-after") == "1");
}

// Guards against a list that shows changes at once. No scenario would then run
// with the platform's lag.
TEST(PlatformTest, MembershipLags) {
  MembershipList list(loop, {{"name", "members"}, {"lag_ms", 60000}});
  CHECK_TRUE(list.Open().has_value());
  list.Apply({{"put", {{"vm", "e1"}, {"role", "entry"}}}});
  const auto lagging = Get(loop, list.port(), "/members");
  LONGS_EQUAL(0, Json::parse(lagging->body)["members"].size());
  list.Apply({{"lag_ms", 0}});
  const auto current = Get(loop, list.port(), "/members");
  CHECK(Json::parse(current->body)["members"][0]["vm"] == "e1");
}

// Guards against a cut that leaves connections usable and a stall that loses
// bytes instead of holding them.
TEST(PlatformTest, LinkCutsAndStalls) {
  MembershipList list(loop, {{"name", "members"}});
  CHECK_TRUE(list.Open().has_value());
  Link link(loop, {{"name", "link"}});
  CHECK_TRUE(link.Open().has_value());
  // The port of a listener that was closed again is free.
  uint16_t port = 0;
  {
    HttpServerOptions options;
    auto probe = HttpServer::Make(loop, options, nullptr);
    port = (*probe)->port();
  }
  link.Apply({{"forward",
               {{"port", port},
                {"to", "127.0.0.1:" + std::to_string(list.port())},
                {"region", "dar"},
                {"from", "arusha"}}}});
  CHECK_TRUE(Get(loop, port, "/members").has_value());
  const Json pair = Json::array({"dar", "arusha"});
  link.Apply({{"pair", pair}, {"cut", true}});
  CHECK_FALSE(Get(loop, port, "/members").has_value());
  link.Apply({{"pair", pair}, {"cut", false}, {"stalled", true}});
  HttpClient client(loop, {"127.0.0.1", port}, {});
  bool answered = false;
  const auto call = client.Fetch({"GET", "/members", {}, ""}, 10000,
                                 [&](const Result<HttpResponse>& result) {
                                   answered = result.has_value();
                                 });
  for (int i = 0; i < 5; ++i) {
    loop.RunFor(std::chrono::milliseconds(10));
  }
  CHECK_FALSE(answered);
  link.Apply({{"pair", pair}, {"stalled", false}});
  while (!answered) {
    loop.RunFor(std::chrono::milliseconds(10));
  }
}

}  // namespace
}  // namespace celerypost::standins
