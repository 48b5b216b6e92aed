#include "src/process/process_http.h"

#include <chrono>
#include <memory>
#include <string>

#include "src/process/ctl_client.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr WallTime kNow{milliseconds(1765000000000)};

TEST_GROUP(ProcessHttpTest) {
  // Never freed: h2o's timers refer to the loop until the process ends.
  Loop& loop = *new Loop;
  SharedKey key{"a shared key of the tests"};
  Metrics metrics;
  Health health;
  std::unique_ptr<HttpServer> server;
  milliseconds timeout{5000};

  Result<HttpResponse> Call(const std::string& method, const std::string& path,
                            HttpHandler next, const std::string& body = "") {
    auto made = HttpServer::Make(
        this->loop, {},
        MakeProcessHandler(
            this->metrics, [this] { return this->health; }, std::move(next)));
    CHECK_TRUE(made.has_value());
    this->server = std::move(*made);
    HttpOperatorClientOptions options;
    options.timeout = this->timeout;
    options.max_body_bytes = 1000;
    HttpOperatorClient client(this->loop, {"127.0.0.1", this->server->port()},
                              this->key, options, [] { return kNow; });
    return client.Call(method, path, body);
  }
};

// Guards against metrics that scrapers cannot read.
TEST(ProcessHttpTest, ServesMetrics) {
  this->metrics.AddCounter("a_total", "help").Add(2);
  const auto answer = this->Call("GET", "/metrics", {});
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(200, answer->status);
  STRCMP_CONTAINS("\na_total 2\n", answer->body.c_str());
  CHECK(FindHeader(answer->headers, "content-type") ==
        "text/plain; version=0.0.4; charset=utf-8");
}

// Guards against a process that reports itself ready when it is not.
TEST(ProcessHttpTest, ServesHealth) {
  this->health = {false, "isolated", 7};
  auto answer = this->Call("GET", "/healthz?x=1", {});
  LONGS_EQUAL(503, answer->status);
  STRCMP_EQUAL(
      R"({"status":"not_ready","reason":"isolated","config_number":7})",
      answer->body.c_str());
  this->health.ready = true;
  answer = this->Call("GET", "/healthz", {});
  LONGS_EQUAL(200, answer->status);
  STRCMP_EQUAL(R"({"status":"ready","config_number":7})", answer->body.c_str());
}

// Guards against requests that are answered by the wrong handler.
TEST(ProcessHttpTest, PassesOtherPathsOn) {
  LONGS_EQUAL(405, this->Call("POST", "/metrics", {}, "x")->status);
  LONGS_EQUAL(404, this->Call("GET", "/metricsx", {})->status);
  const auto answer = this->Call(
      "GET", "/s/a", [](HttpRequest request, std::shared_ptr<HttpResponder> r) {
        r->Send(201, {}, request.path);
      });
  LONGS_EQUAL(201, answer->status);
  STRCMP_EQUAL("/s/a", answer->body.c_str());
}

// Guards against a client whose signature the entry's verifier refuses.
TEST(ProcessHttpTest, OperatorClientSignsRequests) {
  const auto answer = this->Call(
      "POST", "/v1/operator/changes?a=%20",
      [this](HttpRequest request, std::shared_ptr<HttpResponder> r) {
        RequestVerifier verifier(this->key);
        const auto verified = verifier.Verify(request, kNow);
        r->Send(verified ? 200 : 401, {}, request.body);
      },
      "{}");
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(200, answer->status);
  STRCMP_EQUAL("{}", answer->body.c_str());
}

// Guards against a lost or endless response that is reported as "not run",
// and against a client that waits forever.
TEST(ProcessHttpTest, OperatorClientReportsLostAnswers) {
  this->timeout = milliseconds(100);
  std::shared_ptr<HttpResponder> kept;
  auto answer = this->Call(
      "POST", "/v1/x",
      [&kept](HttpRequest, std::shared_ptr<HttpResponder> r) { kept = r; },
      "{}");
  CHECK_FALSE(answer.has_value());
  CHECK(answer.error().verdict == Verdict::kMayHaveRun);
  answer = this->Call(
      "POST", "/v1/x",
      [](HttpRequest, std::shared_ptr<HttpResponder> r) {
        r->Send(200, {}, std::string(1001, 'x'));
      },
      "{}");
  CHECK_FALSE(answer.has_value());
  CHECK(answer.error().verdict == Verdict::kRan);
}

// Guards against a refused connection that is reported as "may have run".
TEST(ProcessHttpTest, OperatorClientReportsClosedPorts) {
  CHECK_TRUE(this->Call("GET", "/healthz", {}).has_value());
  const uint16_t port = this->server->port();
  this->server.reset();
  HttpOperatorClient client(this->loop, {"127.0.0.1", port}, this->key, {},
                            [] { return kNow; });
  const auto answer = client.Call("POST", "/v1/x", "{}");
  CHECK_FALSE(answer.has_value());
  CHECK(answer.error().verdict == Verdict::kNotRun);
}

}  // namespace
}  // namespace celerypost
