#include "src/process/gateway/relay_task.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>

#include "tests/process/gateway/fake_decoder.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxIterations = 200;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

// Forwards requests as they are; every request has the id "a".
class FakeCodec : public RequestCodec {
 public:
  CallerRequestInfo ReadRequest(const HttpRequest&) const override {
    CallerRequestInfo info;
    info.id = "a";
    return info;
  }
  HttpRequest MakeTargetRequest(const HttpRequest& request,
                                const TargetRequestInfo&) const override {
    return request;
  }
  TargetAnswer ReadAnswer(int status, const HttpHeaders&) const override {
    TargetAnswer answer;
    answer.status = status;
    return answer;
  }
  HttpHeaders MakeCallerHeaders(const HttpHeaders&) const override {
    return {};
  }
  HttpHeaders MakeOwnHeaders(const std::string&,
                             std::optional<milliseconds>) const override {
    return {};
  }
};

int ListenOnLoopback(uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), length));
  CHECK_EQUAL(0, listen(listener, 4));
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return listener;
}

TEST_GROUP(RelayTaskTest) {
  Loop loop;
  Log log{LogOptions{}, [](LogLevel, std::string_view) {},
          [] { return std::chrono::system_clock::now(); }};
  Metrics metrics;
  SplitMixRandom random{1};
  FakeDecoder decoder;
  FakeCodec codec;
  ClusterView view{decoder, {}};
  TargetTracker book{{}};
  std::unique_ptr<PlacementPolicy> policy = MakePredictivePolicy({}, random);
  TargetSelector selector{view, book, *policy, {}};
  CrashGuard crashes{{}, "gateway", [](const QuarantineRecord&, size_t) {}};
  ServiceRetryBudgets budgets{{.max_attempts = 4}, random};
  int64_t revision = 0;

  void Apply(const std::string& key, ClusterDocument document) {
    this->decoder.documents[key] = std::move(document);
    this->view.ApplyChanges({{key, "x", ++this->revision}}, this->loop.Now());
  }
};

// Guards against a stream that joins pieces of two runs: a target that broke
// off within its first event left the part behind, and the first event of the
// next target was appended to it (kilele-waivers-large, trouble-2).
TEST(RelayTaskTest, APartOfTheFirstEventIsNotJoinedWithTheNextRun) {
  uint16_t port = 0;
  const int listener = ListenOnLoopback(port);
  std::thread targets([listener] {
    for (const char* const body : {"id: 1\ndata: fir", "id: 1\ndata: x\n\n"}) {
      const int target = accept(listener, nullptr, nullptr);
      char request[4096];
      CHECK_TRUE(read(target, request, sizeof(request)) > 0);
      const std::string bytes = std::string(kHead) + body;
      CHECK_TRUE(write(target, bytes.data(), bytes.size()) > 0);
      if (bytes.ends_with("fir")) {
        // Lets the bytes arrive before the reset.
        std::this_thread::sleep_for(milliseconds(100));
        const linger reset{1, 0};
        setsockopt(target, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      }
      close(target);
    }
  });
  auto config = std::make_shared<GatewayConfig>();
  Route route;
  route.host = "h";
  route.prefix = "/";
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.max_attempts = 2;
  route.timeout = route.latency_goal = milliseconds(3000);
  route.backends = {{ServiceName("s"), 1}};
  config->routes["h"] = {route};
  config->services[ServiceName("s")].name = ServiceName("s");
  this->Apply("config", std::shared_ptr<const GatewayConfig>(config));
  for (const char* const id : {"t1", "t2"}) {
    TargetRegistration target;
    target.id = id;
    target.service = ServiceName("s");
    target.address = {"127.0.0.1", port};
    this->Apply(id, target);
  }
  Http1Client client(this->loop, {"127.0.0.1", port}, {});
  RelayMetrics relay_metrics(this->metrics);
  RelayContext context{
      this->loop,
      this->log,
      this->view,
      this->book,
      this->selector,
      this->crashes,
      this->codec,
      this->budgets,
      relay_metrics,
      {},
      [&client](const SocketAddress&) -> Http1Client& { return client; }};
  auto server = Http1Server::Make(
      this->loop, "127.0.0.1", 0,
      [&context](HttpRequest request, std::shared_ptr<HttpResponder> out) {
        std::make_shared<RelayTask>(context, std::move(request), out)->Start();
      });
  CHECK_TRUE(server.has_value());
  Http1Client caller(this->loop, {"127.0.0.1", (*server)->port()}, {});
  std::string body;
  bool done = false;
  const auto call = caller.Fetch(
      {"GET", "/", {{"host", "h"}}, ""}, milliseconds(4000),
      [&](Result<HttpResponse> response) {
        body = response ? response->body : response.error().message;
        done = true;
      });
  for (int i = 0; i < kMaxIterations && !done; ++i) {
    this->loop.RunFor(milliseconds(20));
  }
  targets.join();
  close(listener);
  STRCMP_EQUAL("id: 1\ndata: x\n\n", body.c_str());
  server->reset();
  this->loop.RunFor(milliseconds(50));
}

}  // namespace
}  // namespace celerypost
