#include "tests/standins/key_value_service.h"

#include <utility>

namespace celerypost::standins {

KeyValueService::KeyValueService(Loop& loop, Json settings)
    : StandIn(loop, std::move(settings)),
      store([this](const std::string& key, const Json& event) {
        this->OnEvent(key, event);
      }) {
  this->TickLeases();
}

void KeyValueService::TickLeases() {
  this->store.ExpireLeases(MonotonicMs());
  this->After(std::chrono::milliseconds(100), [this] { this->TickLeases(); });
}

const std::map<std::string, KeyValueService::Route, std::less<>>&
KeyValueService::Routes() {
  static const auto* routes = new std::map<std::string, Route, std::less<>>{
      {"/v3/kv/range", {"reads", &KeyValueService::Range}},
      {"/v3/kv/put", {"writes", &KeyValueService::Put}},
      {"/v3/kv/deleterange", {"writes", &KeyValueService::DeleteRange}},
      {"/v3/kv/txn", {"writes", &KeyValueService::Transact}},
      {"/v3/lease/grant", {"lease_grants", &KeyValueService::GrantLease}},
      {"/v3/lease/keepalive",
       {"lease_keepalives", &KeyValueService::KeepAlive}},
      {"/v3/lease/revoke", {"lease_revokes", &KeyValueService::RevokeLease}},
      {"/v3/kv/lease/revoke",
       {"lease_revokes", &KeyValueService::RevokeLease}}};
  return *routes;
}

Json KeyValueService::Range(const Json& request) {
  return this->store.Range(request);
}
Json KeyValueService::Put(const Json& request) {
  return this->store.Put(request);
}
Json KeyValueService::DeleteRange(const Json& request) {
  return this->store.DeleteRange(request);
}
Json KeyValueService::Transact(const Json& request) {
  return this->store.Transact(request);
}
Json KeyValueService::GrantLease(const Json& request) {
  return this->store.GrantLease(request, MonotonicMs());
}
Json KeyValueService::KeepAlive(const Json& request) {
  return this->store.KeepLeaseAlive(request, MonotonicMs());
}
Json KeyValueService::RevokeLease(const Json& request) {
  return this->store.RevokeLease(request);
}

void KeyValueService::Handle(HttpRequest request,
                             std::shared_ptr<HttpResponder> responder) {
  const std::string path(PathWithoutQuery(request.path));
  const Json body = Json::parse(request.body);
  if (path == "/v3/watch") {
    ++this->calls["watches"];
    this->OpenWatch(body, std::move(responder));
    return;
  }
  const auto route = Routes().find(path);
  if (request.method != "POST" || route == Routes().end()) {
    responder->SendJson(404, R"({"code": 5, "message": "Not Found"})");
    return;
  }
  ++this->calls[route->second.counter];
  const Json answer = (this->*route->second.run)(body);
  if (path == "/v3/kv/txn" && this->lose_answers > 0) {
    --this->lose_answers;
    LoseAnswer(*responder);
    return;
  }
  responder->SendJson(200, answer.dump());
}

void KeyValueService::OpenWatch(const Json& request,
                                std::shared_ptr<HttpResponder> responder) {
  const Json create = request.contains("create_request")
                          ? request["create_request"]
                          : request.at("createRequest");
  const uint64_t id = this->next_watch++;
  responder->OnClosed([this, id] { this->watches.erase(id); });
  responder->Start(200, {{"content-type", "application/json"}});
  const Json created = {{"result",
                         {{"header", this->store.Header()},
                          {"watch_id", std::to_string(id)},
                          {"created", true}}}};
  responder->Write(created.dump() + "\n");
  const char* snake = "start_revision";
  const char* camel = "startRevision";
  const Json start =
      create.value(create.contains(snake) ? snake : camel, Json("0"));
  const int64_t revision = start.is_string()
                               ? std::stoll(start.get<std::string>())
                               : start.get<int64_t>();
  if (revision > 0) {
    const Json events = this->store.History(create, revision);
    if (!events.empty()) {
      const Json message = {
          {"result", {{"header", this->store.Header()}, {"events", events}}}};
      responder->Write(message.dump() + "\n");
    }
  }
  this->watches[id] = {create, std::move(responder)};
}

void KeyValueService::OnEvent(const std::string& key, const Json& event) {
  for (const auto& [id, watch] : this->watches) {
    if (KeyValueStore::InRange(watch.range, key)) {
      const Json message = {{"result",
                             {{"header", this->store.Header()},
                              {"watch_id", std::to_string(id)},
                              {"events", Json::array({event})}}}};
      watch.responder->Write(message.dump() + "\n");
    }
  }
}

void KeyValueService::OnDown() {
  // Abort may call the OnClosed callback, which erases from the map.
  const auto closing = std::exchange(this->watches, {});
  for (const auto& [id, watch] : closing) {
    watch.responder->Abort();
  }
}

Json KeyValueService::Control(const Json& command) {
  this->lose_answers = command.value("lose_answers", this->lose_answers);
  return Json::object();
}

Json KeyValueService::Figures() const {
  Json figures = {{"reads", 0}, {"writes", 0}, {"watches", 0}};
  for (const auto& [kind, count] : this->calls) {
    figures[kind] = count;
  }
  figures["open_watches"] = this->watches.size();
  return figures;
}

}  // namespace celerypost::standins
