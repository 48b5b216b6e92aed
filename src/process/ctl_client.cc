#include "src/process/ctl_client.h"

#include <memory>
#include <optional>
#include <utility>

namespace celerypost {

HttpOperatorClient::HttpOperatorClient(Loop& loop,
                                       SocketAddress entry,
                                       SharedKey key,
                                       HttpOperatorClientOptions options,
                                       std::function<WallTime()> clock)
    : loop(loop),
      entry(std::move(entry)),
      key(std::move(key)),
      options(options),
      clock(std::move(clock)),
      client(loop, this->entry, HttpClientOptions{options.timeout, 1}) {}

Result<HttpResponse> HttpOperatorClient::Call(std::string_view method,
                                              std::string_view path,
                                              std::string_view body) {
  HttpRequest request{
      std::string(method), std::string(path), {}, std::string(body)};
  request.headers.emplace_back(
      "authorization",
      SignRequest(this->key, method, path, this->clock(), body));
  if (!body.empty()) {
    request.headers.emplace_back("content-type", "application/json");
  }
  std::optional<Result<HttpResponse>> answer;
  const std::unique_ptr<HttpCall> call =
      this->client.Fetch(std::move(request), this->options.max_body_bytes,
                         [&answer](Result<HttpResponse> response) {
                           answer = std::move(response);
                         });
  const TimePoint deadline = this->loop.Now() + this->options.timeout;
  while (!answer && this->loop.Now() < deadline) {
    this->loop.RunFor(std::chrono::ceil<std::chrono::milliseconds>(
        deadline - this->loop.Now()));
  }
  if (!answer) {
    return tl::unexpected<Failure>(
        Failure{Verdict::kMayHaveRun, ErrorCode::kDeadlineExceeded,
                "no answer within " +
                    std::to_string(this->options.timeout.count()) + " ms"});
  }
  return std::move(*answer);
}

}  // namespace celerypost
