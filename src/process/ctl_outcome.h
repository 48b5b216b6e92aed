#ifndef SRC_PROCESS_CTL_OUTCOME_H_
#define SRC_PROCESS_CTL_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "celerypost/verdict.h"
#include "src/connection/http_client.h"

namespace celerypost {

// Exit codes of celerypost ctl.
enum class CtlExit : uint8_t {
  kDone = 0,
  // The entry refused the request; nothing was changed.
  kRefused = 1,
  // Wrong command line or input file; nothing was sent.
  kUsage = 2,
  // The entry or the key-value service did not answer; nothing was changed.
  kUnavailable = 3,
  // The change may or may not be in force.
  kUnknown = 4,
};

// Meaning of an answer of the operators' API (section 10.5 of the design page).
struct CtlOutcome {
  CtlExit exit = CtlExit::kUnknown;
  // "accepted", "refused_newer", "refused", "unavailable",
  // "region_unreachable", "not_found" or "unknown".
  std::string name;
  // Number of the configuration, where the answer has one.
  std::optional<uint64_t> number;
  // One sentence for people.
  std::string message;
  // The answer; null when it was not a JSON object.
  nlohmann::ordered_json body;
};

// Judges the answer to a request that changes the configuration. Whatever does
// not show clearly that nothing was changed is kUnknown.
CtlOutcome JudgeChange(const Result<HttpResponse>& answer);

// Judges the answer to GET /v1/operator/changes/<id>: accepted, not applied or
// kUnknown. A question that is refused or not answered says nothing about the
// change, so it is kUnknown, too.
CtlOutcome JudgeChangeQuery(const Result<HttpResponse>& answer);

// Judges the answer to any other read; `name` is "ok" when it succeeded.
CtlOutcome JudgeRead(const Result<HttpResponse>& answer);

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_OUTCOME_H_
