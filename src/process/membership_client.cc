#include "src/process/membership_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using Json = nlohmann::json;

tl::unexpected<Failure> Invalid(const std::string& message) {
  return NotRun(ErrorCode::kInvalidArgument, "membership list: " + message);
}

Result<std::string> ParseStringField(const Json& object,
                                     const std::string& json_path,
                                     const char* field,
                                     bool required) {
  const auto found = object.find(field);
  if (found == object.end() && !required) {
    return std::string();
  }
  if (found == object.end() || !found->is_string()) {
    return Invalid("field \"" + json_path + "." + field +
                   "\" must be a string");
  }
  return found->get<std::string>();
}

Result<PlatformMember> ParseMember(const Json& object,
                                   const std::string& json_path) {
  if (!object.is_object()) {
    return Invalid("field \"" + json_path + "\" must be an object");
  }
  std::string texts[7];
  static constexpr const char* kFields[] = {
      "vm", "role", "peer_address", "zone", "region", "state", "service"};
  for (size_t i = 0; i < std::size(kFields); ++i) {
    auto text = ParseStringField(object, json_path, kFields[i], i < 6);
    if (!text) {
      return tl::unexpected(text.error());
    }
    texts[i] = std::move(*text);
  }
  const auto& [vm, role, address, zone, region, state, service] = texts;
  if (role != "entry" && role != "agent") {
    return Invalid("field \"" + json_path + ".role\" is \"" + role +
                   "\", allowed are entry, agent");
  }
  if (state != "live" && state != "leaving") {
    return Invalid("field \"" + json_path + ".state\" is \"" + state +
                   "\", allowed are live, leaving");
  }
  PlatformMember member;
  member.vm = vm;
  member.role = role == "entry" ? Role::kEntry : Role::kAgent;
  member.peer_address = address;
  member.zone = ZoneName(zone);
  member.region = RegionName(region);
  member.service = ServiceName(service);
  member.leaving = state == "leaving";
  return member;
}

}  // namespace

Result<std::vector<PlatformMember>> ParseMembers(std::string_view json) {
  const Json answer = ParseBoundedJson(json);
  const bool valid = answer.is_object() && answer.contains("members") &&
                     answer["members"].is_array();
  if (!valid) {
    return Invalid("field \"members\" must be an array");
  }
  std::vector<PlatformMember> members;
  for (const Json& object : answer["members"]) {
    auto member =
        ParseMember(object, "members[" + std::to_string(members.size()) + "]");
    if (!member) {
      return tl::unexpected(member.error());
    }
    members.push_back(std::move(*member));
  }
  return members;
}

MembershipClient::MembershipClient(
    Loop& loop,
    SocketAddress server,
    MembershipClientOptions options,
    std::function<void(std::vector<PlatformMember>)> on_list,
    std::function<void(Failure)> on_failure)
    : options(options),
      http(loop, std::move(server), HttpClientOptions{options.timeout, 1}),
      on_list(std::move(on_list)),
      on_failure(std::move(on_failure)),
      timer(loop, [this] { this->Read(); }) {}

MembershipClient::~MembershipClient() = default;

void MembershipClient::Start() {
  this->Read();
  this->timer.StartRepeating(this->options.period);
}

void MembershipClient::Read() {
  HttpRequest request;
  request.path = "/members";
  // The assignment destroys, and so cancels, a call that is still in progress.
  this->call = this->http.Fetch(
      std::move(request), this->options.max_body_bytes,
      [this](const Result<HttpResponse>& response) {
        if (!response) {
          this->on_failure(response.error());
          return;
        }
        if (response->status != 200) {
          this->on_failure(Failure{
              Verdict::kNotRun, ErrorCode::kUnavailable,
              "membership list: status " + std::to_string(response->status)});
          return;
        }
        auto members = ParseMembers(response->body);
        if (!members) {
          this->on_failure(members.error());
          return;
        }
        this->on_list(std::move(*members));
      });
}

}  // namespace celerypost
