#include "tests/standins/membership_list.h"

#include <utility>

namespace celerypost::standins {

MembershipList::MembershipList(Loop& loop, Json settings)
    : StandIn(loop, std::move(settings)) {}

void MembershipList::ApplyDueChanges() {
  const int64_t now = MonotonicMs();
  auto it = this->pending.begin();
  for (; it != this->pending.end() && it->at_ms + this->lag_ms <= now; ++it) {
    if (it->member.is_null()) {
      this->visible.erase(it->vm);
    } else {
      this->visible[it->vm] = it->member;
    }
  }
  this->pending.erase(this->pending.begin(), it);
}

void MembershipList::Handle(HttpRequest request,
                            std::shared_ptr<HttpResponder> responder) {
  if (PathWithoutQuery(request.path) != "/members") {
    responder->SendJson(404, R"({"error": "the path is /members"})");
    return;
  }
  ++this->requests;
  this->ApplyDueChanges();
  Json members = Json::array();
  for (const auto& [vm, member] : this->visible) {
    members.push_back(member);
  }
  responder->SendJson(200, Json{{"members", members}}.dump());
}

Json MembershipList::Control(const Json& command) {
  this->lag_ms = command.value("lag_ms", this->lag_ms);
  if (command.contains("put")) {
    const Json& member = command["put"];
    this->pending.push_back(
        {MonotonicMs(), member.at("vm").get<std::string>(), member});
  }
  if (command.contains("remove")) {
    this->pending.push_back(
        {MonotonicMs(), command["remove"].get<std::string>(), Json()});
  }
  return Json::object();
}

Json MembershipList::Figures() const {
  return {{"requests", this->requests},
          {"members", this->visible.size()},
          {"waiting", this->pending.size()}};
}

}  // namespace celerypost::standins
