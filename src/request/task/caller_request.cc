#include "src/request/task/caller_request.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <xxhash.h>

namespace celerypost {

namespace {

constexpr std::string_view kServicePrefix = "/s/";
constexpr uint32_t kMaxDeadlineMs = 3'600'000;
constexpr uint32_t kMaxAttempt = 255;
// Length of the body prefix that is hashed. Prompts of one workspace usually
// start with the same text, and engines cache their state for whole blocks of
// it.
constexpr size_t kPrefixBytes = 256;

tl::unexpected<Failure> BadHeader(std::string_view name,
                                  std::string_view value,
                                  std::string_view accepted) {
  return NotRun(ErrorCode::kInvalidArgument,
                "header " + std::string(name) + ": '" + std::string(value) +
                    "' is not accepted; expected " + std::string(accepted));
}

Result<uint32_t> ParseNumber(const HttpHeaders& headers,
                             std::string_view name,
                             uint32_t default_value,
                             uint32_t max) {
  const std::string_view text = FindHeader(headers, name);
  if (text.empty()) {
    return default_value;
  }
  uint32_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      number < 1 || number > max) {
    return BadHeader(name, text, "a whole number in 1.." + std::to_string(max));
  }
  return number;
}

Result<Priority> ParsePriority(const HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "celerypost-priority");
  if (text.empty() || text == "normal") {
    return Priority::kNormal;
  }
  if (text == "interactive") {
    return Priority::kInteractive;
  }
  if (text == "batch") {
    return Priority::kBatch;
  }
  return BadHeader("celerypost-priority", text, "interactive, normal or batch");
}

}  // namespace

Result<CallerRequest> CallerRequest::Parse(
    HttpRequest request,
    std::chrono::milliseconds default_deadline) {
  CallerRequest result;
  const std::string_view path = request.path;
  const size_t slash = path.find('/', kServicePrefix.size());
  if (!path.starts_with(kServicePrefix) || slash == std::string_view::npos ||
      slash == kServicePrefix.size()) {
    return NotRun(ErrorCode::kNotFound,
                  "path: expected /s/<service>/<path>, got '" +
                      std::string(PathWithoutQuery(path)) + "'");
  }
  result.service = ServiceName(std::string(
      path.substr(kServicePrefix.size(), slash - kServicePrefix.size())));
  result.path = std::string(path.substr(slash));
  result.method = std::move(request.method);
  result.content_type = FindHeader(request.headers, "content-type");
  result.workspace = WorkspaceName(
      std::string(FindHeader(request.headers, "celerypost-workspace")));

  const auto priority = ParsePriority(request.headers);
  if (!priority) {
    return tl::unexpected<Failure>(priority.error());
  }
  result.priority = *priority;
  const auto deadline = ParseNumber(
      request.headers, "celerypost-deadline-ms",
      static_cast<uint32_t>(default_deadline.count()), kMaxDeadlineMs);
  if (!deadline) {
    return tl::unexpected<Failure>(deadline.error());
  }
  result.deadline = std::chrono::milliseconds(*deadline);
  const auto attempt =
      ParseNumber(request.headers, "celerypost-attempt", 0, kMaxAttempt);
  if (!attempt) {
    return tl::unexpected<Failure>(attempt.error());
  }
  result.attempt = *attempt;
  const std::string_view idempotent =
      FindHeader(request.headers, "celerypost-idempotent");
  if (!idempotent.empty()) {
    if (idempotent != "true" && idempotent != "false") {
      return BadHeader("celerypost-idempotent", idempotent, "true or false");
    }
    result.idempotent = idempotent == "true";
  }
  const std::string_view id =
      FindHeader(request.headers, "celerypost-request-id");
  if (!id.empty()) {
    auto parsed = RequestId::Parse(id);
    if (!parsed) {
      return tl::unexpected<Failure>(parsed.error());
    }
    result.id = std::move(*parsed);
  }
  result.body = std::move(request.body);
  if (!result.body.empty()) {
    result.prefix_hash = XXH3_64bits(
        result.body.data(), std::min(result.body.size(), kPrefixBytes));
  }
  return result;
}

bool CallerRequest::IsIdempotent(ServiceKind kind) const {
  if (this->idempotent) {
    return *this->idempotent;
  }
  return kind == ServiceKind::kEngine || this->method == "GET" ||
         this->method == "HEAD";
}

}  // namespace celerypost
