#include "tests/standins/stand_in_factory.h"

#include <map>
#include <string>

#include "tests/standins/engine.h"
#include "tests/standins/key_value_service.h"
#include "tests/standins/link.h"
#include "tests/standins/membership_list.h"
#include "tests/standins/origin.h"
#include "tests/standins/plain_service.h"

namespace celerypost::standins {

namespace {

template <typename Kind>
std::unique_ptr<StandIn> Make(Loop& loop, const Json& settings) {
  return std::make_unique<Kind>(loop, settings);
}

}  // namespace

std::unique_ptr<StandIn> MakeStandIn(Loop& loop, const Json& settings) {
  using Maker = std::unique_ptr<StandIn> (*)(Loop&, const Json&);
  static const auto* makers = new std::map<std::string, Maker>{
      {"kv", Make<KeyValueService>},        {"engine", Make<Engine>},
      {"plain", Make<PlainService>},        {"origin", Make<Origin>},
      {"membership", Make<MembershipList>}, {"link", Make<Link>}};
  const auto maker = makers->find(settings.value("kind", ""));
  return maker == makers->end() ? nullptr : maker->second(loop, settings);
}

}  // namespace celerypost::standins
