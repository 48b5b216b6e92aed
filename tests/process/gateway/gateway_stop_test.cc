#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/process/gateway/gateway.h"
#include "tests/process/gateway/fake_decoder.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

// Answers every read with the same items.
class FakeStore : public KeyValueClient, public LeaseClient {
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
      std::function<void(Result<KeyValueTransactionResult>)>) override {}
  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange&,
      int64_t,
      std::function<void(std::vector<KeyValue>)>,
      std::function<void(Failure)>) override {
    return std::make_unique<KeyValueWatch>();
  }
  KeyValueCalls Calls() const override { return {}; }
  void Grant(milliseconds, std::function<void(Result<int64_t>)>) override {}
  void Renew(int64_t, std::function<void(Result<void>)>) override {}
  void Revoke(int64_t, std::function<void(Result<void>)>) override {}

  std::vector<KeyValue> items;
};

// Forwards requests and answers as they are.
class FakeRequestCodec : public RequestCodec {
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

class FakeDirectoryCodec : public DirectoryCodec {
 public:
  std::optional<RegionName> ParseLookup(const HttpRequest&) const override {
    return std::nullopt;
  }
  std::string MakeLookupResponse(const std::vector<std::string>&,
                                 milliseconds) const override {
    return {};
  }
  bool IsReadyCheck(const HttpRequest&) const override { return true; }
};

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int Listen(uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), length));
  CHECK_EQUAL(0, listen(listener, 4));
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return listener;
}

uint16_t FreePort() {
  uint16_t port = 0;
  close(Listen(port));
  return port;
}

// Connects, sends a request, and after `pause` receives until the connection
// ends.
std::string Call(uint16_t port, milliseconds pause) {
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  // Keeps the kernel from buffering the whole answer.
  const int buffer_bytes = 65536;
  setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
             sizeof(buffer_bytes));
  std::string received;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  if (connect(caller, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      write(caller, request.data(), request.size()) > 0) {
    std::this_thread::sleep_for(pause);
    std::vector<char> bytes(65536);
    ssize_t count = 0;
    while ((count = read(caller, bytes.data(), bytes.size())) > 0) {
      received.append(bytes.data(), static_cast<size_t>(count));
    }
  }
  close(caller);
  return received;
}

// A gateway with one target, which runs a script on its connection.
TEST_GROUP(GatewayStopTest) {
  Loop loop;
  std::vector<std::string> lines;
  Log log{LogOptions{},
          [this](LogLevel, std::string_view line) {
            this->lines.emplace_back(line);
          },
          [] { return std::chrono::system_clock::now(); }};
  Metrics metrics;
  SplitMixRandom random{1};
  FakeStore store;
  FakeDecoder decoder;
  FakeRequestCodec request_codec;
  FakeDirectoryCodec directory_codec;
  NodeSettings settings;

  void setup() override {
    this->settings.ip = "127.0.0.1";
    this->settings.caller_address = {"127.0.0.1", FreePort()};
    this->settings.ready_address = {"127.0.0.1", FreePort()};
    this->settings.directory_address = {"127.0.0.1", FreePort()};
    this->settings.first_internal_port = FreePort();
    this->settings.last_internal_port = this->settings.first_internal_port;
    this->settings.stop_grace = milliseconds(2000);
    this->settings.max_directory_ttl = milliseconds(100);
  }

  // Sends a request, stops the gateway while it is in progress, and returns
  // what the caller received.
  std::string StopDuringRequest(milliseconds caller_pause,
                                const std::function<void(int)>& target_script) {
    uint16_t target_port = 0;
    const int listener = Listen(target_port);
    auto config = std::make_shared<GatewayConfig>();
    Route route;
    route.host = "h";
    route.prefix = "/";
    route.kind = RouteKind::kStream;
    route.max_attempts = 1;
    route.timeout = route.latency_goal = milliseconds(6000);
    route.backends = {{ServiceName("s"), 1}};
    config->routes["h"] = {route};
    config->services[ServiceName("s")].name = ServiceName("s");
    TargetRegistration target;
    target.id = "t1";
    target.service = ServiceName("s");
    target.address = {"127.0.0.1", target_port};
    this->decoder.documents["config"] =
        std::shared_ptr<const GatewayConfig>(config);
    this->decoder.documents["t1"] = target;
    this->store.items = {{"config", "x", 1}, {"t1", "x", 2}};
    NodeDependencies dependencies{this->loop,    this->log,      this->metrics,
                                  this->random,  this->store,    this->store,
                                  this->decoder, this->settings, InstanceId{1}};
    auto gateway =
        std::make_unique<Gateway>(dependencies, this->request_codec,
                                  this->directory_codec, GatewayOptions{});
    CHECK_TRUE(gateway->Start().has_value());
    for (int i = 0; i < 100 && !this->Logged("\"ready\""); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(this->Logged("\"ready\""));
    std::string received;
    std::thread caller([&] {
      received = Call(this->settings.caller_address->port, caller_pause);
    });
    std::thread server([&] {
      const int accepted = accept(listener, nullptr, nullptr);
      char request[4096];
      if (read(accepted, request, sizeof(request)) > 0) {
        target_script(accepted);
      }
      close(accepted);
    });
    Timer stop(this->loop, [&gateway] { gateway->Stop(); });
    stop.StartOnce(milliseconds(100));
    this->loop.Run();
    // Closes the sockets, as the exit of the process does.
    gateway.reset();
    this->loop.RunFor(milliseconds(20));
    caller.join();
    server.join();
    close(listener);
    return received;
  }

  bool Logged(const std::string& text) const {
    return std::ranges::any_of(this->lines, [&text](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  }
};

// Guards against an exit that cuts an answer whose caller reads slowly.
TEST(GatewayStopTest, SendsTheWholeAnswerBeforeTheExit) {
  constexpr int kEvents = 128;
  std::string body;
  for (int i = 1; i <= kEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: " + std::string(65536, 'x') +
            "\n\n";
  }
  const std::string received =
      this->StopDuringRequest(milliseconds(1200), [&body](int connection) {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body;
        CHECK_EQUAL(static_cast<ssize_t>(answer.size()),
                    write(connection, answer.data(), answer.size()));
      });
  CHECK_TRUE(received.ends_with("0\r\n\r\n"));
  CHECK_TRUE(this->Logged("\"unsent\":0,"));
}

// Guards against a request that is accepted, waits at a target until the grace
// ends and gets neither an answer nor a refusal.
TEST(GatewayStopTest, AnswersARequestThatWaitsAtATargetUntilTheExit) {
  const std::string received =
      this->StopDuringRequest(milliseconds(0), [](int connection) {
        char bytes[16];
        while (read(connection, bytes, sizeof(bytes)) > 0) {
        }
      });
  STRNCMP_EQUAL("HTTP/1.1 502", received.c_str(), 12);
  CHECK_TRUE(this->Logged("\"waits_for\":\"answer\""));
}

}  // namespace
}  // namespace celerypost
