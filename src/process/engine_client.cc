#include "src/process/engine_client.h"

#include <utility>

#include "src/version/json_fields.h"

namespace celerypost {
namespace {

using nlohmann::json;

constexpr size_t kMaxHealthBytes = 1u << 20;
constexpr size_t kMaxErrorBytes = 64u << 10;

// The verdict of a refused order is kNotRun: the engine has answered that it
// did not carry it out.
Failure FailureOfStatus(const HttpResponse& response,
                        const std::string& request_line) {
  Failure failure;
  failure.verdict = Verdict::kNotRun;
  switch (response.status) {
    case 400:
    case 422:
      failure.code = ErrorCode::kInvalidArgument;
      break;
    case 404:
      failure.code = ErrorCode::kNotFound;
      break;
    case 409:
      failure.code = ErrorCode::kConflict;
      break;
    case 429:
    case 503:
      failure.code = ErrorCode::kOverloaded;
      break;
    default:
      failure.code = ErrorCode::kUnavailable;
  }
  failure.message = "engine answered " + std::to_string(response.status) +
                    " to " + request_line + ": " + response.body.substr(0, 200);
  return failure;
}

Result<HttpResponse> CheckStatus(Result<HttpResponse> answer,
                                 const std::string& request_line) {
  if (!answer) {
    answer.error().message = request_line + ": " + answer.error().message;
    return answer;
  }
  if (answer->status < 200 || answer->status > 299) {
    return tl::unexpected(FailureOfStatus(*answer, request_line));
  }
  return answer;
}

HttpRequest JsonRequest(std::string path, const json& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers.emplace_back("content-type", "application/json");
  request.body = body.dump();
  return request;
}

}  // namespace

struct HttpEngineClient::Impl {
  Impl(Loop& loop,
       const SocketAddress& engine,
       const HttpEngineClientOptions& options)
      : orders(loop, engine, {.io_timeout = options.order_timeout}),
        health(loop, engine, {.io_timeout = options.health_timeout}) {}

  void Fetch(HttpClient& client,
             HttpRequest request,
             size_t max_bytes,
             std::function<void(Result<HttpResponse>)> done) {
    const std::string request_line = request.method + " " + request.path;
    const auto call = this->calls.emplace(this->calls.end());
    *call = client.Fetch(std::move(request), max_bytes,
                         [this, call, request_line,
                          done = std::move(done)](Result<HttpResponse> answer) {
                           // Keeps the call alive until its callback has
                           // returned.
                           const std::unique_ptr<HttpCall> ended =
                               std::move(*call);
                           this->calls.erase(call);
                           done(CheckStatus(std::move(answer), request_line));
                         });
  }

  void Order(HttpRequest request, std::function<void(Result<void>)> done) {
    this->Fetch(this->orders, std::move(request), kMaxErrorBytes,
                [done = std::move(done)](const Result<HttpResponse>& answer) {
                  if (answer) {
                    done({});
                  } else {
                    done(tl::unexpected(answer.error()));
                  }
                });
  }

  HttpClient orders;
  HttpClient health;
  std::list<std::unique_ptr<HttpCall>> calls;
};

HttpEngineClient::HttpEngineClient(Loop& loop,
                                   SocketAddress engine,
                                   HttpEngineClientOptions options)
    : impl(std::make_unique<Impl>(loop, engine, options)) {}

HttpEngineClient::~HttpEngineClient() = default;

Result<EngineHealth> HttpEngineClient::ParseHealth(std::string_view text) {
  const auto document = ParseJson(text, "engine health report");
  if (!document) {
    return tl::unexpected(document.error());
  }
  EngineHealth health;
  std::optional<Failure> error;
  JsonFields fields(*document, "", error);
  health.start_id = fields.Identifier("start_id");
  health.warm = fields.Boolean("warm");
  if (document->contains("serving") && !(*document)["serving"].is_null()) {
    JsonFields serving(fields.Object("serving"), "serving", error);
    health.serving =
        EngineServing{serving.Identifier("version"), serving.Sha256("set")};
  }
  const json& loaded = fields.Array("loaded", 0, 1000);
  for (size_t i = 0; i < loaded.size(); ++i) {
    const auto* hex = loaded[i].get_ptr<const std::string*>();
    const auto digest = hex == nullptr ? std::nullopt : Digest::FromHex(*hex);
    if (!digest) {
      fields.Fail("loaded[" + std::to_string(i) + "]", ShortJson(loaded[i]),
                  "64 hexadecimal digits");
      break;
    }
    health.loaded.push_back(*digest);
  }
  JsonFields fencing(fields.Object("fencing"), "fencing", error);
  health.highest_fencing = fencing.Integer("highest", 0, UINT64_MAX - 1);
  JsonFields load(fields.Object("load"), "load", error);
  health.in_flight =
      static_cast<uint32_t>(load.Integer("in_flight", 0, UINT32_MAX));
  health.queued = static_cast<uint32_t>(load.Integer("queued", 0, UINT32_MAX));
  if (error) {
    error->message = "engine health report: " + error->message;
    return tl::unexpected(*error);
  }
  return health;
}

void HttpEngineClient::Health(std::function<void(Result<EngineHealth>)> done) {
  HttpRequest request;
  request.path = "/health";
  this->impl->Fetch(
      this->impl->health, std::move(request), kMaxHealthBytes,
      [done = std::move(done)](const Result<HttpResponse>& answer) {
        if (answer) {
          done(ParseHealth(answer->body));
        } else {
          done(tl::unexpected(answer.error()));
        }
      });
}

void HttpEngineClient::PutObject(const Digest& digest,
                                 std::string content,
                                 std::function<void(Result<void>)> done) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/admin/objects/" + digest.ToHex();
  request.headers.emplace_back("content-type", "application/octet-stream");
  request.body = std::move(content);
  this->impl->Order(std::move(request), std::move(done));
}

void HttpEngineClient::GetObject(
    const Digest& digest,
    std::function<void(Result<std::string>)> done) {
  HttpRequest request;
  request.path = "/admin/objects/" + digest.ToHex();
  this->impl->Fetch(this->impl->orders, std::move(request), kMaxChunkBytes,
                    [done = std::move(done)](Result<HttpResponse> answer) {
                      if (answer) {
                        done(std::move(answer->body));
                      } else {
                        done(tl::unexpected(answer.error()));
                      }
                    });
}

void HttpEngineClient::DeleteObject(const Digest& digest,
                                    std::function<void(Result<void>)> done) {
  HttpRequest request;
  request.method = "DELETE";
  request.path = "/admin/objects/" + digest.ToHex();
  this->impl->Order(std::move(request), std::move(done));
}

void HttpEngineClient::Load(const EngineLoadOrder& order,
                            std::function<void(Result<void>)> done) {
  json artefacts = json::array();
  for (const EngineLoadArtefact& entry : order.artefacts) {
    json chunks = json::array();
    for (const Digest& chunk : entry.chunks) {
      chunks.push_back(chunk.ToHex());
    }
    artefacts.push_back({{"name", entry.artefact.name},
                         {"kind", ArtefactKindName(entry.artefact.kind)},
                         {"digest", entry.artefact.digest.ToHex()},
                         {"size", entry.artefact.size},
                         {"chunks", std::move(chunks)}});
  }
  const json body = {{"set", order.set.ToHex()},
                     {"version", order.version},
                     {"fencing", order.fencing},
                     {"artefacts", std::move(artefacts)}};
  this->impl->Order(JsonRequest("/admin/load", body), std::move(done));
}

void HttpEngineClient::Switch(const Digest& set,
                              uint64_t fencing,
                              std::function<void(Result<void>)> done) {
  const json body = {{"set", set.ToHex()}, {"fencing", fencing}};
  this->impl->Order(JsonRequest("/admin/switch", body), std::move(done));
}

void HttpEngineClient::Unload(const Digest& set,
                              uint64_t fencing,
                              std::function<void(Result<void>)> done) {
  const json body = {{"set", set.ToHex()}, {"fencing", fencing}};
  this->impl->Order(JsonRequest("/admin/unload", body), std::move(done));
}

}  // namespace celerypost
