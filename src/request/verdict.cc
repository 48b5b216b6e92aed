#include "celerypost/verdict.h"

#include <utility>

namespace celerypost {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "unknown";
}

std::string_view ErrorCodeName(ErrorCode code) {
  static constexpr std::string_view kNames[] = {
      "invalid_argument",  "not_found", "unavailable",     "overloaded",
      "deadline_exceeded", "conflict",  "unauthenticated", "cancelled",
      "corrupt",           "internal"};
  const auto index = static_cast<size_t>(code);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

tl::unexpected<Failure> NotRun(ErrorCode code, std::string message) {
  return tl::unexpected<Failure>(
      Failure{Verdict::kNotRun, code, std::move(message)});
}

}  // namespace celerypost
