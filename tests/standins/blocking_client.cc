#include "tests/standins/blocking_client.h"

#include <optional>
#include <utility>

namespace celerypost::standins {

Result<HttpResponse> Call(Loop& loop,
                          uint16_t port,
                          HttpRequest request,
                          std::chrono::milliseconds limit) {
  HttpClientOptions options;
  options.max_idle_connections = 0;
  HttpClient client(loop, {"127.0.0.1", port}, options);
  std::optional<Result<HttpResponse>> answer;
  const auto call = client.Fetch(
      std::move(request), 64u << 20,
      [&answer](Result<HttpResponse> result) { answer = std::move(result); });
  const TimePoint end = Clock::now() + limit;
  while (!answer && Clock::now() < end) {
    loop.RunFor(std::chrono::milliseconds(10));
  }
  return answer ? *answer
                : Result<HttpResponse>(
                      NotRun(ErrorCode::kDeadlineExceeded, "no answer"));
}

Result<HttpResponse> Post(Loop& loop,
                          uint16_t port,
                          const std::string& path,
                          const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  return Call(loop, port, std::move(request));
}

}  // namespace celerypost::standins
