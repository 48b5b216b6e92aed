#ifndef SRC_CONNECTION_HTTP1_SERVER_H_
#define SRC_CONNECTION_HTTP1_SERVER_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "celerypost/verdict.h"
#include "src/connection/http1_limits.h"
#include "src/connection/http_server.h"
#include "src/connection/loop.h"

namespace celerypost {

// HTTP/1.1 server on libuv. Unlike HttpServer it keeps reading while a request
// is being answered, so HttpResponder::OnClosed runs as soon as the caller
// disconnects, and it can drain its connections before a planned stop.
class Http1Server {
 public:
  // Binds and listens. Fails with kUnavailable when it cannot listen on the
  // address.
  static Result<std::unique_ptr<Http1Server>> Make(Loop& loop,
                                                   const std::string& ip,
                                                   uint16_t port,
                                                   HttpHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  uint16_t port() const;
  // Number of open connections.
  size_t connections() const;
  // Number of requests whose answer has not ended.
  size_t requests() const;
  void SetLimits(const Http1Limits& limits);
  // From now on, an answer that starts is the last one of its connection. An
  // answer whose head was sent before does not close its connection.
  void CloseAfterAnswers();
  // Closes connections on which no request is in progress.
  void CloseIdle();
  // Closes the listening socket; connections stay open.
  void StopListening();

  struct Impl;

 private:
  explicit Http1Server(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP1_SERVER_H_
