#include "tests/standins/membership_list.h"

#include <utility>

namespace celerypost::standins {

MembershipList::MembershipList(Loop& loop, Json settings)
    : StandIn(loop, std::move(settings)) {}

void MembershipList::CatchUp() {
  const int64_t now = MonotonicMs();
  auto it = this->waiting.begin();
  for (; it != this->waiting.end() && it->at_ms + this->lag_ms <= now; ++it) {
    if (it->member.is_null()) {
      this->visible.erase(it->vm);
    } else {
      this->visible[it->vm] = it->member;
    }
  }
  this->waiting.erase(this->waiting.begin(), it);
}

void MembershipList::Handle(HttpRequest request,
                            std::shared_ptr<HttpResponder> responder) {
  if (PathWithoutQuery(request.path) != "/members") {
    responder->SendJson(404, R"({"error": "the path is /members"})");
    return;
  }
  ++this->requests;
  this->CatchUp();
  Json members = Json::array();
  for (const auto& [vm, member] : this->visible) {
    members.push_back(member);
  }
  responder->SendJson(200, Json{{"members", members}}.dump());
}

Json MembershipList::Control(const Json& order) {
  this->lag_ms = order.value("lag_ms", this->lag_ms);
  if (order.contains("put")) {
    const Json& member = order["put"];
    this->waiting.push_back(
        {MonotonicMs(), member.at("vm").get<std::string>(), member});
  }
  if (order.contains("remove")) {
    this->waiting.push_back(
        {MonotonicMs(), order["remove"].get<std::string>(), Json()});
  }
  return Json::object();
}

Json MembershipList::Figures() const {
  return {{"requests", this->requests},
          {"members", this->visible.size()},
          {"waiting", this->waiting.size()}};
}

}  // namespace celerypost::standins
