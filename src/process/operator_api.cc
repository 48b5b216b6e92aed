#include "src/process/operator_api.h"

#include <charconv>
#include <string>
#include <utility>

#include "src/process/log.h"

namespace celerypost {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kChangesPath = "/v1/operator/changes";
constexpr uint64_t kDefaultAuditRecords = 20;
constexpr uint64_t kMaxAuditRecords = 1000;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void SendError(HttpResponder& responder,
               int status,
               ErrorCode code,
               const std::string& message) {
  responder.SendJson(
      status,
      Dump(Json{
          {"error", {{"code", ErrorCodeName(code)}, {"message", message}}}}));
}

int StatusOf(CommitOutcome outcome) {
  switch (outcome) {
    case CommitOutcome::kAccepted:
      return 200;
    case CommitOutcome::kRefusedNewer:
      return 409;
    case CommitOutcome::kUnknown:
      return 504;
    case CommitOutcome::kUnavailable:
    case CommitOutcome::kRegionUnreachable:
      return 503;
    case CommitOutcome::kInvalid:
      break;
  }
  return 400;
}

void SendResult(HttpResponder& responder,
                int status,
                const std::string& id,
                const CommitResult& result) {
  Json body{{"outcome", CommitOutcomeName(result.outcome)}, {"id", id}};
  if (result.number != 0) {
    body["number"] = result.number;
  }
  if (!result.message.empty()) {
    body["message"] = result.message;
  }
  responder.SendJson(status, Dump(body));
}

std::string_view MemberStateName(const Member& member) {
  switch (member.state) {
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kLive:
      break;
  }
  return member.suspected ? "suspected" : "live";
}

Json MemberJson(const Member& member) {
  return Json{{"instance", FormatInstance(member.instance)},
              {"role", member.role == Role::kEntry ? "entry" : "agent"},
              {"zone", member.zone.value()},
              {"region", member.region.value()},
              {"service", member.service.value()},
              {"address", member.address},
              {"http_address", member.http_address},
              {"state", MemberStateName(member)},
              {"serving", member.serving},
              {"warm", member.warm},
              {"switched", member.switched}};
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiOptions options,
                         CommitTask& commits,
                         GossipTask& gossip)
    : options(std::move(options)), commits(commits), gossip(gossip) {}

void OperatorApi::Handle(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder) {
  if (const auto allowed = this->options.authenticate(request); !allowed) {
    SendError(*responder, 401, ErrorCode::kUnauthenticated,
              allowed.error().message);
    return;
  }
  const std::string_view path = PathWithoutQuery(request.path);
  const bool get = request.method == "GET";
  if (path == kChangesPath && request.method == "POST") {
    this->PostChange(request, responder);
  } else if (get && path.starts_with(kChangesPath) &&
             path.size() > kChangesPath.size() + 1 &&
             path[kChangesPath.size()] == '/') {
    this->GetChange(path.substr(kChangesPath.size() + 1), responder);
  } else if (get && path == "/v1/operator/status") {
    this->GetStatus(responder);
  } else if (get && path == "/v1/operator/audit") {
    this->GetAudit(request, responder);
  } else {
    SendError(*responder, 404, ErrorCode::kNotFound,
              "no operation " + request.method + " " + std::string(path));
  }
}

void OperatorApi::PostChange(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder) {
  auto change = ChangeRequest::Parse(request.body);
  if (!change) {
    SendError(*responder, 400, change.error().code, change.error().message);
    return;
  }
  ChangeRequest copy = *change;
  this->commits.Submit(
      std::move(*change),
      [this, responder, change = std::move(copy)](const CommitResult& result) {
        if (this->options.on_change) {
          this->options.on_change(change, result);
        }
        if (result.outcome == CommitOutcome::kInvalid) {
          SendError(*responder, 400, ErrorCode::kInvalidArgument,
                    result.message);
          return;
        }
        SendResult(*responder, StatusOf(result.outcome), change.id, result);
      });
}

void OperatorApi::GetChange(std::string_view id,
                            const std::shared_ptr<HttpResponder>& responder) {
  const std::string change_id(id);
  this->commits.LookUpChange(
      change_id, [responder, change_id](const CommitResult& result) {
        // A change that is not stored has no outcome to report.
        if (result.outcome == CommitOutcome::kRefusedNewer) {
          SendError(*responder, 404, ErrorCode::kNotFound,
                    "change " + change_id +
                        " is not stored; a request that is still under way "
                        "may store it within 5 s of its start");
          return;
        }
        SendResult(*responder, StatusOf(result.outcome), change_id, result);
      });
}

void OperatorApi::GetStatus(const std::shared_ptr<HttpResponder>& responder) {
  const ConfigDocument& config = this->gossip.config().Current();
  Json zones = Json::object();
  for (const auto& [zone, region] :
       config.KnownZones(this->gossip.membership().Zones())) {
    zones[zone.value()] = {{"region", region.value()},
                           {"state", config.ZoneIsIn(zone) ? "in" : "out"}};
  }
  Json members = Json::array();
  for (const Member* member : this->gossip.membership().NotDead()) {
    members.push_back(MemberJson(*member));
  }
  Json witnesses = Json::object();
  for (const RegionName& region : this->gossip.membership().Regions()) {
    Json list = Json::array();
    for (const InstanceId witness :
         this->gossip.freshness().Witnesses(region)) {
      list.push_back(FormatInstance(witness));
    }
    witnesses[region.value()] = std::move(list);
  }
  Json status{{"number", config.number},
              {"isolated", !this->gossip.MayGiveNewWork()},
              {"zones", std::move(zones)},
              {"witnesses", std::move(witnesses)},
              {"members", std::move(members)}};
  if (this->options.add_status) {
    this->options.add_status(status);
  }
  responder->SendJson(200, Dump(status));
}

void OperatorApi::GetAudit(const HttpRequest& request,
                           const std::shared_ptr<HttpResponder>& responder) {
  const std::string text = FindQueryParameter(request.path, "last");
  uint64_t count = kDefaultAuditRecords;
  if (!text.empty()) {
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || end != text.data() + text.size() ||
        count == 0 || count > kMaxAuditRecords) {
      SendError(*responder, 400, ErrorCode::kInvalidArgument,
                "parameter \"last\" is \"" + text + "\", allowed are 1 to " +
                    std::to_string(kMaxAuditRecords));
      return;
    }
  }
  this->commits.ReadAudit(count, [responder](
                                     const Result<std::string>& changes) {
    if (!changes) {
      SendError(*responder, 503, changes.error().code, changes.error().message);
      return;
    }
    responder->SendJson(200, "{\"changes\":" + *changes + "}");
  });
}

}  // namespace celerypost
