#include "src/connection/http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
}

#include <cstring>
#include <utility>
#include <vector>

#include "src/connection/receipt_watch.h"

namespace celerypost {

namespace {

// Of the statuses that end an exchange in HTTP.
constexpr int kMinFinalStatus = 200;
constexpr int kMaxFinalStatus = 599;

// State of one request. h2o's callbacks get it as `data`. Owned by the caller's
// HttpCall; if a callback destroys the call, it lives until ExchangeUse deletes
// it.
struct Exchange {
  Exchange(Loop& loop, std::chrono::milliseconds io_timeout)
      : loop(loop), io_timeout(io_timeout) {}
  ~Exchange() {
    this->receipt.reset();
    if (this->kept_descriptor >= 0) {
      close(this->kept_descriptor);
    }
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  Loop& loop;
  const std::chrono::milliseconds io_timeout;
  HttpResponseCallbacks callbacks;
  std::string head;
  std::string body;
  h2o_iovec_t buffers[2];
  h2o_http1client_t* client = nullptr;
  bool connected = false;
  bool done = false;
  bool method_is_head = false;
  // How the end of the body is marked; without either, by the end of the
  // connection.
  bool chunked = false;
  bool has_length = false;
  size_t body_bytes = 0;
  // MayPrecedeReceipt() of a response without either.
  bool early = false;
  // The connection of an early response that has ended, which h2o closes.
  int kept_descriptor = -1;
  std::unique_ptr<ReceiptWatch> receipt;
  // Number of functions on the call stack that use this object.
  int use_count = 0;
  bool call_destroyed = false;
};

// Deletes the exchange at the end of the outermost scope that uses it, if a
// callback destroyed its call meanwhile.
class ExchangeUse {
 public:
  explicit ExchangeUse(Exchange* exchange) : exchange(exchange) {
    ++this->exchange->use_count;
  }
  ~ExchangeUse() {
    if (--this->exchange->use_count == 0 && this->exchange->call_destroyed) {
      delete this->exchange;
    }
  }
  ExchangeUse(const ExchangeUse&) = delete;
  ExchangeUse& operator=(const ExchangeUse&) = delete;

 private:
  Exchange* exchange;
};

void FailExchange(Exchange* exchange,
                  const char* error,
                  ErrorCode code = ErrorCode::kUnavailable) {
  exchange->done = true;
  exchange->client = nullptr;
  const auto verdict =
      exchange->connected ? Verdict::kMayHaveRun : Verdict::kNotRun;
  if (exchange->callbacks.on_failure) {
    exchange->callbacks.on_failure(Failure{verdict, code, error});
  }
}

void EndExchange(Exchange* exchange) {
  exchange->done = true;
  exchange->client = nullptr;
  if (exchange->callbacks.on_end) {
    exchange->callbacks.on_end();
  }
}

// h2o also reports the end of a body when the connection ends between two
// chunks, and when it is reset within a body without a length. Returns whether
// the body may have been cut off that way.
bool WasCutOff(const Exchange& exchange, h2o_http1client_t* client) {
  if (exchange.chunked) {
    // The last chunk ends the body while it is read; no bytes were read when
    // the end of the connection is reported.
    return client->sock->bytes_read == 0;
  }
  if (exchange.has_length) {
    return false;
  }
  if (exchange.body_bytes == 0) {
    // Without a body, the connection may as well have ended after the head.
    return true;
  }
  tcp_info info{};
  socklen_t length = sizeof(info);
  return getsockopt(h2o_socket_get_fd(client->sock), IPPROTO_TCP, TCP_INFO,
                    &info, &length) != 0 ||
         info.tcpi_state != TCP_CLOSE_WAIT;
}

// The response has ended. It is whole if the server also takes the rest of the
// request: one that closes the connection instead may have been cut off.
void AwaitReceipt(Exchange* exchange, int descriptor) {
  exchange->client = nullptr;
  exchange->kept_descriptor = dup(descriptor);
  if (exchange->kept_descriptor < 0) {
    FailExchange(exchange, "no descriptor to watch the connection with");
    return;
  }
  exchange->receipt = std::make_unique<ReceiptWatch>(
      exchange->loop, exchange->kept_descriptor, ReceiptWatchOptions{},
      exchange->loop.Now() + exchange->io_timeout, [exchange](bool received) {
        const ExchangeUse use(exchange);
        if (received) {
          EndExchange(exchange);
        } else {
          FailExchange(exchange, kNotReceived);
        }
      });
}

int OnBody(h2o_http1client_t* client, const char* error) {
  auto* exchange = static_cast<Exchange*>(client->data);
  const ExchangeUse use(exchange);
  if (error != nullptr && error != h2o_http1client_error_is_eos) {
    FailExchange(exchange, error);
    return -1;
  }
  h2o_buffer_t* input = client->sock->input;
  if (input->size > 0) {
    const std::string bytes(input->bytes, input->size);
    exchange->body_bytes += bytes.size();
    h2o_buffer_consume(&client->sock->input, input->size);
    if (exchange->callbacks.on_body) {
      exchange->callbacks.on_body(bytes);
    }
  }
  if (exchange->call_destroyed) {
    // A callback cancelled the call. Returning an error closes the connection,
    // unless the response was complete anyway.
    exchange->client = nullptr;
    return error == nullptr ? -1 : 0;
  }
  if (error == h2o_http1client_error_is_eos) {
    if (WasCutOff(*exchange, client)) {
      FailExchange(exchange, "the connection ended within the body");
      return -1;
    }
    if (exchange->early) {
      AwaitReceipt(exchange, h2o_socket_get_fd(client->sock));
    } else {
      EndExchange(exchange);
    }
  }
  return 0;
}

h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                               const char* error,
                               int /*minor_version*/,
                               int status,
                               h2o_iovec_t /*message*/,
                               h2o_header_t* headers,
                               size_t header_count,
                               int /*header_length*/) {
  auto* exchange = static_cast<Exchange*>(client->data);
  const ExchangeUse use(exchange);
  if (error != nullptr && error != h2o_http1client_error_is_eos) {
    FailExchange(exchange, error);
    return nullptr;
  }
  // h2o takes interim responses itself.
  if (status < kMinFinalStatus || status > kMaxFinalStatus) {
    FailExchange(exchange, "the response's status is not one of HTTP",
                 ErrorCode::kCorrupt);
    return nullptr;
  }
  HttpResponseHead head;
  head.status = status;
  for (size_t i = 0; i < header_count; ++i) {
    const std::string_view raw(headers[i].name->base, headers[i].name->len);
    // h2o reports a line that begins with a blank as a header without a name.
    if (!IsToken(raw)) {
      FailExchange(exchange,
                   "the name of a header of the response is not a token",
                   ErrorCode::kCorrupt);
      return nullptr;
    }
    std::string name;
    AppendLowerCase(name, raw);
    head.headers.emplace_back(
        std::move(name),
        std::string(headers[i].value.base, headers[i].value.len));
  }
  exchange->chunked =
      FindHeader(head.headers, "transfer-encoding") == "chunked";
  exchange->has_length =
      !exchange->chunked && !FindHeader(head.headers, "content-length").empty();
  exchange->early =
      !exchange->chunked && !exchange->has_length &&
      MayPrecedeReceipt(h2o_socket_get_fd(client->sock), exchange->body.size());
  if (exchange->callbacks.accepts && !exchange->callbacks.accepts(head)) {
    FailExchange(exchange, "the response belongs to another request",
                 ErrorCode::kCorrupt);
    return nullptr;
  }
  if (exchange->callbacks.on_head) {
    exchange->callbacks.on_head(head);
  }
  if (exchange->call_destroyed) {
    exchange->client = nullptr;
    return nullptr;
  }
  if (error == h2o_http1client_error_is_eos) {
    EndExchange(exchange);
    return nullptr;
  }
  return OnBody;
}

h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                  const char* error,
                                  h2o_iovec_t** buffers,
                                  size_t* buffer_count,
                                  int* method_is_head) {
  auto* exchange = static_cast<Exchange*>(client->data);
  const ExchangeUse use(exchange);
  if (error != nullptr) {
    FailExchange(exchange, error);
    return nullptr;
  }
  exchange->connected = true;
  exchange->buffers[0] =
      h2o_iovec_init(exchange->head.data(), exchange->head.size());
  exchange->buffers[1] =
      h2o_iovec_init(exchange->body.data(), exchange->body.size());
  *buffers = exchange->buffers;
  *buffer_count = exchange->body.empty() ? 1 : 2;
  *method_is_head = exchange->method_is_head ? 1 : 0;
  return OnHead;
}

class H2oCall : public HttpCall {
 public:
  explicit H2oCall(Exchange* exchange) : exchange(exchange) {}

  ~H2oCall() override {
    if (this->exchange->use_count > 0) {
      // A callback destroys its own call; the callback must not be freed while
      // it runs.
      this->exchange->call_destroyed = true;
      return;
    }
    this->exchange->callbacks = {};
    if (!this->exchange->done && this->exchange->client != nullptr) {
      h2o_http1client_cancel(this->exchange->client);
    }
    delete this->exchange;
  }

  H2oCall(const H2oCall&) = delete;
  H2oCall& operator=(const H2oCall&) = delete;

 private:
  Exchange* exchange;
};

std::string SerializeHead(const HttpRequest& request,
                          const SocketAddress& server) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
  head += "host: " + server.ToString() + "\r\n";
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  head += "\r\n";
  return head;
}

}  // namespace

struct HttpClient::Impl {
  Impl(Loop& loop, SocketAddress server, HttpClientOptions options)
      : loop(loop), server(std::move(server)), options(options) {
    h2o_timeout_init(loop.uv(), &this->io_timeout,
                     static_cast<uint64_t>(options.io_timeout.count()));
    this->queue = h2o_multithread_create_queue(loop.uv());
    h2o_multithread_register_receiver(this->queue, &this->receiver,
                                      h2o_hostinfo_getaddr_receiver);
    this->context.loop = loop.uv();
    this->context.getaddr_receiver = &this->receiver;
    this->context.io_timeout = &this->io_timeout;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->server.port);
    inet_pton(AF_INET, this->server.ip.c_str(), &address.sin_addr);
    h2o_socketpool_init_by_address(
        &this->pool, reinterpret_cast<sockaddr*>(&address), sizeof(address), 0,
        options.max_idle_connections);
    h2o_socketpool_set_timeout(&this->pool, loop.uv(), kIdleTimeoutMs);
  }

  // Shorter than h2o's own server-side limit of 10 s, so that a request is not
  // sent on a connection that the server is about to close.
  static constexpr uint64_t kIdleTimeoutMs = 4000;

  Loop& loop;
  SocketAddress server;
  HttpClientOptions options;
  h2o_timeout_t io_timeout{};
  h2o_multithread_queue_t* queue = nullptr;
  h2o_multithread_receiver_t receiver{};
  h2o_http1client_ctx_t context{};
  h2o_socketpool_t pool{};
};

HttpClient::HttpClient(Loop& loop,
                       SocketAddress server,
                       HttpClientOptions options)
    : impl(std::make_unique<Impl>(loop, std::move(server), options)) {}

HttpClient::~HttpClient() {
  // h2o's timers and pooled connections refer to this object until the process
  // ends, so it is never freed. In the daemons, clients live as long as the
  // process anyway.
  static std::vector<std::unique_ptr<Impl>>& retired =
      *new std::vector<std::unique_ptr<Impl>>();
  retired.push_back(std::move(this->impl));
}

std::unique_ptr<HttpCall> HttpClient::Send(HttpRequest request,
                                           HttpResponseCallbacks callbacks) {
  auto* exchange =
      new Exchange(this->impl->loop, this->impl->options.io_timeout);
  exchange->callbacks = std::move(callbacks);
  exchange->head = SerializeHead(request, this->impl->server);
  exchange->method_is_head = request.method == "HEAD";
  exchange->body = std::move(request.body);
  auto call = std::make_unique<H2oCall>(exchange);
  const ExchangeUse use(exchange);
  h2o_http1client_connect_with_pool(&exchange->client, exchange,
                                    &this->impl->context, &this->impl->pool,
                                    OnConnect);
  return call;
}

std::unique_ptr<HttpCall> HttpClient::Fetch(
    HttpRequest request,
    size_t max_body_bytes,
    std::function<void(Result<HttpResponse>)> done) {
  auto response = std::make_shared<HttpResponse>();
  auto too_large = std::make_shared<bool>(false);
  HttpResponseCallbacks callbacks;
  callbacks.on_head = [response](const HttpResponseHead& head) {
    response->status = head.status;
    response->headers = head.headers;
  };
  callbacks.on_body = [response, too_large,
                       max_body_bytes](std::string_view bytes) {
    if (response->body.size() + bytes.size() > max_body_bytes) {
      *too_large = true;
      return;
    }
    response->body.append(bytes);
  };
  callbacks.on_end = [response, too_large, max_body_bytes, done] {
    if (*too_large) {
      done(tl::unexpected<Failure>(
          Failure{Verdict::kRan, ErrorCode::kInvalidArgument,
                  "the response is over " + std::to_string(max_body_bytes) +
                      " bytes"}));
      return;
    }
    done(std::move(*response));
  };
  callbacks.on_failure = [done](Failure failure) {
    done(tl::unexpected<Failure>(std::move(failure)));
  };
  return this->Send(std::move(request), std::move(callbacks));
}

}  // namespace celerypost
