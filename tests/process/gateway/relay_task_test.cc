#include "src/process/gateway/relay_task.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/process/gateway/fake_decoder.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr size_t kLastBytes = 2;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
// Two events and a part of the third, and what a target that resumes sends.
constexpr char kBroken[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
constexpr char kResumed[] = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";
constexpr char kJoined[] =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";

// What a target sends before it closes or resets its connection.
struct TargetReply {
  std::string bytes = {};
  bool reset = false;
  // Sends the last two bytes after a pause, in which the others reach the
  // caller.
  bool pauses = false;
  milliseconds pause{100};
  // Sent on the connection of the reply before.
  bool same_connection = false;
  // The connection is kept until the end of the test.
  bool keeps_connection = false;
  // Sent after `pause` on the first connection, without reading a request.
  bool on_first_connection = false;
  // The target ends its side after the answer and closes the connection after
  // `pause`, having read the rest of the request or not.
  bool ends_side = false;
  bool reads_rest = false;
};

// An answer without a length that ends with its connection.
TargetReply Unframed(const std::string& body) {
  return {std::string(kHead) + "\r\n" + body};
}

TargetReply UnframedThenReset(const std::string& body) {
  return {std::string(kHead) + "\r\n" + body, /*reset=*/true};
}

TargetReply WithLength(const std::string& body) {
  return {std::string(kHead) +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

// An answer in one chunk with its end mark.
TargetReply Chunked(const std::string& body) {
  char size[16];
  snprintf(size, sizeof(size), "%zx", body.size());
  return {std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n" + size +
          "\r\n" + body + "\r\n0\r\n\r\n"};
}

// What the caller has received.
struct CallerAnswer {
  int status = 0;
  std::string body;
  // The answer has ended as its head says.
  bool complete = false;
  bool failed = false;
};

// An answer on a connection that stays open; `head` holds further headers.
std::string Kept(const std::string& head, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + head +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Refusal(const std::string& head) {
  return "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n" + head +
         "Content-Length: 0\r\n\r\n";
}

// Forwards requests with the last event ID; a request without x-id has the ID
// "a", one with "none" has no ID.
class FakeCodec : public RequestCodec {
 public:
  // The shared part of all prompts.
  std::string part = "part";
  std::string api_key;
  double prompt_tokens = 0;
  std::optional<milliseconds> deadline;

  CallerRequestInfo ReadRequest(const HttpRequest& request) const override {
    CallerRequestInfo info;
    const std::string id(FindHeader(request.headers, "x-id"));
    info.id = id.empty() ? "a" : id == "none" ? "" : id;
    info.api_key = this->api_key;
    info.prompt_tokens = this->prompt_tokens;
    info.deadline = this->deadline;
    if (!this->part.empty()) {
      info.shared_parts = {this->part};
    }
    return info;
  }
  HttpRequest MakeTargetRequest(const HttpRequest& request,
                                const TargetRequestInfo& info) const override {
    HttpRequest sent = request;
    sent.headers.emplace_back("last-event-id",
                              info.last_event_id.value_or("none"));
    sent.headers.emplace_back(
        "x-urgency", info.urgency ? std::to_string(*info.urgency) : "none");
    return sent;
  }
  TargetAnswer ReadAnswer(int status,
                          const HttpHeaders& headers) const override {
    TargetAnswer answer;
    answer.status = status;
    answer.id = FindHeader(headers, "x-id");
    answer.leaving = !FindHeader(headers, "x-leaving").empty();
    answer.other_target = FindHeader(headers, "x-other");
    if (!FindHeader(headers, "x-declines").empty()) {
      answer.declines_for = milliseconds(60000);
    }
    answer.not_run = !FindHeader(headers, "x-not-run").empty();
    answer.unconfirmed_refusal = status == 503 && !answer.not_run;
    answer.unsigned_success =
        status < 300 && !FindHeader(headers, "x-unsigned").empty();
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

const std::string kHeadAndFirst = std::string(kHead) + "\r\nid: 1\ndata: a\n\n";
constexpr char kSecond[] = "id: 2\ndata: b\n\n";
constexpr char kWhole[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

// A target that falls silent before the last two bytes of its answer.
TargetReply SilentFor(milliseconds pause, const std::string& body) {
  TargetReply reply = Unframed(body);
  reply.pauses = true;
  reply.pause = pause;
  return reply;
}

// An answer without a length to an upload of which the target has read the
// beginning.
TargetReply EarlyAnswer(const std::string& body, bool reads_rest) {
  TargetReply reply = Unframed(body);
  reply.ends_side = true;
  reply.reads_rest = reads_rest;
  return reply;
}

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

// A listener with which no further connection can be established.
class BusyListener {
 public:
  BusyListener() : listener(ListenOnLoopback(this->bound_port)) {
    CHECK_EQUAL(0, listen(this->listener, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(this->bound_port);
    for (int& waiting : this->queue) {
      waiting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      CHECK_TRUE(connect(waiting, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0 ||
                 errno == EINPROGRESS);
    }
  }
  ~BusyListener() {
    for (const int waiting : this->queue) {
      close(waiting);
    }
    close(this->listener);
  }
  BusyListener(const BusyListener&) = delete;
  BusyListener& operator=(const BusyListener&) = delete;

  uint16_t port() const { return this->bound_port; }

 private:
  uint16_t bound_port = 0;
  const int listener;
  // More than a listener without a backlog accepts.
  std::array<int, 3> queue{};
};

TargetSelectorOptions SelectorOptions() {
  TargetSelectorOptions options;
  options.late_admission = true;
  return options;
}

TEST_GROUP(RelayTaskTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
  Log log{LogOptions{}, [](LogLevel, std::string_view) {},
          [] { return std::chrono::system_clock::now(); }};
  Metrics metrics;
  SplitMixRandom random{1};
  FakeDecoder decoder;
  FakeCodec codec;
  ClusterView view{decoder, {}};
  TargetTracker book{{}};
  std::unique_ptr<PlacementPolicy> policy = MakePredictivePolicy({}, random);
  TargetNotices notices{{}};
  SizeBalance sizes{{}};
  PredictionErrors errors{{}};
  RankAdmission ranks{{}, random};
  ReturningCallers callers{{}};
  LateAdmission late{{}, random};
  ReturnPromises promises{{}, random};
  LateResponses late_responses{callers, late, promises};
  GatewayAdmission admission{*policy, sizes, errors, ranks, &late_responses};
  TargetPace paces{{}};
  TargetSelector selector{view,      book,   notices,          paces,
                          admission, random, SelectorOptions()};
  // Holds less than a long answer.
  size_t evictions = 0;
  MemoryBudget small_memory{loop,
                            {.max_bytes = 64u << 10},
                            [this](size_t, size_t) { ++this->evictions; }};
  MemoryBudget* relay_memory = &memory;
  // Set while a request is relayed.
  RelayContext* relay_context = nullptr;
  CrashGuard crashes{
      {}, "gateway", [this](const QuarantineRecord& record, size_t) {
        if (this->relay_context != nullptr) {
          WithdrawRequests(*this->relay_context, record.part);
        }
      }};
  CrashGuard request_crashes{WholeRequestGuardOptions(), "gateway",
                             [this](const QuarantineRecord& record, size_t) {
                               if (this->relay_context != nullptr) {
                                 WithdrawRequestsWithFingerprint(
                                     *this->relay_context, record.part);
                               }
                             }};
  ServiceRetryBudgets budgets{{.max_attempts = 4}, random};
  int64_t revision = 0;

  // Version of model "m" that the targets serve; 0 when they are no engines.
  int64_t served_version = 0;

  // The requests that the targets have received.
  std::vector<std::string> received;
  std::vector<std::string> target_ids = {"t1", "t2"};
  // Connections to targets that were kept and that the gateway has not closed.
  size_t open_connections = 0;
  // Requests that have arrived at targets.
  std::atomic<size_t> arrived{0};
  // Runs when this many requests have arrived.
  std::function<void()> during;
  size_t during_arrivals = 1;
  // The callers leave when this many requests have arrived; 0: never.
  size_t leaves_after_arrivals = 0;
  // How long the callers wait for their answers.
  milliseconds patience{10000};
  // How long they read nothing after the head of an answer.
  milliseconds reading_pause{0};
  // Whether connections to targets can be established.
  bool targets_accept = true;
  // Body of the callers' requests.
  std::string upload;
  // To the latest request, and most bytes of it that were unsent at a time.
  std::shared_ptr<HttpResponder> responder;
  size_t max_unsent_bytes = 0;

  static Route StreamRoute() {
    Route route;
    route.host = "h";
    route.prefix = "/";
    route.kind = RouteKind::kStream;
    route.resumable = true;
    route.max_attempts = 2;
    route.timeout = route.latency_goal = milliseconds(3000);
    route.backends = {{ServiceName("s"), 1}};
    return route;
  }

  static Route PlainRoute() {
    Route route = StreamRoute();
    route.kind = RouteKind::kIdempotent;
    route.resumable = false;
    return route;
  }

  void Apply(const std::string& key, ClusterDocument document) {
    this->decoder.documents[key] = std::move(document);
    this->view.ApplyChanges({{key, "x", ++this->revision}}, this->loop.Now());
  }

  // Answers one request after the other until the listener is shut down.
  void ServeTargets(int listener, const std::vector<TargetReply>& replies) {
    std::set<int> kept;
    int target = -1;
    int first_target = -1;
    for (const TargetReply& reply : replies) {
      if (reply.on_first_connection) {
        std::this_thread::sleep_for(reply.pause);
        send(first_target, reply.bytes.data(), reply.bytes.size(),
             MSG_NOSIGNAL);
        if (!reply.keeps_connection) {
          kept.erase(first_target);
          close(first_target);
        }
        continue;
      }
      if (!reply.same_connection) {
        target = accept(listener, nullptr, nullptr);
      }
      first_target = first_target < 0 ? target : first_target;
      if (target < 0) {
        break;
      }
      char request[4096];
      const ssize_t size = read(target, request, sizeof(request));
      this->received.emplace_back(request, std::max<ssize_t>(size, 0));
      ++this->arrived;
      const size_t first = reply.bytes.size() - (reply.pauses ? kLastBytes : 0);
      send(target, reply.bytes.data(), first, MSG_NOSIGNAL);
      if (reply.pauses || reply.reset) {
        // Lets the bytes arrive before the end or the reset.
        std::this_thread::sleep_for(reply.pause);
      }
      send(target, reply.bytes.data() + first, reply.bytes.size() - first,
           MSG_NOSIGNAL);
      if (reply.keeps_connection) {
        kept.insert(target);
        continue;
      }
      if (reply.ends_side) {
        shutdown(target, SHUT_WR);
        std::this_thread::sleep_for(reply.pause);
        std::vector<char> rest(65536);
        while (reply.reads_rest && read(target, rest.data(), rest.size()) > 0) {
        }
      }
      if (reply.reset) {
        const linger reset{1, 0};
        setsockopt(target, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      }
      kept.erase(target);
      close(target);
    }
    // Until the end of the test.
    accept(listener, nullptr, nullptr);
    for (const int descriptor : kept) {
      char byte = 0;
      const ssize_t count = recv(descriptor, &byte, sizeof(byte), MSG_DONTWAIT);
      this->open_connections += count < 0 && errno == EAGAIN ? 1 : 0;
      close(descriptor);
    }
  }

  // Forgets the requests and the failures of the targets.
  void BeginCase() {
    this->received.clear();
    this->book.Forget({});
    this->codec.part += "+";
    this->codec.api_key += "+";
  }

  // Of the requests that Relay sends.
  RequestFingerprint Fingerprint() const {
    return FingerprintOf({"GET", "h", "/", this->codec.api_key, ""});
  }

  // Relays one request on `route` to two targets. The n-th attempt gets the
  // n-th reply.
  CallerAnswer Relay(const Route& route,
                     const std::vector<TargetReply>& replies) {
    return this->RelayEach(route, replies, {"a"}).front();
  }

  // Relays a request for each ID, one after the other.
  std::vector<CallerAnswer> RelayEach(const Route& route,
                                      const std::vector<TargetReply>& replies,
                                      const std::vector<std::string>& ids) {
    uint16_t port = 0;
    const int listener = ListenOnLoopback(port);
    std::thread targets([&] { this->ServeTargets(listener, replies); });
    auto config = std::make_shared<GatewayConfig>();
    // The view keeps the first configuration of a version.
    config->version = this->revision + 1;
    config->routes["h"] = {route};
    ServiceConfig& service = config->services[ServiceName("s")];
    service.name = ServiceName("s");
    if (this->served_version > 0) {
      service.engine.emplace().model = "m";
    }
    this->Apply("config", std::shared_ptr<const GatewayConfig>(config));
    for (const std::string& id : this->target_ids) {
      TargetRegistration target;
      target.id = id;
      target.service = ServiceName("s");
      target.address = {"127.0.0.1", port};
      if (this->served_version > 0) {
        HeldModel& model = target.models.emplace_back();
        model.name = "m";
        model.version = this->served_version;
      }
      this->Apply(id, target);
    }
    const BusyListener busy;
    Http1Client client(this->loop,
                       {"127.0.0.1", this->targets_accept ? port : busy.port()},
                       {});
    RelayMetrics relay_metrics(this->metrics);
    RelayContext context{
        this->loop,
        this->log,
        this->view,
        this->book,
        this->selector,
        this->errors,
        this->ranks,
        this->paces,
        this->crashes,
        this->request_crashes,
        this->notices,
        this->codec,
        this->budgets,
        relay_metrics,
        *this->relay_memory,
        {},
        [&client](const SocketAddress&) -> Http1Client& { return client; }};
    context.late = &this->late;
    this->relay_context = &context;
    auto server = Http1Server::Make(
        this->loop, "127.0.0.1", 0, this->memory,
        [this, &context](HttpRequest request,
                         std::shared_ptr<HttpResponder> out) {
          this->responder = out;
          std::make_shared<RelayTask>(context, std::move(request), out)
              ->Start();
        });
    std::vector<CallerAnswer> answers;
    for (const std::string& id : ids) {
      answers.push_back(this->Ask((*server)->port(), id));
      if (ids.size() > 1) {
        this->WaitForRefusalBackoff();
      }
    }
    this->loop.RunFor(milliseconds(50));
    shutdown(listener, SHUT_RDWR);
    targets.join();
    close(listener);
    server->reset();
    this->loop.RunFor(milliseconds(50));
    this->relay_context = nullptr;
    return answers;
  }

  void WaitForRefusalBackoff() {
    const TimePoint end =
        this->loop.Now() + TargetTrackerOptions{}.refusal_backoff;
    while (this->loop.Now() < end) {
      this->loop.RunFor(milliseconds(20));
    }
  }

  // Sends a request with the ID as a caller and waits for its answer.
  CallerAnswer Ask(uint16_t port, const std::string& id) {
    Http1Client caller(this->loop, {"127.0.0.1", port}, {});
    CallerAnswer answer;
    HttpResponseCallbacks callbacks;
    std::unique_ptr<HttpCall> call;
    std::optional<TimePoint> reads_from;
    callbacks.on_head = [&](const HttpResponseHead& head) {
      answer.status = head.status;
      if (this->reading_pause.count() > 0) {
        reads_from = this->loop.Now() + this->reading_pause;
        call->PauseReading();
      }
    };
    callbacks.on_body = [&answer](std::string_view bytes) {
      answer.body.append(bytes);
    };
    callbacks.on_end = [&answer] { answer.complete = true; };
    callbacks.on_failure = [&answer](const Failure&) { answer.failed = true; };
    Http1SendOptions options;
    options.max_body_bytes = 0;
    call = caller.Send({this->upload.empty() ? "GET" : "POST",
                        "/",
                        {{"host", "h"}, {"x-id", id}},
                        this->upload},
                       std::move(options), std::move(callbacks));
    const TimePoint end = this->loop.Now() + this->patience;
    while (!answer.complete && !answer.failed && this->loop.Now() < end) {
      this->loop.RunFor(milliseconds(20));
      if (this->responder) {
        this->max_unsent_bytes =
            std::max(this->max_unsent_bytes, this->responder->unsent_bytes());
      }
      if (reads_from && this->loop.Now() >= *reads_from) {
        reads_from.reset();
        call->ResumeReading();
      }
      const size_t arrivals = this->arrived;
      if (this->leaves_after_arrivals > 0 &&
          arrivals >= this->leaves_after_arrivals) {
        break;
      }
      if (this->during && arrivals >= this->during_arrivals) {
        std::exchange(this->during, nullptr)();
      }
    }
    return answer;
  }

  // All targets load version 2, which is named and due.
  void SupersedeWeights() {
    const TargetSelectorOptions bounds;
    this->view.NoteCurrent(this->loop.Now() + milliseconds(10) -
                           bounds.version_bound + bounds.begin_margin);
    for (const std::string& id : this->target_ids) {
      TargetRegistration loaded = this->view.targets().at(id).entry;
      loaded.models.front().version = 2;
      this->Apply(id, loaded);
    }
    this->Apply("weights", NamedWeights{"m", 2});
    ReviewWaitingRequests(*this->relay_context);
  }

  // A request that waits at its target when its weights are superseded fails
  // and does not reach the other one.
  void CheckNotRepeatedForNewerWeights(const Route& route) {
    this->served_version = 1;
    this->during = [this] { this->SupersedeWeights(); };
    const CallerAnswer answer =
        this->Relay(route, {{.keeps_connection = true}, Unframed("second")});
    CHECK_EQUAL(502, answer.status);
    STRCMP_EQUAL("its weights are superseded\n", answer.body.c_str());
    CHECK_EQUAL(1u, this->received.size());
  }

  // Names a configuration that has no services.
  void DropServices() {
    auto config = std::make_shared<GatewayConfig>(*this->view.config());
    config->services.clear();
    ++config->version;
    this->Apply("config", std::shared_ptr<const GatewayConfig>(config));
  }

  // The caller has received the answer of the first target alone.
  void CheckAnsweredByTheFirst(const CallerAnswer& answer, const char* body) {
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL(body, answer.body.c_str());
    CHECK_TRUE(answer.complete);
  }

  // The caller has received all events once and whole, from two runs.
  void CheckJoined(const CallerAnswer& answer) {
    STRCMP_EQUAL(kJoined, answer.body.c_str());
    CHECK_TRUE(answer.complete);
    CHECK_EQUAL(2u, this->received.size());
    STRCMP_CONTAINS("last-event-id: 2\r\n", this->received.back().c_str());
  }

  // Without another attempt, the caller receives the whole events of `reply`
  // and no end of the answer.
  void CheckCut(TargetReply reply) {
    Route route = StreamRoute();
    route.max_attempts = 1;
    reply.pauses = true;
    const CallerAnswer answer = this->Relay(route, {reply, Unframed(kResumed)});
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", answer.body.c_str());
    CHECK_TRUE(answer.failed);
    CHECK_FALSE(answer.complete);
    CHECK_EQUAL(1u, this->received.size());
  }
};

constexpr size_t kUploadBytes = 3u << 20;

// Guards against a part of an answer without a length that reaches the caller
// as a whole one (MIXED): the target resets the connection during the upload,
// after it has ended its side.
TEST(RelayTaskTest, AnEarlyAnswerWhoseTargetDropsTheUploadIsNotPassedOn) {
  this->upload = std::string(kUploadBytes, 'x');
  Route once = PlainRoute();
  once.kind = RouteKind::kNonIdempotent;
  for (const milliseconds pause :
       {milliseconds(0), milliseconds(20), milliseconds(300)}) {
    TargetReply reply = EarlyAnswer("part", /*reads_rest=*/false);
    reply.pause = pause;
    this->BeginCase();
    this->CheckAnsweredByTheFirst(
        this->Relay(PlainRoute(), {reply, WithLength("whole")}), "whole");
    CHECK_EQUAL(2u, this->received.size());
    this->BeginCase();
    const CallerAnswer answer = this->Relay(once, {reply, WithLength("whole")});
    CHECK_EQUAL(502, answer.status);
    CHECK_TRUE(answer.complete);
    CHECK_EQUAL(1u, this->received.size());
    CHECK_TRUE(this->book.FailureShare("t1") + this->book.FailureShare("t2") >
               0);
  }
}

// Guards against a stream that ends as complete before its last event.
TEST(RelayTaskTest, AnEarlyStreamWhoseTargetDropsTheUploadIsResumed) {
  this->upload = std::string(kUploadBytes, 'x');
  this->CheckJoined(this->Relay(
      StreamRoute(), {EarlyAnswer("id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                                  /*reads_rest=*/false),
                      WithLength(kResumed)}));
}

// Guards against refusing the answer of a target that answers early and reads
// the upload, and against counting it at the target after it has ended.
TEST(RelayTaskTest, AnEarlyAnswerWhoseTargetReadsTheUploadIsPassedOn) {
  this->upload = std::string(kUploadBytes, 'x');
  Route once = PlainRoute();
  once.kind = RouteKind::kNonIdempotent;
  for (const Route& route : {once, PlainRoute(), StreamRoute()}) {
    this->BeginCase();
    this->CheckAnsweredByTheFirst(
        this->Relay(route, {EarlyAnswer(kWhole, /*reads_rest=*/true)}), kWhole);
    CHECK_EQUAL(1u, this->received.size());
    CHECK_EQUAL(0, this->book.FailureShare("t1"));
    CHECK_EQUAL(0, this->book.FailureShare("t2"));
  }
}

// Guards against a target that counts as busy, or a gateway that keeps the
// request, while a target that has answered does not read the upload.
TEST(RelayTaskTest, AnEarlyAnswerHoldsNoRoomAndEndsWithItsCallerOrDeadline) {
  this->upload = std::string(kUploadBytes, 'x');
  Route once = PlainRoute();
  once.kind = RouteKind::kNonIdempotent;
  once.timeout = milliseconds(800);
  TargetReply reply = EarlyAnswer("part", /*reads_rest=*/false);
  reply.pause = milliseconds(1500);
  std::optional<uint32_t> in_flight;
  Timer look(this->loop, [&] {
    in_flight = this->book.LoadOf("t1", this->loop.Now()).in_flight +
                this->book.LoadOf("t2", this->loop.Now()).in_flight;
  });
  this->during = [&look] { look.StartOnce(milliseconds(200)); };
  const CallerAnswer answer = this->Relay(once, {reply});
  CHECK_EQUAL(504, answer.status);
  CHECK_TRUE(in_flight.has_value());
  CHECK_EQUAL(0u, *in_flight);
  this->BeginCase();
  this->patience = milliseconds(300);
  this->Relay(once, {reply});
  CHECK_EQUAL(0u, this->book.LoadOf("t1", this->loop.Now()).in_flight);
  CHECK_EQUAL(0u, this->book.LoadOf("t2", this->loop.Now()).in_flight);
}

// Guards against an answer that reaches the caller although the name of a
// header holds a blank or a control byte.
TEST(RelayTaskTest, AnAnswerWithABrokenHeaderNameIsNotPassedOn) {
  Route once = PlainRoute();
  once.kind = RouteKind::kNonIdempotent;
  const std::string length = "Content-Length: 4\r\n\r\npart";
  for (const std::string& head :
       {"HTTP/1.1 200 OK\r\nX A: b\r\n" + length,
        "HTTP/1.1 200 OK\r\nX-A: b\r\n X-B: c\r\n" + length,
        "HTTP/1.1 200 OK\r\nX-A : b\r\n" + length,
        "HTTP/1.1 200 OK\r\nX\001A: b\r\n" + length,
        std::string("HTTP/1.1 200 OK\r\nContent Length: 9\r\n\r\npart"),
        std::string("HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n"
                    "4\r\npart\r\n0\r\n\r\n")}) {
    this->BeginCase();
    this->CheckAnsweredByTheFirst(
        this->Relay(PlainRoute(), {{head}, WithLength("whole")}), "whole");
    CHECK_EQUAL(2u, this->received.size());
    this->BeginCase();
    const CallerAnswer answer = this->Relay(once, {{head}, WithLength("x")});
    CHECK_EQUAL(502, answer.status);
    CHECK_TRUE(answer.complete);
    CHECK_EQUAL(1u, this->received.size());
    CHECK_TRUE(this->book.FailureShare("t1") + this->book.FailureShare("t2") >
               0);
  }
}

// Guards against a success without the target's signature that reaches the
// caller (MIXED, review/4): another target is asked if that is allowed.
TEST(RelayTaskTest, AnUnsignedSuccessOfARepeatableRequestIsRetried) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 204 None\r\n"}) {
    const TargetReply reply{
        head + "x-unsigned: 1\r\nConnection: close\r\n\r\n" + kWhole};
    for (const Route& route : {PlainRoute(), StreamRoute()}) {
      this->BeginCase();
      this->CheckAnsweredByTheFirst(
          this->Relay(route, {reply, WithLength(kWhole)}), kWhole);
      CHECK_EQUAL(2u, this->received.size());
    }
  }
}

// Guards against an unsigned success that is passed on since no other target
// may be asked, and against a status that says the request has not run.
TEST(RelayTaskTest, AnUnsignedSuccessWithoutRetryFails) {
  Route once = PlainRoute();
  once.kind = RouteKind::kNonIdempotent;
  Route stream_once = StreamRoute();
  stream_once.resumable = false;
  Route no_attempt_left = PlainRoute();
  no_attempt_left.max_attempts = 1;
  const TargetReply reply{Kept("x-unsigned: 1\r\n", kWhole), false, false,
                          milliseconds(0)};
  for (const Route& route : {once, stream_once, no_attempt_left}) {
    this->BeginCase();
    const CallerAnswer answer = this->Relay(route, {reply, WithLength(kWhole)});
    CHECK_EQUAL(502, answer.status);
    CHECK_TRUE(answer.complete);
    CHECK_EQUAL(1u, this->received.size());
  }
}

// Guards against the events of an unsigned answer in a stream that its target
// is to resume.
TEST(RelayTaskTest, AnUnsignedAnswerDoesNotResumeAStream) {
  Route route = StreamRoute();
  route.max_attempts = 3;
  this->target_ids.emplace_back("t3");
  const CallerAnswer answer = this->Relay(
      route,
      {Unframed(kBroken),
       TargetReply{std::string(kHead) + "x-unsigned: 1\r\n\r\n" + kResumed},
       Unframed(kResumed)});
  STRCMP_EQUAL(kJoined, answer.body.c_str());
  CHECK_TRUE(answer.complete);
  CHECK_EQUAL(3u, this->received.size());
}

// Guards against a process that runs out of memory since it reads an answer
// faster than the caller takes it (LOST, review/1), and against a pause of the
// caller that counts as the target's.
TEST(RelayTaskTest, ASlowCallerHoldsUpItsTarget) {
  constexpr int kEvents = 16384;
  std::string body;
  for (int i = 1; i <= kEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: " + std::string(1024, 'x') +
            "\n\n";
  }
  Route route = StreamRoute();
  route.timeout = milliseconds(20000);
  route.latency_goal = milliseconds(200);
  this->patience = route.timeout;
  this->reading_pause = milliseconds(2500);
  const CallerAnswer answer =
      this->Relay(route, {WithLength(body), WithLength(body)});
  CHECK_TRUE(answer.complete);
  CHECK_TRUE(body == answer.body);
  CHECK_EQUAL(1u, this->received.size());
  CHECK_COMPARE(this->max_unsent_bytes, >, 0u);
  // The limit, one read from the target and the framing of chunks.
  CHECK_COMPARE(this->max_unsent_bytes, <=,
                RelayOptions{}.max_unsent_bytes + (66u << 10));
}

// Guards against a caller that leaves, and a deadline that passes, unnoticed
// while the target is not read.
TEST(RelayTaskTest, APausedStreamEndsWithItsCallerOrDeadline) {
  const TargetReply reply =
      WithLength("id: 1\ndata: " + std::string(200u << 10, 'x') +
                 "\n\nid: 2\ndata: " + std::string(200u << 10, 'x') +
                 "\n\nid: 3\ndata: " + std::string(16u << 20, ' ') + "\n\n");
  Route route = StreamRoute();
  route.timeout = milliseconds(1000);
  this->reading_pause = milliseconds(60000);
  for (const milliseconds wait : {milliseconds(400), milliseconds(1500)}) {
    this->BeginCase();
    this->patience = wait;
    const CallerAnswer answer = this->Relay(route, {reply});
    CHECK_FALSE(answer.complete);
    CHECK_EQUAL(0u, this->responder->unsent_bytes());
    CHECK_TRUE(this->responder->closed());
  }
}

// Guards against answers that are collected until the process runs out of
// memory (LOST, review/1): the largest is given up, and may have run.
TEST(RelayTaskTest, AnAnswerOverTheMemoryBudgetFails) {
  this->relay_memory = &this->small_memory;
  // An answer that arrives in one turn of the loop is passed on.
  TargetReply reply = WithLength(std::string(200u << 10, 'x'));
  reply.pauses = true;
  const CallerAnswer answer =
      this->Relay(PlainRoute(), {reply, WithLength("")});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->evictions);
  CHECK_EQUAL(1u, this->received.size());
  CHECK_EQUAL(0u, this->small_memory.used());
}

// A response without a status of HTTP and one with it after it.
TargetReply WithStatus(const std::string& status) {
  return {"HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n" +
          WithLength("late").bytes};
}

// Guards against a response without a status of HTTP that reaches the caller,
// or that is skipped as interim so that the bytes after it pass for the
// response.
TEST(RelayTaskTest, AResponseWhoseStatusIsNotHttpBreaksTheAttempt) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  for (const std::string status :
       {"000", "00", "099", "-1", "600", "999", "1000"}) {
    this->BeginCase();
    const CallerAnswer answer =
        this->Relay(route, {WithStatus(status), WithLength("second")});
    CHECK_EQUAL_TEXT(502, answer.status, status.c_str());
    CHECK_EQUAL(1u, this->received.size());
  }
}

// Guards against a response with a status under those of HTTP that ends a
// request which may be repeated.
TEST(RelayTaskTest, ARequestIsRepeatedAfterAStatusUnderThoseOfHttp) {
  const CallerAnswer answer =
      this->Relay(PlainRoute(), {WithStatus("000"), WithLength("second")});
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("second", answer.body.c_str());
}

// The same for a status over them.
TEST(RelayTaskTest, ARequestIsRepeatedAfterAStatusOverThoseOfHttp) {
  const CallerAnswer answer =
      this->Relay(PlainRoute(), {WithStatus("600"), WithLength("second")});
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("second", answer.body.c_str());
}

// Guards against interim responses without end that keep a request from being
// sent elsewhere.
TEST(RelayTaskTest, AFloodOfInterimResponsesBreaksTheAttempt) {
  std::string flood;
  for (int i = 0; i < 1000; ++i) {
    flood += "HTTP/1.1 1" + std::to_string(10 + i % 90) + " Wait\r\n\r\n";
  }
  const CallerAnswer answer =
      this->Relay(PlainRoute(), {{flood}, WithLength("second")});
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("second", answer.body.c_str());
}

// Guards against a request that is taken without memory for it, and against a
// refusal that does not say that it has not run.
TEST(RelayTaskTest, RefusesARequestWithoutMemoryForIt) {
  this->relay_memory = &this->small_memory;
  MemoryAccount holder(this->small_memory, [] {});
  holder.Set(62u << 10);
  CHECK_EQUAL(503, this->Relay(PlainRoute(), {WithLength("")}).status);
  CHECK_EQUAL(0u, this->received.size());
  holder.Set(0);
  CHECK_EQUAL(200, this->Relay(PlainRoute(), {WithLength("")}).status);
}

// Guards against a stream that joins pieces of two runs: a target that broke
// off within its first event left the part behind, and the first event of the
// next target was appended to it (kilele-waivers-large, trouble-2).
TEST(RelayTaskTest, APartOfTheFirstEventIsNotJoinedWithTheNextRun) {
  const CallerAnswer answer = this->Relay(
      StreamRoute(),
      {UnframedThenReset("id: 1\ndata: fir"), Unframed("id: 1\ndata: x\n\n")});
  STRCMP_EQUAL("id: 1\ndata: x\n\n", answer.body.c_str());
  CHECK_TRUE(answer.complete);
}

TEST(RelayTaskTest, AStreamThatEndsInsideAnEventIsResumed) {
  this->CheckJoined(
      this->Relay(StreamRoute(), {Unframed(kBroken), Unframed(kResumed)}));
}

TEST(RelayTaskTest, AStreamWithALengthThatEndsInsideAnEventIsResumed) {
  this->CheckJoined(
      this->Relay(StreamRoute(), {WithLength(kBroken), WithLength(kResumed)}));
}

TEST(RelayTaskTest, AChunkedStreamThatEndsInsideAnEventIsResumed) {
  this->CheckJoined(
      this->Relay(StreamRoute(), {Chunked(kBroken), Chunked(kResumed)}));
}

TEST(RelayTaskTest, AStreamThatEndsBeforeItsLastBlankLineIsResumed) {
  this->CheckJoined(this->Relay(
      StreamRoute(),
      {Unframed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: x\n"),
       Unframed(kResumed)}));
}

TEST(RelayTaskTest, ABrokenStreamWithoutAnotherAttemptDoesNotLookComplete) {
  this->CheckCut(Unframed(kBroken));
}

TEST(RelayTaskTest, ABrokenStreamWithALengthDoesNotLookComplete) {
  this->CheckCut(WithLength(kBroken));
}

TEST(RelayTaskTest, ABrokenChunkedStreamDoesNotLookComplete) {
  this->CheckCut(Chunked(kBroken));
}

TEST(RelayTaskTest, ABrokenStreamThatMayRunOnceIsNotSentAgain) {
  Route route = StreamRoute();
  route.resumable = false;
  const CallerAnswer answer =
      this->Relay(route, {Unframed(kBroken), Unframed(kResumed)});
  CHECK_TRUE(answer.failed);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against an error that reaches the caller as a part of its stream, or
// ends the stream as if it were complete.
TEST(RelayTaskTest, OnlyAnEventStreamResumesAStream) {
  constexpr char kError[] = "oops\n\n";
  const std::string json =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  const std::string error = "HTTP/1.1 500 Oops\r\n";
  const std::string length = "Content-Length: 6\r\n\r\n";
  const std::string close = "Connection: close\r\n\r\n";
  for (const TargetReply& reply :
       {TargetReply{error + length + kError},
        TargetReply{error + close + kError},
        TargetReply{json + length + kError}, TargetReply{json + close + kError},
        TargetReply{"HTTP/1.1 204 None\r\n" + close}, WithLength(kError),
        Chunked(kError), Unframed(kError), Unframed(""), Unframed(": bye\n\n"),
        Unframed(error + length + kError)}) {
    this->BeginCase();
    const CallerAnswer answer =
        this->Relay(StreamRoute(), {Unframed(kBroken), reply});
    STRNCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", answer.body.c_str(),
                  sizeof("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") - 1);
    CHECK_TRUE(answer.body.find("oops") == std::string::npos);
    CHECK_TRUE(answer.failed);
    CHECK_EQUAL(2u, this->received.size());
  }
}

// Guards against a whole stream that is taken for broken off: no event was left
// for the target that resumes it.
TEST(RelayTaskTest, AnEmptyEventStreamWithAnEndResumesAStream) {
  for (const TargetReply& reply : {WithLength(""), Chunked(": bye\n\n")}) {
    this->BeginCase();
    const CallerAnswer answer =
        this->Relay(StreamRoute(), {Unframed(kBroken), reply});
    CHECK_TRUE(answer.complete);
    CHECK_EQUAL(2u, this->received.size());
  }
}

// Guards against the head of another response that reaches the caller as an
// event of an answer without a length.
TEST(RelayTaskTest, AResponseInsideAnUnframedStreamIsNoEvent) {
  this->CheckJoined(this->Relay(
      StreamRoute(),
      {Unframed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nHTTP/1.1 500 Oops\r\n"
                "Content-Length: 6\r\n\r\noops\n\n"),
       Unframed(kResumed)}));
}

TEST(RelayTaskTest, AStreamThatEndsInsideItsFirstEventIsSentAgain) {
  const CallerAnswer answer = this->Relay(
      StreamRoute(), {Unframed("id: 1\nda"), Unframed("id: 1\ndata: x\n\n")});
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("id: 1\ndata: x\n\n", answer.body.c_str());
  CHECK_TRUE(answer.complete);
}

TEST(RelayTaskTest, AStreamThatEndsInsideItsFirstEventIsNoSuccess) {
  Route route = StreamRoute();
  route.max_attempts = 1;
  const CallerAnswer answer = this->Relay(route, {Unframed("id: 1\nda")});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a whole stream that is taken for broken off: blank lines and
// comments after the last event are no event.
TEST(RelayTaskTest, AStreamThatEndsAtAnEventBorderIsComplete) {
  for (const std::string rest : {"", "\n", "\r\n", "\n\n", ": bye\n"}) {
    const std::string body = kJoined + rest;
    for (const TargetReply& reply :
         {Unframed(body), WithLength(body), Chunked(body)}) {
      this->received.clear();
      const CallerAnswer answer = this->Relay(StreamRoute(), {reply});
      STRCMP_EQUAL(body.c_str(), answer.body.c_str());
      CHECK_TRUE(answer.complete);
      CHECK_EQUAL(1u, this->received.size());
    }
  }
}

TEST(RelayTaskTest, AStreamWithCrLfLineEndsIsComplete) {
  const std::string body = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
  const CallerAnswer answer = this->Relay(StreamRoute(), {Unframed(body)});
  STRCMP_EQUAL(body.c_str(), answer.body.c_str());
  CHECK_TRUE(answer.complete);
}

TEST(RelayTaskTest, AnUnframedAnswerIsComplete) {
  const CallerAnswer answer = this->Relay(PlainRoute(), {Unframed("whole")});
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("whole", answer.body.c_str());
  CHECK_TRUE(answer.complete);
}

// Guards against an empty success from a target that stopped within the head of
// its answer or right after it.
TEST(RelayTaskTest, AnAnswerThatIsCutAtItsHeadIsNoSuccess) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: a\r\nConnection: close\r\n\r\n";
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  for (const size_t left_out : {0, 1, 2, 3, 4, 10, 40}) {
    this->BeginCase();
    const CallerAnswer answer =
        this->Relay(route, {{head.substr(0, head.size() - left_out)}});
    CHECK_EQUAL(502, answer.status);
  }
}

TEST(RelayTaskTest, AnUnframedAnswerThatIsResetIsSentAgain) {
  const CallerAnswer answer =
      this->Relay(PlainRoute(), {UnframedThenReset("wh"), Unframed("whole")});
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("whole", answer.body.c_str());
}

TEST(RelayTaskTest, AnUnframedAnswerThatIsResetIsNoSuccess) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  const CallerAnswer answer =
      this->Relay(route, {UnframedThenReset("wh"), Unframed("whole")});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against requests that crash one target after the other although
// another gateway has quarantined a part of their prompt.
TEST(RelayTaskTest, ARequestWithAQuarantinedPartIsRefusedAndNotSent) {
  const PartHash part = HashPart("", "part");
  this->crashes.OnNews({{}, {}, {{part, 1, false, milliseconds(30000)}}},
                       NewsScope::kRegion, this->loop.Now());
  const CallerAnswer answer =
      this->Relay(StreamRoute(), {Unframed("id: 1\ndata: x\n\n")});
  CHECK_EQUAL(503, answer.status);
  CHECK_TRUE(this->received.empty());
}

// Guards against an empty success from a target that crashed before its first
// event, when its answer ends with its connection.
TEST(RelayTaskTest, AStreamThatEndsBeforeItsFirstEventIsSentToAnotherTarget) {
  const CallerAnswer answer = this->Relay(
      StreamRoute(), {Unframed(""), Unframed("id: 1\ndata: x\n\n")});
  STRCMP_EQUAL("id: 1\ndata: x\n\n", answer.body.c_str());
  CHECK_TRUE(answer.complete);
  CHECK_EQUAL(2u, this->received.size());
}

// Guards against a part that is acquitted by an answer which its target may
// have broken off.
TEST(RelayTaskTest, OnlyAnAnswerWithAnEndOfItsOwnAcquitsAPartAtOnce) {
  const PartHash part = HashPart("", "part");
  this->crashes.OnNews(
      {{{{part, 77}, milliseconds(10)}, {{part, 78}, milliseconds(10)}},
       {},
       {}},
      NewsScope::kRegion, this->loop.Now());
  this->Relay(StreamRoute(), {Unframed("id: 1\ndata: x\n\n")});
  CHECK_FALSE(this->crashes.MayRepeat({part}, this->loop.Now()));
  this->Relay(StreamRoute(), {Chunked("id: 1\ndata: x\n\n")});
  CHECK_TRUE(this->crashes.MayRepeat({part}, this->loop.Now()));
}

// Guards against turning a caller away because one target is full: a request
// that was not run has done no harm.
TEST(RelayTaskTest, ARefusedRequestGoesToAnotherTargetWhateverAccusesItsPart) {
  const PartHash part = HashPart("", "part");
  this->crashes.OnNews(
      {{{{part, 77}, milliseconds(10)}, {{part, 78}, milliseconds(10)}},
       {},
       {}},
      NewsScope::kRegion, this->loop.Now());
  const CallerAnswer answer =
      this->Relay(StreamRoute(), {{"HTTP/1.1 503 Full\r\nConnection: close\r\n"
                                   "x-not-run: 1\r\nContent-Length: 0\r\n\r\n"},
                                  Unframed("id: 1\ndata: x\n\n")});
  CHECK_EQUAL(200, answer.status);
  CHECK_EQUAL(2u, this->received.size());
}

// Guards against a late request that goes before requests on time after a full
// target has refused it, that is counted as waiting after its end, or that
// teaches the gateway that its predictions are too short.
TEST(RelayTaskTest, ALateRequestStaysLateAtAnotherTarget) {
  this->served_version = 1;
  this->codec.prompt_tokens = 10;
  Route route = StreamRoute();
  route.name = "chat";
  route.latency_goal = milliseconds(600);
  // More than the route's timeout.
  constexpr milliseconds kInitial{5000};
  // The caller came first 700 ms ago.
  this->codec.deadline = kInitial - milliseconds(700);
  for (int i = 0; i < 20; ++i) {
    this->callers.OnArrival(ServiceName("s"), route.name, kInitial,
                            this->loop.Now());
  }
  const CallerAnswer answer = this->Relay(
      route, {{Refusal("Connection: close\r\n")}, Unframed(kWhole)});
  CHECK_EQUAL(200, answer.status);
  CHECK_EQUAL(2u, this->received.size());
  for (const std::string& request : this->received) {
    STRCMP_CONTAINS("x-urgency: 9", request.c_str());
  }
  CHECK_EQUAL(0u, this->late.waiting());
  for (const std::string& id : this->target_ids) {
    const EngineLoad load = this->book.LoadOf(id, this->loop.Now());
    CHECK_EQUAL(0u, load.in_flight);
    CHECK_EQUAL(0u, load.late_waiting);
  }
  CHECK_EQUAL(0, this->errors.LargestAllowance().count());
}

// Guards against an urgency for a request that comes for the first time.
TEST(RelayTaskTest, ANewRequestHasTheUsualUrgency) {
  this->served_version = 1;
  this->codec.prompt_tokens = 10;
  this->Relay(StreamRoute(), {Unframed(kWhole)});
  STRCMP_CONTAINS("x-urgency: none", this->received.at(0).c_str());
}

// Guards against targets that crash on requests which they held when the part
// was quarantined.
TEST(RelayTaskTest, ARequestThatWaitsAtATargetIsWithdrawnOnQuarantine) {
  const PartHash part = HashPart("", "part");
  Timer quarantine(this->loop, [&] {
    this->crashes.OnNews({{}, {}, {{part, 1, false, milliseconds(30000)}}},
                         NewsScope::kRegion, this->loop.Now());
  });
  quarantine.StartOnce(milliseconds(40));
  TargetReply reply = Unframed("id: 1\ndata: x\n\n");
  reply.pauses = true;
  const CallerAnswer answer = this->Relay(StreamRoute(), {reply});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against work on superseded weights that waited at its target when the
// gateway learned of the newer version.
TEST(RelayTaskTest, AWaitingRequestIsWithdrawnWhenItsWeightsAreSuperseded) {
  this->served_version = 1;
  Timer naming(this->loop, [this] {
    const milliseconds until_due(10);
    const TargetSelectorOptions bounds;
    this->view.NoteCurrent(this->loop.Now() + until_due - bounds.version_bound +
                           bounds.begin_margin);
    this->Apply("weights", NamedWeights{"m", 2});
    ReviewWaitingRequests(*this->relay_context);
  });
  naming.StartOnce(milliseconds(40));
  TargetReply reply = Unframed("id: 1\ndata: x\n\n");
  reply.pauses = true;
  const CallerAnswer answer = this->Relay(StreamRoute(), {reply});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a late copy of an earlier refusal that is taken for the answer
// to the next request on its connection.
TEST(RelayTaskTest, ARefusalOfAnEarlierRequestIsSkipped) {
  for (const std::string id : {"x-id: a\r\n", ""}) {
    Route route = PlainRoute();
    route.kind = RouteKind::kNonIdempotent;
    this->received.clear();
    const auto answers = this->RelayEach(
        route,
        {{.bytes = Kept("x-id: a\r\n", "first"), .keeps_connection = true},
         {.bytes = Refusal(id) + Kept("x-id: b\r\n", "second"),
          .same_connection = true}},
        {"a", "b"});
    STRCMP_EQUAL("second", answers.back().body.c_str());
    CHECK_EQUAL(2u, this->received.size());
  }
}

// Guards against a request without an ID that takes any answer on a kept
// connection for its own.
TEST(RelayTaskTest, ARequestWithoutAnIdGetsAConnectionOfItsOwn) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  const auto answers = this->RelayEach(
      route,
      {{.bytes = Kept("x-id: a\r\n", "first"), .keeps_connection = true},
       Unframed("second")},
      {"a", "none"});
  CHECK_EQUAL(200, answers.back().status);
  STRCMP_EQUAL("second", answers.back().body.c_str());
}

// Guards against "not run" to the caller of a request that its target may have
// run: only the target's own word counts, not the status.
TEST(RelayTaskTest, AnUnconfirmedRefusalIsNoRefusalToTheCaller) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  const CallerAnswer answer = this->Relay(
      route, {{"HTTP/1.1 503 Down\r\nContent-Length: 3\r\n\r\nran"}});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against the refusal of a caller's first request that is taken for the
// answer to its second one with the same ID.
TEST(RelayTaskTest, ARepeatedIdGetsAnotherConnection) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  const auto answers = this->RelayEach(
      route,
      {{.bytes = Kept("x-id: a\r\n", "first"), .keeps_connection = true},
       Unframed("second")},
      {"a", "a"});
  STRCMP_EQUAL("second", answers.back().body.c_str());
}

// Guards against requests to a target that has said it leaves, in whatever
// answer and however that answer ends.
TEST(RelayTaskTest, EveryAnswerOfATargetTellsThatItLeaves) {
  const std::string leaving = "x-leaving: 1\r\n";
  for (const std::string& bytes :
       {Kept(leaving, "x"), "HTTP/1.1 500 Oops\r\n" + leaving + "\r\nx",
        Refusal(leaving),
        "HTTP/1.1 200 OK\r\n" + leaving + "Content-Length: 90\r\n\r\ncut"}) {
    this->BeginCase();
    const TargetNotices before = this->notices;
    const auto answers = this->RelayEach(
        PlainRoute(), {{bytes}, Unframed("first"), Unframed("second")},
        {"a", "b"});
    size_t left = 0;
    for (const auto& [id, target] : this->view.targets()) {
      left += this->notices.Leaves(HashTargetStart(target.entry)) ? 1 : 0;
    }
    CHECK_EQUAL_TEXT(1u, left, bytes.c_str());
    CHECK_EQUAL_TEXT(200, answers.back().status, bytes.c_str());
    this->notices = before;
  }
}

// Guards against a target that gets nothing since the answer of another request
// or another target says that it leaves.
TEST(RelayTaskTest, OnlyItsOwnAnswerTellsThatATargetLeaves) {
  const std::string leaving = "x-leaving: 1\r\n";
  this->RelayEach(
      PlainRoute(),
      {{.bytes = Kept("x-id: a\r\n", "first"), .keeps_connection = true},
       {.bytes = Kept("x-id: a\r\n" + leaving, "copy") +
                 Kept("x-id: b\r\n", "second"),
        .same_connection = true,
        .keeps_connection = true},
       {.bytes = Refusal(leaving + "x-id: c\r\nx-other: t3\r\n"),
        .same_connection = true},
       Unframed("third")},
      {"a", "b", "c"});
  CHECK_EQUAL(4u, this->received.size());
  for (const auto& [id, target] : this->view.targets()) {
    CHECK_FALSE(this->notices.Leaves(HashTargetStart(target.entry)));
  }
}

// Guards against requests that are sent to a target although it declines them,
// and that wait although all targets do.
TEST(RelayTaskTest, ATargetThatDeclinesGetsNoFurtherRequest) {
  const auto answers = this->RelayEach(PlainRoute(),
                                       {{Refusal("x-declines: 1\r\n")},
                                        Unframed("first"),
                                        Unframed("second"),
                                        {Refusal("x-declines: 1\r\n")}},
                                       {"a", "b", "c", "d"});
  CHECK_EQUAL(200, answers[0].status);
  CHECK_EQUAL(200, answers[1].status);
  CHECK_EQUAL(503, answers[2].status);
  CHECK_EQUAL(503, answers[3].status);
  CHECK_EQUAL(4u, this->received.size());
}

// Guards against a repeat that crashes a second target when the first crash has
// already been seen elsewhere.
TEST(RelayTaskTest, ABrokenRequestIsNotRepeatedWhenAnotherCrashAccusesItsPart) {
  const PartHash part = HashPart("", "part");
  this->crashes.OnNews({{{{part, 77}, milliseconds(10)}}, {}, {}},
                       NewsScope::kRegion, this->loop.Now());
  const CallerAnswer answer = this->Relay(
      StreamRoute(),
      {UnframedThenReset("id: 1\ndata: fir"), Unframed("id: 1\ndata: x\n\n")});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a stream that is cut since its target was silent for a second
// while no other one could go on with it.
TEST(RelayTaskTest, ASilentTargetKeepsItsStreamWhenThereIsNoOther) {
  this->target_ids = {"t1"};
  const CallerAnswer answer =
      this->Relay(StreamRoute(), {SilentFor(milliseconds(1400), kWhole)});
  this->CheckAnsweredByTheFirst(answer, kWhole);
}

TEST(RelayTaskTest, ASilentTargetKeepsItsStreamWhenItsServiceIsDropped) {
  this->during = [this] { this->DropServices(); };
  const CallerAnswer answer =
      this->Relay(StreamRoute(), {SilentFor(milliseconds(1400), kWhole)});
  this->CheckAnsweredByTheFirst(answer, kWhole);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a stream that is cut since the target that was to take over
// from a silent one refused it.
TEST(RelayTaskTest, ASilentTargetKeepsItsStreamWhenTheNextOneRefuses) {
  const CallerAnswer answer = this->Relay(
      StreamRoute(), {{.bytes = kHeadAndFirst, .keeps_connection = true},
                      {Refusal("Connection: close\r\n")},
                      {.bytes = kSecond, .on_first_connection = true}});
  this->CheckAnsweredByTheFirst(answer, kWhole);
  CHECK_EQUAL(2u, this->received.size());
}

TEST(RelayTaskTest, ASilentTargetKeepsItsStreamWhenTheNextOneBreaksOff) {
  for (const TargetReply& next :
       {UnframedThenReset("id: 2\nda"), TargetReply{},
        TargetReply{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"}}) {
    this->BeginCase();
    const CallerAnswer answer = this->Relay(
        StreamRoute(), {{.bytes = kHeadAndFirst, .keeps_connection = true},
                        next,
                        {.bytes = kSecond, .on_first_connection = true}});
    this->CheckAnsweredByTheFirst(answer, kWhole);
    CHECK_EQUAL(2u, this->received.size());
  }
}

TEST(RelayTaskTest, ASilentTargetKeepsARequestWhenThereIsNoOther) {
  this->target_ids = {"t1"};
  Route route = PlainRoute();
  route.latency_goal = milliseconds(100);
  const CallerAnswer answer =
      this->Relay(route, {SilentFor(milliseconds(700), "whole")});
  this->CheckAnsweredByTheFirst(answer, "whole");
}

TEST(RelayTaskTest, ASilentTargetKeepsARequestWhenTheNextOneRefuses) {
  Route route = PlainRoute();
  route.latency_goal = milliseconds(100);
  const CallerAnswer answer = this->Relay(
      route, {{.keeps_connection = true},
              {Refusal("Connection: close\r\n")},
              {.bytes = Unframed("whole").bytes, .on_first_connection = true}});
  this->CheckAnsweredByTheFirst(answer, "whole");
}

TEST(RelayTaskTest, ARequestThatASilentTargetRefusesLateHasNotRun) {
  Route route = PlainRoute();
  route.latency_goal = milliseconds(100);
  const std::string refusal = Refusal("Connection: close\r\n");
  const CallerAnswer answer =
      this->Relay(route, {{.keeps_connection = true},
                          {refusal},
                          {.bytes = refusal, .on_first_connection = true}});
  CHECK_EQUAL(503, answer.status);
  CHECK_EQUAL(2u, this->received.size());
}

// Guards against a failure of the gateway's own in place of the target's.
TEST(RelayTaskTest, AFailureOfATargetIsPassedOnWhenThereIsNoOther) {
  this->target_ids = {"t1"};
  const CallerAnswer answer = this->Relay(
      PlainRoute(), {{"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"}});
  CHECK_EQUAL(500, answer.status);
  STRCMP_EQUAL("oops", answer.body.c_str());
}

// Guards against pieces of two runs in one stream: the silent target goes on
// while the next one has sent a part of an event.
TEST(RelayTaskTest, ASilentTargetThatGoesOnFirstKeepsItsStream) {
  const CallerAnswer answer = this->Relay(
      StreamRoute(),
      {{.bytes = kHeadAndFirst + "id: 2\nda", .keeps_connection = true},
       {.bytes = std::string(kHead) + "\r\nid: 2\ndata: other",
        .keeps_connection = true},
       {.bytes = "ta: b\n\n", .on_first_connection = true}});
  this->CheckAnsweredByTheFirst(answer, kWhole);
  CHECK_EQUAL(2u, this->received.size());
  CHECK_EQUAL(0u, this->open_connections);
}

// Guards against a silent target that goes on working for a request which
// another one answers.
TEST(RelayTaskTest, ASilentTargetIsLeftWhenTheNextOneAnswers) {
  const CallerAnswer answer = this->Relay(
      StreamRoute(),
      {{.bytes = kHeadAndFirst + "id: 2\nda", .keeps_connection = true},
       Unframed("id: 2\ndata: b\n\n")});
  this->CheckAnsweredByTheFirst(answer, kWhole);
  CHECK_EQUAL(0u, this->open_connections);
}

TEST(RelayTaskTest, BothTargetsAreLeftWhenTheCallerLeaves) {
  this->leaves_after_arrivals = 2;
  const CallerAnswer answer = this->Relay(
      StreamRoute(), {{.bytes = kHeadAndFirst, .keeps_connection = true},
                      {.keeps_connection = true}});
  CHECK_FALSE(answer.complete);
  CHECK_EQUAL(2u, this->received.size());
  CHECK_EQUAL(0u, this->open_connections);
}

TEST(RelayTaskTest, BothTargetsAreLeftAtTheDeadline) {
  Route route = StreamRoute();
  route.timeout = milliseconds(2500);
  const CallerAnswer answer =
      this->Relay(route, {{.bytes = kHeadAndFirst, .keeps_connection = true},
                          {.keeps_connection = true}});
  CHECK_TRUE(answer.failed);
  CHECK_EQUAL(2u, this->received.size());
  CHECK_EQUAL(0u, this->open_connections);
}

TEST(RelayTaskTest, ASilentTargetKeepsARequestThatMayRunOnce) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  route.latency_goal = milliseconds(100);
  const CallerAnswer answer =
      this->Relay(route, {SilentFor(milliseconds(1300), "whole")});
  this->CheckAnsweredByTheFirst(answer, "whole");
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a retry of the budget that is spent although nothing was sent.
TEST(RelayTaskTest, AKeptAttemptSpendsNoRetry) {
  this->target_ids = {"t1"};
  this->Relay(StreamRoute(), {SilentFor(milliseconds(1400), kWhole)});
  const TimePoint now = this->loop.Now();
  RetryBudget& budget = this->budgets.For(ServiceName("s"));
  size_t retries = 0;
  while (budget.MayRetry(Verdict::kNotRun, true, 1, now + milliseconds(1000),
                         now, RetryPriority::kStarted)) {
    ++retries;
  }
  CHECK_EQUAL(static_cast<size_t>(RetryBudgetOptions().max_saved), retries);
}

// Guards against work on superseded weights that waits at a silent target while
// another one has the request.
TEST(RelayTaskTest, ASilentTargetIsLeftWhenItsWeightsAreSuperseded) {
  this->served_version = 1;
  this->during = [this] {
    const TargetSelectorOptions bounds;
    this->view.NoteCurrent(this->loop.Now() + milliseconds(10) -
                           bounds.version_bound + bounds.begin_margin);
    this->Apply("weights", NamedWeights{"m", 2});
    ReviewWaitingRequests(*this->relay_context);
  };
  this->during_arrivals = 2;
  Route route = StreamRoute();
  route.latency_goal = milliseconds(500);
  const CallerAnswer answer = this->Relay(
      route, {{.keeps_connection = true}, {.keeps_connection = true}});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(2u, this->received.size());
  CHECK_EQUAL(0u, this->open_connections);
}

// Guards against a request that crashes target after target, sent by a gateway
// that has seen none of the crashes.
TEST(RelayTaskTest, AQuarantinedRequestIsRefusedAndNotSent) {
  this->codec.part.clear();
  this->request_crashes.OnNews(
      {{}, {}, {{this->Fingerprint(), 1, false, milliseconds(30000)}}},
      NewsScope::kRegion, this->loop.Now());
  CHECK_EQUAL(503, this->Relay(PlainRoute(), {WithLength("x")}).status);
  CHECK_TRUE(this->received.empty());
  // Another caller asks for the same.
  this->codec.api_key = "other";
  CHECK_EQUAL(200, this->Relay(PlainRoute(), {WithLength("x")}).status);
}

// Guards against a repeat of a request whose first crash was seen elsewhere.
TEST(RelayTaskTest, ABrokenRequestIsNotRepeatedWhenAnotherCrashAccusesIt) {
  this->codec.part.clear();
  this->request_crashes.OnNews(
      {{{{this->Fingerprint(), 77}, milliseconds(10)}}, {}, {}},
      NewsScope::kRegion, this->loop.Now());
  const CallerAnswer answer = this->Relay(
      StreamRoute(),
      {UnframedThenReset("id: 1\ndata: fir"), Unframed("id: 1\ndata: x\n\n")});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a request that goes on to a third target after it has ended
// two, also when the first one began to answer.
TEST(RelayTaskTest, ARequestThatBreaksAtTwoTargetsIsNotSentToAThird) {
  this->codec.part.clear();
  Route route = StreamRoute();
  route.max_attempts = 4;
  const CallerAnswer answer =
      this->Relay(route, {UnframedThenReset(""), UnframedThenReset(""),
                          Unframed("id: 1\ndata: x\n\n")});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(2u, this->received.size());
  CHECK_FALSE(
      this->request_crashes.MayRepeat({this->Fingerprint()}, this->loop.Now()));
}

// Guards against a request that crashes its target after it was quarantined.
TEST(RelayTaskTest, ARequestThatWaitsAtATargetIsWithdrawnWhenItIsQuarantined) {
  Timer quarantine(this->loop, [&] {
    this->request_crashes.OnNews(
        {{}, {}, {{this->Fingerprint(), 1, false, milliseconds(30000)}}},
        NewsScope::kRegion, this->loop.Now());
  });
  quarantine.StartOnce(milliseconds(40));
  TargetReply reply = Unframed("id: 1\ndata: x\n\n");
  reply.pauses = true;
  const CallerAnswer answer = this->Relay(StreamRoute(), {reply});
  CHECK_EQUAL(502, answer.status);
  CHECK_EQUAL(1u, this->received.size());
}

// Guards against a sound request that stays accused although it is answered.
TEST(RelayTaskTest, ARequestThatIsAnsweredIsAcquitted) {
  this->codec.part.clear();
  const std::vector<PartHash> request{this->Fingerprint()};
  this->request_crashes.OnNews({{{{request[0], 77}, milliseconds(10)},
                                 {{request[0], 78}, milliseconds(10)}},
                                {},
                                {}},
                               NewsScope::kRegion, this->loop.Now());
  CHECK_FALSE(this->request_crashes.MayRepeat(request, this->loop.Now()));
  CHECK_EQUAL(200, this->Relay(PlainRoute(), {WithLength("x")}).status);
  CHECK_TRUE(this->request_crashes.MayRepeat(request, this->loop.Now()));
}

// Guards against a second run of a request that may run once, when its target's
// weights are superseded and another target has the new ones.
TEST(RelayTaskTest, ARequestThatMayRunOnceIsNotRepeatedForNewerWeights) {
  Route route = PlainRoute();
  route.kind = RouteKind::kNonIdempotent;
  this->CheckNotRepeatedForNewerWeights(route);
}

// Guards against more runs of a request than its route allows, when its
// target's weights are superseded.
TEST(RelayTaskTest, ARequestWithoutAttemptsIsNotRepeatedForNewerWeights) {
  Route route = PlainRoute();
  route.max_attempts = 1;
  this->CheckNotRepeatedForNewerWeights(route);
}

// Guards against retries beyond the budget for all requests that wait when
// weights are superseded.
TEST(RelayTaskTest, ARequestIsNotRepeatedForNewerWeightsWithoutBudget) {
  this->budgets.SetMaxSaved(0);
  this->CheckNotRepeatedForNewerWeights(PlainRoute());
}

// Guards against a request that is sent on for newer weights and not counted as
// a retry.
TEST(RelayTaskTest, ARequestThatIsRepeatedForNewerWeightsSpendsARetry) {
  this->served_version = 1;
  this->during = [this] { this->SupersedeWeights(); };
  const CallerAnswer answer =
      this->Relay(PlainRoute(), {{.keeps_connection = true}, Unframed("new")});
  this->CheckAnsweredByTheFirst(answer, "new");
  CHECK_EQUAL(2u, this->received.size());
  DOUBLES_EQUAL(RetryBudgetOptions().max_saved - 1,
                this->budgets.For(ServiceName("s")).saved(), 0.01);
}

// Guards against "may have run" for a request that is withdrawn before it was
// sent.
TEST(RelayTaskTest, AnUnsentRequestIsRefusedWhenItsWeightsAreSuperseded) {
  this->served_version = 1;
  this->targets_accept = false;
  this->budgets.SetMaxSaved(0);
  Timer naming(this->loop, [this] { this->SupersedeWeights(); });
  naming.StartOnce(milliseconds(40));
  const CallerAnswer answer = this->Relay(PlainRoute(), {});
  CHECK_EQUAL(503, answer.status);
  STRCMP_EQUAL("not run: its weights are superseded\n", answer.body.c_str());
}

// Guards against more runs of a request than its route allows: the attempt that
// replaces a silent one runs too when the silent one fails.
TEST(RelayTaskTest, AnAttemptBesideASilentOneCountsAsARun) {
  this->target_ids = {"t1", "t2", "t3"};
  this->patience = milliseconds(1500);
  Route route = PlainRoute();
  route.latency_goal = milliseconds(100);
  this->Relay(route,
              {{.keeps_connection = true},
               {.keeps_connection = true},
               {.bytes = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
                .on_first_connection = true},
               {.keeps_connection = true}});
  CHECK_EQUAL(2u, this->received.size());
}

// Guards against a retry for a silent attempt that already has a successor.
TEST(RelayTaskTest, ASilentAttemptIsReplacedOnce) {
  this->target_ids = {"t1", "t2", "t3"};
  this->patience = milliseconds(1500);
  Route route = PlainRoute();
  route.max_attempts = 3;
  route.latency_goal = milliseconds(300);
  for (const std::string& end :
       {std::string("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        Refusal("Connection: close\r\n"), std::string()}) {
    this->BeginCase();
    this->Relay(route, {{.keeps_connection = true},
                        {.keeps_connection = true},
                        {.bytes = end, .on_first_connection = true},
                        {.keeps_connection = true}});
    CHECK_EQUAL_TEXT(2u, this->received.size(), end.c_str());
  }
}

// Guards against a target that sends comments without end, which are kept while
// another attempt may still answer.
TEST(RelayTaskTest, CommentsThatAreNotPassedOnAreBounded) {
  this->target_ids = {"t1", "t2", "t3"};
  this->patience = milliseconds(1800);
  Route route = StreamRoute();
  route.max_attempts = 3;
  std::string comments;
  while (comments.size() <= RelayOptions().max_event_bytes) {
    comments += ": " + std::string(1000, 'x') + "\n\n";
  }
  const CallerAnswer answer =
      this->Relay(route, {{.bytes = kHeadAndFirst, .keeps_connection = true},
                          {.bytes = std::string(kHead) + "\r\n" + comments,
                           .keeps_connection = true},
                          Unframed(kSecond)});
  this->CheckAnsweredByTheFirst(answer, kWhole);
  CHECK_EQUAL(3u, this->received.size());
}

// Guards against refusals that hit long prompts alone and that nothing on the
// metrics page tells from others.
TEST(RelayTaskTest, CountsRequestsBySizeOfThePrompt) {
  const auto count = [&](const char* outcome, const char* size) {
    return this->metrics
        .AddCounter("celerypost_sized_requests_total", "",
                    {{"outcome", outcome}, {"size", size}})
        .value();
  };
  const auto tokens = [&](const char* outcome) {
    return this->metrics
        .AddCounter("celerypost_prompt_tokens_total", "",
                    {{"outcome", outcome}})
        .value();
  };
  this->served_version = 1;
  this->Relay(PlainRoute(), {WithLength("x")});
  CHECK_EQUAL(0u, tokens("answered"));

  const double mean = EngineRates().mean_prompt_tokens;
  this->codec.prompt_tokens = mean / 2;
  this->Relay(PlainRoute(), {WithLength("x")});
  this->codec.prompt_tokens = mean * 1.5;
  this->Relay(PlainRoute(), {WithLength("x")});
  CHECK_EQUAL(1u, count("answered", "below_mean"));
  CHECK_EQUAL(1u, count("answered", "below_twice_mean"));
  CHECK_EQUAL(0u, count("answered", "longer"));
  CHECK_EQUAL(static_cast<uint64_t>(mean * 2), tokens("answered"));

  for (const std::string& id : this->target_ids) {
    TargetRegistration leaving;
    leaving.id = id;
    leaving.service = ServiceName("s");
    leaving.draining = true;
    this->Apply(id, leaving);
  }
  this->target_ids.clear();
  this->codec.prompt_tokens = mean * 3;
  const CallerAnswer refused = this->Relay(PlainRoute(), {});
  CHECK_EQUAL(503, refused.status);
  CHECK_EQUAL(1u, count("refused", "longer"));
  CHECK_EQUAL(static_cast<uint64_t>(mean * 3), tokens("refused"));
}

}  // namespace
}  // namespace celerypost
