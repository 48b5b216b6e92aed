#include "tests/standins/plain_service.h"

#include <fcntl.h>
#include <unistd.h>

#include <random>
#include <utility>

#include "tests/standins/encoding.h"

namespace celerypost::standins {

namespace {

std::string GenerateStartId() {
  std::random_device random;
  return Sha256Hex(std::to_string(random()) + "," + std::to_string(random()))
      .substr(0, 16);
}

}  // namespace

PlainService::PlainService(Loop& loop, Json settings)
    : StandIn(loop, settings), start_id(GenerateStartId()) {
  this->cold_start.Restart(MonotonicMs());
  const std::string path = settings.value("run_log", "");
  if (!path.empty()) {
    this->run_log =
        open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  }
}

PlainService::~PlainService() {
  if (this->run_log >= 0) {
    close(this->run_log);
  }
}

void PlainService::RecordRun(const std::string& id) {
  if (id.empty()) {
    return;
  }
  if (++this->runs[id] > 1) {
    ++this->double_runs;
  }
  if (this->run_log >= 0) {
    const std::string line = id + "\n";
    // One write per line, so that the line survives a kill of this process.
    if (write(this->run_log, line.data(), line.size()) < 0) {
      close(this->run_log);
      this->run_log = -1;
    }
  }
}

void PlainService::Handle(HttpRequest request,
                          std::shared_ptr<HttpResponder> responder) {
  if (PathWithoutQuery(request.path) == "/health") {
    responder->SendJson(200, Json{{"start_id", this->start_id}}.dump());
    return;
  }
  this->CountNewWork();
  ++this->requests;
  const int64_t now = MonotonicMs();
  this->cold_start.OnArrival(++this->in_flight, now);
  const bool cold = this->cold_start.IsCold(now);
  const std::string id(FindHeader(request.headers, "celerypost-request-id"));
  if (request.method != "GET") {
    this->RecordRun(id);
  }
  const bool drop_answer = this->lose_answers > 0;
  this->lose_answers -= drop_answer ? 1 : 0;
  const Json answer = {
      {"request_id", id}, {"path", request.path}, {"body", request.body}};
  const auto delay = std::chrono::milliseconds(this->work_ms * (cold ? 4 : 1));
  this->After(delay,
              [this, drop_answer, cold, responder, text = answer.dump()] {
                --this->in_flight;
                if (cold) {
                  this->cold_start.OnSlowAnswer(MonotonicMs());
                }
                if (drop_answer) {
                  LoseAnswer(*responder);
                  return;
                }
                responder->Send(200,
                                {{"content-type", "application/json"},
                                 {"x-start-id", this->start_id}},
                                text);
              });
}

Json PlainService::Control(const Json& command) {
  this->cold_start.Configure(command);
  this->work_ms = command.value("work_ms", this->work_ms);
  this->lose_answers = command.value("lose_answers", this->lose_answers);
  if (command.value("turn_cold", false)) {
    this->cold_start.TurnColdSilently(MonotonicMs());
  }
  if (command.value("restart", false)) {
    this->start_id = GenerateStartId();
    this->cold_start.Restart(MonotonicMs());
    this->ReopenDataPort();
  }
  return Json::object();
}

Json PlainService::Figures() const {
  Json figures = {{"start_id", this->start_id},
                  {"requests", this->requests},
                  {"in_flight", this->in_flight},
                  {"distinct", this->runs.size()},
                  {"double_runs", this->double_runs}};
  this->cold_start.AddFigures(figures, MonotonicMs());
  return figures;
}

}  // namespace celerypost::standins
