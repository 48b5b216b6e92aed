#include "src/request/task/work_task.h"

#include <utility>

namespace celerypost {

namespace {

constexpr char kRequestId[] = "celerypost-request-id";

}  // namespace

WorkTask::WorkTask(std::shared_ptr<PeerConnection> entry,
                   int64_t request_number,
                   int32_t attempt_number,
                   wire::Work work,
                   std::optional<RequestId> id,
                   size_t max_stored_answer_bytes)
    : connection(std::move(entry)),
      request_number(request_number),
      attempt_number(attempt_number),
      work_message(std::move(work)),
      request_id(std::move(id)),
      max_stored_answer_bytes(max_stored_answer_bytes) {}

void WorkTask::Dispatch(HttpClient& target,
                        TimePoint now,
                        WorkTaskHandlers task_handlers) {
  this->handlers = std::move(task_handlers);
  this->is_dispatched = true;
  this->dispatched_at = now;
  HttpRequest request;
  request.method = this->work_message.method;
  request.path = this->work_message.path;
  request.body = this->work_message.body;
  if (!this->work_message.content_type.empty()) {
    request.headers.emplace_back("content-type",
                                 this->work_message.content_type);
  }
  if (!this->work_message.request_id.empty()) {
    request.headers.emplace_back(kRequestId, this->work_message.request_id);
  }
  HttpResponseCallbacks callbacks;
  // A target need not return the ID.
  callbacks.accepts = [this](const HttpResponseHead& head) {
    const auto answered = FindHeader(head.headers, kRequestId);
    return answered.empty() || answered == this->work_message.request_id;
  };
  callbacks.on_head = [this](const HttpResponseHead& head) {
    this->OnHead(head);
  };
  callbacks.on_body = [this](std::string_view bytes) { this->OnBody(bytes); };
  callbacks.on_end = [this] { this->OnEnd(); };
  callbacks.on_failure = [this](Failure failure) {
    this->OnFailure(std::move(failure));
  };
  this->call = target.Send(std::move(request), std::move(callbacks));
}

void WorkTask::OnHead(const HttpResponseHead& head) {
  this->handlers.on_head(head.headers);
  wire::WorkHead reply;
  reply.status = head.status;
  reply.content_type = FindHeader(head.headers, "content-type");
  reply.version = FindHeader(head.headers, "x-weights-version");
  reply.load = this->handlers.load();
  this->answer.status = head.status;
  this->answer.content_type = reply.content_type;
  if (!this->is_abandoned) {
    this->connection->Send(wire::Kind::WORK_HEAD, this->request_number,
                           this->attempt_number, reply);
  }
}

void WorkTask::OnBody(std::string_view bytes) {
  if (!std::exchange(this->first_body_seen, true)) {
    this->handlers.on_first_body(this->dispatched_at);
  }
  if (this->request_id && this->answer_fits) {
    this->answer_fits = this->answer.body.size() + bytes.size() <=
                        this->max_stored_answer_bytes;
    if (this->answer_fits) {
      this->answer.body.append(bytes);
    }
  }
  if (!this->is_abandoned) {
    wire::WorkBody reply;
    reply.bytes = std::string(bytes);
    this->connection->Send(wire::Kind::WORK_BODY, this->request_number,
                           this->attempt_number, reply);
  }
}

void WorkTask::OnEnd() {
  if (!this->is_abandoned) {
    wire::WorkEnd end;
    end.verdict = static_cast<int32_t>(Verdict::kRan);
    end.error = -1;
    end.load = this->handlers.load();
    this->connection->Send(wire::Kind::WORK_END, this->request_number,
                           this->attempt_number, end);
  }
  WorkResult result;
  if (this->answer_fits) {
    result.answer = std::move(this->answer);
  }
  this->handlers.on_done(std::move(result));
}

void WorkTask::OnFailure(Failure failure) {
  if (!this->is_abandoned) {
    this->SendFailure(failure, wire::Refusal::NONE, {}, this->handlers.load());
  }
  WorkResult result;
  result.failure = std::move(failure);
  this->handlers.on_done(std::move(result));
}

void WorkTask::SendFailure(const Failure& failure,
                           wire::Refusal::type refusal,
                           InstanceId moved_to,
                           const wire::LoadReport& load) {
  wire::WorkEnd end;
  end.verdict = static_cast<int32_t>(failure.verdict);
  end.error = static_cast<int32_t>(failure.code);
  end.message = failure.message;
  end.refusal = refusal;
  end.moved_to = static_cast<int64_t>(moved_to.value);
  end.load = load;
  this->connection->Send(wire::Kind::WORK_END, this->request_number,
                         this->attempt_number, end);
}

void WorkTask::SendStored(const StoredAnswer& stored,
                          const wire::LoadReport& load) {
  wire::WorkHead head;
  head.status = stored.status;
  head.content_type = stored.content_type;
  head.load = load;
  this->connection->Send(wire::Kind::WORK_HEAD, this->request_number,
                         this->attempt_number, head);
  wire::WorkBody body;
  body.bytes = stored.body;
  this->connection->Send(wire::Kind::WORK_BODY, this->request_number,
                         this->attempt_number, body);
  wire::WorkEnd end;
  end.verdict = static_cast<int32_t>(Verdict::kRan);
  end.error = -1;
  end.load = load;
  this->connection->Send(wire::Kind::WORK_END, this->request_number,
                         this->attempt_number, end);
}

void WorkTask::Abandon() {
  this->is_abandoned = true;
  if (!this->request_id) {
    this->call.reset();
  }
}

}  // namespace celerypost
