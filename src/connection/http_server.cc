#include "src/connection/http_server.h"

#include <arpa/inet.h>
#include <uv.h>

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
}

#include <cctype>
#include <cstring>
#include <utility>
#include <vector>

namespace celerypost {

namespace {

constexpr int kListenBacklog = 1024;

class H2oResponder;

// Lives in the request's memory pool. h2o disposes of it when the request ends,
// which detaches the responder that others may still hold.
struct ResponseGenerator {
  h2o_generator_t super;
  std::shared_ptr<H2oResponder>* responder;
};

struct RequestHandler {
  h2o_handler_t super;
  HttpHandler* handler;
  size_t* requests;
  size_t max_unsent_bytes;
};

std::string ToString(const h2o_iovec_t& bytes) {
  return std::string(bytes.base, bytes.len);
}

std::string ToLower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

// h2o allows one send at a time; bytes written meanwhile wait in `waiting`.
class H2oResponder : public HttpResponder {
 public:
  // `requests` counts the requests that h2o has not disposed of.
  H2oResponder(h2o_req_t* request, size_t& requests, size_t max_unsent_bytes)
      : request(request),
        requests(requests),
        max_unsent_bytes(max_unsent_bytes) {
    ++this->requests;
  }

  void Start(int status, const HttpHeaders& headers) override {
    if (this->closed() || this->started) {
      return;
    }
    this->started = true;
    this->request->res.status = status;
    this->request->res.reason = status < 400 ? "OK" : "Error";
    for (const auto& [name, value] : headers) {
      this->AddHeader(name, value);
    }
    h2o_start_response(this->request, &this->generator->super);
  }

  void Write(std::string_view bytes) override {
    if (this->closed() || this->ended) {
      return;
    }
    this->waiting.append(bytes);
    // What waits behind an unfinished send waits for the caller.
    if (this->sending && this->waiting.size() > this->max_unsent_bytes) {
      this->waiting = {};
      this->Abort();
      return;
    }
    this->Flush();
  }

  void End() override { this->Finish(H2O_SEND_STATE_FINAL); }

  void Abort() override {
    if (!this->started && !this->closed()) {
      this->Start(500, {});
    }
    this->Finish(H2O_SEND_STATE_ERROR);
  }

  void SetContentLength(size_t length) override {
    if (!this->closed()) {
      this->request->res.content_length = length;
    }
  }

  void CloseConnectionAfter() override {
    if (!this->closed()) {
      this->request->http1_is_persistent = 0;
    }
  }

  void OnClosed(std::function<void()> callback) override {
    this->on_closed = std::move(callback);
  }

  bool closed() const override { return this->request == nullptr; }

  void Attach(ResponseGenerator* owner) { this->generator = owner; }

  // Called when h2o has sent the bytes of the previous h2o_send.
  void OnProceed() {
    this->sending = false;
    this->Flush();
  }

  void OnDispose() {
    this->request = nullptr;
    this->generator = nullptr;
    --this->requests;
    auto callback = std::move(this->on_closed);
    this->on_closed = nullptr;
    if (callback && !this->final_sent) {
      callback();
    }
  }

 private:
  void AddHeader(const std::string& name, const std::string& value) {
    const auto copied_name =
        h2o_strdup(&this->request->pool, name.data(), name.size());
    const auto copied_value =
        h2o_strdup(&this->request->pool, value.data(), value.size());
    h2o_add_header_by_str(&this->request->pool, &this->request->res.headers,
                          copied_name.base, copied_name.len, 1, nullptr,
                          copied_value.base, copied_value.len);
  }

  void Finish(h2o_send_state_t state) {
    if (this->closed() || this->ended) {
      return;
    }
    this->ended = true;
    this->final_state = state;
    this->Flush();
  }

  void Flush() {
    if (this->closed() || !this->started || this->sending || this->final_sent) {
      return;
    }
    if (this->waiting.empty() && !this->ended) {
      return;
    }
    this->in_flight = std::move(this->waiting);
    this->waiting.clear();
    this->sending = true;
    h2o_iovec_t buffer =
        h2o_iovec_init(this->in_flight.data(), this->in_flight.size());
    const size_t count = this->in_flight.empty() ? 0 : 1;
    const auto state =
        this->ended ? this->final_state : H2O_SEND_STATE_IN_PROGRESS;
    this->final_sent = this->ended;
    h2o_send(this->request, &buffer, count, state);
  }

  h2o_req_t* request;
  size_t& requests;
  size_t max_unsent_bytes;
  ResponseGenerator* generator = nullptr;
  std::function<void()> on_closed;
  std::string waiting;
  std::string in_flight;
  bool started = false;
  bool sending = false;
  bool ended = false;
  bool final_sent = false;
  h2o_send_state_t final_state = H2O_SEND_STATE_FINAL;
};

void DisposeGenerator(void* memory) {
  auto* generator = static_cast<ResponseGenerator*>(memory);
  const auto responder = *generator->responder;
  delete generator->responder;
  generator->responder = nullptr;
  responder->OnDispose();
}

std::shared_ptr<H2oResponder> MakeResponder(h2o_req_t* request,
                                            size_t& requests,
                                            size_t max_unsent_bytes) {
  auto responder =
      std::make_shared<H2oResponder>(request, requests, max_unsent_bytes);
  auto* generator = static_cast<ResponseGenerator*>(h2o_mem_alloc_shared(
      &request->pool, sizeof(ResponseGenerator), DisposeGenerator));
  generator->super.proceed = [](h2o_generator_t* self, h2o_req_t*) {
    (*reinterpret_cast<ResponseGenerator*>(self)->responder)->OnProceed();
  };
  generator->super.stop = [](h2o_generator_t*, h2o_req_t*) {};
  generator->responder = new std::shared_ptr<H2oResponder>(responder);
  responder->Attach(generator);
  return responder;
}

int OnRequest(h2o_handler_t* self, h2o_req_t* request) {
  HttpRequest message;
  message.method = ToString(request->method);
  message.path = ToString(request->path);
  for (size_t i = 0; i < request->headers.size; ++i) {
    const h2o_header_t& header = request->headers.entries[i];
    message.headers.emplace_back(ToLower(ToString(*header.name)),
                                 ToString(header.value));
  }
  if (request->entity.base != nullptr) {
    message.body = ToString(request->entity);
  }
  const auto* const registered = reinterpret_cast<RequestHandler*>(self);
  auto responder = MakeResponder(request, *registered->requests,
                                 registered->max_unsent_bytes);
  (*registered->handler)(std::move(message), responder);
  return 0;
}

}  // namespace

void HttpResponder::Send(int status,
                         HttpHeaders headers,
                         std::string_view body) {
  if (this->closed()) {
    return;
  }
  this->SetContentLength(body.size());
  this->Start(status, headers);
  this->Write(body);
  this->End();
}

void HttpResponder::SendJson(int status, std::string_view body) {
  this->Send(status, {{"content-type", "application/json"}}, body);
}

struct HttpServer::Impl {
  Impl(Loop& loop, HttpServerOptions options, HttpHandler handler)
      : loop(loop), options(std::move(options)), handler(std::move(handler)) {}

  void Configure() {
    h2o_config_init(&this->config);
    this->config.max_request_entity_size = this->options.max_body_bytes;
    this->config.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t* host = h2o_config_register_host(
        &this->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* request_handler = reinterpret_cast<RequestHandler*>(
        h2o_create_handler(path, sizeof(RequestHandler)));
    request_handler->super.on_req = OnRequest;
    request_handler->handler = &this->handler;
    request_handler->requests = &this->requests;
    request_handler->max_unsent_bytes = this->options.max_unsent_bytes;
    h2o_context_init(&this->context, this->loop.uv(), &this->config);
    this->accept.ctx = &this->context;
    this->accept.hosts = this->config.hosts;
  }

  int Listen() {
    sockaddr_in address;
    int status = uv_ip4_addr(this->options.address.c_str(), this->options.port,
                             &address);
    if (status != 0) {
      return status;
    }
    uv_tcp_init(this->loop.uv(), &this->listener);
    this->listener.data = this;
    this->listening = true;
    status = uv_tcp_bind(&this->listener,
                         reinterpret_cast<const sockaddr*>(&address), 0);
    if (status != 0) {
      return status;
    }
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&this->listener),
                       kListenBacklog, OnConnection);
    if (status != 0) {
      return status;
    }
    int length = sizeof(address);
    uv_tcp_getsockname(&this->listener, reinterpret_cast<sockaddr*>(&address),
                       &length);
    this->bound_port = ntohs(address.sin_port);
    return 0;
  }

  static void OnConnection(uv_stream_t* listener, int status) {
    if (status != 0) {
      return;
    }
    auto* self = static_cast<Impl*>(listener->data);
    auto* connection = static_cast<uv_tcp_t*>(h2o_mem_alloc(sizeof(uv_tcp_t)));
    uv_tcp_init(listener->loop, connection);
    if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(connection)) != 0) {
      uv_close(reinterpret_cast<uv_handle_t*>(connection),
               reinterpret_cast<uv_close_cb>(free));
      return;
    }
    uv_tcp_nodelay(connection, 1);
    h2o_socket_t* socket =
        h2o_uv_socket_create(reinterpret_cast<uv_stream_t*>(connection),
                             reinterpret_cast<uv_close_cb>(free));
    h2o_accept(&self->accept, socket);
  }

  void StopListening() {
    if (this->listening) {
      this->listening = false;
      uv_close(reinterpret_cast<uv_handle_t*>(&this->listener), nullptr);
    }
  }

  Loop& loop;
  HttpServerOptions options;
  HttpHandler handler;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  uv_tcp_t listener{};
  bool listening = false;
  uint16_t bound_port = 0;
  size_t requests = 0;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Make(Loop& loop,
                                                     HttpServerOptions options,
                                                     HttpHandler handler) {
  const std::string listen_address =
      options.address + ":" + std::to_string(options.port);
  auto impl =
      std::make_unique<Impl>(loop, std::move(options), std::move(handler));
  impl->Configure();
  const int status = impl->Listen();
  // The constructor is private, so std::make_unique cannot be used.
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(impl)));
  if (status != 0) {
    return NotRun(
        ErrorCode::kUnavailable,
        "cannot listen on " + listen_address + ": " + uv_strerror(status));
  }
  return server;
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

HttpServer::~HttpServer() {
  this->impl->StopListening();
  // h2o keeps timers and open connections that refer to the context, so the
  // context lives until the process ends.
  this->impl->handler = [](HttpRequest,
                           const std::shared_ptr<HttpResponder>& responder) {
    responder->SendJson(503, R"({"error":{"code":"unavailable"}})");
  };
  static std::vector<std::unique_ptr<Impl>>& retired =
      *new std::vector<std::unique_ptr<Impl>>();
  retired.push_back(std::move(this->impl));
}

uint16_t HttpServer::port() const {
  return this->impl->bound_port;
}

size_t HttpServer::requests() const {
  return this->impl->requests;
}

void HttpServer::StopListening() {
  this->impl->StopListening();
}

}  // namespace celerypost
