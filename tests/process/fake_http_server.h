#ifndef TESTS_PROCESS_FAKE_HTTP_SERVER_H_
#define TESTS_PROCESS_FAKE_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/connection/http_client.h"
#include "src/connection/http_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {

// An HTTP server that records requests and sends the answer that a test sets.
struct FakeHttpServer {
  FakeHttpServer() {
    auto made = HttpServer::Make(
        this->loop, {},
        [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
          this->requests.push_back(std::move(request));
          responder->Send(this->status, this->headers, this->body);
        });
    CHECK_TRUE(made.has_value());
    this->server = std::move(*made);
  }
  SocketAddress address() const { return {"127.0.0.1", this->server->port()}; }
  // Runs the loop until `done` returns true; fails the test after 10 s.
  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 500 && !done(); ++i) {
      this->loop.RunFor(std::chrono::milliseconds(20));
    }
    CHECK_TRUE(done());
  }

  Loop loop;
  std::unique_ptr<HttpServer> server;
  std::vector<HttpRequest> requests;
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_FAKE_HTTP_SERVER_H_
