#ifndef SRC_CONNECTION_HTTP1_CLIENT_H_
#define SRC_CONNECTION_HTTP1_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/connection/http_client.h"
#include "src/connection/loop.h"

namespace celerypost {

struct Http1ClientOptions {
  // Longest time that establishing a connection may take.
  std::chrono::milliseconds connect_timeout{1000};
  // Longest time that an idle connection is kept. A server may shorten it with
  // its Keep-Alive header.
  std::chrono::milliseconds idle_timeout{4000};
  // Number of the latest request IDs that a connection remembers.
  size_t max_remembered_ids = 32;
};

struct Http1SendOptions {
  // Identifies the request in its response. A connection that has carried a
  // request with this ID is not used for it again: a late copy of the first
  // response would be taken for the second. No ID when empty.
  std::string id;
  // An idle connection is reused only if it has been idle for at most this
  // long.
  std::chrono::milliseconds max_idle{4000};
  // Opens a connection of its own for the request.
  bool new_connection = false;
  // Returns false for a response that belongs to another request; it is skipped
  // and the next one on the connection is read. Every response is accepted when
  // empty.
  std::function<bool(const HttpResponseHead&)> accepts;
  // Longest time until the response is complete; 0 means no limit.
  std::chrono::milliseconds timeout{0};
  // When the response is of no more use to the caller, which then destroys the
  // call; by default when `timeout` ends (see ReceiptWatch).
  std::optional<TimePoint> deadline{};
  // Largest body that is received; 0 means no limit. The head of a response is
  // limited to HTTP_MAX_HEADER_SIZE of http_parser.
  size_t max_body_bytes = 4u << 20;
  // Most responses that are read before the one to the request: informational
  // ones and those that `accepts` refuses.
  uint32_t max_skipped_responses = 8;
};

// HTTP/1.1 client of one server, on libuv. Unlike HttpClient it closes a
// connection that has bytes after a response, and drops idle connections as
// soon as the server closes them or when a request has timed out.
class Http1Client {
 public:
  Http1Client(Loop& loop, SocketAddress server, Http1ClientOptions options);
  ~Http1Client();
  Http1Client(const Http1Client&) = delete;
  Http1Client& operator=(const Http1Client&) = delete;

  // Sends a request and streams the response. Destroying the call resets its
  // connection, so that a request that is still in the send buffer does not
  // reach the server later. A failure has verdict kNotRun if no byte was sent.
  // A response that exceeds a limit of `options`, or whose head is malformed,
  // fails with kCorrupt.
  std::unique_ptr<HttpCall> Send(HttpRequest request,
                                 Http1SendOptions options,
                                 HttpResponseCallbacks callbacks);

  // Sends a request and collects the response. `done` is called once, never
  // from inside this call, unless the returned call is destroyed before.
  std::unique_ptr<HttpCall> Fetch(
      HttpRequest request,
      std::chrono::milliseconds timeout,
      std::function<void(Result<HttpResponse>)> done);

  // Number of connections that were opened since construction.
  uint64_t connections_opened() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP1_CLIENT_H_
