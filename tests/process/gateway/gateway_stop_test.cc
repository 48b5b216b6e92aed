#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "platform/request_codec.h"
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
      const KeyRange& range,
      int64_t,
      std::function<void(std::vector<KeyValue>)> on_events,
      std::function<void(Failure)>) override {
    if (range.first.empty()) {
      this->on_change = std::move(on_events);
    }
    return std::make_unique<KeyValueWatch>();
  }
  KeyValueCalls Calls() const override { return {}; }
  void Grant(milliseconds, std::function<void(Result<int64_t>)>) override {}
  void Renew(int64_t, std::function<void(Result<void>)>) override {}
  void Revoke(int64_t, std::function<void(Result<void>)>) override {}

  std::vector<KeyValue> items;
  std::function<void(std::vector<KeyValue>)> on_change;
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

// Reads one request with its body; returns nothing once the other side has
// closed the connection.
std::string ReadRequest(int connection) {
  std::string request;
  char bytes[4096];
  for (;;) {
    const size_t head = request.find("\r\n\r\n");
    if (head != std::string::npos) {
      const size_t at = request.find("content-length: ");
      const size_t body =
          at < head ? std::stoul(request.substr(at + 16)) : size_t{0};
      if (request.size() >= head + 4 + body) {
        return request;
      }
    }
    const ssize_t count = read(connection, bytes, sizeof(bytes));
    if (count <= 0) {
      return {};
    }
    request.append(bytes, static_cast<size_t>(count));
  }
}

std::string HeaderOf(const std::string& message, const std::string& name) {
  const size_t at = message.find(name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const size_t value = at + name.size() + 2;
  return message.substr(value, message.find("\r\n", value) - value);
}

void SendAll(int connection, const std::string& bytes) {
  send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

// A service process that runs a script for each request that it reads.
class StandInTarget {
 public:
  using Script = std::function<void(int connection, const std::string&)>;

  explicit StandInTarget(Script script) : script(std::move(script)) {
    this->listener = Listen(this->port);
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~StandInTarget() {
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    {
      const std::lock_guard lock(this->mutex);
      for (const int connection : this->connections) {
        shutdown(connection, SHUT_RDWR);
      }
    }
    for (std::thread& server : this->servers) {
      server.join();
    }
    for (const int connection : this->connections) {
      close(connection);
    }
    close(this->listener);
  }
  StandInTarget(const StandInTarget&) = delete;
  StandInTarget& operator=(const StandInTarget&) = delete;

  uint16_t port = 0;
  // Requests read so far.
  std::atomic<int> requests = 0;

 private:
  void Accept() {
    int connection = 0;
    while ((connection = accept(this->listener, nullptr, nullptr)) >= 0) {
      {
        const std::lock_guard lock(this->mutex);
        this->connections.push_back(connection);
      }
      this->servers.emplace_back([this, connection] {
        std::string request;
        while (!(request = ReadRequest(connection)).empty()) {
          ++this->requests;
          this->script(connection, request);
        }
        shutdown(connection, SHUT_RDWR);
      });
    }
  }

  Script script;
  int listener = -1;
  std::mutex mutex;
  std::vector<int> connections;
  std::vector<std::thread> servers;
  std::thread acceptor;
};

// The answer to `request` with the headers in `head`.
constexpr char kSignature[] = "x-response-seal: 1.2\r\n";

std::string TargetAnswerTo(const std::string& request,
                           const std::string& status,
                           const std::string& head = {}) {
  return "HTTP/1.1 " + status +
         "\r\nx-attempt-id: " + HeaderOf(request, "x-attempt-id") + "\r\n" +
         kSignature + head + "Content-Length: 2\r\n\r\nok";
}

// Leaves the request without an answer until the gateway closes its connection.
void StaySilent(int connection, const std::string&) {
  char bytes[16];
  while (read(connection, bytes, sizeof(bytes)) > 0) {
  }
}

std::string RequestTo(const std::string& path, const std::string& head = {}) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + path.substr(1) + "\r\n" +
         head + "\r\n";
}

// Returns a socket that is connected to the gateway, or -1.
int ConnectTo(uint16_t port) {
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(caller, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(caller);
    return -1;
  }
  return caller;
}

// Receives until the connection ends.
std::string ReadAll(int connection) {
  std::string received;
  char bytes[4096];
  ssize_t count = 0;
  while ((count = read(connection, bytes, sizeof(bytes))) > 0) {
    received.append(bytes, static_cast<size_t>(count));
  }
  return received;
}

// Receives one answer; `complete` tells whether it has ended as its head says.
std::string ReadAnswer(int connection, bool& complete) {
  std::string answer;
  char bytes[4096];
  complete = false;
  while (!complete) {
    const ssize_t count = read(connection, bytes, sizeof(bytes));
    if (count <= 0) {
      return answer;
    }
    answer.append(bytes, static_cast<size_t>(count));
    const size_t head = answer.find("\r\n\r\n");
    if (head != std::string::npos) {
      const std::string length =
          HeaderOf(answer.substr(0, head + 2), "Content-Length");
      complete = length.empty()
                     ? answer.ends_with("0\r\n\r\n")
                     : answer.size() >= head + 4 + std::stoul(length);
    }
  }
  return answer;
}

// One request of a caller that calls until the gateway has exited.
struct CallRecord {
  std::string id;
  bool is_stream = false;
  // The shorter of the route's timeout and the caller's deadline.
  milliseconds allowed{0};
  // Times from the stop until the last byte of the request was sent, and until
  // its answer or its connection ended.
  milliseconds sent_after{0};
  milliseconds ended_after{0};
  std::string answer{};
  bool complete = false;
};

constexpr milliseconds kTimeBeforeStop{500};

// A gateway with one target, which runs a script on its connection.
TEST_GROUP(GatewayStopTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
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
  platform::PlatformRequestCodec request_codec;
  FakeDirectoryCodec directory_codec;
  NodeSettings settings;

  void ChoosePorts() {
    this->settings.caller_address = {"127.0.0.1", FreePort()};
    this->settings.ready_address = {"127.0.0.1", FreePort()};
    this->settings.directory_address = {"127.0.0.1", FreePort()};
    this->settings.first_internal_port = FreePort();
    this->settings.last_internal_port = this->settings.first_internal_port;
  }

  void setup() override {
    this->settings.ip = "127.0.0.1";
    this->ChoosePorts();
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
    NodeDependencies dependencies{this->loop,   this->log,     this->metrics,
                                  this->random, this->store,   this->store,
                                  this->memory, this->decoder, this->settings,
                                  InstanceId{1}};
    auto gateway =
        std::make_unique<Gateway>(dependencies, this->request_codec,
                                  this->directory_codec, GatewayOptions{});
    CHECK_TRUE(gateway->Start().has_value());
    for (int i = 0; i < 100 && !this->Logged("\"ready\""); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(this->Logged("\"ready\""));
    std::string received;
    // The target has the request, or the caller has its answer.
    std::atomic<bool> under_way = false;
    std::thread caller([&] {
      received = Call(this->settings.caller_address->port, caller_pause);
      under_way = true;
    });
    std::thread server([&] {
      const int accepted = accept(listener, nullptr, nullptr);
      char request[4096];
      if (read(accepted, request, sizeof(request)) > 0) {
        under_way = true;
        target_script(accepted);
      }
      close(accepted);
    });
    Timer stop(this->loop, [&] {
      if (under_way) {
        gateway->Stop();
      }
    });
    stop.StartRepeating(milliseconds(100));
    this->loop.Run();
    stop.Stop();
    shutdown(listener, SHUT_RDWR);
    // Closes the sockets, as the exit of the process does.
    gateway.reset();
    this->loop.RunFor(milliseconds(20));
    caller.join();
    server.join();
    close(listener);
    return received;
  }

  // A request that is sent to the gateway on a connection of its own.
  struct StopCall {
    // Time from the stop until the connection is opened.
    milliseconds connects_after;
    std::string request;
    // Time from the stop until the last byte of the request is sent, if that
    // follows later than the others.
    milliseconds completed_after = milliseconds::min();
    std::string answer{};
    // Time from the stop until the connection has ended.
    milliseconds ended_after{0};
  };

  static Route MakeRoute(const std::string& prefix, RouteKind kind,
                         milliseconds timeout) {
    Route route;
    route.name = route.prefix = prefix;
    route.host = "h";
    route.kind = kind;
    route.resumable = kind == RouteKind::kStream;
    route.max_attempts = kind == RouteKind::kNonIdempotent ? 1 : 2;
    route.timeout = timeout;
    route.latency_goal = timeout / 8;
    route.backends = {{ServiceName("s"), 1}};
    return route;
  }

  // Makes the gateway know these routes and targets.
  void Configure(const std::vector<Route>& routes,
                 const std::vector<uint16_t>& target_ports) {
    auto config = std::make_shared<GatewayConfig>();
    config->routes["h"] = routes;
    config->services[ServiceName("s")].name = ServiceName("s");
    this->decoder.documents["config"] =
        std::shared_ptr<const GatewayConfig>(config);
    this->store.items = {{"config", "x", 1}};
    // Callers may connect until the end of the grace.
    this->settings.max_directory_ttl = this->settings.stop_grace;
    for (const uint16_t port : target_ports) {
      TargetRegistration target;
      target.id = "t" + std::to_string(this->store.items.size());
      target.service = ServiceName("s");
      target.address = {"127.0.0.1", port};
      target.slots = 16;
      this->decoder.documents[target.id] = target;
      this->store.items.push_back({target.id, "x", 2});
    }
  }

  // Runs a gateway that is stopped kTimeBeforeStop after it is ready, until it
  // exits. `stop` is called at that time and must lead to Gateway::Stop.
  void RunAndStop(
      std::vector<StopCall> & calls,
      const std::function<void(Gateway&)>& stop = [](Gateway& gateway) {
        gateway.Stop();
      }) {
    using Clock = std::chrono::steady_clock;
    NodeDependencies dependencies{this->loop,   this->log,     this->metrics,
                                  this->random, this->store,   this->store,
                                  this->memory, this->decoder, this->settings,
                                  InstanceId{1}};
    auto gateway =
        std::make_unique<Gateway>(dependencies, this->request_codec,
                                  this->directory_codec, GatewayOptions{});
    // Another process may have taken a port in the meantime.
    constexpr int kMaxStarts = 5;
    for (int i = 1; !gateway->Start(); ++i) {
      CHECK_TRUE(i < kMaxStarts);
      this->ChoosePorts();
      gateway =
          std::make_unique<Gateway>(dependencies, this->request_codec,
                                    this->directory_codec, GatewayOptions{});
    }
    for (int i = 0; i < 100 && !this->Logged("\"ready\""); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(this->Logged("\"ready\""));
    const Clock::time_point stop_time = Clock::now() + kTimeBeforeStop;
    this->stops_at = stop_time;
    const auto since_stop = [stop_time] {
      return std::chrono::duration_cast<milliseconds>(Clock::now() - stop_time);
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < this->looping_callers; ++i) {
      callers.emplace_back([this, i] { this->loop_caller(i); });
    }
    for (StopCall& call : calls) {
      callers.emplace_back([&call, stop_time, since_stop,
                            port = this->settings.caller_address->port] {
        std::this_thread::sleep_until(stop_time + call.connects_after);
        const int caller = ConnectTo(port);
        if (call.completed_after > call.connects_after) {
          const size_t first = call.request.size() - 1;
          SendAll(caller, call.request.substr(0, first));
          std::this_thread::sleep_until(stop_time + call.completed_after);
          SendAll(caller, call.request.substr(first));
        } else {
          SendAll(caller, call.request);
        }
        call.answer = ReadAll(caller);
        call.ended_after = since_stop();
        close(caller);
      });
    }
    Timer timer(this->loop, [&] { stop(*gateway); });
    timer.StartOnce(std::max(milliseconds(0), -since_stop()));
    Timer change(this->loop, [this] { this->on_change_due(); });
    if (this->on_change_due) {
      change.StartOnce(this->change_after);
    }
    this->loop.Run();
    this->exited_after = since_stop();
    // Closes the sockets, as the exit of the process does.
    gateway.reset();
    this->loop.RunFor(milliseconds(20));
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  // Time from the stop until the gateway's loop ended.
  milliseconds exited_after{0};
  std::chrono::steady_clock::time_point stops_at;
  // Threads that run `loop_caller` with their number.
  int looping_callers = 0;
  std::function<void(int)> loop_caller;
  // Called this long after the gateway is ready.
  milliseconds change_after{0};
  std::function<void()> on_change_due;

  std::string Lines() const {
    std::string all;
    for (const std::string& line : this->lines) {
      all.append(line).append("\n");
    }
    return all;
  }

  bool Logged(const std::string& text) const {
    return std::ranges::any_of(this->lines, [&text](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  }
};

// Guards against an exit that cuts an answer whose caller reads slowly.
TEST(GatewayStopTest, SendsTheWholeAnswerBeforeTheExit) {
  this->settings.stop_grace = milliseconds(8000);
  constexpr int kEvents = 128;
  std::string body;
  for (int i = 1; i <= kEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: " + std::string(65536, 'x') +
            "\n\n";
  }
  const std::string answer = "HTTP/1.1 200 OK\r\n" + std::string(kSignature) +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
  // Checked on this thread: a failed check on another one ends the process.
  std::atomic<ssize_t> written = 0;
  const std::string received = this->StopDuringRequest(
      milliseconds(1200), [&answer, &written](int connection) {
        written = write(connection, answer.data(), answer.size());
      });
  CHECK_EQUAL(static_cast<ssize_t>(answer.size()), written.load());
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

// Guards against a request that is taken though it may last longer than the
// grace, and is given up at its end.
TEST(GatewayStopTest, RefusesWhatMayNotEndBeforeTheExit) {
  StandInTarget target(StaySilent);
  this->Configure(
      {MakeRoute("/n/", RouteKind::kNonIdempotent, milliseconds(6000)),
       MakeRoute("/i/", RouteKind::kIdempotent, milliseconds(6000)),
       MakeRoute("/s/", RouteKind::kStream, milliseconds(6000))},
      {target.port});
  std::vector<StopCall> calls = {
      {milliseconds(-300), RequestTo("/n/body"), milliseconds(300)},
      {milliseconds(300), RequestTo("/n/1")},
      {milliseconds(300), RequestTo("/i/1")},
      {milliseconds(300), RequestTo("/s/1")},
      {milliseconds(1000), RequestTo("/n/2")},
  };
  this->RunAndStop(calls);
  for (const StopCall& call : calls) {
    STRNCMP_EQUAL("HTTP/1.1 503", call.answer.c_str(), 12);
    CHECK_TRUE(call.answer.find("Connection: close\r\n") != std::string::npos);
    STRCMP_EQUAL("0.020", HeaderOf(call.answer, "retry-after").c_str());
  }
  CHECK_EQUAL(0, target.requests.load());
}

// Guards against a refusal by the route's timeout of a request whose caller
// waits for less.
TEST(GatewayStopTest, TakesWhatEndsInTimeByTheCallersDeadline) {
  StandInTarget target([](int connection, const std::string& request) {
    if (request.find("/silent ") != std::string::npos) {
      StaySilent(connection, request);
    }
    SendAll(connection, TargetAnswerTo(request, "200 OK"));
  });
  this->Configure(
      {MakeRoute("/n/", RouteKind::kNonIdempotent, milliseconds(6000))},
      {target.port});
  std::vector<StopCall> calls = {
      {milliseconds(900), RequestTo("/n/1", "X-Deadline-Ms: 300\r\n")},
      {milliseconds(900), RequestTo("/n/silent", "X-Deadline-Ms: 300\r\n")},
      {milliseconds(900), RequestTo("/n/long", "X-Deadline-Ms: 3000\r\n")},
  };
  this->RunAndStop(calls);
  STRNCMP_EQUAL("HTTP/1.1 200", calls[0].answer.c_str(), 12);
  STRNCMP_EQUAL("HTTP/1.1 504", calls[1].answer.c_str(), 12);
  STRNCMP_EQUAL("HTTP/1.1 503", calls[2].answer.c_str(), 12);
}

// Guards against a process that is still busy with a request when SIGKILL
// comes.
TEST(GatewayStopTest, AnswersBeforeTheEndOfAShortGrace) {
  this->settings.stop_grace = milliseconds(1000);
  StandInTarget target(StaySilent);
  this->Configure(
      {MakeRoute("/n/", RouteKind::kNonIdempotent, milliseconds(6000))},
      {target.port});
  std::vector<StopCall> calls = {{milliseconds(-300), RequestTo("/n/1")}};
  this->RunAndStop(calls);
  STRNCMP_EQUAL("HTTP/1.1 502", calls[0].answer.c_str(), 12);
  CHECK_TRUE(calls[0].ended_after < milliseconds(950));
  CHECK_TRUE(this->exited_after < milliseconds(950));
}

// Guards against an exit that follows the SIGKILL because the process was busy
// when SIGTERM came.
TEST(GatewayStopTest, CountsTheGraceFromASignalThatIsHandledLate) {
  StandInTarget target(StaySilent);
  this->Configure(
      {MakeRoute("/n/", RouteKind::kNonIdempotent, milliseconds(6000))},
      {target.port});
  std::vector<StopCall> calls = {{milliseconds(-300), RequestTo("/n/1")}};
  bool handles_signals = false;
  this->RunAndStop(calls, [&](Gateway& gateway) {
    CHECK_FALSE(handles_signals);
    handles_signals = true;
    this->loop.OnTerminate([&gateway] { gateway.Stop(); });
    raise(SIGTERM);
    std::this_thread::sleep_for(milliseconds(700));
  });
  STRNCMP_EQUAL("HTTP/1.1 502", calls[0].answer.c_str(), 12);
  CHECK_TRUE(this->exited_after < this->settings.stop_grace);
}

// Guards against a second target that gets a request which may not end before
// the exit.
TEST(GatewayStopTest, DoesNotBeginARetryThatMayNotEndBeforeTheExit) {
  StandInTarget target([](int connection, const std::string& request) {
    if (request.find("/failed ") != std::string::npos) {
      std::this_thread::sleep_for(milliseconds(800));
      SendAll(connection, TargetAnswerTo(request, "500 Failed"));
      return;
    }
    std::this_thread::sleep_for(milliseconds(800));
    SendAll(connection,
            TargetAnswerTo(request, "503 Full", "x-not-executed: 1\r\n"));
  });
  StandInTarget other([](int connection, const std::string& request) {
    std::this_thread::sleep_for(milliseconds(800));
    SendAll(connection,
            TargetAnswerTo(request, "503 Full", "x-not-executed: 1\r\n"));
  });
  this->Configure(
      {MakeRoute("/n/", RouteKind::kNonIdempotent, milliseconds(6000)),
       MakeRoute("/i/", RouteKind::kIdempotent, milliseconds(6000)),
       MakeRoute("/s/", RouteKind::kStream, milliseconds(6000))},
      {target.port, other.port});
  std::vector<StopCall> calls = {{milliseconds(-300), RequestTo("/n/1")},
                                 {milliseconds(-300), RequestTo("/i/1")},
                                 {milliseconds(-300), RequestTo("/s/1")}};
  this->RunAndStop(calls);
  for (const StopCall& call : calls) {
    STRNCMP_EQUAL("HTTP/1.1 503", call.answer.c_str(), 12);
    CHECK_TRUE_TEXT(call.ended_after < milliseconds(1300),
                    this->Lines().c_str());
  }
  CHECK_EQUAL(3, target.requests + other.requests);
}

// Guards against 502, which promises nothing, for a request that no target has
// received a byte of.
TEST(GatewayStopTest, RefusesWhatWaitsForAConnectionAtTheExit) {
  // Accepts no connection, and its queue of connections is full.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), length));
  CHECK_EQUAL(0, listen(listener, 0));
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  const int queued = ConnectTo(ntohs(address.sin_port));
  this->settings.stop_grace = milliseconds(900);
  this->Configure(
      {MakeRoute("/n/", RouteKind::kNonIdempotent, milliseconds(6000))},
      {ntohs(address.sin_port)});
  std::vector<StopCall> calls = {{milliseconds(-50), RequestTo("/n/1")}};
  this->RunAndStop(calls);
  STRNCMP_EQUAL("HTTP/1.1 503", calls[0].answer.c_str(), 12);
  close(queued);
  close(listener);
}

// A fleet of callers that keep calling a gateway through its stop, and targets
// that are slow, silent or full, drawn from a seed.
TEST_GROUP_BASE(GatewayStopSoakTest, TEST_GROUP_CppUTestGroupGatewayStopTest) {
  using Clock = std::chrono::steady_clock;
  static constexpr int kCallers = 12;

  std::mutex mutex;
  std::vector<CallRecord> records;
  // By ID of a request: the times that a target ran it.
  std::map<std::string, int> runs;

  milliseconds SinceStop() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                    this->stops_at);
  }

  // The path of a request tells a target what to do: /KIND/ID/DELAY/MODE.
  void Serve(int connection, const std::string& request, bool refuses) {
    std::istringstream path(request.substr(request.find('/')));
    std::string skipped;
    std::string kind;
    std::string id;
    std::string delay;
    std::string mode;
    std::getline(path, skipped, '/');
    std::getline(path, kind, '/');
    std::getline(path, id, '/');
    std::getline(path, delay, '/');
    std::getline(path, mode, ' ');
    if (mode == "full" && refuses) {
      std::this_thread::sleep_for(milliseconds(std::stoi(delay) / 4));
      SendAll(connection,
              TargetAnswerTo(request, "503 Full", "x-not-executed: 1\r\n"));
      return;
    }
    {
      const std::lock_guard lock(this->mutex);
      ++this->runs[id];
    }
    if (mode == "silent") {
      StaySilent(connection, request);
      return;
    }
    if (kind != "s") {
      std::this_thread::sleep_for(milliseconds(std::stoi(delay)));
      SendAll(connection, TargetAnswerTo(request, "200 OK"));
      return;
    }
    SendAll(connection, "HTTP/1.1 200 OK\r\nx-attempt-id: " +
                            HeaderOf(request, "x-attempt-id") + "\r\n" +
                            kSignature + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 5; ++event) {
      std::this_thread::sleep_for(milliseconds(std::stoi(delay) / 5));
      SendAll(connection,
              "f\r\nid: " + std::to_string(event) + "\ndata: x\n\n\r\n");
    }
    SendAll(connection, "0\r\n\r\n");
  }

  // Calls on kept connections until no connection can be made.
  void CallUntilExit(SplitMixRandom draws, int number) {
    const std::vector<std::string> modes = {"plain", "plain", "plain", "full",
                                            "silent"};
    const auto grace = static_cast<uint64_t>(this->settings.stop_grace.count());
    int caller = -1;
    for (int i = 0;; ++i) {
      if (caller < 0) {
        caller = ConnectTo(this->settings.caller_address->port);
        if (caller < 0) {
          return;
        }
      }
      CallRecord record;
      record.id = std::to_string(number) + "x" + std::to_string(i);
      const std::string kind(1, "nis"[draws.Below(3)]);
      const std::string range(1, "012"[draws.Below(3)]);
      record.is_stream = kind == "s";
      const milliseconds deadline(100 + draws.Below(2 * grace));
      record.allowed = std::min(deadline, this->RouteTimeout(range));
      const std::string request =
          "POST /" + kind + "/" + record.id + "/" +
          std::to_string(
              10 + draws.Below(record.is_stream ? 3 * grace / 2 : grace / 3)) +
          "/" + modes[draws.Below(modes.size())] + " HTTP/1.1\r\nHost: h" +
          range + "\r\nX-Attempt-Id: " + record.id +
          "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
          "\r\nContent-Length: 2\r\n\r\nxy";
      SendAll(caller, request.substr(0, request.size() - 1));
      if (draws.Below(4) == 0) {
        std::this_thread::sleep_for(milliseconds(draws.Below(grace / 4)));
      }
      SendAll(caller, request.substr(request.size() - 1));
      record.sent_after = this->SinceStop();
      record.answer = ReadAnswer(caller, record.complete);
      record.ended_after = this->SinceStop();
      if (!record.complete ||
          record.answer.find("Connection: close") != std::string::npos) {
        close(caller);
        caller = -1;
      }
      const std::lock_guard lock(this->mutex);
      this->records.push_back(std::move(record));
    }
  }

  // Hosts h0 to h2 have routes with a short, a medium and a long timeout.
  milliseconds RouteTimeout(const std::string& range) const {
    const milliseconds grace = this->settings.stop_grace;
    return range == "0"   ? milliseconds(300)
           : range == "1" ? grace / 2
                          : 3 * grace;
  }

  std::shared_ptr<const GatewayConfig> MakeConfig(int version) {
    auto config = std::make_shared<GatewayConfig>();
    config->version = version;
    for (const char* const range : {"0", "1", "2"}) {
      for (const auto& [prefix, kind] :
           {std::pair("/n/", RouteKind::kNonIdempotent),
            std::pair("/i/", RouteKind::kIdempotent),
            std::pair("/s/", RouteKind::kStream)}) {
        Route route = MakeRoute(prefix, kind, this->RouteTimeout(range));
        route.host = std::string("h") + range;
        config->routes[route.host].push_back(route);
      }
    }
    config->services[ServiceName("s")].name = ServiceName("s");
    return config;
  }

  // Returns what is wrong with the end of a request, or an empty string.
  std::string Judge(const CallRecord& record) {
    const auto found = this->runs.find(record.id);
    const int times = found == this->runs.end() ? 0 : found->second;
    if (record.answer.starts_with("HTTP/1.1 503") && times > 0) {
      return "refused, but has run";
    }
    if (record.complete) {
      return {};
    }
    if (record.answer.empty() && times == 0) {
      // The connection may have been closed before the request was read.
      return record.ended_after >= this->exited_after - kClockSlack
                 ? std::string()
                 : "closed without an answer before the exit";
    }
    const bool out_of_time =
        record.ended_after - record.sent_after >= record.allowed - kClockSlack;
    const bool sent_before_stop = record.sent_after < milliseconds(0);
    return record.is_stream && (out_of_time || sent_before_stop) ? std::string()
                                                                 : "cut";
  }
  static constexpr milliseconds kClockSlack{60};

  // Plays one stop; returns what went wrong.
  std::vector<std::string> Play(uint64_t seed) {
    SplitMixRandom draws(seed);
    this->records.clear();
    this->runs.clear();
    this->lines.clear();
    this->settings.stop_grace = milliseconds(draws.Below(2) == 0 ? 1000 : 2000);
    this->settings.max_directory_ttl = this->settings.stop_grace;
    std::vector<std::string> faults;
    {
      StandInTarget full([this](int connection, const std::string& request) {
        this->Serve(connection, request, /*refuses=*/true);
      });
      StandInTarget other([this](int connection, const std::string& request) {
        this->Serve(connection, request, /*refuses=*/false);
      });
      this->Configure({}, {full.port, other.port});
      this->decoder.documents["config"] = this->MakeConfig(1);
      this->change_after =
          kTimeBeforeStop +
          milliseconds(draws.Below(this->settings.stop_grace.count() / 2));
      this->on_change_due = [this] {
        this->decoder.documents["config"] = this->MakeConfig(2);
        this->store.on_change({{"config", "y", 20}});
      };
      const uint64_t caller_seed = draws.Next();
      this->looping_callers = kCallers;
      this->loop_caller = [this, caller_seed](int number) {
        this->CallUntilExit(SplitMixRandom(caller_seed + number), number);
      };
      std::vector<StopCall> calls;
      this->RunAndStop(calls);
    }
    if (this->exited_after >= this->settings.stop_grace) {
      faults.push_back("exit after " +
                       std::to_string(this->exited_after.count()) +
                       " ms: " + this->lines.back());
    }
    for (const CallRecord& record : this->records) {
      const std::string fault = this->Judge(record);
      if (!fault.empty()) {
        faults.push_back(
            "request " + record.id + (record.is_stream ? " (stream) " : " ") +
            fault + ", sent " + std::to_string(record.sent_after.count()) +
            " ms, ended " + std::to_string(record.ended_after.count()) +
            " ms after the stop, allowed " +
            std::to_string(record.allowed.count()) + " ms");
      }
    }
    return faults;
  }
};

// Guards against a stop in which a request that was taken ends without an
// answer. CELERYPOST_SEEDS="FIRST COUNT" plays other seeds.
TEST(GatewayStopSoakTest, EveryRequestThatWasReadIsAnswered) {
  uint64_t first = 1;
  uint64_t count = 2;
  if (const char* const seeds = std::getenv("CELERYPOST_SEEDS")) {
    std::istringstream(seeds) >> first >> count;
  }
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const std::vector<std::string> faults = this->Play(seed);
    std::string report;
    for (const std::string& fault : faults) {
      report += "seed " + std::to_string(seed) + ": " + fault + "\n";
    }
    CHECK_TRUE_TEXT(faults.empty(), report.c_str());
    CHECK_TRUE(this->records.size() >= kCallers);
  }
}

}  // namespace
}  // namespace celerypost
