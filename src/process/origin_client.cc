#include "src/process/origin_client.h"

#include <charconv>
#include <utility>

namespace celerypost {
namespace {

// Index documents that are larger are refused. Suffices for 2^20 chunks, whose
// digests take 67 bytes each.
constexpr size_t kMaxIndexBytes = 72u << 20;
// Upper limit for the retry delay that the origin asks for.
constexpr std::chrono::seconds kMaxRetryAfter{3600};

class OriginTransfer : public Transfer {
 public:
  std::unique_ptr<HttpCall> call;
};

std::optional<std::chrono::milliseconds> RetryAfter(
    const HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "retry-after");
  int64_t seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size() || seconds < 0) {
    return std::nullopt;
  }
  return std::min(std::chrono::seconds(seconds), kMaxRetryAfter);
}

TransferFailure FailureOfStatus(const HttpResponse& response,
                                const std::string& path) {
  TransferFailure failure;
  failure.message =
      "origin answered " + std::to_string(response.status) + " to " + path;
  if (response.status == 429 || response.status == 503) {
    failure.code = ErrorCode::kOverloaded;
    failure.retry_after = RetryAfter(response.headers);
  } else if (response.status == 404) {
    failure.code = ErrorCode::kNotFound;
  }
  return failure;
}

}  // namespace

struct OriginClient::Impl {
  Impl(Loop& loop, SocketAddress origin, const OriginClientOptions& options)
      : http(loop, std::move(origin), {.io_timeout = options.io_timeout}) {}

  // Sends `request`. `expected_bytes`, if set, is the length in bytes of the
  // requested range, which the answer must have.
  std::unique_ptr<Transfer> Get(HttpRequest request,
                                size_t max_bytes,
                                std::optional<uint64_t> expected_bytes,
                                TransferCallback done) {
    auto transfer = std::make_unique<OriginTransfer>();
    const std::string path = request.path;
    transfer->call = this->http.Fetch(
        std::move(request), max_bytes,
        [path, expected_bytes,
         done = std::move(done)](Result<HttpResponse> answer) {
          if (!answer) {
            done(tl::unexpected(TransferFailure{
                ErrorCode::kUnavailable, "origin: " + answer.error().message,
                std::nullopt}));
            return;
          }
          const int expected_status = expected_bytes ? 206 : 200;
          if (answer->status != expected_status) {
            done(tl::unexpected(FailureOfStatus(*answer, path)));
            return;
          }
          if (expected_bytes && answer->body.size() != *expected_bytes) {
            done(tl::unexpected(TransferFailure{
                ErrorCode::kCorrupt,
                "origin sent " + std::to_string(answer->body.size()) +
                    " bytes of " + path +
                    "; requested: " + std::to_string(*expected_bytes),
                std::nullopt}));
            return;
          }
          done(std::move(answer->body));
        });
    return transfer;
  }

  HttpClient http;
};

OriginClient::OriginClient(Loop& loop,
                           SocketAddress origin,
                           OriginClientOptions options)
    : impl(std::make_unique<Impl>(loop, std::move(origin), options)) {}

OriginClient::~OriginClient() = default;

std::unique_ptr<Transfer> OriginClient::RequestRange(const Digest& artefact,
                                                     uint64_t offset,
                                                     uint64_t length,
                                                     TransferCallback done) {
  HttpRequest request;
  request.path = "/artefacts/" + artefact.ToHex();
  request.headers.emplace_back("range",
                               "bytes=" + std::to_string(offset) + "-" +
                                   std::to_string(offset + length - 1));
  return this->impl->Get(std::move(request), length, length, std::move(done));
}

std::unique_ptr<Transfer> OriginClient::RequestIndex(const Digest& index,
                                                     TransferCallback done) {
  HttpRequest request;
  request.path = "/objects/" + index.ToHex();
  return this->impl->Get(std::move(request), kMaxIndexBytes, std::nullopt,
                         std::move(done));
}

}  // namespace celerypost
