#include "tests/standins/stand_in.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <uv.h>

#include <exception>
#include <utility>

namespace celerypost::standins {

namespace {

// HttpServer does not close open connections when it stops, but the end of a
// process does, so they are shut down here.
void ShutDownConnections(uv_handle_t* handle, void* local_port) {
  uv_os_fd_t fd = -1;
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (handle->type == UV_TCP && uv_fileno(handle, &fd) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
      ntohs(address.sin_port) == *static_cast<uint16_t*>(local_port)) {
    shutdown(fd, SHUT_RDWR);
  }
}

}  // namespace

int64_t MonotonicMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

StandIn::StandIn(Loop& loop, Json settings)
    : event_loop(loop),
      settings(std::move(settings)),
      own_name(this->settings.value("name", "")),
      data_port(this->settings.value("port", uint16_t{0})) {}

StandIn::~StandIn() = default;

uint16_t StandIn::control_port() const {
  return this->control_server ? this->control_server->port() : 0;
}

Result<void> StandIn::Open() {
  HttpServerOptions options;
  options.port = this->settings.value("control_port", uint16_t{0});
  auto server =
      HttpServer::Make(this->event_loop, options,
                       [this](const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
                         this->OnControl(request, *responder);
                       });
  if (!server) {
    return tl::unexpected(server.error());
  }
  this->control_server = std::move(*server);
  if (auto opened = this->OpenDataPort(); !opened) {
    return opened;
  }
  this->Apply(this->settings);
  return {};
}

Result<void> StandIn::OpenDataPort() {
  HttpServerOptions options;
  options.port = this->data_port;
  options.max_body_bytes = 64u << 20;
  auto server = HttpServer::Make(
      this->event_loop, options,
      [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        this->Receive(std::move(request), std::move(responder));
      });
  if (!server) {
    return tl::unexpected(server.error());
  }
  this->data_server = std::move(*server);
  this->data_port = this->data_server->port();
  return {};
}

void StandIn::CloseDataPort() {
  this->OnDown();
  for (const auto& weak : this->open_responders) {
    if (const auto responder = weak.lock()) {
      responder->Abort();
    }
  }
  this->open_responders.clear();
  this->hung_responders.clear();
  this->data_server.reset();
  uv_walk(this->event_loop.uv(), ShutDownConnections, &this->data_port);
}

void StandIn::ReopenDataPort() {
  this->CloseDataPort();
  if (!this->OpenDataPort()) {
    // The old socket may still be closing in this iteration of the loop.
    this->After(std::chrono::milliseconds(5),
                [this] { this->ReopenDataPort(); });
  }
}

Json StandIn::Apply(const Json& command) {
  this->slow_delay = std::chrono::milliseconds(
      command.value("slow_ms", int64_t{this->slow_delay.count()}));
  if (command.contains("fault")) {
    this->SetFault(command["fault"].get<std::string>());
  }
  return this->Control(command);
}

void StandIn::SetFault(const std::string& new_fault) {
  const bool was_down = this->fault == "down";
  this->fault = new_fault;
  if (new_fault == "down" && !was_down) {
    this->CloseDataPort();
  } else if (was_down && new_fault != "down") {
    this->ReopenDataPort();
  }
  if (new_fault == "none") {
    for (const auto& responder : this->hung_responders) {
      responder->Abort();
    }
    this->hung_responders.clear();
  }
}

void StandIn::LoseAnswer(HttpResponder& responder) {
  // Without a part of the body, the caller would take an aborted answer for an
  // empty one that ends when its connection closes.
  responder.Start(200, {});
  responder.Write(" ");
  responder.Abort();
}

Json StandIn::Report() const {
  Json figures = this->Figures();
  figures["name"] = this->own_name;
  figures["fault"] = this->fault;
  figures["now_ms"] = MonotonicMs();
  figures["last_new_work_ms"] = this->last_new_work_ms;
  return figures;
}

void StandIn::Receive(HttpRequest request,
                      std::shared_ptr<HttpResponder> responder) {
  std::erase_if(this->open_responders,
                [](const auto& weak) { return weak.expired(); });
  this->open_responders.push_back(responder);
  if (this->fault == "hang") {
    this->hung_responders.push_back(std::move(responder));
    return;
  }
  if (this->fault == "slow") {
    this->After(this->slow_delay, [this, request = std::move(request),
                                   responder = std::move(responder)] {
      this->Dispatch(request, responder);
    });
    return;
  }
  this->Dispatch(std::move(request), std::move(responder));
}

void StandIn::Dispatch(HttpRequest request,
                       std::shared_ptr<HttpResponder> responder) {
  try {
    this->Handle(std::move(request), responder);
  } catch (const std::exception& error) {
    responder->SendJson(400, Json{{"error", error.what()}}.dump());
  }
}

void StandIn::OnControl(const HttpRequest& request, HttpResponder& responder) {
  if (PathWithoutQuery(request.path) != "/control") {
    responder.SendJson(404, R"({"error": "the path is /control"})");
    return;
  }
  if (request.method == "GET") {
    responder.SendJson(200, this->Report().dump());
    return;
  }
  try {
    responder.SendJson(200, this->Apply(Json::parse(request.body)).dump());
  } catch (const std::exception& error) {
    responder.SendJson(400, Json{{"error", error.what()}}.dump());
  }
}

void StandIn::After(std::chrono::milliseconds delay,
                    std::function<void()> task) {
  const uint64_t id = this->next_timer++;
  auto timer = std::make_unique<Timer>(
      this->event_loop, [this, id, task = std::move(task)] {
        // Keeps the running closure alive until it returns.
        const auto running = this->timers.extract(id);
        task();
      });
  timer->StartOnce(delay);
  this->timers.emplace(id, std::move(timer));
}

}  // namespace celerypost::standins
