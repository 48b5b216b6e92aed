#include "tests/standins/link.h"

#include <algorithm>
#include <stdexcept>

namespace celerypost::standins {

Link::Link(Loop& loop, Json settings) : StandIn(loop, std::move(settings)) {}

Link::~Link() {
  const auto closing = this->connections;
  for (LinkConnection* connection : closing) {
    connection->Close();
  }
  for (Forward* forward : this->forwards) {
    uv_close(reinterpret_cast<uv_handle_t*>(&forward->listener),
             [](uv_handle_t* handle) {
               delete static_cast<Forward*>(handle->data);
             });
  }
}

void Link::Handle(HttpRequest, std::shared_ptr<HttpResponder> responder) {
  responder->SendJson(404, "{}");
}

LinkEnd Link::Find(const std::string& from, const std::string& to) {
  auto& state = this->links[std::minmax(from, to)];
  if (!state) {
    state = std::make_unique<LinkState>();
  }
  return {state.get(), from > to};
}

void Link::AddForward(const Json& command) {
  const auto target = SocketAddress::Parse(command.at("to").get<std::string>());
  if (!target) {
    throw std::invalid_argument(target.error().message);
  }
  auto* forward = new Forward;
  forward->owner = this;
  forward->target = *target;
  forward->target_region = command.value("region", "");
  forward->client_region = command.value("from", "");
  uv_tcp_init(this->loop().uv(), &forward->listener);
  forward->listener.data = forward;
  this->forwards.push_back(forward);
  sockaddr_in address{};
  uv_ip4_addr("127.0.0.1", command.at("port").get<int>(), &address);
  uv_tcp_bind(&forward->listener, reinterpret_cast<const sockaddr*>(&address),
              0);
  const int status = uv_listen(
      reinterpret_cast<uv_stream_t*>(&forward->listener), 512, OnConnection);
  if (status != 0) {
    throw std::invalid_argument("cannot listen on port " +
                                command.at("port").dump() + ": " +
                                uv_strerror(status));
  }
}

void Link::OnConnection(uv_stream_t* listener, int status) {
  if (status != 0) {
    return;
  }
  auto* forward = static_cast<Forward*>(listener->data);
  Link* self = forward->owner;
  const LinkEnd link =
      forward->client_region.empty()
          ? LinkEnd{}
          : self->Find(forward->client_region, forward->target_region);
  LinkConnection* connection = LinkConnection::Accept(
      self->loop(), listener, forward->target, link,
      [self, forward](const std::string& region) {
        return self->Find(region, forward->target_region);
      },
      [self](LinkConnection* ended) { self->connections.erase(ended); });
  if (connection != nullptr) {
    self->connections.insert(connection);
  }
}

void Link::SetPair(const Json& command) {
  const Json& pair = command.at("pair");
  LinkState* state =
      this->Find(pair.at(0).get<std::string>(), pair.at(1).get<std::string>())
          .state;
  state->latency = std::chrono::microseconds(
      command.value("latency_us", int64_t{state->latency.count()}));
  state->mbit = command.value("mbit", state->mbit);
  state->cut = command.value("cut", state->cut);
  state->stalled = command.value("stalled", state->stalled);
  const auto existing = this->connections;
  for (LinkConnection* connection : existing) {
    if (connection->link() == state && state->cut) {
      connection->Close();
    } else if (connection->link() == state && !state->stalled) {
      connection->Resume();
    }
  }
}

Json Link::Control(const Json& command) {
  if (command.contains("forward")) {
    this->AddForward(command["forward"]);
  }
  if (command.contains("pair")) {
    this->SetPair(command);
  }
  return Json::object();
}

Json Link::Figures() const {
  Json figures = {{"connections", this->connections.size()}};
  for (const auto& [regions, state] : this->links) {
    figures["bytes_" + regions.first + "_" + regions.second] =
        state->bytes[0] + state->bytes[1];
  }
  return figures;
}

}  // namespace celerypost::standins
