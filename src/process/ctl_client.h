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

  // Sends one signed request and waits for the complete response. The verdict
  // of a failure tells whether the entry may have acted on the request.
  virtual Result<HttpResponse> Call(std::string_view method,
                                    std::string_view path,
                                    std::string_view body) = 0;
};

struct HttpOperatorClientOptions {
  // Longest wait for a complete response.
  std::chrono::milliseconds timeout{15000};
  // Longer responses fail the call.
  size_t max_body_bytes = 64u << 20;
};

class HttpOperatorClient : public OperatorClient {
 public:
  // `clock` returns the time for signatures.
  HttpOperatorClient(Loop& loop,
                     SocketAddress entry,
                     SharedKey key,
                     HttpOperatorClientOptions options,
                     std::function<WallTime()> clock);

  // Runs the loop until the response arrives or the timeout expires. A timeout
  // has verdict kMayHaveRun.
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
