#ifndef SRC_CONNECTION_HTTP_CLIENT_H_
#define SRC_CONNECTION_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"
#include "src/connection/http.h"
#include "src/connection/loop.h"
#include "src/connection/socket_address.h"

namespace celerypost {

struct HttpResponseHead {
  int status = 0;
  HttpHeaders headers;
  // Whether an earlier request was sent on the same connection, or a response
  // to another one was received on it (Http1Client only). A late copy of an
  // earlier response may then precede the one to this request.
  bool reused_connection = false;
};

// Receive one response. Either on_end or on_failure is called, once and last.
// A response without a length that came before the server had received the
// whole request ends when the server has received it; until then the server may
// still reset the connection, which fails the response.
// The verdict of a failure is kNotRun when the connection was not established,
// kMayHaveRun afterwards.
struct HttpResponseCallbacks {
  std::function<void(const HttpResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
  std::function<void(Failure)> on_failure;
  // The server has ended such a response, and on_end or on_failure follows when
  // it is known whether it received the request (Http1Client only).
  std::function<void()> on_unconfirmed_end{};
  // Returns false for a response that belongs to another request; the call then
  // fails with kCorrupt (HttpClient only; see Http1SendOptions::accepts). Every
  // response is accepted when empty.
  std::function<bool(const HttpResponseHead&)> accepts{};
};

// Destroying the call cancels it: the connection is closed and no callback
// runs afterwards.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Whether the server may have received a part of the request.
  virtual bool MayHaveBeenSent() const { return true; }
  // Stops reading the response, so that the server cannot send more than the
  // operating system buffers; what has been read is still delivered. The end of
  // the connection goes unnoticed meanwhile (Http1Client only).
  virtual void PauseReading() {}
  virtual void ResumeReading() {}
};

// A complete response.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

struct HttpClientOptions {
  // A request fails when its connection has been inactive for this long.
  std::chrono::milliseconds io_timeout{30000};
  // Most idle connections that are kept.
  size_t max_idle_connections = 256;
};

// HTTP/1.1 client of one server, on h2o. Keeps idle connections.
class HttpClient {
 public:
  HttpClient(Loop& loop, SocketAddress server, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request and streams the response.
  std::unique_ptr<HttpCall> Send(HttpRequest request,
                                 HttpResponseCallbacks callbacks);

  // Sends a request and collects the response. A body over `max_body_bytes`
  // fails with kInvalidArgument and verdict kRan. `done` is called once unless
  // the returned call is destroyed before.
  std::unique_ptr<HttpCall> Fetch(
      HttpRequest request,
      size_t max_body_bytes,
      std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP_CLIENT_H_
