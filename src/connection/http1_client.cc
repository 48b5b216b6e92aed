#include "src/connection/http1_client.h"

#include <http_parser.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <climits>
#include <cstdlib>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "src/connection/receipt_watch.h"

namespace celerypost {

namespace {

// Tells http_parser that a response has no body, whatever its headers say.
constexpr int kNoBody = 1;
// Of the statuses that HTTP defines; those under 200 are interim.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

class Channel;

// State of one request; shared by the caller's HttpCall and the channel.
struct Exchange {
  HttpRequest request;
  Http1SendOptions options;
  HttpResponseCallbacks callbacks;
  Channel* channel = nullptr;
  std::unique_ptr<Timer> timer;
  // A connection has been established for it.
  bool sent = false;
  bool done = false;
};

void FailExchange(const std::shared_ptr<Exchange>& exchange,
                  Verdict verdict,
                  ErrorCode code,
                  const std::string& message) {
  if (exchange->done) {
    return;
  }
  exchange->done = true;
  exchange->channel = nullptr;
  exchange->timer.reset();
  auto callbacks = std::move(exchange->callbacks);
  exchange->callbacks = {};
  if (callbacks.on_failure) {
    callbacks.on_failure(Failure{verdict, code, message});
  }
}

std::string SerializeHead(const HttpRequest& request,
                          const SocketAddress& server) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "host").empty()) {
    head += "host: " + server.ToString() + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace

struct Http1Client::Impl : std::enable_shared_from_this<Http1Client::Impl> {
  Impl(Loop& loop, SocketAddress server, Http1ClientOptions options)
      : loop(loop), server(std::move(server)), options(options) {}

  Loop& loop;
  SocketAddress server;
  Http1ClientOptions options;
  // The most recently used connection is at the back.
  std::deque<Channel*> idle;
  uint64_t opened = 0;
};

namespace {

// One connection. Deletes itself in the close callback of its handle.
class Channel {
 public:
  explicit Channel(std::shared_ptr<Http1Client::Impl> client)
      : client(std::move(client)),
        timer(std::make_unique<Timer>(this->client->loop,
                                      [this] { this->OnTimer(); })) {
    uv_tcp_init(this->client->loop.uv(), &this->tcp);
    this->tcp.data = this;
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
  }

  void Connect(std::shared_ptr<Exchange> first) {
    this->Attach(std::move(first));
    ++this->client->opened;
    sockaddr_in address{};
    uv_ip4_addr(this->client->server.ip.c_str(), this->client->server.port,
                &address);
    uv_tcp_nodelay(&this->tcp, 1);
    this->connect.data = this;
    const int status = uv_tcp_connect(
        &this->connect, &this->tcp, reinterpret_cast<const sockaddr*>(&address),
        [](uv_connect_t* request, int status) {
          static_cast<Channel*>(request->data)->OnConnect(status);
        });
    if (status != 0) {
      // Reported by the timer, since callbacks never run from inside Send.
      this->timer->StartOnce(std::chrono::milliseconds(0));
      return;
    }
    this->connecting = true;
    this->timer->StartOnce(this->client->options.connect_timeout);
  }

  void Use(std::shared_ptr<Exchange> next) {
    this->timer->Stop();
    this->reused = true;
    this->Attach(std::move(next));
    this->SendRequest();
  }

  TimePoint idle_since{};

  // Closes the connection since its request was not answered in time. What
  // silenced it may have silenced the connections that have been idle since
  // before the request.
  void CloseSilent() {
    const auto pool = this->client;
    while (!pool->idle.empty() &&
           pool->idle.front()->idle_since <= this->attached_at) {
      pool->idle.front()->Close();
    }
    this->Close();
  }

  // Whether a request with this ID was sent on the connection; rarely true for
  // another one.
  bool HasCarried(const std::string& id) const {
    return !id.empty() &&
           std::find(this->carried_ids.begin(), this->carried_ids.end(),
                     std::hash<std::string>()(id)) != this->carried_ids.end();
  }

  void Close() {
    if (this->closing) {
      return;
    }
    this->closing = true;
    auto& idle = this->client->idle;
    idle.erase(std::remove(idle.begin(), idle.end(), this), idle.end());
    if (this->exchange) {
      this->exchange->channel = nullptr;
      this->exchange.reset();
    }
    this->timer.reset();
    this->receipt.reset();
    const uv_close_cb deleter = [](uv_handle_t* h) {
      delete static_cast<Channel*>(h->data);
    };
    if (!this->exchange_open || uv_tcp_close_reset(&this->tcp, deleter) != 0) {
      uv_close(reinterpret_cast<uv_handle_t*>(&this->tcp), deleter);
    }
  }

 private:
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&this->tcp); }

  void Attach(std::shared_ptr<Exchange> next) {
    this->exchange = std::move(next);
    this->exchange->channel = this;
    this->attached_at = this->client->loop.Now();
    this->exchange_open = true;
    if (!this->exchange->options.id.empty()) {
      this->carried_ids.push_back(
          std::hash<std::string>()(this->exchange->options.id));
      if (this->carried_ids.size() > this->client->options.max_remembered_ids) {
        this->carried_ids.erase(this->carried_ids.begin());
      }
    }
    this->skipped_responses = 0;
    this->body_bytes = 0;
    this->early = false;
    this->ExpectHead();
  }

  void ExpectHead() {
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->head = {};
    this->in_head = true;
    this->line_ended = false;
    this->skipping = false;
    this->complete = false;
    this->response_started = false;
  }

  void OnTimer() {
    if (!this->exchange) {
      this->Close();
      return;
    }
    this->Fail(Verdict::kNotRun, ErrorCode::kUnavailable,
               "no connection to " + this->client->server.ToString() +
                   " within the connect timeout");
  }

  void OnConnect(int status) {
    this->connecting = false;
    if (this->closing || status == UV_ECANCELED) {
      return;
    }
    if (status != 0) {
      this->Fail(Verdict::kNotRun, ErrorCode::kUnavailable,
                 "connection to " + this->client->server.ToString() +
                     " failed: " + uv_strerror(status));
      return;
    }
    this->timer->Stop();
    uv_read_start(this->stream(), Allocate, OnRead);
    this->SendRequest();
  }

  struct Write {
    uv_write_t request;
    std::string head;
    std::string body;
    Channel* channel;
  };

  void SendRequest() {
    this->exchange->sent = true;
    this->request_body_bytes = this->exchange->request.body.size();
    auto* write =
        new Write{{},
                  SerializeHead(this->exchange->request, this->client->server),
                  std::move(this->exchange->request.body),
                  this};
    write->request.data = write;
    const std::array<uv_buf_t, 2> buffers = {
        uv_buf_init(write->head.data(),
                    static_cast<unsigned>(write->head.size())),
        uv_buf_init(write->body.data(),
                    static_cast<unsigned>(write->body.size()))};
    this->write_pending = true;
    if (uv_write(&write->request, this->stream(), buffers.data(),
                 write->body.empty() ? 1 : 2,
                 [](uv_write_t* request, int status) {
                   const std::unique_ptr<Write> done(
                       static_cast<Write*>(request->data));
                   done->channel->OnWritten(status);
                 }) != 0) {
      delete write;
      this->write_pending = false;
      this->client->loop.Post([exchange = this->exchange] {
        if (exchange->channel != nullptr) {
          exchange->channel->Fail(Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                                  "write failed");
        }
      });
    }
  }

  void OnWritten(int status) {
    this->write_pending = false;
    if (this->closing) {
      return;
    }
    if (status == 0) {
      if (this->unconfirmed) {
        this->WatchReceipt();
      }
      return;
    }
    this->write_failed = true;
    // A response may have arrived before the server closed the connection, so
    // the read side reports these errors, unless it has ended.
    if (this->unconfirmed || (status != UV_ECONNRESET && status != UV_EPIPE)) {
      this->Fail(Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                 std::string("write failed: ") + uv_strerror(status));
    }
  }

  void Fail(Verdict verdict, ErrorCode code, const std::string& message) {
    const auto failed = this->exchange;
    this->Close();
    if (failed) {
      FailExchange(failed, verdict, code, message);
    }
  }

  static void Allocate(uv_handle_t*, size_t, uv_buf_t* buffer) {
    static thread_local char shared[65536];
    *buffer = uv_buf_init(shared, sizeof(shared));
  }

  static void OnRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buf) {
    auto* channel = static_cast<Channel*>(stream->data);
    if (count < 0) {
      channel->OnEnd(static_cast<int>(count));
    } else if (count > 0) {
      channel->OnBytes({buf->base, static_cast<size_t>(count)});
    }
  }

  void OnEnd(int error) {
    if (!this->exchange) {
      this->Close();
      return;
    }
    if (error == UV_EOF && this->response_started && !this->EndsInReset()) {
      // The end of the stream completes a response without a length and is an
      // error for any other.
      http_parser_execute(&this->parser, Settings(), nullptr, 0);
      if (this->closing) {
        return;
      }
      // An empty body without a length looks the same as a response that was
      // cut off after its head.
      if (this->complete && !this->skipping && this->body_bytes > 0) {
        if (this->early) {
          this->AwaitReceipt();
        } else {
          this->Finish(/*reuse=*/false);
        }
        return;
      }
    }
    this->Fail(Verdict::kMayHaveRun, ErrorCode::kUnavailable,
               std::string("connection ended before the response: ") +
                   uv_strerror(error));
  }

  // libuv reports the end of the stream when the last bytes and a reset arrive
  // together, and when a write has already failed with the reset. A response
  // without a length would then look complete.
  bool EndsInReset() {
    const int descriptor = this->Descriptor();
    char byte = 0;
    return this->write_failed || WasReset(descriptor) ||
           recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) != 0;
  }

  // Returns -1 if there is no socket.
  int Descriptor() {
    uv_os_fd_t descriptor = -1;
    uv_fileno(reinterpret_cast<uv_handle_t*>(&this->tcp), &descriptor);
    return descriptor;
  }

  // The response has ended. It is whole if the server also takes the rest of
  // the request: one that closes the connection instead may have been cut off.
  void AwaitReceipt() {
    this->unconfirmed = true;
    const auto current = this->exchange;
    if (current->callbacks.on_unconfirmed_end) {
      current->callbacks.on_unconfirmed_end();
    }
    if (!this->closing && !this->write_pending) {
      this->WatchReceipt();
    }
  }

  void WatchReceipt() {
    this->receipt = std::make_unique<ReceiptWatch>(
        this->client->loop, this->Descriptor(), ReceiptWatchOptions{},
        this->exchange->options.deadline.value_or(TimePoint::max()),
        [this](bool received) {
          if (received) {
            this->Finish(/*reuse=*/false);
          } else {
            this->Fail(Verdict::kMayHaveRun, ErrorCode::kUnavailable,
                       kNotReceived);
          }
        });
  }

  void OnBytes(std::string_view bytes) {
    if (!this->exchange) {
      // No request is outstanding, so these bytes belong to none.
      this->Close();
      return;
    }
    while (!bytes.empty()) {
      // http_parser would append the line to the value of the header before.
      if (this->line_ended && (bytes.front() == ' ' || bytes.front() == '\t')) {
        this->FailHeader(bytes.substr(0, bytes.find_first_of(":\r\n")));
        return;
      }
      const std::string_view piece = this->in_head ? FirstLine(bytes) : bytes;
      this->delivering = true;
      const size_t used = http_parser_execute(&this->parser, Settings(),
                                              piece.data(), piece.size());
      this->delivering = false;
      this->line_ended = this->in_head && piece.ends_with('\n');
      if (this->cancelled) {
        this->Close();
        return;
      }
      bytes.remove_prefix(std::min(used, bytes.size()));
      const auto error = HTTP_PARSER_ERRNO(&this->parser);
      if (error == HPE_PAUSED && this->complete) {
        const bool informational = this->parser.status_code < 200;
        const bool keep = http_should_keep_alive(&this->parser) != 0;
        if (informational || (this->skipping && keep)) {
          if (++this->skipped_responses >
              this->exchange->options.max_skipped_responses) {
            this->Fail(Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                       "too many responses before the one to the request");
            return;
          }
          this->reused = this->reused || !informational;
          this->body_bytes = 0;
          this->ExpectHead();
          continue;
        }
        if (this->skipping) {
          this->Fail(Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                     "the connection's last response belongs to another "
                     "request");
          return;
        }
        this->Finish(keep && bytes.empty() && !this->write_pending);
        return;
      }
      if (this->body_too_large) {
        this->Fail(Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                   "the response body exceeds the limit");
        return;
      }
      if (this->invalid_status) {
        this->Fail(Verdict::kMayHaveRun, ErrorCode::kCorrupt,
                   "the response's status is not one of HTTP: " +
                       std::to_string(this->head.status));
        return;
      }
      if (!this->invalid_name.empty()) {
        this->FailHeader(this->invalid_name);
        return;
      }
      if (error != HPE_OK || this->parser.upgrade) {
        std::string message =
            std::string("response is not HTTP: ") + http_errno_name(error);
        if (this->in_head) {
          message += " at \"" + EscapeBytes(bytes.substr(0, 16)) + "\"";
        }
        this->Fail(Verdict::kMayHaveRun, ErrorCode::kCorrupt, message);
        return;
      }
    }
  }

  // Returns `bytes` up to the end of its first line.
  static std::string_view FirstLine(std::string_view bytes) {
    const size_t end = bytes.find('\n');
    return end == std::string_view::npos ? bytes : bytes.substr(0, end + 1);
  }

  void FailHeader(std::string_view name) {
    this->Fail(Verdict::kMayHaveRun, ErrorCode::kCorrupt,
               "the name of a header of the response is not a token: \"" +
                   EscapeBytes(name) + "\"");
  }

  void Finish(bool reuse) {
    if (reuse) {
      this->ResumeReading();
    }
    const auto finished = this->exchange;
    this->exchange.reset();
    this->exchange_open = false;
    finished->channel = nullptr;
    finished->done = true;
    finished->timer.reset();
    auto callbacks = std::move(finished->callbacks);
    finished->callbacks = {};
    if (reuse) {
      this->idle_since = this->client->loop.Now();
      this->client->idle.push_back(this);
      this->timer->StartOnce(this->IdleTimeout());
    } else {
      this->Close();
    }
    if (callbacks.on_end) {
      callbacks.on_end();
    }
  }

  // At most four fifths of the time that the server states in Keep-Alive, so
  // that no request is sent while the server closes the connection.
  std::chrono::milliseconds IdleTimeout() const {
    const auto text = FindHeader(this->head.headers, "keep-alive");
    const size_t at = text.find("timeout=");
    if (at == std::string_view::npos) {
      return this->client->options.idle_timeout;
    }
    const long seconds =
        std::strtol(std::string(text.substr(at + 8)).c_str(), nullptr, 10);
    const long longest = this->client->options.idle_timeout.count() / 800 + 1;
    return std::min(
        this->client->options.idle_timeout,
        std::chrono::milliseconds(std::clamp(seconds, 0L, longest) * 800));
  }

  // Returns whether only the connection ends the current response, and whether
  // the server may not have read the whole request yet.
  bool IsEarly() {
    const bool framed = (this->parser.flags & F_CHUNKED) != 0 ||
                        this->parser.content_length != ULLONG_MAX;
    return !framed && this->request_body_bytes > 0 &&
           (this->write_pending ||
            MayPrecedeReceipt(this->Descriptor(), this->request_body_bytes));
  }

  static const http_parser_settings* Settings() {
    static const http_parser_settings settings = MakeSettings();
    return &settings;
  }

  static http_parser_settings MakeSettings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
      auto* self = static_cast<Channel*>(parser->data);
      self->response_started = true;
      self->last_was_value = true;
      return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* at,
                                  size_t length) {
      auto* self = static_cast<Channel*>(parser->data);
      if (self->last_was_value) {
        self->head.headers.emplace_back();
        self->last_was_value = false;
      }
      std::string& name = self->head.headers.back().first;
      AppendLowerCase(name, {at, length});
      // Depending on its build, http_parser accepts blanks in names. The last
      // piece of a name may be empty.
      if (length > 0 && !IsToken({at, length})) {
        self->invalid_name = name;
        return 1;
      }
      return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* at,
                                  size_t length) {
      auto* self = static_cast<Channel*>(parser->data);
      self->last_was_value = true;
      self->head.headers.back().second.append(at, length);
      return 0;
    };
    settings.on_headers_complete = [](http_parser* parser) {
      auto* self = static_cast<Channel*>(parser->data);
      self->in_head = false;
      self->head.status = static_cast<int>(parser->status_code);
      self->head.reused_connection = self->reused;
      if (self->head.status < kMinStatus || self->head.status > kMaxStatus) {
        self->invalid_status = true;
        return -1;
      }
      if (self->head.status < 200) {
        return 0;
      }
      const auto current = self->exchange;
      self->early = self->IsEarly();
      self->skipping =
          current->options.accepts && !current->options.accepts(self->head);
      if (!self->skipping && current->callbacks.on_head) {
        current->callbacks.on_head(self->head);
      }
      if (self->cancelled) {
        return -1;
      }
      const bool has_body = self->skipping || current->request.method != "HEAD";
      return has_body ? 0 : kNoBody;
    };
    settings.on_body = [](http_parser* parser, const char* at, size_t length) {
      auto* self = static_cast<Channel*>(parser->data);
      const auto current = self->exchange;
      if (!current) {
        return 1;
      }
      self->body_bytes += length;
      const size_t limit = current->options.max_body_bytes;
      if (limit > 0 && self->body_bytes > limit) {
        self->body_too_large = true;
        return 1;
      }
      if (!self->skipping && current->callbacks.on_body) {
        current->callbacks.on_body({at, length});
      }
      return self->cancelled ? 1 : 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      auto* self = static_cast<Channel*>(parser->data);
      self->complete = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }

 public:
  void PauseReading() {
    if (!this->closing && !this->connecting && !this->unconfirmed) {
      this->paused = true;
      uv_read_stop(this->stream());
    }
  }

  void ResumeReading() {
    if (!this->closing && std::exchange(this->paused, false)) {
      uv_read_start(this->stream(), Allocate, OnRead);
    }
  }

  // Called when the caller destroys its HttpCall.
  void Cancel() {
    // A running callback must not be destroyed, so the connection is closed
    // after the callback has returned and the parser has stopped.
    if (this->delivering) {
      this->cancelled = true;
      return;
    }
    this->Close();
  }

 private:
  std::shared_ptr<Http1Client::Impl> client;
  uv_tcp_t tcp{};
  uv_connect_t connect{};
  http_parser parser{};
  std::unique_ptr<Timer> timer;
  std::shared_ptr<Exchange> exchange;
  // Hashes of the IDs of the latest requests, oldest first.
  std::vector<size_t> carried_ids;
  HttpResponseHead head;
  // When the current request was attached.
  TimePoint attached_at{};
  bool last_was_value = true;
  bool connecting = false;
  // Reading is stopped at the request of the caller.
  bool paused = false;
  // HttpResponseHead::reused_connection.
  bool reused = false;
  bool write_pending = false;
  bool write_failed = false;
  size_t request_body_bytes = 0;
  // IsEarly() of the current response.
  bool early = false;
  // The response has ended and waits for the request to be received.
  bool unconfirmed = false;
  std::unique_ptr<ReceiptWatch> receipt;
  bool response_started = false;
  bool skipping = false;
  bool complete = false;
  // Whether a request was attached whose response is not complete.
  bool exchange_open = false;
  uint32_t skipped_responses = 0;
  // Of the current response.
  size_t body_bytes = 0;
  bool body_too_large = false;
  bool invalid_status = false;
  // The name of a header that is not a token; empty while there is none.
  std::string invalid_name;
  // The head of the current response is not complete.
  bool in_head = true;
  // The last byte that was parsed ended a line of the head.
  bool line_ended = false;
  // True while the parser runs callbacks.
  bool delivering = false;
  bool cancelled = false;
  bool closing = false;
};

class Http1Call : public HttpCall {
 public:
  explicit Http1Call(std::shared_ptr<Exchange> exchange)
      : exchange(std::move(exchange)) {}
  ~Http1Call() override {
    if (!this->exchange->done) {
      this->exchange->done = true;
      this->exchange->timer.reset();
      if (this->exchange->channel != nullptr) {
        this->exchange->channel->Cancel();
      }
    }
  }
  Http1Call(const Http1Call&) = delete;
  Http1Call& operator=(const Http1Call&) = delete;
  bool MayHaveBeenSent() const override { return this->exchange->sent; }
  void PauseReading() override {
    if (this->exchange->channel != nullptr) {
      this->exchange->channel->PauseReading();
    }
  }
  void ResumeReading() override {
    if (this->exchange->channel != nullptr) {
      this->exchange->channel->ResumeReading();
    }
  }

 private:
  std::shared_ptr<Exchange> exchange;
};

}  // namespace

Http1Client::Http1Client(Loop& loop,
                         SocketAddress server,
                         Http1ClientOptions options)
    : impl(std::make_shared<Impl>(loop, std::move(server), options)) {}

Http1Client::~Http1Client() {
  while (!this->impl->idle.empty()) {
    this->impl->idle.back()->Close();
  }
}

uint64_t Http1Client::connections_opened() const {
  return this->impl->opened;
}

std::unique_ptr<HttpCall> Http1Client::Send(HttpRequest request,
                                            Http1SendOptions options,
                                            HttpResponseCallbacks callbacks) {
  auto exchange = std::make_shared<Exchange>();
  exchange->request = std::move(request);
  exchange->options = std::move(options);
  exchange->callbacks = std::move(callbacks);
  auto call = std::make_unique<Http1Call>(exchange);
  if (exchange->options.timeout.count() > 0) {
    if (!exchange->options.deadline) {
      exchange->options.deadline =
          this->impl->loop.Now() + exchange->options.timeout;
    }
    exchange->timer = std::make_unique<Timer>(
        this->impl->loop, [weak = std::weak_ptr<Exchange>(exchange)] {
          const auto expired = weak.lock();
          if (!expired || expired->done) {
            return;
          }
          Channel* const channel = expired->channel;
          if (channel != nullptr) {
            channel->CloseSilent();
          }
          FailExchange(expired, Verdict::kMayHaveRun,
                       ErrorCode::kDeadlineExceeded,
                       "no complete response within the timeout");
        });
    exchange->timer->StartOnce(exchange->options.timeout);
  }
  Impl& pool = *this->impl;
  const TimePoint now = pool.loop.Now();
  const auto usable = std::find_if(
      pool.idle.rbegin(), pool.idle.rend(), [&](const Channel* channel) {
        return now - channel->idle_since <= exchange->options.max_idle &&
               !channel->HasCarried(exchange->options.id);
      });
  if (!exchange->options.new_connection && usable != pool.idle.rend()) {
    Channel* const channel = *usable;
    pool.idle.erase(std::next(usable).base());
    channel->Use(exchange);
    return call;
  }
  (new Channel(this->impl))->Connect(exchange);
  return call;
}

std::unique_ptr<HttpCall> Http1Client::Fetch(
    HttpRequest request,
    std::chrono::milliseconds timeout,
    std::function<void(Result<HttpResponse>)> done) {
  auto response = std::make_shared<HttpResponse>();
  HttpResponseCallbacks callbacks;
  callbacks.on_head = [response](const HttpResponseHead& head) {
    response->status = head.status;
    response->headers = head.headers;
  };
  callbacks.on_body = [response](std::string_view bytes) {
    response->body.append(bytes);
  };
  callbacks.on_end = [response, done] { done(std::move(*response)); };
  callbacks.on_failure = [done](Failure failure) {
    done(tl::unexpected<Failure>(std::move(failure)));
  };
  Http1SendOptions options;
  options.timeout = timeout;
  return this->Send(std::move(request), std::move(options),
                    std::move(callbacks));
}

}  // namespace celerypost
