#include "tests/standins/engine.h"

#include <algorithm>
#include <random>
#include <utility>

#include "tests/standins/encoding.h"

namespace celerypost::standins {

namespace {

constexpr std::string_view kObjects = "/admin/objects/";

std::string GenerateStartId() {
  std::random_device random;
  return Sha256Hex(std::to_string(random()) + "," + std::to_string(random()))
      .substr(0, 16);
}

std::string TokenEvent(const std::string& text) {
  const Json event = {{"choices", Json::array({Json{{"text", text}}})}};
  return "data: " + event.dump() + "\n\n";
}

}  // namespace

Engine::Engine(Loop& loop, Json settings)
    : StandIn(loop, std::move(settings)),
      start_id(GenerateStartId()),
      tick(loop, [this] { this->Tick(); }) {
  this->cold_start.Restart(MonotonicMs());
}

void Engine::Handle(HttpRequest request,
                    std::shared_ptr<HttpResponder> responder) {
  static const auto* handlers = new std::map<std::string, Handler, std::less<>>{
      {"/health", &Engine::Health},
      {"/v1/completions", &Engine::Complete},
      {"/admin/load", &Engine::Order},
      {"/admin/switch", &Engine::Order},
      {"/admin/unload", &Engine::Order}};
  const std::string_view path = PathWithoutQuery(request.path);
  if (path.starts_with(kObjects)) {
    this->Objects(request, responder);
    return;
  }
  const auto handler = handlers->find(path);
  if (handler == handlers->end()) {
    responder->SendJson(404, R"({"error": "no such path"})");
    return;
  }
  (this->*handler->second)(request, responder);
}

void Engine::Health(const HttpRequest&,
                    const std::shared_ptr<HttpResponder>& responder) {
  Json health = {
      {"start_id", this->start_id},
      {"warm", !this->cold_start.IsCold(MonotonicMs())},
      {"serving", nullptr},
      {"loaded", this->memory.Loaded()},
      {"fencing", {{"highest", this->highest_fencing}}},
      {"load", {{"in_flight", this->running.size()}, {"queued", 0}}}};
  if (const auto* set = this->memory.FindSet(this->serving)) {
    health["serving"] = {{"version", set->version}, {"set", this->serving}};
  }
  responder->SendJson(200, health.dump());
}

void Engine::Complete(const HttpRequest& request,
                      const std::shared_ptr<HttpResponder>& responder) {
  this->CountNewWork();
  ++this->requests;
  const int64_t now = MonotonicMs();
  const auto* set = this->memory.FindSet(this->serving);
  if (set == nullptr) {
    ++this->requests_without_weights;
    responder->SendJson(503, R"({"error": "no weights are loaded"})");
    return;
  }
  const Json body = Json::parse(request.body);
  RunningRequest started;
  started.responder = responder;
  started.stream = body.value("stream", false);
  started.token_prefix =
      set->held_digest.substr(0, 16) + "-" +
      Sha256Hex(body.at("prompt").get<std::string>()).substr(0, 8) + "-";
  started.version = set->version;
  started.tokens_left = body.value("max_tokens", int64_t{16});
  started.cold = this->cold_start.IsCold(now);
  started.ready_ms =
      now + this->prefill_ms * (started.cold ? this->cold_factor : 1);
  this->running.push_back(std::move(started));
  this->cold_start.OnArrival(static_cast<int64_t>(this->running.size()), now);
  responder->OnClosed([this, key = responder.get()] {
    this->cancelled +=
        static_cast<int64_t>(std::erase_if(this->running, [key](const auto& r) {
          return r.responder.get() == key;
        }));
  });
  if (!this->ticking) {
    this->ticking = true;
    this->tick.StartOnce(std::chrono::milliseconds(this->token_ms));
  }
}

void Engine::Tick() {
  // Writing may close a connection, which erases from `running`. The requests
  // are therefore moved out first and the unfinished ones put back.
  std::list<RunningRequest> batch = std::exchange(this->running, {});
  for (auto it = batch.begin(); it != batch.end();) {
    it = it->responder->closed() || this->Advance(*it) ? batch.erase(it)
                                                       : std::next(it);
  }
  this->running.splice(this->running.begin(), batch);
  this->ticking = !this->running.empty();
  if (this->ticking) {
    this->tick.StartOnce(std::chrono::milliseconds(this->token_ms));
  }
}

bool Engine::Advance(RunningRequest& request) {
  const int64_t now = MonotonicMs();
  if (now < request.ready_ms) {
    return false;
  }
  const HttpHeaders headers = {{"x-start-id", this->start_id},
                               {"x-weights-version", request.version}};
  if (request.index == 0 && request.cold) {
    this->cold_start.OnSlowAnswer(now);
  }
  if (request.index == 0 && request.stream) {
    HttpHeaders stream_headers = headers;
    stream_headers.emplace_back("content-type", "text/event-stream");
    request.responder->Start(200, stream_headers);
  }
  const std::string token =
      request.token_prefix + std::to_string(request.index++) + " ";
  if (request.stream) {
    request.responder->Write(TokenEvent(token));
  } else {
    request.text += token;
  }
  if (request.index < request.tokens_left) {
    return false;
  }
  ++this->completed;
  if (request.stream) {
    request.responder->Write("data: [DONE]\n\n");
    request.responder->End();
  } else {
    HttpHeaders json_headers = headers;
    json_headers.emplace_back("content-type", "application/json");
    const Json answer = {
        {"choices", Json::array({Json{{"text", request.text}}})}};
    request.responder->Send(200, json_headers, answer.dump());
  }
  return true;
}

void Engine::Objects(const HttpRequest& request,
                     const std::shared_ptr<HttpResponder>& responder) {
  const std::string digest(
      PathWithoutQuery(request.path).substr(kObjects.size()));
  if (request.method == "PUT") {
    const std::string refusal = this->memory.PutChunk(digest, request.body);
    this->refused_chunks += refusal.empty() ? 0 : 1;
    responder->SendJson(refusal.empty() ? 200 : 400,
                        Json{{"error", refusal}}.dump());
  } else if (request.method == "DELETE") {
    this->memory.DropChunk(digest);
    responder->SendJson(200, "{}");
  } else if (const auto* bytes = this->memory.FindChunk(digest)) {
    responder->Send(200, {{"content-type", "application/octet-stream"}},
                    *bytes);
  } else {
    responder->SendJson(404, R"({"error": "no such object"})");
  }
}

void Engine::Order(const HttpRequest& request,
                   const std::shared_ptr<HttpResponder>& responder) {
  const Json order = Json::parse(request.body);
  const int64_t fencing = order.value("fencing", int64_t{0});
  if (this->check_fencing && fencing < this->highest_fencing) {
    ++this->refused_orders;
    responder->SendJson(409, Json{{"error", "old fencing number"},
                                  {"highest", this->highest_fencing}}
                                 .dump());
    return;
  }
  this->highest_fencing = std::max(this->highest_fencing, fencing);
  const std::string path(PathWithoutQuery(request.path));
  const std::string refusal =
      this->RunOrder(path.substr(path.rfind('/') + 1), order);
  this->refused_orders += refusal.empty() ? 0 : 1;
  responder->SendJson(refusal.empty() ? 200 : 400,
                      Json{{"error", refusal}}.dump());
}

std::string Engine::RunOrder(const std::string& kind, const Json& order) {
  if (kind == "load") {
    return this->memory.Load(order);
  }
  const std::string set = order.at("set").get<std::string>();
  if (kind == "unload") {
    this->memory.Unload(set);
    return "";
  }
  const auto* loaded = this->memory.FindSet(set);
  if (loaded == nullptr) {
    return "set " + set + " is not loaded";
  }
  if (set != this->serving) {
    this->serving = set;
    this->cold_start.Restart(MonotonicMs());
    this->switches.push_back({{"version", loaded->version},
                              {"set", set},
                              {"held", loaded->held_digest},
                              {"at_ms", MonotonicMs()}});
  }
  return "";
}

void Engine::Restart() {
  ++this->starts;
  this->start_id = GenerateStartId();
  this->serving.clear();
  this->memory.Clear();
  this->highest_fencing = 0;
  this->cold_start.Restart(MonotonicMs());
  this->ReopenDataPort();
}

void Engine::OnDown() {
  const auto ending = std::exchange(this->running, {});
  for (const RunningRequest& request : ending) {
    request.responder->Abort();
  }
}

Json Engine::Control(const Json& command) {
  this->cold_start.Configure(command);
  this->token_ms = command.value("token_ms", this->token_ms);
  this->prefill_ms = command.value("prefill_ms", this->prefill_ms);
  this->cold_factor = command.value("cold_factor", this->cold_factor);
  this->check_fencing = command.value("fencing", this->check_fencing);
  this->memory.verify = command.value("verify", this->memory.verify);
  if (command.value("turn_cold", false)) {
    this->cold_start.TurnColdSilently(MonotonicMs());
  }
  if (command.value("restart", false)) {
    this->Restart();
  }
  return Json::object();
}

Json Engine::Figures() const {
  Json figures = {{"start_id", this->start_id},
                  {"starts", this->starts},
                  {"requests", this->requests},
                  {"requests_without_weights", this->requests_without_weights},
                  {"completed", this->completed},
                  {"cancelled", this->cancelled},
                  {"in_flight", this->running.size()},
                  {"refused_orders", this->refused_orders},
                  {"refused_chunks", this->refused_chunks},
                  {"bytes_held", this->memory.BytesHeld()},
                  {"serving_version", ""},
                  {"serving_held", ""},
                  {"switches", this->switches}};
  if (const auto* set = this->memory.FindSet(this->serving)) {
    figures["serving_version"] = set->version;
    figures["serving_held"] = set->held_digest;
  }
  this->cold_start.AddFigures(figures, MonotonicMs());
  return figures;
}

}  // namespace celerypost::standins
