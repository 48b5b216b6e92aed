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

// Interpreted response of the operators' API (section 10.5 of the design page).
struct CtlOutcome {
  CtlExit exit = CtlExit::kUnknown;
  // "accepted", "refused_newer", "refused", "unavailable",
  // "region_unreachable", "not_found" or "unknown".
  std::string name;
  // Number of the configuration, if the response has one.
  std::optional<uint64_t> number;
  // Human-readable sentence.
  std::string message;
  // Body of the response; null if it is not a JSON object.
  nlohmann::ordered_json body;
};

// Interprets the response to a request that changes the configuration. It is
// kUnknown unless it shows that the change was accepted or that nothing was
// changed.
CtlOutcome InterpretChange(const Result<HttpResponse>& answer);

// Interprets the response to GET /v1/operator/changes/<id>: accepted, not
// applied or kUnknown. A query that is refused or gets no response says nothing
// about the change, so it is also kUnknown.
CtlOutcome InterpretChangeQuery(const Result<HttpResponse>& answer);

// Interprets the response to any other read; `name` is "ok" on success.
CtlOutcome InterpretRead(const Result<HttpResponse>& answer);

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_OUTCOME_H_
