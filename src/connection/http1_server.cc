#include "src/connection/http1_server.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <cctype>
#include <unordered_set>
#include <utility>
#include <vector>

namespace celerypost {

namespace {

constexpr int kListenBacklog = 1024;
// How often the timeouts of connections are checked.
constexpr std::chrono::milliseconds kSweepPeriod{500};
// How long a connection whose sending side is shut down waits for the caller to
// close it. Closing it earlier with unread bytes would reset it before the
// caller has read the answer.
constexpr std::chrono::milliseconds kLingerTimeout{1000};
// A connection with more bytes of pipelined requests is not read until the
// current request has been answered.
constexpr size_t kMaxPipelinedBytes = 256u << 10;
// Sizes of the kernel's buffers of a connection, which count towards the memory
// of the VM; by default they grow to several megabytes each. The kernel doubles
// them for its own use. At 10 ms there and back a caller can send 6 MB/s.
constexpr int kReceiveBufferBytes = 64 << 10;
constexpr int kSendBufferBytes = 256 << 10;
// What an open connection costs without a request: its object, its parser and
// the kernel's socket.
constexpr size_t kConnectionBytes = 4096;
// A larger buffer for output is given back once its bytes are sent.
constexpr size_t kMaxKeptOutput = 16u << 10;
// Of the statuses that end an exchange in HTTP.
constexpr int kMinFinalStatus = 200;
constexpr int kMaxFinalStatus = 599;
// A chunked body's buffer grows in steps of at least this size.
constexpr size_t kMinBodyGrowth = 4096;

// Of a refusal for lack of memory: requests that hold it end within seconds.
constexpr std::string_view kMemoryHeaders = "Retry-After: 1\r\n";

class Connection;

// Gives the memory of `text` back, which an assignment need not do.
void Release(std::string& text) {
  std::string().swap(text);
}

std::string_view StatusReason(int status) {
  return http_status_str(static_cast<http_status>(status));
}

class Responder : public HttpResponder {
 public:
  explicit Responder(Connection* connection) : connection(connection) {}

  void Start(int status, const HttpHeaders& headers) override;
  void Write(std::string_view bytes) override;
  void End() override;
  void Abort() override;
  void CloseConnectionAfter() override { this->close_after = true; }
  void SetContentLength(size_t length) override {
    this->content_length = length;
    this->has_length = true;
  }
  size_t unsent_bytes() const override;
  void OnDrained(size_t bytes, std::function<void()> callback) override {
    this->drained_at = bytes;
    this->on_drained = std::move(callback);
  }
  void OnClosed(std::function<void()> callback) override {
    this->on_closed = std::move(callback);
  }
  bool closed() const override { return this->connection == nullptr; }

  // Bytes of the answer have been sent.
  void NoteSent() {
    if (this->on_drained && this->unsent_bytes() <= this->drained_at) {
      std::exchange(this->on_drained, nullptr)();
    }
  }

  void Detach() {
    this->connection = nullptr;
    this->on_drained = nullptr;
    auto callback = std::move(this->on_closed);
    this->on_closed = nullptr;
    if (callback) {
      callback();
    }
  }
  void Finish() {
    this->connection = nullptr;
    this->on_closed = nullptr;
    this->on_drained = nullptr;
  }

  Connection* connection;
  std::function<void()> on_closed;
  std::function<void()> on_drained;
  // Unsent bytes at which on_drained is called.
  size_t drained_at = 0;
  size_t content_length = 0;
  bool has_length = false;
  bool started = false;
  bool close_after = false;
};

}  // namespace

struct Http1Server::Impl : std::enable_shared_from_this<Http1Server::Impl> {
  Impl(Loop& loop, MemoryBudget& memory, HttpHandler handler)
      : loop(loop),
        memory(memory),
        handler(std::move(handler)),
        sweep(loop, [this] { this->Sweep(); }) {}

  void Sweep();

  Loop& loop;
  MemoryBudget& memory;
  HttpHandler handler;
  Http1Limits limits;
  Timer sweep;
  uv_tcp_t* listener = nullptr;
  uint16_t bound_port = 0;
  bool close_after_answers = false;
  bool stopped = false;
  size_t in_progress = 0;
  std::unordered_set<Connection*> connections;
};

namespace {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(std::shared_ptr<Http1Server::Impl> server)
      : server(std::move(server)),
        state_since(this->server->loop.Now()),
        idle_timeout(this->server->limits.idle_timeout),
        memory(this->server->memory, [this] { this->EndForMemory(); }) {
    uv_tcp_init(this->server->loop.uv(), &this->tcp);
    this->tcp.data = this;
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
  }

  bool Accept(uv_stream_t* listener) {
    this->self = this->shared_from_this();
    this->server->connections.insert(this);
    if (uv_accept(listener, this->stream()) != 0) {
      this->Close();
      return false;
    }
    if (!this->server->memory.Accepts(kConnectionBytes)) {
      this->Close();
      return false;
    }
    uv_tcp_nodelay(&this->tcp, 1);
    uv_read_start(this->stream(), Allocate, OnRead);
    this->ReportMemory();
    return true;
  }

  void Close() {
    if (this->closing) {
      return;
    }
    this->closing = true;
    this->memory.Set(0);
    // The handle is closed later, and what it held may be needed at once.
    this->DropRequest();
    Release(this->pipelined);
    Release(this->output);
    this->server->connections.erase(this);
    if (this->responder) {
      --this->server->in_progress;
      auto detached = std::move(this->responder);
      detached->Detach();
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&this->tcp), [](uv_handle_t* h) {
      auto* connection = static_cast<Connection*>(h->data);
      const auto last = std::move(connection->self);
    });
  }

  // Returns the member of Http1ServerWork that counts this connection.
  size_t Http1ServerWork::*WorkMember() const {
    if (this->responder) {
      return &Http1ServerWork::answering;
    }
    if (this->HasUnsentBytes()) {
      return &Http1ServerWork::unsent;
    }
    if (this->send_closed) {
      return &Http1ServerWork::lingering;
    }
    if (this->in_message || !this->pipelined.empty() ||
        this->HasUnreadBytes()) {
      return &Http1ServerWork::receiving;
    }
    return &Http1ServerWork::idle;
  }

  void CheckTimeouts(TimePoint now) {
    const auto& limits = this->server->limits;
    const auto age = now - this->state_since;
    if (!this->responder && this->HasUnsentBytes()) {
      const size_t left = this->UnsentBytes();
      if (left != this->unsent_bytes) {
        this->unsent_bytes = left;
        this->state_since = now;
      } else if (age > limits.idle_timeout) {
        this->Close();
      }
    } else if (this->send_closed) {
      if (age > kLingerTimeout) {
        this->Close();
      }
    } else if (this->responder) {
      return;
    } else if (this->in_message && !this->headers_done) {
      if (age > limits.header_timeout) {
        this->Reject(408);
      }
    } else if (this->in_message) {
      if (age > limits.idle_timeout && !this->HasUnreadBytes()) {
        this->Reject(408);
      }
    } else if (!this->in_message &&
               age > std::max(this->idle_timeout, limits.idle_timeout) &&
               !this->HasUnreadBytes()) {
      this->Close();
    }
  }

  // Whether the server has read bytes of a request that follows the current
  // one.
  bool has_next_request() const { return !this->pipelined.empty(); }

  void RefusePartialRequest() {
    const bool unread = this->pipelined.empty() && this->HasUnreadBytes();
    if ((this->in_message || unread) && !this->close_when_flushed) {
      this->Reject(503);
    }
  }

  size_t UnsentBytes() const {
    return this->output.size() +
           uv_stream_get_write_queue_size(
               reinterpret_cast<const uv_stream_t*>(&this->tcp));
  }

  // Queues bytes; the output of one loop iteration is sent in one write.
  void Output(std::string_view bytes) {
    if (this->closing || this->send_closed) {
      return;
    }
    this->output.append(bytes);
    this->ReportMemory();
    if (!this->flush_scheduled) {
      this->flush_scheduled = true;
      this->server->loop.BeforeWait([weak = this->weak_from_this()] {
        if (const auto connection = weak.lock()) {
          connection->Flush();
        }
      });
    }
  }

  void EndAnswer(bool close_after) {
    auto done = std::move(this->responder);
    --this->server->in_progress;
    done->Finish();
    this->state_since = this->server->loop.Now();
    this->idle_timeout = this->server->limits.idle_timeout;
    if (close_after || !this->keep_alive) {
      this->close_when_flushed = true;
      return;
    }
    // The next request may already be buffered. It is dispatched from the loop,
    // so that its handler does not run inside the handler of this one.
    if (!this->pipelined.empty()) {
      this->server->loop.Post([weak = this->weak_from_this()] {
        const auto connection = weak.lock();
        if (connection && !connection->closing && !connection->responder) {
          const std::string bytes = std::move(connection->pipelined);
          connection->pipelined.clear();
          connection->Parse(bytes);
          connection->ResumeReading();
          connection->ReportMemory();
        }
      });
    }
  }

  std::shared_ptr<Http1Server::Impl> server;
  bool chunked = false;
  bool head_request = false;
  bool keep_alive = true;

 private:
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&this->tcp); }

  bool HasUnsentBytes() const {
    return !this->output.empty() || this->queued_writes > 0;
  }

  // Returns whether the operating system holds bytes of the caller. Timers run
  // before the loop reads, so after a pause a request may be waiting there.
  bool HasUnreadBytes() const {
    uv_os_fd_t descriptor = -1;
    char byte = 0;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&this->tcp),
                     &descriptor) == 0 &&
           recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  static void Allocate(uv_handle_t*, size_t, uv_buf_t* buffer) {
    // All connections of the loop's thread read into one buffer, since a read
    // is consumed before the next one starts.
    static thread_local char shared[65536];
    *buffer = uv_buf_init(shared, sizeof(shared));
  }

  static void OnRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buf) {
    auto* connection = static_cast<Connection*>(stream->data);
    const auto keep = connection->shared_from_this();
    if (count < 0) {
      connection->Close();
      return;
    }
    if (count == 0 || connection->send_closed ||
        connection->close_when_flushed) {
      return;
    }
    // Many connections are read before the loop runs what they have posted.
    connection->server->memory.EnforceLimit();
    if (connection->closing || connection->close_when_flushed) {
      return;
    }
    const std::string_view bytes(buf->base, static_cast<size_t>(count));
    if (connection->responder || !connection->pipelined.empty()) {
      connection->pipelined.append(bytes);
      if (connection->pipelined.size() > kMaxPipelinedBytes) {
        uv_read_stop(stream);
        connection->reading_stopped = true;
      }
    } else {
      connection->Parse(bytes);
    }
    connection->ReportMemory();
  }

  void ReportMemory() {
    if (!this->closing) {
      this->memory.Set(kConnectionBytes + HeldBytes(this->request) +
                       this->pipelined.capacity() + this->UnsentBytes());
    }
  }

  void DropRequest() {
    Release(this->request.body);
    this->request = {};
    this->request.path.clear();
  }

  // Refuses a request that has not been read completely; otherwise closes the
  // connection.
  void EndForMemory() {
    if (!this->in_message || this->HasUnsentBytes()) {
      this->Close();
      return;
    }
    this->Reject(503, kMemoryHeaders);
  }

  void ResumeReading() {
    if (this->reading_stopped && !this->closing &&
        this->pipelined.size() <= kMaxPipelinedBytes) {
      this->reading_stopped = false;
      uv_read_start(this->stream(), Allocate, OnRead);
    }
  }

  void Parse(std::string_view bytes) {
    static const http_parser_settings settings = MakeParserSettings();
    const size_t used = http_parser_execute(&this->parser, &settings,
                                            bytes.data(), bytes.size());
    if (this->closing || this->send_closed) {
      return;
    }
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (error == HPE_PAUSED) {
      http_parser_pause(&this->parser, 0);
      this->pipelined.assign(bytes.substr(used));
      this->Dispatch();
      return;
    }
    if (error != HPE_OK || this->parser.upgrade) {
      this->Reject(this->reject_status != 0 ? this->reject_status : 400,
                   this->reject_headers);
    }
  }

  void Dispatch() {
    this->in_message = false;
    this->keep_alive = http_should_keep_alive(&this->parser) != 0;
    this->head_request = this->request.method == "HEAD";
    this->responder = std::make_shared<Responder>(this);
    ++this->server->in_progress;
    const auto held = this->responder;
    HttpRequest taken = std::move(this->request);
    this->DropRequest();
    // From here on the handler accounts for the request.
    this->ReportMemory();
    this->server->handler(std::move(taken), held);
  }

  // `headers` are further lines of the head.
  void Reject(int status, std::string_view headers = {}) {
    // The connection stays open until the caller has read the answer.
    this->DropRequest();
    this->Output("HTTP/1.1 " + std::to_string(status) + " " +
                 std::string(StatusReason(status)) + "\r\n" +
                 std::string(headers) +
                 "Content-Length: 0\r\nConnection: close\r\n\r\n");
    this->close_when_flushed = true;
  }

  void Flush() {
    this->flush_scheduled = false;
    if (this->closing) {
      return;
    }
    if (!this->output.empty()) {
      uv_buf_t buffer = uv_buf_init(this->output.data(),
                                    static_cast<unsigned>(this->output.size()));
      int sent = this->queued_writes > 0
                     ? UV_EAGAIN
                     : uv_try_write(this->stream(), &buffer, 1);
      if (sent < 0 && sent != UV_EAGAIN) {
        this->Close();
        return;
      }
      sent = std::max(sent, 0);
      if (static_cast<size_t>(sent) < this->output.size()) {
        this->QueueWrite(this->output.substr(static_cast<size_t>(sent)));
      }
      if (this->output.capacity() > kMaxKeptOutput) {
        Release(this->output);
      }
      this->output.clear();
    }
    this->OnSent();
  }

  void OnSent() {
    this->ReportMemory();
    this->CloseIfDone();
    if (const auto held = this->responder) {
      held->NoteSent();
    }
  }

  struct Write {
    uv_write_t request;
    std::string bytes;
    std::shared_ptr<Connection> connection;
  };

  void QueueWrite(std::string bytes) {
    auto* write = new Write{{}, std::move(bytes), this->shared_from_this()};
    write->request.data = write;
    ++this->queued_writes;
    uv_buf_t buffer = uv_buf_init(write->bytes.data(),
                                  static_cast<unsigned>(write->bytes.size()));
    const int status = uv_write(
        &write->request, this->stream(), &buffer, 1,
        [](uv_write_t* request, int status) {
          const std::unique_ptr<Write> done(static_cast<Write*>(request->data));
          --done->connection->queued_writes;
          if (status != 0) {
            done->connection->Close();
          } else {
            done->connection->OnSent();
          }
        });
    if (status != 0) {
      --this->queued_writes;
      delete write;
      this->Close();
    }
  }

  void CloseIfDone() {
    if (!this->close_when_flushed || this->closing || this->send_closed ||
        this->queued_writes > 0 || !this->output.empty()) {
      return;
    }
    this->send_closed = true;
    this->state_since = this->server->loop.Now();
    auto* request = new uv_shutdown_t;
    if (uv_shutdown(request, this->stream(),
                    [](uv_shutdown_t* done, int) { delete done; }) != 0) {
      delete request;
      this->Close();
    }
  }

  static http_parser_settings MakeParserSettings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
      auto* self = static_cast<Connection*>(parser->data);
      self->in_message = true;
      self->headers_done = false;
      self->header_bytes = 0;
      self->last_was_value = true;
      self->DropRequest();
      self->state_since = self->server->loop.Now();
      return 0;
    };
    settings.on_url = [](http_parser* parser, const char* at, size_t length) {
      auto* self = static_cast<Connection*>(parser->data);
      self->request.path.append(at, length);
      return self->CountHeaderBytes(length);
    };
    settings.on_header_field = [](http_parser* parser, const char* at,
                                  size_t length) {
      auto* self = static_cast<Connection*>(parser->data);
      if (self->last_was_value) {
        if (self->request.headers.size() >= MaxHeaders(self->server->limits)) {
          self->reject_status = 431;
          return 1;
        }
        self->request.headers.emplace_back();
        self->last_was_value = false;
      }
      AppendLowerCase(self->request.headers.back().first, {at, length});
      return self->CountHeaderBytes(length);
    };
    settings.on_header_value = [](http_parser* parser, const char* at,
                                  size_t length) {
      auto* self = static_cast<Connection*>(parser->data);
      self->last_was_value = true;
      self->request.headers.back().second.append(at, length);
      return self->CountHeaderBytes(length);
    };
    settings.on_headers_complete = [](http_parser* parser) {
      auto* self = static_cast<Connection*>(parser->data);
      self->headers_done = true;
      self->request.method =
          http_method_str(static_cast<http_method>(parser->method));
      const size_t max_body = self->server->limits.max_body_bytes;
      const bool is_chunked = (parser->flags & F_CHUNKED) != 0;
      const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
      if (!is_chunked && has_length && parser->content_length > max_body) {
        self->reject_status = 413;
        return -1;
      }
      // A chunked body may become as long as the limit.
      size_t length = 0;
      if (is_chunked) {
        length = max_body;
      } else if (has_length) {
        length = parser->content_length;
      }
      if (length > 0 && !self->server->memory.Accepts(length)) {
        return self->RefuseForMemory();
      }
      if (!is_chunked) {
        // Accounted for at once: many requests may begin before the bytes of
        // the first one arrive.
        self->request.body.reserve(length);
        self->ReportMemory();
      }
      if (FindHeader(self->request.headers, "expect") == "100-continue") {
        self->Output("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return 0;
    };
    settings.on_body = [](http_parser* parser, const char* at, size_t length) {
      auto* self = static_cast<Connection*>(parser->data);
      if (self->request.body.size() + length >
          self->server->limits.max_body_bytes) {
        self->reject_status = 413;
        return 1;
      }
      self->state_since = self->server->loop.Now();
      if (!self->GrowBody(self->request.body.size() + length)) {
        return self->RefuseForMemory();
      }
      self->request.body.append(at, length);
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }

  int RefuseForMemory() {
    this->reject_status = 503;
    this->reject_headers = kMemoryHeaders;
    return -1;
  }

  // Makes room for a body of `length` bytes; returns false if there is no
  // memory for it.
  bool GrowBody(size_t length) {
    std::string& body = this->request.body;
    if (length <= body.capacity()) {
      return true;
    }
    const size_t capacity =
        std::min(std::max(length, body.capacity() * 2 + kMinBodyGrowth),
                 this->server->limits.max_body_bytes);
    if (!this->server->memory.Accepts(capacity)) {
      return false;
    }
    body.reserve(capacity);
    this->ReportMemory();
    return true;
  }

  int CountHeaderBytes(size_t length) {
    this->header_bytes += length;
    if (this->header_bytes > this->server->limits.max_header_bytes) {
      this->reject_status = 431;
      return 1;
    }
    return 0;
  }

  uv_tcp_t tcp{};
  http_parser parser{};
  std::shared_ptr<Connection> self;
  std::shared_ptr<Responder> responder;
  HttpRequest request;
  std::string pipelined;
  std::string output;
  TimePoint state_since;
  // The limit when the connection became idle; its caller relies on it.
  std::chrono::milliseconds idle_timeout;
  MemoryAccount memory;
  // Bytes of a complete answer that were unsent at the last check of timeouts.
  size_t unsent_bytes = 0;
  size_t header_bytes = 0;
  int reject_status = 0;
  std::string_view reject_headers;
  int queued_writes = 0;
  bool last_was_value = true;
  bool in_message = false;
  bool headers_done = false;
  bool flush_scheduled = false;
  bool reading_stopped = false;
  bool close_when_flushed = false;
  // The sending side is shut down.
  bool send_closed = false;
  bool closing = false;
};

void Responder::Start(int status, const HttpHeaders& headers) {
  if (this->closed() || this->started) {
    return;
  }
  // What the handler has begun may have run, so no refusal is true in place of
  // a status that is not a final one of HTTP.
  if (status < kMinFinalStatus || status > kMaxFinalStatus) {
    this->Abort();
    return;
  }
  this->started = true;
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     std::string(StatusReason(status)) + "\r\n";
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  const bool close = this->close_after || !this->connection->keep_alive ||
                     (this->connection->server->close_after_answers &&
                      !this->connection->has_next_request());
  this->close_after = close;
  if (close) {
    head += "Connection: close\r\n";
  }
  this->connection->chunked = !this->has_length;
  if (this->has_length) {
    head += "Content-Length: " + std::to_string(this->content_length) + "\r\n";
  } else {
    head += "Transfer-Encoding: chunked\r\n";
  }
  head += "\r\n";
  this->connection->Output(head);
}

void Responder::Write(std::string_view bytes) {
  if (this->closed() || bytes.empty() || this->connection->head_request) {
    return;
  }
  if (!this->connection->chunked) {
    this->connection->Output(bytes);
    return;
  }
  char size[24];
  const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string chunk(size, static_cast<size_t>(length));
  chunk.append(bytes).append("\r\n");
  this->connection->Output(chunk);
}

size_t Responder::unsent_bytes() const {
  return this->closed() ? 0 : this->connection->UnsentBytes();
}

void Responder::End() {
  if (this->closed()) {
    return;
  }
  if (this->connection->chunked && !this->connection->head_request) {
    this->connection->Output("0\r\n\r\n");
  }
  this->connection->EndAnswer(this->close_after);
}

void Responder::Abort() {
  if (this->closed()) {
    return;
  }
  this->on_closed = nullptr;
  this->connection->Close();
}

}  // namespace

void Http1Server::Impl::Sweep() {
  const TimePoint now = this->loop.Now();
  const std::vector<Connection*> all(this->connections.begin(),
                                     this->connections.end());
  for (Connection* connection : all) {
    if (this->connections.contains(connection)) {
      connection->CheckTimeouts(now);
    }
  }
}

Result<std::unique_ptr<Http1Server>> Http1Server::Make(Loop& loop,
                                                       const std::string& ip,
                                                       uint16_t port,
                                                       MemoryBudget& memory,
                                                       HttpHandler handler) {
  auto impl = std::make_shared<Impl>(loop, memory, std::move(handler));
  sockaddr_in address{};
  int status = uv_ip4_addr(ip.c_str(), port, &address);
  impl->listener = new uv_tcp_t;
  uv_tcp_init(loop.uv(), impl->listener);
  impl->listener->data = impl.get();
  if (status == 0) {
    status = uv_tcp_bind(impl->listener,
                         reinterpret_cast<const sockaddr*>(&address), 0);
  }
  if (status == 0) {
    // Accepted connections inherit these.
    uv_os_fd_t descriptor = -1;
    uv_fileno(reinterpret_cast<const uv_handle_t*>(impl->listener),
              &descriptor);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes,
               sizeof(kSendBufferBytes));
    status =
        uv_listen(reinterpret_cast<uv_stream_t*>(impl->listener),
                  kListenBacklog, [](uv_stream_t* listener, int error) {
                    auto* server = static_cast<Impl*>(listener->data);
                    if (error == 0 && server != nullptr) {
                      std::make_shared<Connection>(server->shared_from_this())
                          ->Accept(listener);
                    }
                  });
  }
  std::unique_ptr<Http1Server> server(new Http1Server(impl));
  if (status != 0) {
    return NotRun(ErrorCode::kUnavailable, "cannot listen on " + ip + ":" +
                                               std::to_string(port) + ": " +
                                               uv_strerror(status));
  }
  int length = sizeof(address);
  uv_tcp_getsockname(impl->listener, reinterpret_cast<sockaddr*>(&address),
                     &length);
  impl->bound_port = ntohs(address.sin_port);
  impl->sweep.StartRepeating(kSweepPeriod);
  return server;
}

Http1Server::Http1Server(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

Http1Server::~Http1Server() {
  this->StopListening();
  const std::vector<Connection*> all(this->impl->connections.begin(),
                                     this->impl->connections.end());
  for (Connection* connection : all) {
    connection->Close();
  }
}

uint16_t Http1Server::port() const {
  return this->impl->bound_port;
}

size_t Http1Server::connections() const {
  return this->impl->connections.size();
}

size_t Http1Server::requests() const {
  return this->impl->in_progress;
}

Http1ServerWork Http1Server::work() const {
  Http1ServerWork work;
  for (const Connection* connection : this->impl->connections) {
    ++(work.*connection->WorkMember());
  }
  return work;
}

void Http1Server::SetLimits(const Http1Limits& limits) {
  this->impl->limits = limits;
}

void Http1Server::CloseAfterAnswers() {
  this->impl->close_after_answers = true;
}

void Http1Server::RefusePartialRequests() {
  for (Connection* connection : this->impl->connections) {
    if (connection->WorkMember() == &Http1ServerWork::receiving) {
      connection->RefusePartialRequest();
    }
  }
}

void Http1Server::CloseIdle() {
  const std::vector<Connection*> all(this->impl->connections.begin(),
                                     this->impl->connections.end());
  for (Connection* connection : all) {
    if (connection->WorkMember() == &Http1ServerWork::idle) {
      connection->Close();
    }
  }
}

void Http1Server::StopListening() {
  if (this->impl->listener != nullptr) {
    this->impl->listener->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(this->impl->listener),
             [](uv_handle_t* handle) {
               delete reinterpret_cast<uv_tcp_t*>(handle);
             });
    this->impl->listener = nullptr;
  }
}

}  // namespace celerypost
