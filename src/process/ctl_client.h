#ifndef SRC_PROCESS_CTL_CLIENT_H_
#define SRC_PROCESS_CTL_CLIENT_H_

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"
#include "src/connection/http_client.h"
#include "src/connection/loop.h"
#include "src/process/request_signature.h"

namespace celerypost {

// Calls the operators' API of one entry.
class OperatorClient {
 public:
  virtual ~OperatorClient() = default;

  // Sends one signed request and waits for the whole answer. The verdict of a
  // failure says whether the entry may have acted on the request.
  virtual Result<HttpResponse> Call(std::string_view method,
                                    std::string_view path,
                                    std::string_view body) = 0;
};

struct HttpOperatorClientOptions {
  // Longest wait for a whole answer.
  std::chrono::milliseconds timeout{15000};
  // Longer answers are a failure.
  size_t max_body_bytes = 64u << 20;
};

class HttpOperatorClient : public OperatorClient {
 public:
  // `clock` gives the time in signatures.
  HttpOperatorClient(Loop& loop,
                     SocketAddress entry,
                     SharedKey key,
                     HttpOperatorClientOptions options,
                     std::function<WallTime()> clock);

  // Runs the loop until the answer or the timeout, whose verdict is
  // kMayHaveRun.
  Result<HttpResponse> Call(std::string_view method,
                            std::string_view path,
                            std::string_view body) override;

 private:
  Loop& loop;
  SocketAddress entry;
  SharedKey key;
  HttpOperatorClientOptions options;
  std::function<WallTime()> clock;
  HttpClient client;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_CLIENT_H_
