#ifndef SRC_CONNECTION_HTTP_SERVER_H_
#define SRC_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"
#include "src/connection/http.h"
#include "src/connection/loop.h"

namespace celerypost {

// Sends the answer to one request. After the caller's connection has ended,
// every call is ignored, so users need not track the connection.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends the status line and headers of a streamed answer.
  virtual void Start(int status, const HttpHeaders& headers) = 0;
  // Sends a part of the body; buffers while the connection is slow
  // (unsent_bytes).
  virtual void Write(std::string_view bytes) = 0;
  // Ends the body.
  virtual void End() = 0;
  // Closes the connection without ending the body, so that the caller cannot
  // mistake an incomplete answer for a complete one.
  virtual void Abort() = 0;

  // Sends a complete answer.
  void Send(int status, HttpHeaders headers, std::string_view body);
  void SendJson(int status, std::string_view body);

  // Closes the caller's connection after this answer, so that the caller's next
  // request goes to another address. Call before Start.
  virtual void CloseConnectionAfter() = 0;

  // Announces the length of the body; without it the body is sent in chunks.
  // Call before Start.
  virtual void SetContentLength(size_t /*length*/) {}

  // Bytes of the answer that are kept because the caller has not taken them.
  virtual size_t unsent_bytes() const { return 0; }
  // Calls `callback` once when at most `bytes` of the answer are unsent; never
  // if the answer or the connection ends before. Replaces an earlier callback.
  virtual void OnDrained(size_t /*bytes*/, std::function<void()> /*callback*/) {
  }

  // Called once when the caller's connection ends before the answer does.
  virtual void OnClosed(std::function<void()> callback) = 0;
  virtual bool closed() const = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
  // IPv4 address to listen on.
  std::string address = "127.0.0.1";
  // 0 picks a free port.
  uint16_t port = 0;
  // Larger request bodies are answered with 413.
  size_t max_body_bytes = 8u << 20;
  // A streamed answer is aborted when more of its bytes than this wait for a
  // caller that takes them too slowly.
  size_t max_unsent_bytes = 4u << 20;
};

// HTTP/1.1 server on h2o. Calls the handler on the loop's thread.
class HttpServer {
 public:
  // Binds and listens. Fails with kUnavailable when it cannot listen on the
  // address.
  static Result<std::unique_ptr<HttpServer>> Make(Loop& loop,
                                                  HttpServerOptions options,
                                                  HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const;

  // Number of requests whose answer has not been sent completely.
  size_t requests() const;

  // Closes the listening socket; requests in progress are still answered.
  void StopListening();

 private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP_SERVER_H_
