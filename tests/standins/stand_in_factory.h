#ifndef TESTS_STANDINS_STAND_IN_FACTORY_H_
#define TESTS_STANDINS_STAND_IN_FACTORY_H_

#include <memory>

#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// Makes the stand-in that settings["kind"] names: "kv", "engine", "plain",
// "origin", "membership" or "link". Null for another kind.
std::unique_ptr<StandIn> MakeStandIn(Loop& loop, const Json& settings);

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_STAND_IN_FACTORY_H_
