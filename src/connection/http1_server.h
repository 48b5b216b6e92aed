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
#include "src/connection/memory_budget.h"

namespace celerypost {

// What the open connections of a server are at. Each counts once, in the first
// member that applies.
struct Http1ServerWork {
  // A request is with the handler, or its answer has not ended.
  size_t answering = 0;
  // Bytes of an answer have not been handed to the operating system.
  size_t unsent = 0;
  // The answer is sent; the caller has not closed the connection yet.
  size_t lingering = 0;
  // A part of a request has been read.
  size_t receiving = 0;
  size_t idle = 0;
};

// HTTP/1.1 server on libuv. Unlike HttpServer it keeps reading while a request
// is being answered, so HttpResponder::OnClosed runs as soon as the caller
// disconnects, and it can drain its connections before a planned stop.
class Http1Server {
 public:
  // Binds and listens. Fails with kUnavailable when it cannot listen on the
  // address. `memory` counts the requests and answers that connections hold;
  // a body that it does not accept is refused with 503 before it is read.
  static Result<std::unique_ptr<Http1Server>> Make(Loop& loop,
                                                   const std::string& ip,
                                                   uint16_t port,
                                                   MemoryBudget& memory,
                                                   HttpHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  uint16_t port() const;
  // Number of open connections.
  size_t connections() const;
  // Number of requests whose answer has not ended.
  size_t requests() const;
  Http1ServerWork work() const;
  void SetLimits(const Http1Limits& limits);
  // From now on, an answer that starts is the last one of its connection unless
  // a part of the next request has been read. An answer whose head was sent
  // before does not close its connection.
  void CloseAfterAnswers();
  // Answers requests of which only a part has been read with 503.
  void RefusePartialRequests();
  // Closes connections that count as idle in work().
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
