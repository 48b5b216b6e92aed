#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/connection/base64.h"
#include "src/connection/http1_server.h"
#include "src/connection/loop.h"
#include "tests/process/program/loopback.h"
#include "tests/process/program/program.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using std::chrono::milliseconds;

// What a VM in this test has. The bounds below follow from these figures and
// the size of the crowd.
constexpr size_t kMemoryMb = 64;
constexpr size_t kMaxBodyBytes = 1'000'000;
constexpr size_t kMaxHeaderBytes = 16384;
constexpr size_t kCallers = 96;

// `limits.memory_mb` counts megabytes.
constexpr size_t kMaxMemory = kMemoryMb * 1'000'000;
// A connection for each caller and one to the target for each of their
// requests, and those of the process itself.
constexpr size_t kMaxDescriptors = 2 * kCallers + 64;
// Length of a request's body that is over every listener's limit.
constexpr size_t kFarOverLimit = 16 * kMaxBodyBytes;
constexpr size_t kPartBytes = 50'000;
static_assert(kCallers * kMaxBodyBytes > kMaxMemory);

// The shadow memory of the sanitizer counts as memory of the process, so its
// peak says nothing there; the other checks hold.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kChecksMemory = false;
#else
constexpr bool kChecksMemory = true;
#endif

// The crowd has done what it can when nothing was sent or received for this
// time; longer than the target holds a request.
constexpr milliseconds kQuietTime{1500};
constexpr milliseconds kHoldTime{1000};
// A case ends then at the latest.
constexpr milliseconds kLongestCase{20000};
// An ordinary caller comes again after a refusal.
constexpr int kTries = 12;
constexpr milliseconds kBetweenTries{300};

// Sends the request of an ordinary caller, who comes again when it is refused,
// until it has been answered with 200. Returns the last status.
int StatusAfterTries(const std::string& ip,
                     uint16_t port,
                     const std::function<std::string(int)>& request) {
  int status = 0;
  for (int i = 0; i < kTries && status != 200; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(kBetweenTries);
    }
    status = StatusOf(ip, port, request(i));
  }
  return status;
}

// The key-value service and a target, on a thread of their own.
class StandIns {
 public:
  explicit StandIns(const std::string& ip)
      : ip(ip), thread([this] { this->Run(); }) {
    while (!this->running) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  ~StandIns() {
    this->stopping = true;
    this->thread.join();
  }
  StandIns(const StandIns&) = delete;
  StandIns& operator=(const StandIns&) = delete;

  std::string store_address() const {
    return this->ip + ":" + std::to_string(this->store_port);
  }
  std::string target_address() const {
    return this->ip + ":" + std::to_string(this->target_port);
  }
  // IDs of the requests that the target has received.
  std::set<std::string> ReceivedIds() {
    const std::lock_guard lock(this->mutex);
    return this->ids;
  }

 private:
  void Run() {
    Loop loop;
    // Not HttpServer: h2o keeps the memory of a thread when that ends.
    MemoryBudget memory(loop, {}, {});
    auto store = Http1Server::Make(
        loop, this->ip, 0, memory,
        [this, &loop](const HttpRequest& request,
                      const std::shared_ptr<HttpResponder>& responder) {
          this->ServeStore(loop, request, responder);
        });
    auto target = Http1Server::Make(
        loop, this->ip, 0, memory,
        [this, &loop](const HttpRequest& request,
                      const std::shared_ptr<HttpResponder>& responder) {
          this->ServeTarget(loop, request, responder);
        });
    this->store_port = (*store)->port();
    this->target_port = (*target)->port();
    this->AddDocuments();
    this->running = true;
    while (!this->stopping) {
      loop.RunFor(milliseconds(20));
    }
    this->timers.clear();
    store->reset();
    target->reset();
    // Closed handles are freed by the loop.
    loop.RunFor(milliseconds(20));
  }

  void AddDocuments() {
    const Json config = {{"version", 1},
                         {"routes",
                          {{{"name", "r"},
                            {"host", "h"},
                            {"prefix", "/r/"},
                            {"kind", "idempotent"},
                            {"service", "s"},
                            {"timeout_ms", 5000},
                            {"max_attempts", 2},
                            {"public", true}}}},
                         {"services", {{{"name", "s"}}}},
                         {"limits",
                          {{"max_body_bytes", kMaxBodyBytes},
                           {"max_header_bytes", kMaxHeaderBytes}}}};
    const Json target = {
        {"service", "s"},   {"address", this->target_address()},
        {"zone", "z"},      {"slots", 2 * kCallers},
        {"state", "ready"}, {"sequence", 1}};
    this->Put("op/config", EncodeBase64(config.dump()));
    this->Put("servers/t1", EncodeBase64(target.dump()));
  }

  void Put(const std::string& key, const std::string& value) {
    this->items[key] = {
        {"key", key}, {"value", value}, {"revision", ++this->revision}};
  }

  void After(Loop& loop, milliseconds delay, std::function<void()> task) {
    this->timers.push_back(std::make_unique<Timer>(loop, std::move(task)));
    this->timers.back()->StartOnce(delay);
  }

  void ServeStore(Loop& loop,
                  const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder) {
    const auto path = PathWithoutQuery(request.path);
    if (path == "/kv-range") {
      const std::string prefix(FindQueryParameter(request.path, "prefix"));
      Json found = Json::array();
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix)) {
          found.push_back(item);
        }
      }
      responder->SendJson(
          200, Json{{"at", this->revision}, {"items", found}}.dump());
    } else if (path == "/kv-watch") {
      const std::string after(FindQueryParameter(request.path, "after"));
      const std::string wait(FindQueryParameter(request.path, "wait_ms"));
      const Json answer = {{"at", std::stoll(after)},
                           {"events", Json::array()}};
      this->After(loop, milliseconds(std::stoll(wait)),
                  [responder, text = answer.dump()] {
                    responder->SendJson(200, text);
                  });
    } else if (path == "/kv-txn") {
      const Json body = Json::parse(request.body, nullptr, false);
      for (const Json& write : body.value("writes", Json::array())) {
        this->Put(write.value("key", ""), write.value("value", ""));
      }
      responder->SendJson(200, Json{{"revision", this->revision}}.dump());
    } else if (path == "/kv-lease") {
      responder->SendJson(200, R"({"lease":7})");
    } else if (path == "/kv-key") {
      responder->SendJson(404, "{}");
    } else {
      responder->SendJson(200, "{}");
    }
  }

  // Answers the stager's polls, and requests of callers: after kHoldTime if
  // their path says so.
  void ServeTarget(Loop& loop,
                   const HttpRequest& request,
                   const std::shared_ptr<HttpResponder>& responder) {
    const auto path = PathWithoutQuery(request.path);
    if (path == "/report") {
      responder->SendJson(200, R"({"models":[],"busy":false,"sequence":1})");
      return;
    }
    const std::string id(FindHeader(request.headers, "x-attempt-id"));
    {
      const std::lock_guard lock(this->mutex);
      this->ids.insert(id);
    }
    const auto answer = [responder, id] {
      responder->Send(200, {{"x-attempt-id", id}, {"x-response-seal", "1.2"}},
                      "ok");
    };
    if (path.ends_with("/held")) {
      this->After(loop, kHoldTime, answer);
    } else {
      answer();
    }
  }

  const std::string ip;
  std::atomic<bool> running = false;
  std::atomic<bool> stopping = false;
  uint16_t store_port = 0;
  uint16_t target_port = 0;
  std::mutex mutex;
  std::set<std::string> ids;
  std::map<std::string, Json> items;
  int64_t revision = 0;
  std::vector<std::unique_ptr<Timer>> timers;
  std::thread thread;
};

// What one caller of the crowd sends: `parts` strings, one after the other.
struct Sending {
  std::function<std::string(size_t)> part;
  size_t parts = 0;
};

// Callers that send at the same time and keep their connections.
class Crowd {
 public:
  Crowd(const std::string& ip,
        uint16_t port,
        const std::function<Sending(size_t)>& make) {
    for (size_t i = 0; i < kCallers; ++i) {
      this->callers.push_back({ConnectTo(ip, port), make(i)});
      if (this->callers.back().connection >= 0) {
        fcntl(this->callers.back().connection, F_SETFL, O_NONBLOCK);
      }
    }
  }
  ~Crowd() {
    for (const Caller& caller : this->callers) {
      if (caller.connection >= 0) {
        close(caller.connection);
      }
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends and receives until nothing more happens.
  void Run(Program& program) {
    const auto end = Clock::now() + kLongestCase;
    auto active_at = Clock::now();
    auto sampled_at = Clock::time_point();
    while (Clock::now() < std::min(end, active_at + kQuietTime)) {
      std::vector<pollfd> polled;
      for (const Caller& caller : this->callers) {
        const bool more = caller.HasMore();
        polled.push_back({caller.connection,
                          static_cast<short>(POLLIN | (more ? POLLOUT : 0)),
                          0});
      }
      poll(polled.data(), polled.size(), 20);
      for (size_t i = 0; i < polled.size(); ++i) {
        if (polled[i].revents != 0 && this->callers[i].connection >= 0 &&
            this->Step(this->callers[i], polled[i].revents)) {
          active_at = Clock::now();
        }
      }
      if (Clock::now() - sampled_at > milliseconds(20)) {
        sampled_at = Clock::now();
        program.Sample();
      }
    }
    program.Sample();
  }

  // The statuses that a caller has received, in the order of its requests.
  std::vector<int> Statuses(size_t caller) const {
    return StatusesIn(this->callers[caller].received);
  }

 private:
  struct Caller {
    int connection = -1;
    Sending sending;
    size_t next_part = 0;
    std::string unsent{};
    std::string received{};

    bool HasMore() const {
      return !this->unsent.empty() || this->next_part < this->sending.parts;
    }
  };

  // Returns whether anything was sent, received or closed.
  bool Step(Caller& caller, short events) {
    bool active = false;
    char bytes[16384];
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
      const ssize_t count = recv(caller.connection, bytes, sizeof(bytes), 0);
      if (count == 0 || (count < 0 && errno != EAGAIN)) {
        close(caller.connection);
        caller.connection = -1;
        return true;
      }
      if (count > 0) {
        caller.received.append(bytes, static_cast<size_t>(count));
        active = true;
      }
    }
    if ((events & POLLOUT) != 0) {
      if (caller.unsent.empty() && caller.next_part < caller.sending.parts) {
        caller.unsent = caller.sending.part(caller.next_part++);
      }
      const ssize_t count = send(caller.connection, caller.unsent.data(),
                                 caller.unsent.size(), MSG_NOSIGNAL);
      if (count > 0) {
        caller.unsent.erase(0, static_cast<size_t>(count));
        active = true;
      }
    }
    return active;
  }

  std::vector<Caller> callers;
};

// A crowd's requests at one listener, and what may come back.
struct Load {
  // Makes what caller `i` sends; the ID of its request `k` is IdOf(i, k).
  std::function<Sending(const std::string& path, size_t i)> make;
  // No request of the crowd may be answered with success by the target.
  bool over_limit = false;
};

std::string IdOf(size_t caller, size_t request) {
  return "c" + std::to_string(caller) + "-" + std::to_string(request);
}

// Sends `head` and then `body_bytes` bytes of a body that is not chunked.
Sending WithBody(const std::string& head, size_t body_bytes) {
  return {[head, body_bytes](size_t part) {
            return part == 0
                       ? head
                       : std::string(
                             std::min(kPartBytes,
                                      body_bytes - (part - 1) * kPartBytes),
                             'x');
          },
          1 + (body_bytes + kPartBytes - 1) / kPartBytes};
}

Load AnnouncedOnly() {
  return {[](const std::string& path, size_t i) {
            return WithBody(
                PostHead(path, IdOf(i, 0), LengthHeader(1000 * kFarOverLimit)),
                10);
          },
          /*over_limit=*/true};
}

Load AnnouncedAndSent() {
  return {[](const std::string& path, size_t i) {
            return WithBody(
                PostHead(path, IdOf(i, 0), LengthHeader(kFarOverLimit)),
                kFarOverLimit);
          },
          /*over_limit=*/true};
}

Load ChunkedWithoutEnd() {
  return {[](const std::string& path, size_t i) {
            const std::string head =
                PostHead(path, IdOf(i, 0), "Transfer-Encoding: chunked\r\n");
            return Sending{
                [head](size_t part) {
                  char size[16];
                  std::snprintf(size, sizeof(size), "%zx\r\n", kPartBytes);
                  return part == 0
                             ? head
                             : size + std::string(kPartBytes, 'x') + "\r\n";
                },
                1 + kFarOverLimit / kPartBytes};
          },
          /*over_limit=*/true};
}

Load AtTheLimit() {
  return {[](const std::string& path, size_t i) {
    const size_t length = kMaxBodyBytes - i % 2;
    return WithBody(PostHead(path + "held", IdOf(i, 0), LengthHeader(length)),
                    length);
  }};
}

// Chunked bodies within the limit that are never completed.
Load ChunkedAndStay() {
  return {[](const std::string& path, size_t i) {
    const Sending endless = ChunkedWithoutEnd().make(path, i);
    return Sending{endless.part, 1 + kMaxBodyBytes / kPartBytes};
  }};
}

Load PartialBodies() {
  return {[](const std::string& path, size_t i) {
    return WithBody(
        PostHead(path + "held", IdOf(i, 0), LengthHeader(kMaxBodyBytes)),
        kMaxBodyBytes - 1);
  }};
}

Load Pipelined() {
  return {[](const std::string& path, size_t i) {
    return Sending{[path, i](size_t request) {
                     constexpr size_t kLength = kMaxBodyBytes / 5;
                     return PostHead(path + (request == 0 ? "held" : "next"),
                                     IdOf(i, request), LengthHeader(kLength)) +
                            std::string(kLength, 'x');
                   },
                   16};
  }};
}

// Many short headers that stay under the limit on their bytes without an end,
// and long ones over it.
Load HeaderFlood() {
  return {[](const std::string& path, size_t i) {
    std::string head = PostHead(path, IdOf(i, 0), "");
    head.resize(head.size() - 2);
    const bool is_long = i % 2 == 1;
    return Sending{[head, is_long](size_t part) {
                     if (part == 0) {
                       return head;
                     }
                     if (is_long) {
                       return "a: " + std::string(kPartBytes, 'x') + "\r\n";
                     }
                     std::string lines;
                     for (int line = 0; line < 1000; ++line) {
                       lines += "a:\r\n";
                     }
                     return lines;
                   },
                   1 + kMaxHeaderBytes / 1024};
  }};
}

// Callers that wait for an interim response before they send a body over the
// limit, and others that send one at the limit.
Load ExpectContinue() {
  return {[](const std::string& path, size_t i) {
    const bool over = i % 2 == 1;
    return WithBody(
        PostHead(path + "held", IdOf(i, 0),
                 "Expect: 100-continue\r\n" +
                     LengthHeader(over ? kFarOverLimit : kMaxBodyBytes)),
        over ? 0 : kMaxBodyBytes);
  }};
}

// One listener of the program and a request that it answers with 200.
struct Listener {
  const char* name;
  uint16_t port;
  std::string path;
  std::string ordinary_request;
};

std::string GetRequest(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Guards against a process that ends, hangs, or exceeds the memory of its VM
// since callers send more than it can hold.
TEST_GROUP(OversizedBodiesTest) {
  std::string gateway_ip;
  std::string stager_ip;
  std::string directory;
  std::unique_ptr<StandIns> stand_ins;
  std::unique_ptr<Program> program;
  std::vector<Listener> listeners;
  uint16_t caller_port = 0;

  void setup() override {
    // Addresses of this process alone, so that its ports are free.
    const std::string net = "127." + std::to_string(1 + getpid() / 250 % 250) +
                            "." + std::to_string(1 + getpid() % 250) + ".";
    this->gateway_ip = net + "1";
    this->stager_ip = net + "2";
    char name[] = "/tmp/celerypost_bodies_XXXXXX";
    this->directory = mkdtemp(name);
    this->stand_ins = std::make_unique<StandIns>(net + "3");
  }

  void teardown() override {
    this->program.reset();
    this->stand_ins.reset();
    std::filesystem::remove_all(this->directory);
  }

  std::string CommonSettings(const std::string& ip, uint16_t first_port) const {
    std::ostringstream text;
    text << "node_name=n1\nip=" << ip
         << "\nzone=z\nregion=q\nzones.z=q\ninternal_ports=" << first_port
         << "," << first_port + 15 << "\nlimits.memory_mb=" << kMemoryMb
         << "\nplatform.address=" << this->stand_ins->store_address()
         << "\nplatform.ttl_min_ms=60000\n";
    return text.str();
  }

  void Start(const std::string& role, const std::string& ip,
             const std::string& settings, uint16_t metrics_port) {
    const std::string path = this->directory + "/" + role;
    std::ofstream(path) << settings;
    this->program = std::make_unique<Program>(role, ip, path, metrics_port);
  }

  void StartGateway() {
    const std::string& ip = this->gateway_ip;
    this->caller_port = FreePort(ip);
    const uint16_t ready = FreePort(ip);
    const uint16_t directory_port = FreePort(ip);
    const uint16_t internal =
        static_cast<uint16_t>(std::min<int>(FreePort(ip), 65500));
    const uint16_t metrics = FreePort(ip);
    const auto address = [&ip](uint16_t port) {
      return ip + ":" + std::to_string(port) + "\n";
    };
    this->listeners = {
        {"callers", this->caller_port, "/r/", this->SmallRequest(0)},
        {"readiness", ready, "/ready/", GetRequest("/ready")},
        {"directory", directory_port, "/resolve/",
         GetRequest("/resolve?region=q")},
        {"internal", internal, "/v1/", GetRequest("/v1/documents")},
        {"metrics", metrics, "/metrics/", GetRequest("/metrics")}};
    this->Start("gateway", ip,
                this->CommonSettings(ip, internal) +
                    "listen.front=" + address(this->caller_port) +
                    "listen.ready=" + address(ready) +
                    "listen.directory=" + address(directory_port),
                metrics);
    CHECK_TRUE_TEXT(this->BecomesOrdinary(ip, this->listeners[0]),
                    this->Log("gateway").c_str());
  }

  void StartStager() {
    const std::string& ip = this->stager_ip;
    const uint16_t internal =
        static_cast<uint16_t>(std::min<int>(FreePort(ip), 65500));
    const uint16_t metrics = FreePort(ip);
    this->listeners = {
        {"internal", internal, "/v1/", GetRequest("/v1/documents")},
        {"metrics", metrics, "/metrics/", GetRequest("/metrics")}};
    this->Start("stager", ip,
                this->CommonSettings(ip, internal) + "service=s\napp=" +
                    this->stand_ins->target_address() + "\n",
                metrics);
    CHECK_TRUE_TEXT(this->BecomesOrdinary(ip, this->listeners[0]),
                    this->Log("stager").c_str());
  }

  std::string Log(const std::string& role) const {
    std::ifstream file(this->directory + "/" + role + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    const std::string all = text.str();
    return all.substr(all.size() - std::min<size_t>(all.size(), 2000));
  }

  // Waits for the program to have started, for longer than that takes on a busy
  // machine.
  bool BecomesOrdinary(const std::string& ip, const Listener& listener) {
    for (int i = 0; i < 100 && this->program->Lives(); ++i) {
      if (StatusAfterTries(ip, listener.port, [&](int) {
            return listener.ordinary_request;
          }) == 200) {
        return true;
      }
    }
    return false;
  }

  static std::string SmallRequest(int number) {
    return PostHead("/r/now", "small" + std::to_string(number),
                    LengthHeader(1000)) +
           std::string(1000, 'x');
  }

  // Loads each listener in turn and checks the process each time.
  void Check(const std::string& ip, const Load& load) {
    for (const Listener& listener : this->listeners) {
      this->CheckListener(ip, listener, load);
    }
  }

  void CheckListener(const std::string& ip, const Listener& listener,
                     const Load& load) {
    const bool has_target = listener.port == this->caller_port;
    auto crowd = std::make_unique<Crowd>(ip, listener.port, [&](size_t i) {
      return load.make(listener.path, i);
    });
    crowd->Run(*this->program);
    const std::string name = std::string(listener.name) + ": ";
    const std::string log =
        this->Log(ip == this->gateway_ip ? "gateway" : "stager");
    const std::string measured =
        name + "peak memory " + std::to_string(this->program->peak_memory) +
        ", descriptors " + std::to_string(this->program->peak_descriptors);
    std::printf("%s\n", measured.c_str());
    CHECK_TRUE_TEXT(this->program->Lives(), (name + "ended\n" + log).c_str());
    if (kChecksMemory) {
      CHECK_TRUE_TEXT(this->program->peak_memory <= kMaxMemory,
                      measured.c_str());
    }
    CHECK_TRUE_TEXT(this->program->peak_descriptors <= kMaxDescriptors,
                    measured.c_str());
    if (has_target) {
      this->CheckStatuses(*crowd, load, name);
    }
    // While the crowd keeps its connections.
    CHECK_EQUAL_TEXT(
        200,
        StatusAfterTries(ip, listener.port,
                         [&](int) { return listener.ordinary_request; }),
        (name + "ordinary request beside the crowd\n" + log).c_str());
    crowd.reset();
    if (has_target) {
      CHECK_EQUAL_TEXT(
          200,
          StatusAfterTries(ip, listener.port,
                           [](int number) {
                             return PostHead("/r/now",
                                             "long" + std::to_string(number),
                                             LengthHeader(kMaxBodyBytes)) +
                                    std::string(kMaxBodyBytes, 'x');
                           }),
          (name + "long request after the crowd").c_str());
    }
  }

  // Guards against a refusal of what has run or will run, and against a body
  // over the limit that reaches the target.
  void CheckStatuses(const Crowd& crowd, const Load& load,
                     const std::string& name) {
    const std::set<int> refusals = {408, 421, 429, 503};
    const std::set<std::string> received = this->stand_ins->ReceivedIds();
    std::map<int, int> counts;
    for (size_t i = 0; i < kCallers; ++i) {
      const auto statuses = crowd.Statuses(i);
      for (size_t k = 0; k < statuses.size(); ++k) {
        ++counts[statuses[k]];
        if (refusals.contains(statuses[k])) {
          CHECK_FALSE_TEXT(received.contains(IdOf(i, k)),
                           (name + "refused but sent " + IdOf(i, k)).c_str());
        }
      }
      if (load.over_limit) {
        CHECK_FALSE_TEXT(received.contains(IdOf(i, 0)),
                         (name + "over the limit but sent").c_str());
        for (const int status : statuses) {
          CHECK_TRUE_TEXT(status >= 400, (name + "success").c_str());
        }
      }
    }
    std::string text = name + "responses";
    for (const auto& [status, count] : counts) {
      text += " " + std::to_string(status) + ":" + std::to_string(count);
    }
    std::printf("%s\n", text.c_str());
  }

  void CheckGateway(const Load& load) {
    this->StartGateway();
    this->Check(this->gateway_ip, load);
  }
  void CheckStager(const Load& load) {
    this->StartStager();
    this->Check(this->stager_ip, load);
  }
};

TEST(OversizedBodiesTest, GatewayLivesThroughAnnouncedLengths) {
  this->CheckGateway(AnnouncedOnly());
}

TEST(OversizedBodiesTest, StagerLivesThroughAnnouncedLengths) {
  this->CheckStager(AnnouncedOnly());
}

TEST(OversizedBodiesTest, GatewayLivesThroughAnnouncedBodies) {
  this->CheckGateway(AnnouncedAndSent());
}

TEST(OversizedBodiesTest, StagerLivesThroughAnnouncedBodies) {
  this->CheckStager(AnnouncedAndSent());
}

TEST(OversizedBodiesTest, GatewayLivesThroughChunksWithoutEnd) {
  this->CheckGateway(ChunkedWithoutEnd());
}

TEST(OversizedBodiesTest, StagerLivesThroughChunksWithoutEnd) {
  this->CheckStager(ChunkedWithoutEnd());
}

TEST(OversizedBodiesTest, GatewayLivesThroughBodiesAtTheLimit) {
  this->CheckGateway(AtTheLimit());
}

TEST(OversizedBodiesTest, StagerLivesThroughBodiesAtTheLimit) {
  this->CheckStager(AtTheLimit());
}

TEST(OversizedBodiesTest, GatewayLivesThroughPartialBodies) {
  this->CheckGateway(PartialBodies());
}

TEST(OversizedBodiesTest, StagerLivesThroughPartialBodies) {
  this->CheckStager(PartialBodies());
}

TEST(OversizedBodiesTest, GatewayLivesThroughPartialChunkedBodies) {
  this->CheckGateway(ChunkedAndStay());
}

TEST(OversizedBodiesTest, StagerLivesThroughPartialChunkedBodies) {
  this->CheckStager(ChunkedAndStay());
}

TEST(OversizedBodiesTest, GatewayLivesThroughPipelinedRequests) {
  this->CheckGateway(Pipelined());
}

TEST(OversizedBodiesTest, StagerLivesThroughPipelinedRequests) {
  this->CheckStager(Pipelined());
}

TEST(OversizedBodiesTest, GatewayLivesThroughHeaderFloods) {
  this->CheckGateway(HeaderFlood());
}

TEST(OversizedBodiesTest, StagerLivesThroughHeaderFloods) {
  this->CheckStager(HeaderFlood());
}

TEST(OversizedBodiesTest, GatewayLivesThroughExpectations) {
  this->CheckGateway(ExpectContinue());
}

TEST(OversizedBodiesTest, StagerLivesThroughExpectations) {
  this->CheckStager(ExpectContinue());
}

}  // namespace
}  // namespace celerypost
