#include "src/process/process_http.h"

#include <memory>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void SendError(HttpResponder& responder,
               int status,
               std::string_view code,
               std::string_view message) {
  const Json body = {
      {"error",
       {{"code", code}, {"message", message}, {"verdict", "not-run"}}}};
  responder.SendJson(status, Dump(body));
}

void SendHealth(HttpResponder& responder, const Health& health) {
  Json body = {{"status", health.ready ? "ready" : "not_ready"}};
  if (!health.ready) {
    body["reason"] = health.reason;
  }
  body["config_number"] = health.config_number;
  responder.SendJson(health.ready ? kOk : kUnavailable, Dump(body));
}

}  // namespace

HttpHandler MakeProcessHandler(const Metrics& metrics,
                               std::function<Health()> health,
                               HttpHandler next) {
  return [&metrics, health = std::move(health), next = std::move(next)](
             HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    const std::string_view path = PathWithoutQuery(request.path);
    const bool is_metrics = path == "/metrics";
    if (!is_metrics && path != "/healthz") {
      if (next) {
        next(std::move(request), std::move(responder));
      } else {
        SendError(*responder, kNotFound, "not_found", "unknown path");
      }
      return;
    }
    if (request.method != "GET" && request.method != "HEAD") {
      SendError(*responder, kMethodNotAllowed, "invalid_argument",
                "method must be GET or HEAD");
      return;
    }
    if (is_metrics) {
      responder->Send(
          kOk, {{"content-type", "text/plain; version=0.0.4; charset=utf-8"}},
          metrics.Expose());
    } else {
      SendHealth(*responder, health());
    }
  };
}

}  // namespace celerypost
